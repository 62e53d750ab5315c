package backend_test

// This file tests responses that are none.

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge/backend"
)

// serveEach accepts connections, reads the head of the request on each, and passes it on.
func serveEach(t *testing.T, respond func(c *net.TCPConn, br *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReaderSize(c, 64)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				respond(c.(*net.TCPConn), br)
			}()
		}
	}()
	return l.Addr().String()
}

func newPool(t *testing.T) *backend.Pool {
	t.Helper()
	begin := time.Now()
	p := &backend.Pool{
		Now: func() time.Duration { return time.Since(begin) },
	}
	t.Cleanup(p.Close)
	return p
}

// TestStatusThatIsNoneIsNoResponse: a server in trouble answers with a status outside 100 to 599. A
// caller must not get it as an answer.
func TestStatusThatIsNoneIsNoResponse(t *testing.T) {
	for _, status := range []int{0, 1, 99, 600, 700, 999} {
		address := serveEach(t, func(c *net.TCPConn, _ *bufio.Reader) {
			fmt.Fprintf(c, "HTTP/1.1 %03d X\r\nX-Attempt-Id: r\r\nContent-Length: 2\r\n\r\nno", status)
			time.Sleep(100 * time.Millisecond)
		})
		p := newPool(t)
		_, err := p.Send(t.Context(), address, &backend.Request{
			Method:   http.MethodGet,
			Target:   "/",
			Host:     "h",
			Header:   http.Header{},
			ID:       "r",
			EchoedID: func(_ int, h http.Header) string { return h.Get("X-Attempt-Id") },
		})
		require.Error(t, err, strconv.Itoa(status))
		require.Equal(t, fault.WrongFrame, fault.KindOf(err), strconv.Itoa(status))
	}
}
