package backend_test

// This file tests requests that are cancelled before they are sent.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
)

// TestCancelledRequestIsNotSent: a request is cancelled before it is sent, and a connection to its
// server is idle. It must not be written to it, as the server would run it for nobody, and its
// failure must say that it did not run.
func TestCancelledRequestIsNotSent(t *testing.T) {
	const requests = 50
	arrivals := &atomic.Int32{}
	address, _ := server(t, func(c net.Conn, _ int, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		arrivals.Add(1)
		reply(c, r.Header.Get("X-Id"), "ok", "")
	})
	p := pool(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range requests {
		_, err := send(t, p, address, fmt.Sprint(i))
		require.NoError(t, err)
		_, err = p.Send(ctx, address, request(fmt.Sprintf("cancelled %d", i)))
		require.Error(t, err)
		require.False(t, fault.MayHaveRun(err), "request %d: %v", i, err)
	}
	time.Sleep(100 * time.Millisecond)
	require.EqualValues(t, requests, arrivals.Load())
}
