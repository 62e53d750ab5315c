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

// TestSlowSoundStream: a stream whose events come slowly is not cut off while it ends
// within the route's timeout.
func TestSlowSoundStream(t *testing.T) {
	slow := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := 1; i <= 4; i++ {
			time.Sleep(300 * time.Millisecond)
			event := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		io.WriteString(c, "0\r\n\r\n")
	}
	e := newTestEnv(t, slow)
	_, body, err := e.do("/chat/")
	require.NoError(t, err)
	require.Equal(t, completeStream(4), body)
	require.Equal(t, 1, e.requestCount())
}

// TestDrippingStream: a stream that sends a byte now and then, but no event, ends at the
// route's timeout and does not look complete.
func TestDrippingStream(t *testing.T) {
	dripping := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		event := "id: 1\ndata: e1\n\n"
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		for {
			if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	e := newTestEnv(t, dripping)
	start := time.Now()
	_, body, err := e.do("/once/")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, completeStream(1), body)
	require.Less(t, time.Since(start), 2500*time.Millisecond, "ends within 500 ms after the route's timeout")
}
