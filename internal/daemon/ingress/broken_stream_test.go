package ingress_test

// This file tests streams that break off without an error of the connection, and what
// the caller of a begun stream gets when the next server answers with an error.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// unframedStream returns a responder that sends events up to last without a length or
// chunks, and ends the connection after them; if breakAfter is above zero, in the middle
// of the event after that many events.
func unframedStream(last, breakAfter int) responder {
	return func(c net.Conn, r *http.Request) {
		from := 0
		fmt.Sscanf(r.Header.Get("Last"), "%d", &from)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", r.Header.Get("Id"))
		for i := from + 1; i <= last; i++ {
			if breakAfter > 0 && i > from+breakAfter {
				fmt.Fprintf(c, "id: %d\nda", i)
				break
			}
			fmt.Fprintf(c, "id: %d\ndata: e%d\n\n", i, i)
		}
		c.Close()
	}
}

// TestUnframedStream: a stream that ends with its connection, after an event, is complete.
func TestUnframedStream(t *testing.T) {
	e := newTestEnv(t, unframedStream(5, 0))
	_, body, err := e.do("/chat/")
	require.NoError(t, err)
	require.Equal(t, completeStream(5), body)
}

// TestUnframedStreamBreaksInsideEvent: a stream that ends with its connection inside an
// event was broken off. It is resumed, or else must not look complete to its caller.
func TestUnframedStreamBreaksInsideEvent(t *testing.T) {
	for range 4 {
		e := newTestEnv(t, unframedStream(5, 2), unframedStream(5, 4))
		_, body, err := e.do("/chat/")
		require.NoError(t, err)
		require.Equal(t, completeStream(5), body)
	}
	e := newTestEnv(t, unframedStream(5, 2))
	_, body, err := e.do("/once/")
	require.Error(t, err)
	require.Equal(t, completeStream(2), body)
}

// TestErrorAfterBegunStream: a stream has begun and breaks off, and whatever server it is
// sent to next answers with an error. The caller gets the events so far and a broken
// connection, neither the error nor the end of the stream.
func TestErrorAfterBegunStream(t *testing.T) {
	breaks := stream(5, 2)
	for name, next := range map[string]responder{
		"server error":  respondServerError,
		"not run":       respondNotRun,
		"unsigned":      respondUnsigned,
		"closes":        closeConnection,
		"no answer":     neverRespond,
		"client error":  func(c net.Conn, r *http.Request) { respondStatus(c, r, "404 Not Found") },
		"other success": func(c net.Conn, r *http.Request) { respondStatus(c, r, "204 No Content") },
		"resumes":       unframedStream(5, 0),
	} {
		t.Run(name, func(t *testing.T) {
			begun := false
			responder := func(c net.Conn, r *http.Request) {
				if !begun {
					begun = true
					breaks(c, r)
					return
				}
				next(c, r)
			}
			e := newTestEnv(t, responder, responder)
			resp, body, err := e.do("/chat/")
			if name == "resumes" {
				require.NoError(t, err)
				require.Equal(t, completeStream(5), body)
				return
			}
			require.Error(t, err)
			if resp == nil {
				require.Empty(t, body)
				return
			}
			require.Equal(t, completeStream(2), body)
		})
	}
}

func respondStatus(c net.Conn, r *http.Request, status string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Id"))
}

// TestErrorTextIsNotInTheStream reads what the caller's connection carries byte by byte.
func TestErrorTextIsNotInTheStream(t *testing.T) {
	begun := false
	breaks := stream(5, 2)
	responder := func(c net.Conn, r *http.Request) {
		if !begun {
			begun = true
			breaks(c, r)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 500 X\r\nId: %s\r\nSigned: 1\r\nContent-Length: 9\r\n\r\nerrortext", r.Header.Get("Id"))
	}
	e := newTestEnv(t, responder, responder)
	c, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST /chat/ HTTP/1.1\r\nHost: h\r\nId: x1\r\nKey: secret\r\nContent-Length: 0\r\n\r\n")
	raw, _ := io.ReadAll(c)
	require.Equal(t, 1, strings.Count(string(raw), "HTTP/1.1"))
	require.NotContains(t, string(raw), "errortext")
	require.NotContains(t, string(raw), "\r\n0\r\n\r\n")
}
