package ingress_test

// This file tests the requests of an instance whose connections to all servers are accepted, and
// then reset or left without an answer, while other instances reach the servers.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reset ends a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// acceptedCuts are what becomes of a new connection to a server that is accepted and not answered.
var acceptedCuts = map[string]func(net.Conn){
	"reset at once":              reset,
	"reset after 150 ms":         func(c net.Conn) { time.Sleep(150 * time.Millisecond); reset(c) },
	"reset once a byte has come": func(c net.Conn) { _, _ = c.Read(make([]byte, 1)); reset(c) },
	"closed in order":            func(c net.Conn) { _, _ = io.CopyN(io.Discard, c, 1); c.Close() },
	"silent":                     func(c net.Conn) { _, _ = io.Copy(io.Discard, c); c.Close() },
}

// cutSwitch is the way to a number of servers. While it is cut, new connections meet what the cut
// does; those that were open before live on.
type cutSwitch struct {
	cut       atomic.Pointer[func(net.Conn)]
	mu        sync.Mutex
	requests  []string
	addresses []string
}

// newCutSwitch returns the way to n servers.
func newCutSwitch(t *testing.T, n int, respond responder) *cutSwitch {
	t.Helper()
	s := &cutSwitch{}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		s.addresses = append(s.addresses, l.Addr().String())
		go s.accept(l, respond)
	}
	return s
}

func (s *cutSwitch) accept(l net.Listener, respond responder) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if cut := s.cut.Load(); cut != nil {
			go (*cut)(c)
			continue
		}
		go s.serve(c, respond)
	}
}

func (s *cutSwitch) serve(c net.Conn, respond responder) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			s.mu.Lock()
			s.requests = append(s.requests, r.URL.Path)
			s.mu.Unlock()
		}
		respond(c, r)
	}
}

// count returns the number of requests that the servers have received, without probes.
func (s *cutSwitch) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// newSwitchedEnv returns an instance before the servers of a switch, of which it uses one or all.
func newSwitchedEnv(t *testing.T, s *cutSwitch, used int, others ...string) *testEnv {
	t.Helper()
	e := &testEnv{
		t:     t,
		slots: 4,
	}
	return e.start(ruleTextWithKey(), s.addresses[:used]).forwardTo(s.addresses, others...)
}

// TestCallersOfInstanceWhoseConnectionsToServersAreResetAreServed: all connections of an instance to
// servers are accepted, and then reset or left without an answer. Its callers are served by another
// instance; only requests that were sent before it found out are lost, and they are not promised
// as not run. Before, an accepted connection counted as proof that a server is reached, and
// nearly all requests failed as long as the cut lasted.
func TestCallersOfInstanceWhoseConnectionsToServersAreResetAreServed(t *testing.T) {
	const requests = 20
	for name, cut := range acceptedCuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := newTestEnv(t, respondOK, respondOK)
			s := newCutSwitch(t, cutServers, respondOK)
			s.cut.Store(&cut)
			e := newSwitchedEnv(t, s, cutServers, other.url)
			lost := 0
			for i := range requests {
				status := e.status([]string{"/book/", "/read/"}[i%2])
				if status == http.StatusOK {
					continue
				}
				lost++
				require.Equal(t, http.StatusBadGateway, status)
			}
			require.LessOrEqual(t, lost, 1)
			require.True(t, e.handler.Forwarding.Monitor.Isolated())
			require.Equal(t, requests-lost, other.requestCount())
		})
	}
}

// TestFewRequestsOfAnInstanceAreLostAtTheBeginOfACut: many requests at a time meet the begin of a cut,
// and more come all the time. From the stable window of the users' deployments on they are all served, also
// where connections from before the cut live on.
func TestFewRequestsOfAnInstanceAreLostAtTheBeginOfACut(t *testing.T) {
	const (
		atATime      = 4
		rounds       = 90
		pause        = 50 * time.Millisecond
		stableWindow = 3 * time.Second
	)
	for name, cut := range acceptedCuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := newTestEnv(t, respondOK, respondOK)
			s := newCutSwitch(t, cutServers, respondOK)
			e := newSwitchedEnv(t, s, cutServers, other.url)
			require.Equal(t, http.StatusOK, e.status("/book/"))
			s.cut.Store(&cut)
			begun := time.Now()
			var wg sync.WaitGroup
			var lateLost atomic.Int32
			for range rounds {
				for range atATime {
					wg.Go(func() {
						late := time.Since(begun) > stableWindow
						resp, _, err := e.do("/book/")
						if late && (err != nil || resp.StatusCode != http.StatusOK) {
							lateLost.Add(1)
						}
					})
				}
				time.Sleep(pause)
			}
			wg.Wait()
			require.Zero(t, lateLost.Load())
		})
	}
}

// TestServersAreNotBlamedByInstanceWhoseConnectionsAreReset: an instance whose connections are reset does
// not report its failures as those of servers. Once the cut ends, it sends requests to them at once.
func TestServersAreNotBlamedByInstanceWhoseConnectionsAreReset(t *testing.T) {
	other := newTestEnv(t, respondOK)
	for name, cut := range acceptedCuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCutSwitch(t, cutServers, respondOK)
			s.cut.Store(&cut)
			e := newSwitchedEnv(t, s, 1, other.url)
			for range 5 {
				e.status("/book/")
			}
			require.True(t, e.handler.Forwarding.Monitor.Isolated())
			s.cut.Store(nil)
			require.Eventually(t, func() bool { return !e.handler.Forwarding.Monitor.Isolated() }, 2*time.Second, time.Millisecond)
			before := s.count()
			require.Equal(t, http.StatusOK, e.status("/book/"))
			require.Equal(t, before+1, s.count())
		})
	}
}

// TestServerThatBreaksConnectionsIsNoIsolation: one server accepts connections and resets them, and the
// others answer. The failure is that server's: nothing is forwarded.
func TestServerThatBreaksConnectionsIsNoIsolation(t *testing.T) {
	for name, cut := range acceptedCuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := newTestEnv(t, respondOK)
			broken := newCutSwitch(t, 1, respondOK)
			broken.cut.Store(&cut)
			s := newCutSwitch(t, cutServers-1, respondOK)
			s.addresses = append(s.addresses, broken.addresses...)
			e := newSwitchedEnv(t, s, cutServers, other.url)
			for range 10 {
				e.status("/read/")
				require.False(t, e.handler.Forwarding.Monitor.Isolated())
			}
			require.Zero(t, other.requestCount())
		})
	}
}

// TestOverloadedServersAreStillTried: all servers accept connections and answer late, as when they are
// overloaded, which looks the same to all instances. No instance takes the requests of another
// one, and they are not refused for it.
func TestOverloadedServersAreStillTried(t *testing.T) {
	s := newCutSwitch(t, cutServers, func(c net.Conn, r *http.Request) {
		time.Sleep(time.Second)
		respondOK(c, r)
	})
	e := newSwitchedEnv(t, s, cutServers)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { require.Equal(t, http.StatusOK, e.status("/book/")) })
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
}
