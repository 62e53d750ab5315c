package backend_test

// This file tests responses without a length whose connection is reset while the body of the request
// is being written, and responses with a status that is none.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge/backend"
)

// unlimitedAnswer is the head and a part of the body of a response that ends with its connection.
const (
	unlimitedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nConnection: close\r\n\r\n"
	partOfBody    = "a part"
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

// upload sends a request with a body that no socket buffers hold.
func upload(t *testing.T, p *backend.Pool, address string) (*backend.Response, error) {
	t.Helper()
	return p.Send(t.Context(), address, &backend.Request{
		Method:   http.MethodPost,
		Target:   "/",
		Host:     "h",
		Header:   http.Header{},
		Body:     make([]byte, 32<<20),
		ID:       "r",
		EchoedID: func(_ int, h http.Header) string { return h.Get("X-Attempt-Id") },
	})
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

// TestResponseResetWithinAnUploadIsNotComplete: a server answers a long upload at once, without a length,
// sends a part of its body and resets the connection while the upload is being written. The write takes
// the error of the connection, and a read then finds its end, as after an orderly close.
func TestResponseResetWithinAnUploadIsNotComplete(t *testing.T) {
	address := serveEach(t, func(c *net.TCPConn, _ *bufio.Reader) {
		io.WriteString(c, unlimitedHead+partOfBody)
		c.SetLinger(0)
	})
	p := newPool(t)
	for range 200 {
		resp, err := upload(t, p, address)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp)
		resp.Close()
		require.Error(t, err, "a part of the body counts as complete: %q", body)
		require.Equal(t, fault.LinkBroken, fault.KindOf(err))
	}
}

// TestEarlyResponseThatEndsInOrderIsComplete: a server answers a long upload before it has read it,
// without a length, and ends the connection in order. The response is complete, whether the server goes
// on reading the upload or not.
func TestEarlyResponseThatEndsInOrderIsComplete(t *testing.T) {
	for _, reads := range []bool{false, true} {
		address := serveEach(t, func(c *net.TCPConn, br *bufio.Reader) {
			io.WriteString(c, unlimitedHead+partOfBody)
			c.CloseWrite()
			if reads {
				io.Copy(io.Discard, br)
				return
			}
			time.Sleep(100 * time.Millisecond)
		})
		p := newPool(t)
		for range 20 {
			resp, err := upload(t, p, address)
			require.NoError(t, err)
			body, err := io.ReadAll(resp)
			resp.Close()
			require.NoError(t, err)
			require.Equal(t, partOfBody, string(body))
		}
	}
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
