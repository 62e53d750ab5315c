package backend_test

// This file tests the checks of a server by which an instance finds out whose failure it has met.

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/edge/backend"
)

// TestAccepts: a server that accepts connections is told from one that has gone down. The connection
// of the check is not used for a request: one that is accepted may still be reset, and the
// request would be lost.
func TestAccepts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := pool(t)
	require.True(t, p.Accepts(l.Addr().String()))
	checked, err := l.Accept()
	require.NoError(t, err)
	n, err := checked.Read(make([]byte, 1))
	require.Zero(t, n)
	require.ErrorIs(t, err, io.EOF)
	l.Close()
	require.False(t, p.Accepts(l.Addr().String()))
}

// TestProbeIsAnsweredByAnyStatus: whatever a server answers shows that it is reached. The connection
// serves the next request.
func TestProbeIsAnsweredByAnyStatus(t *testing.T) {
	for _, status := range []string{"200 OK", "404 X", "503 X"} {
		address, connections := server(t, func(c net.Conn, _ int, r *http.Request) {
			if r.URL.Path == "/health" {
				io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
				return
			}
			reply(c, r.Header.Get("X-Id"), "b", "")
		})
		p := pool(t)
		require.True(t, p.Probe(address, "/health"))
		body, err := send(t, p, address, "1")
		require.NoError(t, err)
		require.Equal(t, "b", body)
		require.EqualValues(t, 1, connections.Load())
	}
}

// TestProbeOfAServiceWithoutHealthCheckRunsNothing: a server gets a request that asks for nothing.
func TestProbeOfAServiceWithoutHealthCheckRunsNothing(t *testing.T) {
	var asked atomic.Value
	address, _ := server(t, func(c net.Conn, _ int, r *http.Request) {
		asked.Store(r.Method + " " + r.RequestURI)
		io.WriteString(c, "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n")
	})
	require.True(t, pool(t).Probe(address, ""))
	require.Equal(t, "OPTIONS *", asked.Load())
}

// TestLateCopyOfAnAnswerToAProbeIsNoResponse: a server answers a probe once more, late, as the next
// request waits on the connection. The copy, which may promise that nothing ran, is not taken
// for the response to that request.
func TestLateCopyOfAnAnswerToAProbeIsNoResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	address, _ := server(t, func(c net.Conn, _ int, _ *http.Request) { io.WriteString(c, refusal) })
	p := pool(t)
	require.True(t, p.Probe(address, "/health"))
	_, err := p.Send(t.Context(), address, request("1"))
	require.Error(t, err)
}

// TestConnectionThatIsAcceptedAndResetIsNoAnswer: only a byte of a response shows that a server is
// reached.
func TestConnectionThatIsAcceptedAndResetIsNoAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	p := pool(t)
	var outcomes []backend.Outcome
	p.OnConnection = func(o backend.Outcome) { outcomes = append(outcomes, o) }
	address := l.Addr().String()
	require.False(t, p.Probe(address, "/health"))
	_, err = p.Send(t.Context(), address, request("1"))
	require.Error(t, err)
	require.Len(t, outcomes, 2)
	for _, o := range outcomes {
		require.Equal(t, address, o.Address)
		require.True(t, o.Opened)
		require.Error(t, o.Err)
	}
}

// TestSilenceIsReported: a request waits on a new connection, and no byte of a response comes. That is
// reported long before the request times out. A connection on which a response has come is not
// reported, as it proves nothing of new ones.
func TestSilenceIsReported(t *testing.T) {
	const late = 700 * time.Millisecond
	var slow atomic.Bool
	address, connections := server(t, func(c net.Conn, _ int, r *http.Request) {
		if slow.Load() {
			time.Sleep(late)
		}
		reply(c, r.Header.Get("X-Id"), "b", "")
	})
	p := pool(t)
	var silent atomic.Int32
	p.OnSilence = func(got string, _ time.Duration) {
		if got == address {
			silent.Add(1)
		}
	}
	_, err := send(t, p, address, "1")
	require.NoError(t, err)
	slow.Store(true)
	_, err = send(t, p, address, "2")
	require.NoError(t, err)
	require.EqualValues(t, 1, connections.Load())
	require.Zero(t, silent.Load())
	p.Close()
	_, err = send(t, p, address, "3")
	require.NoError(t, err)
	require.EqualValues(t, 2, connections.Load())
	require.EqualValues(t, 1, silent.Load())
}
