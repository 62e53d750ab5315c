package engine_test

// This file tests requests that are given up while a part of their prompt is unsent.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/edge/engine"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// TestGivenUpRequestIsNotDeliveredLater: an engine has not read the prompt of a request when that is
// given up and cancelled there. The kernel still delivered the rest, so that the engine began to
// run it after it had been cancelled, beside the engine that went on with it.
func TestGivenUpRequestIsNotDeliveredLater(t *testing.T) {
	const (
		size    = 1 << 20
		timeout = 100 * time.Millisecond
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	delivered := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		time.Sleep(3 * timeout)
		n, _ := io.Copy(io.Discard, r.Body)
		delivered <- n
	}()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	client := &engine.Client{}
	frames, err := client.Infer(ctx, l.Addr().String(), &pb.InferRequest{
		RequestId: "1",
		Prompt:    make([]byte, size),
	})
	if err == nil {
		_, more := frames.Receive()
		require.False(t, more)
		frames.Close()
	}
	require.Less(t, <-delivered, int64(size))
}
