package plainservice_test

// This file tests calls that are given up while a part of their body is unsent.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/plainservice"
)

// TestGivenUpCallIsNotDeliveredLater: a server has not read the body of a call when that is given
// up. The kernel still delivered the rest, so that the server executed a call beside its repeat.
func TestGivenUpCallIsNotDeliveredLater(t *testing.T) {
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
	_, err = plainservice.New().Call(ctx, l.Addr().String(), edge.Call{
		Name: "price",
		Body: make([]byte, size),
	})
	require.Equal(t, fault.InDoubt, fault.KindOf(err))
	require.Less(t, <-delivered, int64(size))
}
