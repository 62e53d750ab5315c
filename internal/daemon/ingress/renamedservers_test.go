package ingress_test

// This file replays plain servers that crash together and return under other names, while the
// list of servers lags.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/portrange"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// The load of the incident with a tenth of its times: four servers that are away for some 3 s, a
// list that lags 1 to 2 s, 25 requests a second, each sent up to four times while it is refused, and
// a window of 10 s.
const (
	renamedServers   = 4
	renamedWindow    = time.Second
	renamedRatio     = 0.2
	renamedSlack     = 58
	renamedSpan      = 8 * time.Second
	renamedInterval  = time.Second / 250
	renamedTries     = 4
	renamedRetryWait = 20 * time.Millisecond
	renamedWork      = 2 * time.Millisecond
	// usedShare is the part of the budget that an instance is configured with, and deciderShare
	// the part of the slack that the first decider may use. Other instances may use the rest at
	// the same time.
	usedShare    = 0.85
	deciderShare = 0.4
)

// renamedService is a service whose servers return under other names at their addresses.
type renamedService struct {
	t   *testing.T
	e   *testEnv
	rng *rand.Rand

	mu        sync.Mutex
	addresses []string
	names     []string
	started   int
	version   uint64
	listeners []net.Listener
	conns     []map[net.Conn]bool
	// sent holds the times at which callers sent requests, arrivals those at which each request
	// reached a server.
	sent     []time.Duration
	arrivals map[string][]time.Duration
	begin    time.Time
}

// startServer starts a new incarnation of a server.
func (s *renamedService) startServer(i int) {
	l, err := net.Listen("tcp", s.addresses[i])
	if err != nil {
		s.t.Error(err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	s.names[i] = fmt.Sprintf("r%d", s.started)
	s.listeners[i], s.conns[i] = l, make(map[net.Conn]bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[i][c] = true
			name := s.names[i]
			s.mu.Unlock()
			go s.serve(c, name)
		}
	}()
}

func (s *renamedService) serve(c net.Conn, name string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Id")
		s.mu.Lock()
		s.arrivals[id] = append(s.arrivals[id], time.Since(s.begin))
		s.mu.Unlock()
		if r.Header.Get("Server") != name {
			respondOtherServer(c, r)
			continue
		}
		time.Sleep(renamedWork)
		respondOK(c, r)
	}
}

func (s *renamedService) crash(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners[i].Close()
	for c := range s.conns[i] {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// list lists the servers under the names that they have now.
func (s *renamedService) list() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	var rows []*pb.BackendServer
	for i, name := range s.names {
		rows = append(rows, &pb.BackendServer{
			Name:    name,
			Service: "s",
			Slots:   s.e.slots,
			Address: s.addresses[i],
		})
	}
	v := s.e.membership.View().WithTables(s.version, true, rows, s.e.instances)
	s.e.membership.view.Store(v)
	s.e.handler.Placer.Update(v)
}

// random returns a time between two bounds.
func (s *renamedService) random(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// runSeries crashes all servers again and again until the span is over.
func (s *renamedService) runSeries() {
	for time.Since(s.begin) < renamedSpan {
		time.Sleep(s.random(100*time.Millisecond, 600*time.Millisecond))
		var back sync.WaitGroup
		for i := range renamedServers {
			downFor := s.random(250*time.Millisecond, 350*time.Millisecond)
			s.crash(i)
			back.Go(func() {
				time.Sleep(downFor)
				s.startServer(i)
			})
			time.Sleep(s.random(0, 10*time.Millisecond))
		}
		lag := s.random(100*time.Millisecond, 200*time.Millisecond)
		back.Wait()
		time.Sleep(lag)
		s.list()
	}
}

// request sends a request, and again after a refusal, as callers do.
func (s *renamedService) request(path string) {
	for range renamedTries {
		s.mu.Lock()
		s.sent = append(s.sent, time.Since(s.begin))
		s.mu.Unlock()
		if s.e.status(path) != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(renamedRetryWait)
	}
}

// requireBound checks the repeats in each window that begins with one.
func (s *renamedService) requireBound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var repeats []time.Duration
	for _, times := range s.arrivals {
		slices.Sort(times)
		repeats = append(repeats, times[1:]...)
	}
	require.NotEmpty(s.t, repeats)
	slices.Sort(repeats)
	slices.Sort(s.sent)
	count := func(times []time.Duration, from time.Duration) int {
		first, _ := slices.BinarySearch(times, from)
		end, _ := slices.BinarySearch(times, from+renamedWindow)
		return end - first
	}
	for _, from := range repeats {
		requests := max(count(s.sent, from), count(s.sent, from-renamedWindow/2), count(s.sent, from-renamedWindow))
		require.LessOrEqual(s.t, float64(count(repeats, from)), renamedRatio*float64(requests)+deciderShare*renamedSlack, "repeats from %v for %d requests", from, requests)
	}
}

// TestRenamedServersKeepTheRetryBudget: all servers crash again and again, and are back under
// other names that the list has later. Requests for the old names are refused by one server after
// the other. The arrivals beyond the first of each request must stay within the decider's part of the
// retry budget of the service, in any window.
func TestRenamedServersKeepTheRetryBudget(t *testing.T) {
	const seed = 1
	ports, release, err := portrange.New()
	require.NoError(t, err)
	t.Cleanup(release)
	s := &renamedService{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 51)),
		names:     make([]string, renamedServers),
		listeners: make([]net.Listener, renamedServers),
		conns:     make([]map[net.Conn]bool, renamedServers),
		version:   1,
		arrivals:  make(map[string][]time.Duration),
		begin:     time.Now(),
	}
	for i := range renamedServers {
		s.addresses = append(s.addresses, ports.Address("127.0.0.1", i))
	}
	s.e = (&testEnv{
		t:           t,
		slots:       6,
		retryWindow: renamedWindow,
		retryRatio:  usedShare * renamedRatio,
		retrySlack:  usedShare * renamedSlack,
		instances:   []*pb.Instance{{Name: "i"}},
	}).start(ruleTextWithKey(), s.addresses)
	for i := range renamedServers {
		s.startServer(i)
	}
	s.list()
	var load sync.WaitGroup
	load.Go(s.runSeries)
	for n := 0; time.Since(s.begin) < renamedSpan; n++ {
		path := "/book/x"
		if n%4 == 0 {
			path = "/read/x"
		}
		load.Go(func() { s.request(path) })
		time.Sleep(renamedInterval)
	}
	load.Wait()
	for i := range renamedServers {
		s.crash(i)
	}
	s.requireBound()
}
