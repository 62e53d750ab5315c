package backend_test

// This file tests requests that are given up while their server has not read their body.

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"camphorspoke/internal/base/fault"
)

// awaitHangUp waits until the peer of a connection has closed it, behind whatever it has sent, and
// returns how long that took; a second at most.
func awaitHangUp(t *testing.T, c *net.TCPConn) time.Duration {
	t.Helper()
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	start := time.Now()
	for closed := false; !closed && time.Since(start) < time.Second; time.Sleep(time.Millisecond) {
		require.NoError(t, raw.Control(func(fd uintptr) {
			polled := []unix.PollFd{{
				Fd:     int32(fd),
				Events: unix.POLLRDHUP,
			}}
			n, _ := unix.Poll(polled, 0)
			closed = n > 0
		}))
	}
	return time.Since(start)
}

// TestCloseArrivesBeforeUnreadBody: a server works on a request and reads its body later or not at
// all. When the request is given up, the server must see the close at once, not behind the body,
// as another server gets the request next.
func TestCloseArrivesBeforeUnreadBody(t *testing.T) {
	for _, size := range []int{64 << 10, 1 << 20, 4 << 20} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		accepted := make(chan *net.TCPConn, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			// The body goes on into the buffers of the kernel.
			time.Sleep(50 * time.Millisecond)
			accepted <- c.(*net.TCPConn)
		}()
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 1)
		req := request("1")
		req.Body = make([]byte, size)
		p := pool(t)
		go func() {
			_, err := p.Send(ctx, l.Addr().String(), req)
			failed <- err
		}()
		c := <-accepted
		cancel()
		require.Equal(t, fault.TimedOut, fault.KindOf(<-failed))
		require.Less(t, awaitHangUp(t, c), 400*time.Millisecond, "a body of %d bytes", size)
		c.Close()
	}
}
