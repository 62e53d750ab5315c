package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/boottime"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge/backend"
)

// requestHandler writes the response to one request of a connection; number
// counts the connection's requests from 1.
type requestHandler func(conn net.Conn, number int, r *http.Request)

// server passes each request to handle; conns counts accepted connections.
func server(t *testing.T, handle requestHandler) (address string, conns *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	conns = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for i := 1; ; i++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					handle(c, i, r)
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

func pool(t *testing.T) *backend.Pool {
	t.Helper()
	p := &backend.Pool{
		Now: boottime.New().Now,
	}
	t.Cleanup(p.Close)
	return p
}

func request(id string) *backend.Request {
	return &backend.Request{
		Method: http.MethodPost,
		Target: "/a//b/../c?x=%2F&y",
		Host:   "h.example",
		Header: http.Header{
			"X-Id": {id},
		},
		Body:     []byte("body"),
		ID:       id,
		EchoedID: func(_ int, h http.Header) string { return h.Get("X-Id") },
	}
}

func reply(c net.Conn, id, body, extraHeaders string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\n%sContent-Length: %d\r\n\r\n%s", id, extraHeaders, len(body), body)
}

func send(t *testing.T, p *backend.Pool, address, id string) (string, error) {
	t.Helper()
	r, err := p.Send(t.Context(), address, request(id))
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	if err == nil {
		r.Keep()
	}
	return string(b), err
}

func TestTargetAndBodyPassUnchanged(t *testing.T) {
	address, conns := server(t, func(c net.Conn, _ int, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		reply(c, r.Header.Get("X-Id"), r.RequestURI+" "+r.Host+" "+string(body), "")
	})
	p := pool(t)
	for _, id := range []string{"1", "2", "3"} {
		got, err := send(t, p, address, id)
		require.NoError(t, err)
		require.Equal(t, "/a//b/../c?x=%2F&y h.example body", got)
	}
	require.EqualValues(t, 1, conns.Load(), "the connection is reused")
}

// TestNeverSentTwice: when the server closes a reused connection after a request
// was written, Send fails instead of retrying on another connection.
func TestNeverSentTwice(t *testing.T) {
	arrivals := &atomic.Int32{}
	address, _ := server(t, func(c net.Conn, number int, r *http.Request) {
		arrivals.Add(1)
		if number > 1 {
			c.Close()
			return
		}
		reply(c, r.Header.Get("X-Id"), "ok", "")
	})
	p := pool(t)
	_, err := send(t, p, address, "1")
	require.NoError(t, err)
	_, err = send(t, p, address, "2")
	require.Equal(t, fault.LinkBroken, fault.KindOf(err))
	require.True(t, fault.MayHaveRun(err))
	require.EqualValues(t, 2, arrivals.Load())
}

// TestExtraBytes: bytes that follow a complete response are never taken for the
// response to the next request, whether they arrive with the first response or
// later, and whether or not they are HTTP.
func TestExtraBytes(t *testing.T) {
	for name, extra := range map[string]func(c net.Conn, id string){
		"with the response": func(c net.Conn, id string) {
			c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 3\r\n\r\nbad"))
		},
		"later": func(c net.Conn, id string) {
			time.Sleep(20 * time.Millisecond)
			c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 3\r\n\r\nbad"))
		},
		"not HTTP": func(c net.Conn, _ string) { c.Write([]byte("\x00\x01")) },
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := server(t, func(c net.Conn, _ int, r *http.Request) {
				id := r.Header.Get("X-Id")
				reply(c, id, "for "+id, "")
				extra(c, id)
			})
			p := pool(t)
			for _, id := range []string{"1", "2", "3"} {
				got, err := send(t, p, address, id)
				require.NoError(t, err)
				require.Equal(t, "for "+id, got)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// TestStrayResponse: a response that carries the ID of another request is
// discarded, and the right one after it is returned.
func TestStrayResponse(t *testing.T) {
	address, conns := server(t, func(c net.Conn, _ int, r *http.Request) {
		reply(c, "another", "stray", "")
		reply(c, r.Header.Get("X-Id"), "mine", "")
	})
	p := pool(t)
	for _, id := range []string{"1", "2"} {
		got, err := send(t, p, address, id)
		require.NoError(t, err)
		require.Equal(t, "mine", got)
	}
	require.EqualValues(t, 2, conns.Load(), "a connection that carried a stray response is not reused")
}

// TestMalformedResponses: a response that is missing, cut off or not HTTP fails
// with an error that leaves open whether the request ran.
func TestMalformedResponses(t *testing.T) {
	for name, response := range map[string]string{
		"nothing":       "",
		"half a head":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\n",
		"no HTTP":       "hello\r\n\r\n",
		"half a body":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf",
		"half a chunk":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"no last chunk": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := server(t, func(c net.Conn, _ int, _ *http.Request) {
				io.WriteString(c, response)
				c.Close()
			})
			_, err := send(t, pool(t), address, "1")
			require.Error(t, err)
			require.True(t, fault.MayHaveRun(err), "%v", err)
		})
	}
}

// TestBodyEndsAtConnectionClose: a body without Content-Length or chunked encoding
// ends, and counts as complete, when the server closes the connection.
func TestBodyEndsAtConnectionClose(t *testing.T) {
	address, conns := server(t, func(c net.Conn, _ int, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nwhole", r.Header.Get("X-Id"))
		c.Close()
	})
	p := pool(t)
	for _, id := range []string{"1", "2"} {
		got, err := send(t, p, address, id)
		require.NoError(t, err)
		require.Equal(t, "whole", got)
	}
	require.EqualValues(t, 2, conns.Load())
}

// TestEarlyResponse: when the server responds before it has read a long request
// body, the connection is not reused, as the rest of the body is still being
// written to it.
func TestEarlyResponse(t *testing.T) {
	address, conns := server(t, func(c net.Conn, _ int, r *http.Request) {
		reply(c, r.Header.Get("X-Id"), "early", "")
		time.Sleep(100 * time.Millisecond)
		io.Copy(io.Discard, r.Body)
	})
	p := pool(t)
	for _, id := range []string{"1", "2"} {
		req := request(id)
		req.Body = []byte(strings.Repeat("x", 8<<20))
		r, err := p.Send(t.Context(), address, req)
		require.NoError(t, err)
		b, err := io.ReadAll(r)
		require.NoError(t, err)
		require.Equal(t, "early", string(b))
		r.Keep()
	}
	require.EqualValues(t, 2, conns.Load())
}

// TestUnreachableSentNothing: a refused connection proves that the request did
// not run.
func TestUnreachableSentNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	_, err = send(t, pool(t), address, "1")
	require.Equal(t, fault.Unreachable, fault.KindOf(err))
	require.False(t, fault.MayHaveRun(err))
}

// TestCancelClosesConnection: cancelling the context closes the connection at
// once, so that the server stops working on the request.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := server(t, func(c net.Conn, _ int, _ *http.Request) {
		c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := pool(t).Send(ctx, address, request("1"))
	require.Equal(t, fault.TimedOut, fault.KindOf(err))
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open 5 s after the request was cancelled")
	}
}

// TestCloseAfterTheEndOfTheBody: a response that is closed takes its connection with it, also
// after its body was read to the end, so that its server stops.
func TestCloseAfterTheEndOfTheBody(t *testing.T) {
	closed := make(chan struct{})
	address, _ := server(t, func(c net.Conn, _ int, r *http.Request) {
		reply(c, r.Header.Get("X-Id"), "no whole answer", "")
		c.Read(make([]byte, 1))
		close(closed)
	})
	p := pool(t)
	r, err := p.Send(t.Context(), address, request("1"))
	require.NoError(t, err)
	_, err = io.ReadAll(r)
	require.NoError(t, err)
	r.Close()
	r.Keep()
	require.False(t, r.Kept())
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open 5 s after the response was closed")
	}
}

// TestKeepAliveTimeout: a connection that the server is about to close, by its
// Keep-Alive timeout, is not reused.
func TestKeepAliveTimeout(t *testing.T) {
	address, conns := server(t, func(c net.Conn, _ int, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
	})
	p := pool(t)
	for _, id := range []string{"1", "2"} {
		_, err := send(t, p, address, id)
		require.NoError(t, err)
		time.Sleep(300 * time.Millisecond)
		p.Sweep()
	}
	require.EqualValues(t, 2, conns.Load())
}

// TestUnnamedRefusalOnUsedConnection: a faulty server writes an earlier refusal once more,
// without the request's ID, on a kept connection, and runs the next request. The refusal
// must not count as that request's, whose caller would be told that it did not run.
func TestUnnamedRefusalOnUsedConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nKeep-Alive: timeout=5\r\n%sContent-Length: 0\r\n\r\n"
	address, _ := server(t, func(c net.Conn, number int, r *http.Request) {
		if number == 1 {
			fmt.Fprintf(c, refusal, "X-Id: "+r.Header.Get("X-Id")+"\r\n")
			return
		}
		fmt.Fprintf(c, refusal, "")
		reply(c, r.Header.Get("X-Id"), "ran", "")
	})
	p := pool(t)
	first, err := p.Send(t.Context(), address, request("1"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, first.Status)
	_, err = io.ReadAll(first)
	require.NoError(t, err)
	first.Keep()
	require.True(t, first.Kept())
	second, err := p.Send(t.Context(), address, request("2"))
	if err == nil {
		require.NotEqual(t, http.StatusServiceUnavailable, second.Status)
		second.Close()
		return
	}
	require.True(t, fault.MayHaveRun(err))
}

// TestUnnamedRefusalOnNewConnection: the first response on a connection can only be to the
// first request, so that a refusal without an ID is taken at its word.
func TestUnnamedRefusalOnNewConnection(t *testing.T) {
	address, _ := server(t, func(c net.Conn, _ int, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	})
	resp, err := pool(t).Send(t.Context(), address, request("1"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.Status)
	resp.Close()
}
