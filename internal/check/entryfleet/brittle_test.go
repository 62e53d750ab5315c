package entryfleet

// This file tests backend servers that fall over if they refuse too much.

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// fragileSlots requests run at a time at a server, and fragileRoom others may wait.
	fragileSlots = 4
	fragileRoom  = 2
	// fragileRefusals is how many refusals in a second a server bears, and fallTime how long it is
	// away once it has fallen over.
	fragileRefusals = 3
	fallTime        = 2 * time.Second
	fragileWork     = 70 * time.Millisecond
	fragileServers  = 3
	// fragileSettles is the time from the first answer that says so until fewer may wait.
	fragileSettles = 3 * time.Second
	// maxFragileFalls is what the rule allows: 2, and a tenth of the servers.
	maxFragileFalls = 2 + fragileServers/10
	// fragilePace is the time between two requests, at twice what the servers do.
	fragilePace = fragileWork / (2 * fragileSlots * fragileServers)
)

// fragileServer is a plain backend server that falls over if it refuses too much.
type fragileServer struct {
	id     string
	server *httptest.Server
	slots  chan struct{}
	held   atomic.Int32

	mu sync.Mutex
	// since is when it first said that it is brittle.
	since     time.Time
	downUntil time.Time
	refusals  []time.Time
	falls     int
	served    int
}

func newFragileServer(t *testing.T, id string) *fragileServer {
	t.Helper()
	s := &fragileServer{
		id:    id,
		slots: make(chan struct{}, fragileSlots),
	}
	s.server = httptest.NewServer(s)
	t.Cleanup(s.server.Close)
	return s
}

func (s *fragileServer) entry() string {
	return fmt.Sprintf(`{"service":"app","address":%q,"zone":"a","slots":%d,"state":"ready","id":%q,"version":"v1","coldMs":0}`, strings.TrimPrefix(s.server.URL, "http://"), fragileSlots, s.id)
}

func (s *fragileServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held := s.held.Add(1)
	defer s.held.Add(-1)
	down, refused := s.note(held)
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("Server-Brittle", fmt.Sprint(fragileRefusals))
	if refused {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.slots <- struct{}{}
	time.Sleep(fragileWork)
	<-s.slots
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", "signed")
	io.WriteString(w, "served")
}

// note records an arrival while a number of requests are held, and reports whether the server is down and
// whether it refuses the request.
func (s *fragileServer) note(held int32) (down, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.since.IsZero() {
		s.since = now
	}
	if now.Before(s.downUntil) {
		return true, false
	}
	if now.Sub(s.since) < fragileSettles || held <= fragileSlots+fragileRoom {
		s.served++
		return false, false
	}
	s.refusals = slices.DeleteFunc(append(s.refusals, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(s.refusals) > fragileRefusals {
		s.falls++
		s.refusals, s.downUntil = nil, now.Add(fallTime)
	}
	return false, true
}

func (s *fragileServer) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

// TestBrittleServersOfAFleetDoNotFallOver: callers send twice what three brittle servers can do, at all of
// three instances, and the instance that decides is stopped and started meanwhile. Servers refuse what they
// have no room for and fall over if that is too much, one after the other, unless they get less.
func TestBrittleServersOfAFleetDoNotFallOver(t *testing.T) {
	var servers []*fragileServer
	var entries []string
	for n := range fragileServers {
		s := newFragileServer(t, fmt.Sprintf("app-%d", n))
		servers = append(servers, s)
		entries = append(entries, s.entry())
	}
	f := newFleetOf(t, entries...)
	deciders := &deciderHook{}
	f.log.AddHook(deciders)
	f.requireAccepted(1, 7, "k1")
	for i := 1; i <= 3; i++ {
		f.requireServes(i, "k1")
	}
	time.Sleep(fragileSettles)
	_, gauges := get("http://" + f.addr(1, operatorServicePort) + "/metrics")
	require.Regexp(t, `camphorspoke_brittle_services\{.*service="app".*\} 1\n`, gauges)
	var wg sync.WaitGroup
	var stopped atomic.Int32
	sent := 0
	load := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(fragilePace) {
			sent++
			i := 1 + sent%3
			if i == int(stopped.Load()) {
				i = 1 + i%3
			}
			id := fmt.Sprintf("e%d-%d", i, sent)
			wg.Go(func() { f.send(i, "/p/x", id, "k1") })
		}
	}
	load(3 * time.Second)
	decider := int(deciders.last.Load().(string)[1] - '0')
	stopped.Store(int32(decider))
	var restart sync.WaitGroup
	restart.Go(func() {
		f.stop(decider)
		f.start(decider, false)
	})
	load(5 * time.Second)
	restart.Wait()
	wg.Wait()
	falls, served := 0, 0
	for _, s := range servers {
		s.mu.Lock()
		falls += s.falls
		served += s.served
		s.mu.Unlock()
	}
	t.Logf("%d falls; %d of %d requests served", falls, served, sent)
	require.LessOrEqual(t, falls, maxFragileFalls)
}
