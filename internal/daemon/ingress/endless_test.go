package ingress_test

// This file tests responses without end and responses that break off after the
// header was relayed.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// respondBigTruncated sends the header and more of a large body than is buffered, and
// then closes the connection.
func respondBigTruncated(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), 4<<20)
	io.WriteString(c, strings.Repeat("x", 2<<20))
	c.Close()
}

// TestTruncatedLargeBody: a response that breaks off after its header was relayed is
// truncated for the caller too, and the request is not sent again: the caller could
// not receive another response.
func TestTruncatedLargeBody(t *testing.T) {
	e := newTestEnv(t, respondBigTruncated, respondBigTruncated)
	_, _, err := e.do("/read/")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, 1, e.requestCount())
}

// TestEndlessEvent: a stream whose event never ends is cut off, so that it takes a
// bounded amount of memory, and the request goes on at another server.
func TestEndlessEvent(t *testing.T) {
	endless := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: e1\n\nid: 2\ndata: ", r.Header.Get("Id"))
		for {
			if _, err := io.WriteString(c, strings.Repeat("x", 64<<10)); err != nil {
				return
			}
		}
	}
	start := time.Now()
	reached := 0
	for _, responders := range [][]responder{{endless, stream(5, 0)}, {stream(5, 0), endless}} {
		e := newTestEnv(t, responders...)
		_, body, err := e.do("/chat/")
		require.NoError(t, err)
		require.Equal(t, completeStream(5), body)
		reached += e.requestCount()
	}
	require.Equal(t, 3, reached, "one of the two requests reached the endless server first")
	require.Less(t, time.Since(start), 4*time.Second, "an endless event is cut off before the route's timeout")
}
