package ingress_test

// This file tests that a stream goes on only at servers of the version that began it.

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

// versionedStream returns a responder that sends four events after the last one that the caller
// has, each with the version of the server, and then breaks the connection off unless the stream of
// ten events is complete.
func versionedStream(version string) responder {
	const last, atOnce = 10, 4
	return func(c net.Conn, r *http.Request) {
		from := 0
		fmt.Sscanf(r.Header.Get("Last"), "%d", &from)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := from + 1; i <= min(last, from+atOnce); i++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, version)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		if from+atOnce >= last {
			io.WriteString(c, "0\r\n\r\n")
			return
		}
		c.Close()
	}
}

// newVersionEnv returns an instance with a server for each of the given versions, whose stream
// route has a number of attempts.
func newVersionEnv(t *testing.T, attempts int, versions ...string) *testEnv {
	t.Helper()
	e := &testEnv{
		t: t,
	}
	var addresses []string
	for i, version := range versions {
		addresses = append(addresses, e.backend(fmt.Sprintf("b%d", i), versionedStream(version)))
	}
	return e.startVersions(attempts, versions, addresses)
}

// startVersions starts the instance of newVersionEnv, whose list shows the given versions at the addresses.
func (e *testEnv) startVersions(attempts int, versions, addresses []string) *testEnv {
	e.slots, e.versions = 4, versions
	e.retryWindow, e.retryRatio, e.retrySlack = 10*time.Second, 1, 1000
	rules := strings.Replace(ruleTextWithKey(), "kind=stream to=s timeout=2s attempts=2 resume=yes", fmt.Sprintf("kind=stream to=s timeout=2s attempts=%d resume=yes", attempts), 1)
	return e.start(rules, addresses)
}

// versionsIn returns the versions that wrote the events of a stream, each once.
func versionsIn(body string) []string {
	var out []string
	for _, version := range []string{"v1", "v2"} {
		if strings.Contains(body, "data: "+version) {
			out = append(out, version)
		}
	}
	return out
}

// TestBrokenStreamGoesOnAtItsVersion: streams break off midway and the instance resumes them, while
// servers of two versions serve. It guards against an answer with events of both, which do not fit
// together.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	e := newVersionEnv(t, 3, "v1", "v2", "v1", "v2", "v1", "v2")
	complete := 0
	for range 30 {
		_, body, err := e.do("/chat/")
		require.Len(t, versionsIn(body), 1, body)
		if err == nil {
			complete++
		}
	}
	require.GreaterOrEqual(t, complete, 15, "three servers of each version are up, so that nearly all streams can go on")
}

// TestCallerTakesUpStreamAtItsVersion: a stream breaks off, and its caller takes it up again, twice,
// naming the attempt that brought its first event. It guards against events of two versions over
// the attempts of one caller, and against refusing what could go on.
func TestCallerTakesUpStreamAtItsVersion(t *testing.T) {
	e := newVersionEnv(t, 1, "v1", "v2", "v1", "v2")
	complete := 0
	for n := range 30 {
		first := fmt.Sprintf("first%d", n)
		var all strings.Builder
		_, body, err := e.do("/chat/", "Id", first)
		require.Error(t, err, "the stream broke off")
		all.WriteString(body)
		for _, last := range []string{"4", "8"} {
			_, body, err = e.do("/chat/", "Resumes", first, "Last", last)
			all.WriteString(body)
		}
		require.Len(t, versionsIn(all.String()), 1, all.String())
		if err == nil && strings.Contains(body, "id: 10\n") {
			complete++
		}
	}
	require.GreaterOrEqual(t, complete, 15, "two servers of each version are up, so that nearly all streams can go on")
}

// TestStreamBegunAtAServerThatIsBackIsNotMixed guards against a stream with events of two versions after a
// server has gone down and is back with another one, which the list does not show yet: neither does a
// stream of the version in the list go on there, nor one that begins there elsewhere. Requests find the
// server at once.
func TestStreamBegunAtAServerThatIsBackIsNotMixed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	back := l.Addr().String()
	require.NoError(t, l.Close())
	e := &testEnv{
		t: t,
	}
	e.startVersions(3, []string{"v1", "v1", "v1"}, []string{back, e.backend("b1", versionedStream("v1")), e.backend("b2", versionedStream("v1"))})
	take := func(n int) string {
		first := fmt.Sprintf("first%d", n)
		_, body, err := e.do("/chat/", "Id", first)
		if err == nil {
			return body
		}
		last := strings.Count(body, "id: ")
		_, more, _ := e.do("/chat/", "Resumes", first, "Last", fmt.Sprint(last))
		return body + more
	}
	for n := range 10 {
		require.Equal(t, []string{"v1"}, versionsIn(take(n)))
	}
	e.backendAt(back, "back", versionedStream("v2"))
	begun := make(map[string]int)
	for n := range 40 {
		versions := versionsIn(take(100 + n))
		require.Len(t, versions, 1)
		begun[versions[0]]++
		time.Sleep(50 * time.Millisecond)
	}
	require.NotZero(t, begun["v1"])
	require.NotZero(t, begun["v2"], "the server is back")
}

// TestStreamOfUnknownVersionIsRefused: a caller takes up a stream that no instance remembers. While
// servers of two versions serve it is refused as not run and reaches no server; while all have
// one version it goes on, as a restart of all instances must not cost each stream.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	mixed := newVersionEnv(t, 1, "v1", "v2")
	resp, _, err := mixed.do("/chat/", "Resumes", "unknown", "Last", "6")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry"))
	require.Zero(t, mixed.requestCount())
	resp, _, err = mixed.do("/chat/", "Last", "6")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "a caller that names no attempt")
	for _, versions := range [][]string{{"v1", "v1"}, {"", ""}} {
		same := newVersionEnv(t, 1, versions...)
		_, body, err := same.do("/chat/", "Resumes", "unknown", "Last", "6")
		require.NoError(t, err)
		require.Contains(t, body, "id: 10\n")
	}
}
