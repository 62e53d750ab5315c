package ingress_test

// This file tests answers that a server breaks off at any byte, as their callers see them.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutServer answers every request with text, in which %s stands for the request's ID, up to
// cut bytes, and then closes the connection.
type cutServer struct {
	text string
	cut  atomic.Int64
}

func (s *cutServer) respond(c net.Conn, r *http.Request) {
	text := fmt.Sprintf(s.text, r.Header.Get("Id"))
	io.WriteString(c, text[:min(int(s.cut.Load()), len(text))])
	c.Close()
}

const (
	cutHead   = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n"
	cutEvents = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
)

// chunk returns text as one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestAnswerCutAtAnyByteDoesNotLookWhole: whatever byte a server stops at, in whatever framing,
// its caller gets no success that looks complete and is not.
func TestAnswerCutAtAnyByteDoesNotLookWhole(t *testing.T) {
	for name, c := range map[string]struct {
		path, text, whole string
		// endsAnywhere is true if the end of the connection ends the body.
		endsAnywhere bool
	}{
		"length":            {path: "/book/", text: cutHead + "Content-Length: 5\r\n\r\nwhole", whole: "whole"},
		"empty":             {path: "/book/", text: cutHead + "Content-Length: 0\r\n\r\n"},
		"chunks":            {path: "/book/", text: cutHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("who") + chunk("le") + "0\r\n\r\n", whole: "whole"},
		"connection":        {path: "/book/", text: cutHead + "\r\nwhole", whole: "whole", endsAnywhere: true},
		"stream of length":  {path: "/once/", text: cutHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(cutEvents)) + cutEvents, whole: cutEvents},
		"stream in chunks":  {path: "/once/", text: cutHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(cutEvents[:20]) + chunk(cutEvents[20:]) + "0\r\n\r\n", whole: cutEvents},
		"stream, no length": {path: "/once/", text: cutHead + "\r\n" + cutEvents, whole: cutEvents, endsAnywhere: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &cutServer{
				text: c.text,
			}
			e := newTestEnv(t, s.respond)
			length := len(fmt.Sprintf(c.text, "x1"))
			head := strings.Index(c.text, "\r\n\r\n") + 4
			for n := range length + 1 {
				s.cut.Store(int64(n))
				resp, body, err := e.do(c.path, "Id", "x1")
				if err != nil || resp.StatusCode != http.StatusOK {
					require.Less(t, n, length, "the whole answer was not delivered: %v", err)
					continue
				}
				if !c.endsAnywhere {
					require.Equal(t, length, n)
				}
				require.GreaterOrEqual(t, n, head)
				require.True(t, strings.HasPrefix(c.whole, body), "%q", body)
				if strings.HasPrefix(c.path, "/once") {
					require.True(t, body == "" || strings.HasSuffix(body, "\n\n"), "%q ends inside an event", body)
				}
			}
		})
	}
}

// TestFramedStreamThatEndsInsideAnEvent: a stream whose framing ends properly, but inside an
// event, was broken off. It is resumed where that is allowed; else its caller must not
// take it for complete.
func TestFramedStreamThatEndsInsideAnEvent(t *testing.T) {
	inside := "id: 1\ndata: e1\n\nid: 2\nda"
	for name, body := range map[string]string{
		"chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunk(inside) + "0\r\n\r\n",
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inside), inside),
	} {
		t.Run(name, func(t *testing.T) {
			first := true
			respond := func(c net.Conn, r *http.Request) {
				if r.Header.Get("Last") == "" || !first {
					fmt.Fprintf(c, cutHead+body, r.Header.Get("Id"))
					return
				}
				first = false
				unframedStream(2, 0)(c, r)
			}
			_, got, err := newTestEnv(t, respond, respond).do("/chat/")
			require.NoError(t, err)
			require.Equal(t, completeStream(2), got)
			_, got, err = newTestEnv(t, respond).do("/once/")
			require.Error(t, err, "the caller got %q as complete", got)
			require.Equal(t, completeStream(1), got)
		})
	}
}

// TestBlankLineAfterTheLastEvent: an engine ends its stream with one more blank line, in a chunk of
// its own. No event is cut by that: the stream was broken off at the caller, or resumed, as if
// it had ended inside an event.
func TestBlankLineAfterTheLastEvent(t *testing.T) {
	for _, blank := range []string{"\n", "\r\n"} {
		e := newTestEnv(t, func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			for _, part := range []string{"id: 1\ndata: a\n\n", blank} {
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
				time.Sleep(50 * time.Millisecond)
			}
			io.WriteString(c, "0\r\n\r\n")
		})
		resp, body, err := e.do("/once/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "id: 1\ndata: a\n\n"+blank, body)
		require.Equal(t, 1, e.requestCount())
	}
}
