package link_test

// This file tests connections that are closed while a part of a request is unsent.

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"camphorspoke/internal/edge/link"
)

// awaitHangup reports whether the kernel receives the end of the connection in time.
func awaitHangup(t *testing.T, c *net.TCPConn, timeout time.Duration) bool {
	t.Helper()
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	ended := false
	require.NoError(t, raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for deadline := time.Now().Add(timeout); !ended && time.Now().Before(deadline); {
			n, perr := unix.Poll(fds, int(time.Until(deadline).Milliseconds())+1)
			ended = perr == nil && n > 0
		}
	}))
	return ended
}

// TestCloseBesideWriteIsSeen: a connection is closed at any moment of a write to a server that does
// not read. If the write ends between the look for unsent bytes and the close, the end of the
// connection queues behind the written bytes, and the server works on.
func TestCloseBesideWriteIsSeen(t *testing.T) {
	const (
		connections = 600
		size        = 512 << 10
		maxPause    = 300 * time.Microsecond
		timeout     = 400 * time.Millisecond
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	dial := link.ResetUnsent(&net.Dialer{})
	body := make([]byte, size)
	for i := range connections {
		c, err := dial(t.Context(), "tcp", l.Addr().String())
		require.NoError(t, err)
		s, err := l.Accept()
		require.NoError(t, err)
		go func() { _, _ = c.Write(body) }()
		time.Sleep(rand.N(maxPause))
		require.NoError(t, c.Close())
		require.True(t, awaitHangup(t, s.(*net.TCPConn), timeout), "connection %d", i)
		require.NoError(t, s.Close())
	}
}

// TestCloseAfterWholeRequestIsOrderly: what was sent completely arrives, and then the end of the
// connection. A reset could overtake it.
func TestCloseAfterWholeRequestIsOrderly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	c, err := link.ResetUnsent(&net.Dialer{})(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	s, err := l.Accept()
	require.NoError(t, err)
	_, err = io.WriteString(c, "request")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	got, err := io.ReadAll(s)
	require.NoError(t, err)
	require.Equal(t, "request", string(got))
	require.NoError(t, s.Close())
}
