package backend_test

// This file tests late copies of refusals, which bear the ID of the request that was refused.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
)

// refuseThenRun refuses the first request of a connection. It answers each later one with a
// copy of that refusal, and then with the outcome of its run.
func refuseThenRun(c net.Conn, number int, r *http.Request) {
	const refusal = "HTTP/1.1 421 X\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	id := r.Header.Get("X-Id")
	fmt.Fprintf(c, refusal, id)
	if number > 1 {
		reply(c, id, "ran", "")
	}
}

// TestLateCopyOfRefusalIsNoAnswer: a request that was refused goes to the same address again, where
// another name is listed by then. A copy of the refusal that comes late on the connection bears its
// ID. It must not be taken for the answer, as the request runs.
func TestLateCopyOfRefusalIsNoAnswer(t *testing.T) {
	address, conns := server(t, refuseThenRun)
	p := pool(t)
	for attempt := range 2 {
		resp, err := p.Send(t.Context(), address, request("1"))
		require.NoError(t, err)
		require.EqualValues(t, attempt+1, conns.Load(), "each refusal is the first response of its connection")
		require.Equal(t, http.StatusMisdirectedRequest, resp.Status)
		_, err = io.ReadAll(resp)
		require.NoError(t, err)
		resp.Keep()
	}
}

// TestRefusedRequestLeavesConnectionToOthers: the connection of a refusal serves other requests, as
// the ID tells late copies of the refusal from their responses.
func TestRefusedRequestLeavesConnectionToOthers(t *testing.T) {
	address, conns := server(t, func(c net.Conn, number int, r *http.Request) {
		if number == 1 {
			fmt.Fprintf(c, "HTTP/1.1 421 X\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
			return
		}
		reply(c, "1", "copy", "")
		reply(c, r.Header.Get("X-Id"), "mine", "")
	})
	p := pool(t)
	resp, err := p.Send(t.Context(), address, request("1"))
	require.NoError(t, err)
	_, err = io.ReadAll(resp)
	require.NoError(t, err)
	resp.Keep()
	got, err := send(t, p, address, "2")
	require.NoError(t, err)
	require.Equal(t, "mine", got)
	require.EqualValues(t, 1, conns.Load())
}

// TestRequestWithoutIDGetsNewConnection: a response cannot name a request without an ID, so that a
// late one of an earlier request could be taken for its response on a used connection.
func TestRequestWithoutIDGetsNewConnection(t *testing.T) {
	address, conns := server(t, func(c net.Conn, _ int, r *http.Request) {
		reply(c, r.Header.Get("X-Id"), "ok", "")
	})
	p := pool(t)
	for i, id := range []string{"1", "", ""} {
		got, err := send(t, p, address, id)
		require.NoError(t, err)
		require.Equal(t, "ok", got)
		require.EqualValues(t, i+1, conns.Load())
	}
}

// TestConnectionIsReplacedAfterManyRequests: a connection keeps the IDs of its requests. Without a
// limit their memory would grow for as long as it is in use.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	const maxRequests = 512
	address, conns := server(t, func(c net.Conn, _ int, r *http.Request) {
		reply(c, r.Header.Get("X-Id"), "ok", "")
	})
	p := pool(t)
	for i := range maxRequests {
		_, err := send(t, p, address, fmt.Sprint(i))
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, conns.Load())
	_, err := send(t, p, address, "next")
	require.NoError(t, err)
	require.EqualValues(t, 2, conns.Load())
}

// TestNumberOfResponseStays: the number is read after the connection has returned to the pool,
// where another request may be written to it. It must not be that of the other one.
func TestNumberOfResponseStays(t *testing.T) {
	address, _ := server(t, func(c net.Conn, _ int, r *http.Request) {
		reply(c, r.Header.Get("X-Id"), "ok", "")
	})
	p := pool(t)
	first, err := p.Send(t.Context(), address, request("1"))
	require.NoError(t, err)
	_, err = io.ReadAll(first)
	require.NoError(t, err)
	first.Keep()
	_, err = send(t, p, address, "2")
	require.NoError(t, err)
	require.Equal(t, 1, first.Number())
}

// TestBodyOfStrayIsNoResponseToHead: a late copy of a refusal with a body comes where the response
// to a HEAD request is due, which has none. The body must not be read as the response, even if it
// looks like one.
func TestBodyOfStrayIsNoResponseToHead(t *testing.T) {
	const body = "HTTP/1.1 503 X\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n"
	address, _ := server(t, func(c net.Conn, _ int, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprintf(c, "HTTP/1.1 503 X\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	p := pool(t)
	resp, err := p.Send(t.Context(), address, request("1"))
	require.NoError(t, err)
	_, err = io.ReadAll(resp)
	require.NoError(t, err)
	resp.Keep()
	req := request("2")
	req.Method, req.Body = http.MethodHead, nil
	_, err = p.Send(t.Context(), address, req)
	require.Equal(t, fault.WrongFrame, fault.KindOf(err))
}
