package ingress_test

// This file tests which version is recorded for a stream that another instance serves.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/boottime"
	"camphorspoke/internal/daemon/placer"
)

// stoppableServer is a server at a fixed address that can be stopped and started again.
type stoppableServer struct {
	t       *testing.T
	address string
	// respond serves all requests but those for the server's health.
	respond atomic.Pointer[responder]
	// born is what the server says of its start.
	born birth

	mu       sync.Mutex
	listener net.Listener
}

func newStoppableServer(t *testing.T, respond responder) *stoppableServer {
	t.Helper()
	s := &stoppableServer{
		t:       t,
		address: "127.0.0.1:0",
	}
	s.respond.Store(&respond)
	s.start()
	t.Cleanup(s.stop)
	return s
}

func (s *stoppableServer) start() {
	s.t.Helper()
	l, err := net.Listen("tcp", s.address)
	require.NoError(s.t, err)
	s.address = l.Addr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
}

// serve serves one request of a connection.
func (s *stoppableServer) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method != http.MethodPost {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	(*s.respond.Load())(c, r)
}

// stop ends the listener.
func (s *stoppableServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
}

// TestForwardedStreamIsNotRecordedWithTheVersionOfAnEarlierServer: a server whose version is not known, as it
// has just been down, breaks off a stream before its first event, when this instance is cut off from all
// servers. Another instance serves the stream, at a server of another version. It guards against a record
// of the version of the first server, at which the caller would then go on: the other instance has
// kept its connection open for longer than the list lags, which says nothing of a server.
func TestForwardedStreamIsNotRecordedWithTheVersionOfAnEarlierServer(t *testing.T) {
	var listReadAt atomic.Int64
	clock := boottime.New()
	other := &testEnv{
		t: t,
	}
	other.startVersions(2, []string{"v2"}, []string{other.backend("b0", func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: v2\n\n", r.Header.Get("Id"))
		time.Sleep(100 * time.Millisecond)
		// As if the list had been read three seconds later.
		listReadAt.Store(int64(clock.Now() + 3*time.Second))
		_, _ = io.WriteString(c, "id: 2\ndata: v2\n\nid: 3")
		c.Close()
	})})

	down := newStoppableServer(t, nil)
	full := newStoppableServer(t, respondNotRun)
	third := newStoppableServer(t, respondNotRun)
	addresses := []string{down.address, full.address, third.address}
	e := &testEnv{
		t: t,
	}
	e.startVersions(2, []string{"v1", "v2"}, addresses[:2]).forwardTo(addresses, other.url)
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, stop := placer.New(placer.Config{
		Now:         e.handler.Now,
		LoadBound:   2,
		RetryWindow: e.retryWindow,
		RetryRatio:  e.retryRatio,
		RetrySlack:  e.retrySlack,
		Instance:    "i",
		Logger:      log,
		ListReadAt:  func() time.Duration { return time.Duration(listReadAt.Load()) },
	})
	t.Cleanup(stop)
	p.Update(e.membership.View())
	e.handler.Placer = p

	// The server goes down with a request, while the others answer.
	goDown := make(chan struct{})
	crash := responder(func(c net.Conn, _ *http.Request) {
		down.stop()
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		close(goDown)
	})
	down.respond.Store(&crash)
	_, _, _ = e.do("/chat/")
	<-goDown
	time.Sleep(50 * time.Millisecond)

	// It is back. With the next request this instance is cut off from all servers.
	var cut atomic.Bool
	cutOff := responder(func(c net.Conn, _ *http.Request) {
		for _, s := range []*stoppableServer{down, full, third} {
			s.stop()
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		cut.Store(true)
	})
	down.respond.Store(&cutOff)
	down.start()
	begun := ""
	var body string
	require.Eventually(t, func() bool {
		begun = fmt.Sprintf("begun%d", e.requests.Load())
		_, body, _ = e.do("/chat/", "Id", begun)
		return cut.Load()
	}, 10*time.Second, 100*time.Millisecond)
	require.Equal(t, []string{"v2"}, versionsIn(body), "the other instance has served the stream: %q", body)

	// The cut is over.
	goOn := versionedStream("v1")
	down.respond.Store(&goOn)
	for _, s := range []*stoppableServer{down, full, third} {
		s.start()
	}
	require.Eventually(t, func() bool { return !e.handler.Forwarding.Monitor.Isolated() }, 5*time.Second, 10*time.Millisecond)
	// A list that was read later names the version of the server that has been down.
	require.Eventually(t, func() bool {
		_, body, _ := e.do("/chat/")
		return len(versionsIn(body)) > 0
	}, 5*time.Second, 50*time.Millisecond)
	listReadAt.Store(int64(clock.Now() + time.Minute))
	time.Sleep(300 * time.Millisecond)
	require.Never(t, func() bool {
		_, more, _ := e.do("/chat/", "Resumes", begun, "Last", "2")
		return len(versionsIn(more)) > 0
	}, time.Second, 100*time.Millisecond, "the stream goes on at a server of the version that did not begin it")
}
