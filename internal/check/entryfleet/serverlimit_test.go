package entryfleet

// This file tests backend servers that name a limit: how many requests a second they take
// from all instances together.

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// limitPerSecond is the limit that a server names. From limitSettles after it first did
	// so, at most maxInLimitWindow requests may arrive in each limitWindow: one and a half
	// times what it allows, and 5.
	limitPerSecond   = 8.0
	limitSettles     = 4 * time.Second
	limitWindow      = 4 * time.Second
	maxInLimitWindow = 1.5*4*limitPerSecond + 5
	// limitWork is how long a server works on a request, limitPace the time between two
	// requests of callers.
	limitWork = 60 * time.Millisecond
	limitPace = 12500 * time.Microsecond
	// refusedShare is the number of requests of which a server that names a limit refuses one.
	refusedShare = 25
)

// limitedServer is a plain backend server that names a limit in all its answers, refusals
// too, while naming is true. It notes what arrives and what runs.
type limitedServer struct {
	id     string
	naming atomic.Bool
	server *httptest.Server

	mu       sync.Mutex
	named    time.Time
	arrivals []time.Time
	ran      map[string]bool
}

func newLimitedServer(t *testing.T, id string) *limitedServer {
	t.Helper()
	s := &limitedServer{
		id:  id,
		ran: make(map[string]bool),
	}
	s.server = httptest.NewServer(s)
	t.Cleanup(s.server.Close)
	return s
}

func (s *limitedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	naming := s.naming.Load()
	refused := s.note(id, naming)
	w.Header().Set("X-Attempt-Id", id)
	if naming {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limitPerSecond, 'f', 1, 64))
	}
	if refused {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(limitWork)
	w.Header().Set("X-Response-Signature", "signed")
	io.WriteString(w, "served")
}

// note records the arrival of a request and reports whether it is refused.
func (s *limitedServer) note(id string, naming bool) (refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.arrivals = append(s.arrivals, now)
	if naming && s.named.IsZero() {
		s.named = now
	}
	refused = naming && len(s.arrivals)%refusedShare == 0
	s.ran[id] = s.ran[id] || !refused
	return refused
}

// arrivedIn returns the number of requests that arrived in a span of time.
func (s *limitedServer) arrivedIn(from, until time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// mostInWindow returns the largest number of requests that arrived in a window of
// limitWindow that begins limitSettles after the server first named its limit, or later, and
// ends by the given time, and the number of windows.
func (s *limitedServer) mostInWindow(until time.Time) (most, windows int) {
	s.mu.Lock()
	begins, first := slices.Clone(s.arrivals), s.named.Add(limitSettles)
	s.mu.Unlock()
	for _, begin := range begins {
		end := begin.Add(limitWindow)
		if begin.Before(first) || end.After(until) {
			continue
		}
		windows++
		most = max(most, s.arrivedIn(begin, end))
	}
	return most, windows
}

// deciderHook notes the instance that decided on the last request.
type deciderHook struct {
	last atomic.Value
}

func (h *deciderHook) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

func (h *deciderHook) Fire(e *logrus.Entry) error {
	if name, ok := e.Data["decider"].(string); ok && e.Data["outcome"] == "done" {
		h.last.Store(name)
	}
	return nil
}

// limitedFleet is a fleet with three plain servers, and the callers' requests to it.
type limitedFleet struct {
	*fleet

	servers  []*limitedServer
	deciders deciderHook
	// stopped is the instance to which no requests are sent; zero for none.
	stopped atomic.Int32
	sent    int
	wg      sync.WaitGroup

	mu sync.Mutex
	// outcomes counts the requests by status, refused holds the ids that got 503, and
	// unserved those that got neither success nor a 503 with a time to retry after.
	outcomes map[int]int
	refused  []string
	unserved []string
}

func newLimitedFleet(t *testing.T) *limitedFleet {
	t.Helper()
	l := &limitedFleet{
		outcomes: make(map[int]int),
	}
	var entries []string
	for n := range 3 {
		s := newLimitedServer(t, fmt.Sprintf("app-%d", n))
		l.servers = append(l.servers, s)
		entries = append(entries, fmt.Sprintf(`{"service":"app","address":%q,"zone":"a","slots":8,"state":"ready","id":%q,"version":"v1","coldMs":0}`, strings.TrimPrefix(s.server.URL, "http://"), s.id))
	}
	l.fleet = newFleetOf(t, entries...)
	l.log.AddHook(&l.deciders)
	l.requireAccepted(1, 7, "k1")
	for i := 1; i <= 3; i++ {
		l.requireServes(i, "k1")
	}
	return l
}

// load sends requests to all instances but the stopped one for a time.
func (l *limitedFleet) load(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(limitPace) {
		l.sent++
		i := 1 + l.sent%3
		if i == int(l.stopped.Load()) {
			i = 1 + i%3
		}
		id := fmt.Sprintf("e%d-%d", i, l.sent)
		l.wg.Go(func() { l.sendOne(i, id) })
	}
}

// sendOne sends a request to an instance and records how it was answered.
func (l *limitedFleet) sendOne(i int, id string) {
	status, _, header := l.send(i, "/p/x", id, "k1")
	retryAfter := header.Get("Retry-After")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[status]++
	if status == http.StatusServiceUnavailable {
		l.refused = append(l.refused, id)
	}
	if status != http.StatusOK && (status != http.StatusServiceUnavailable || retryAfter == "") && i != int(l.stopped.Load()) {
		l.unserved = append(l.unserved, fmt.Sprintf("%s: %d, Retry-After %q", id, status, retryAfter))
	}
}

// requireLimited checks the arrivals at a server until the end of its limit, and how the
// callers were answered.
func (l *limitedFleet) requireLimited(t *testing.T, s *limitedServer, until time.Time) {
	t.Helper()
	most, windows := s.mostInWindow(until)
	t.Logf("%s: at most %d of %.0f requests in %d windows, outcomes %v", s.id, most, maxInLimitWindow, windows, l.outcomes)
	require.NotZero(t, windows)
	assert.LessOrEqual(t, float64(most), maxInLimitWindow, s.id)
	require.Empty(t, l.unserved)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range l.refused {
		require.False(t, s.ran[id], "%s was refused and ran at %s", id, s.id)
	}
}

// TestServersThatNameALimitGetNoMore: nothing limited what servers get that name a limit,
// over all instances together: one of three servers, also while the instance that decides is
// stopped and started; and all of them, when callers send more than the sum. A server that
// no longer names a limit gets its share again.
func TestServersThatNameALimitGetNoMore(t *testing.T) {
	l := newLimitedFleet(t)
	limited := l.servers[0]
	l.load(500 * time.Millisecond)
	limited.naming.Store(true)
	l.load(limitSettles + time.Second)
	_, gauges := get("http://" + l.addr(1, operatorServicePort) + "/metrics")
	assert.Regexp(t, `camphorspoke_limited_servers\{.*service="app".*\} 1\n`, gauges)
	decider := int(l.deciders.last.Load().(string)[1] - '0')
	l.stopped.Store(int32(decider))
	var restart sync.WaitGroup
	restart.Go(func() {
		l.stop(decider)
		l.start(decider, false)
		l.requireServes(decider, "k1")
		l.stopped.Store(0)
	})
	l.load(limitWindow + 500*time.Millisecond)
	limited.naming.Store(false)
	l.load(3 * time.Second)
	end := time.Now()
	l.load(time.Second)
	share := limited.arrivedIn(end, time.Now())
	t.Logf("%d requests in the fourth second after the limit", share)
	assert.Greater(t, float64(share), 1.5*limitPerSecond)
	restart.Wait()
	l.wg.Wait()
	l.requireLimited(t, limited, end.Add(-3*time.Second))

	for _, s := range l.servers {
		s.mu.Lock()
		s.named = time.Time{}
		s.mu.Unlock()
		s.naming.Store(true)
	}
	l.load(limitSettles + limitWindow + 500*time.Millisecond)
	end = time.Now()
	l.wg.Wait()
	for _, s := range l.servers {
		l.requireLimited(t, s, end)
	}
}
