package ingress_test

// This file tests the record of a stream that begins at another instance after a server of this one has sent
// no more than its header.

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStreamThatBeganAtAnotherInstanceGoesOnAtItsVersion: this instance is cut off from all servers when one of
// them has sent the header of a stream and no event. Another instance brings the caller the first events, from
// a server of another version. It guards against events of two versions when the caller takes the stream
// up here: the record of the attempt that brought no event holds at this instance, which learns of no other.
func TestStreamThatBeganAtAnotherInstanceGoesOnAtItsVersion(t *testing.T) {
	header := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	}
	other := &testEnv{
		t: t,
	}
	other.startVersions(2, []string{"v2"}, []string{other.backend("b0", versionedStream("v2"))})

	first := newStoppableServer(t, respondNotRun)
	full := newStoppableServer(t, respondNotRun)
	third := newStoppableServer(t, respondNotRun)
	servers := []*stoppableServer{first, full, third}
	var cut atomic.Bool
	cutOff := responder(func(c net.Conn, r *http.Request) {
		header(c, r)
		time.Sleep(50 * time.Millisecond)
		for _, s := range servers {
			s.stop()
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		cut.Store(true)
	})
	first.respond.Store(&cutOff)
	addresses := []string{first.address, full.address, third.address}
	e := &testEnv{
		t: t,
	}
	// The other instance goes on with the first four events, and breaks off.
	e.startVersions(3, []string{"v1", "v2"}, addresses[:2]).forwardTo(addresses, other.url)
	begun := ""
	var body string
	require.Eventually(t, func() bool {
		begun = fmt.Sprintf("begun%d", e.requests.Load())
		_, body, _ = e.do("/chat/", "Id", begun)
		return cut.Load()
	}, 5*time.Second, 50*time.Millisecond)
	require.Equal(t, []string{"v2"}, versionsIn(body), "the other instance has served the stream: %q", body)

	// The cut is over.
	goOn := versionedStream("v1")
	first.respond.Store(&goOn)
	for _, s := range servers {
		s.start()
	}
	require.Eventually(t, func() bool { return !e.handler.Forwarding.Monitor.Isolated() }, 5*time.Second, 10*time.Millisecond)
	require.Never(t, func() bool {
		_, more, _ := e.do("/chat/", "Resumes", begun, "Last", "4")
		return len(versionsIn(more)) > 0
	}, time.Second, 100*time.Millisecond, "the stream goes on at a server of the version that did not begin it")
}
