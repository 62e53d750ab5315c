package backend_test

// This file tests servers that send bytes without end that are no response, and late
// responses on reused connections.

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
)

// endlessTimeout is how long an exchange with an endless response may take: far less
// than the timeout of a request.
const endlessTimeout = 5 * time.Second

// writeEndlessly writes text until the other side closes the connection or maxBytes
// were accepted, and returns the number of bytes written.
func writeEndlessly(c net.Conn, text string, maxBytes int) int {
	written := 0
	for written < maxBytes {
		n, err := io.WriteString(c, text)
		written += n
		if err != nil {
			return written
		}
	}
	return written
}

// TestEndlessHead: a server whose response head never ends, in the status line, in one
// header, in many headers or in informational responses, is cut off after a bounded
// number of bytes, and the request may have run.
func TestEndlessHead(t *testing.T) {
	const maxBytes = 8 << 20
	filler := strings.Repeat("x", 4096)
	for name, head := range map[string]struct{ first, repeated string }{
		"status line":   {"HTTP/1.1 200 ", filler},
		"no HTTP":       {"", filler},
		"one header":    {"HTTP/1.1 200 OK\r\nX-Long: ", filler},
		"many headers":  {"HTTP/1.1 200 OK\r\n", "X-A: " + filler + "\r\n"},
		"informational": {"", "HTTP/1.1 100 Continue\r\nX-A: " + filler + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			address, _ := server(t, func(c net.Conn, _ int, _ *http.Request) {
				io.WriteString(c, head.first)
				written <- writeEndlessly(c, head.repeated, maxBytes)
				c.Close()
			})
			start := time.Now()
			_, err := send(t, pool(t), address, "1")
			require.Error(t, err)
			require.True(t, fault.MayHaveRun(err), "%v", err)
			require.Less(t, time.Since(start), endlessTimeout)
			require.Less(t, <-written, maxBytes, "the connection is closed before the server has sent everything")
		})
	}
}

// TestEndlessStrayBody: the body of a stray response is discarded only up to a limit.
func TestEndlessStrayBody(t *testing.T) {
	const maxBytes = 64 << 20
	written := make(chan int, 1)
	address, _ := server(t, func(c net.Conn, _ int, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n")
		written <- writeEndlessly(c, strings.Repeat("x", 4096), maxBytes)
		c.Close()
	})
	_, err := send(t, pool(t), address, "1")
	require.Error(t, err)
	require.True(t, fault.MayHaveRun(err), "%v", err)
	require.Less(t, <-written, maxBytes)
}

// TestUnnamedSuccess: a success that names no request is never taken for the response.
// A late second copy of an earlier response can look like that.
func TestUnnamedSuccess(t *testing.T) {
	address, _ := server(t, func(c net.Conn, number int, r *http.Request) {
		if number == 1 {
			reply(c, r.Header.Get("X-Id"), "ok", "")
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	})
	p := pool(t)
	_, err := send(t, p, address, "1")
	require.NoError(t, err)
	_, err = send(t, p, address, "2")
	require.Equal(t, fault.WrongFrame, fault.KindOf(err))
	require.True(t, fault.MayHaveRun(err))
}
