package ingress_test

// This file tests refused requests that go to the same address again.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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
// If it counted as the answer, the request would run at another server as well, or its caller
// would be told that it did not run.
func TestRefusedRequestAtOneAddressRunsOnce(t *testing.T) {
	for name, othersListed := range map[string]int{
		"no other server": 0,
		"another server":  1,
	} {
		t.Run(name, func(t *testing.T) { testRunsOnceAtOneAddress(t, othersListed) })
	}
}

func testRunsOnceAtOneAddress(t *testing.T, others int) {
	runs := &runLog{
		runs: make(map[string]int),
	}
	e := &testEnv{
		t:     t,
		slots: 8,
	}
	renamed := e.backend("renamed", newCopyingServer(runs).respond)
	addresses := []string{renamed, renamed}
	for range others {
		addresses = append(addresses, e.backend("other", func(c net.Conn, r *http.Request) {
			runs.add(r.Header.Get("Id"))
			time.Sleep(runTime)
			respondOK(c, r)
		}))
	}
	e.start(ruleTextWithKey(), addresses)
	var refusedThoughRun, twice int
	for i := range copiedRequests {
		id := fmt.Sprintf("copied-%d", i)
		status := e.status("/book/x", "Id", id)
		if status == http.StatusServiceUnavailable && runs.count(id) > 0 {
			refusedThoughRun++
		}
		if runs.count(id) > 1 {
			twice++
		}
	}
	require.Zero(t, refusedThoughRun, "requests that were refused as not run, and ran")
	require.Zero(t, twice, "requests that ran twice")
}
