package ingress_test

// This file tests refused requests that go to the same address again.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// copyDelay is how late the copy of a refusal comes, runTime how long a run takes.
	copyDelay = 5 * time.Millisecond
	runTime   = 40 * time.Millisecond
	// copiedRequests is the number of requests of a test.
	copiedRequests = 60
)

// copyingServer refuses the first attempt of each request at its address and runs each later
// one. On the connection of a refusal it writes the refusal once more while the next request
// runs there.
type copyingServer struct {
	runs *runLog

	mu      sync.Mutex
	refused map[string]bool
	// copies holds the refusal to repeat on a connection.
	copies map[net.Conn]string
}

// runLog counts the runs of each request at all servers.
type runLog struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *runLog) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func newCopyingServer(runs *runLog) *copyingServer {
	return &copyingServer{
		runs:    runs,
		refused: make(map[string]bool),
		copies:  make(map[net.Conn]string),
	}
}

func (s *copyingServer) respond(c net.Conn, r *http.Request) {
	id := r.Header.Get("Id")
	s.mu.Lock()
	known, copied := s.refused[id], s.copies[c]
	s.refused[id] = true
	delete(s.copies, c)
	s.mu.Unlock()
	if !known {
		refusal := fmt.Sprintf("HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n", id)
		s.mu.Lock()
		s.copies[c] = refusal
		s.mu.Unlock()
		io.WriteString(c, refusal)
		return
	}
	s.runs.add(id)
	time.Sleep(copyDelay)
	io.WriteString(c, copied)
	time.Sleep(runTime)
	respondOK(c, r)
}

// TestRefusedRequestAtOneAddressRunsOnce: a request that must run once is refused and goes to the
// same address again, where another name is listed too. A late copy of the refusal bears its ID.
// If it counted as the answer, its caller would be told that it did not run.
func TestRefusedRequestAtOneAddressRunsOnce(t *testing.T) {
	runs := &runLog{
		runs: make(map[string]int),
	}
	e := &testEnv{
		t:     t,
		slots: 8,
	}
	renamed := e.backend("renamed", newCopyingServer(runs).respond)
	e.start(ruleTextWithKey(), []string{renamed, renamed})
	refusedThoughRun := 0
	for i := range copiedRequests {
		id := fmt.Sprintf("copied-%d", i)
		status := e.status("/book/x", "Id", id)
		if status == http.StatusServiceUnavailable && runs.count(id) > 0 {
			refusedThoughRun++
		}
	}
	require.Zero(t, refusedThoughRun, "requests that were refused as not run, and ran")
}

const (
	// loadCallers callers send callerRequests requests each, one after the other.
	loadCallers    = 24
	callerRequests = 60
	// refusalDivisor and copyDivisor give the shares of requests that are refused and of
	// refusals that are not copied, maxCopyDelay and maxRun the longest delay of a copy and
	// time of a run.
	refusalDivisor = 2
	copyDivisor    = 4
	maxCopyDelay   = 12 * time.Millisecond
	maxRun         = 8 * time.Millisecond
)

// refusingServer refuses a part of its requests. It writes most refusals once more at a random
// time, before, between or after the responses to other requests of the connection.
type refusingServer struct {
	runs *runLog

	mu sync.Mutex
	// writing holds a lock for each connection, as copies are written beside responses.
	writing map[net.Conn]*sync.Mutex
}

func (s *refusingServer) respond(c net.Conn, r *http.Request) {
	id := r.Header.Get("Id")
	if rand.N(refusalDivisor) > 0 {
		s.runs.add(id)
		time.Sleep(rand.N(maxRun))
		s.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok", id))
		return
	}
	refusal := fmt.Sprintf("HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n", id)
	s.write(c, refusal)
	if rand.N(copyDivisor) > 0 {
		time.AfterFunc(rand.N(maxCopyDelay), func() { s.write(c, refusal) })
	}
}

// write writes a response to a connection, not amid another one.
func (s *refusingServer) write(c net.Conn, text string) {
	s.mu.Lock()
	l := s.writing[c]
	if l == nil {
		l = &sync.Mutex{}
		s.writing[c] = l
	}
	s.mu.Unlock()
	l.Lock()
	defer l.Unlock()
	_, _ = io.WriteString(c, text)
}

// TestLateCopiesUnderLoad: many callers at once send requests that must run once to two servers,
// each listed under three names, which copy refusals late. A copy that counted as the answer to
// the same request would make it run twice, or be refused as not run although it ran.
func TestLateCopiesUnderLoad(t *testing.T) {
	runs := &runLog{
		runs: make(map[string]int),
	}
	s := &refusingServer{
		runs:    runs,
		writing: make(map[net.Conn]*sync.Mutex),
	}
	e := &testEnv{
		t:     t,
		slots: 32,
	}
	a, b := e.backend("a", s.respond), e.backend("b", s.respond)
	e.start(ruleTextWithKey(), []string{a, a, a, b, b, b})
	var refusedThoughRun, twice, served atomic.Int32
	var wg sync.WaitGroup
	for n := range loadCallers {
		wg.Go(func() {
			for i := range callerRequests {
				id := fmt.Sprintf("%d-%d", n, i)
				resp, _, err := e.do("/book/x", "Id", id)
				switch {
				case err != nil:
				case resp.StatusCode == http.StatusOK:
					served.Add(1)
				case resp.StatusCode == http.StatusServiceUnavailable && runs.count(id) > 0:
					refusedThoughRun.Add(1)
				}
				if runs.count(id) > 1 {
					twice.Add(1)
				}
			}
		})
	}
	wg.Wait()
	require.Positive(t, served.Load())
	require.Zero(t, refusedThoughRun.Load(), "requests that were refused as not run, and ran")
	require.Zero(t, twice.Load(), "requests that ran twice")
}
