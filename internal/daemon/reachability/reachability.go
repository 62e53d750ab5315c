// Package reachability finds out whether this instance reaches any backend server, and so whether a
// failure is that of a server or its own.
//
// Every attempt to open a connection to a server is recorded. Before a failure is reported as that of
// a server, a connection has to succeed to any server after it; see Monitor.ServerFailed. An
// instance that fails at all of them is isolated, and tries a few servers at intervals until one
// accepts. The decision is package isolation's.
package reachability

// This file defines Monitor.

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/routing/isolation"
)

const (
	// probeStagger is the time after which the next server is tried while the one before has
	// neither accepted nor refused.
	probeStagger = 30 * time.Millisecond
	// recheckInterval is the time between two tries of an isolated instance.
	recheckInterval = 250 * time.Millisecond
)

// Config holds the dependencies of a Monitor.
type Config struct {
	// Now is a monotonic clock.
	Now func() time.Duration
	// Accepts tries to open a connection to the server at an address. Each try is also passed
	// to Record.
	Accepts func(address string) bool
	// Servers returns the listed servers.
	Servers func() []isolation.Server
	// OnChange is called when the instance has become isolated or is no longer; it may be nil.
	OnChange func(isolated bool)
	Logger   logrus.FieldLogger
}

// Monitor records which servers this instance reaches. A nil Monitor finds no isolation.
type Monitor struct {
	cfg Config
	// wake makes the loop check at once whether the instance is still isolated.
	wake chan struct{}

	mu       sync.Mutex
	detector isolation.Detector
	// isolatedAt is when the instance became isolated, the last time.
	isolatedAt time.Duration
	// round is closed when the probes in progress have ended; nil if there are none.
	round chan struct{}
}

// New returns a running monitor and a function that stops it.
func New(cfg Config) (*Monitor, func()) {
	m := &Monitor{
		cfg:  cfg,
		wake: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { m.run(ctx) })
	return m, func() {
		cancel()
		wg.Wait()
	}
}

// run probes servers at intervals while the instance is isolated.
func (m *Monitor) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for m.Isolated() {
			m.probe("")
			select {
			case <-ctx.Done():
				return
			case <-time.After(recheckInterval):
			}
		}
	}
}

// Isolated reports whether this instance reaches no backend server.
func (m *Monitor) Isolated() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Isolated()
}

// Record records the outcome of an attempt, begun at a time, to open a connection to a server.
func (m *Monitor) Record(address string, begun time.Duration, err error) {
	if m == nil {
		return
	}
	if err == nil {
		m.recordConnected(address, begun)
		return
	}
	listed := len(m.cfg.Servers())
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	if !m.detector.Failed(now, address, listed) {
		return
	}
	m.isolatedAt = now
	m.cfg.Logger.WithError(err).WithField("servers", listed).
		Warn("reachability: this instance reaches no backend server; requests are forwarded to other instances")
	select {
	case m.wake <- struct{}{}:
	default:
	}
	m.notify(true)
}

func (m *Monitor) recordConnected(address string, begun time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.detector.Connected(begun) {
		return
	}
	m.cfg.Logger.WithField("server", address).WithField("isolatedMs", (m.cfg.Now() - m.isolatedAt).Milliseconds()).
		Info("reachability: a backend server accepts connections of this instance again; requests are no longer forwarded")
	m.notify(false)
}

// notify calls OnChange. The caller holds mu, so that the calls are in order.
func (m *Monitor) notify(isolated bool) {
	if m.cfg.OnChange != nil {
		m.cfg.OnChange(isolated)
	}
}

// ServerFailed reports whether a failure at the server at address, in an exchange that was begun at
// a time, is the server's. If no connection to a server was opened since, it first tries others
// than this one: an instance that reaches none of them has itself failed.
func (m *Monitor) ServerFailed(address string, begun time.Duration) bool {
	if m == nil {
		return true
	}
	if decided, failed := m.verdict(begun); decided {
		return failed
	}
	m.probe(address)
	_, failed := m.verdict(begun)
	return failed
}

// verdict returns whether a failure in an exchange that was begun at a time is the server's, and
// whether that is certain.
func (m *Monitor) verdict(begun time.Duration) (decided, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.detector.ConnectedSince(begun):
		return true, true
	case m.detector.Isolated():
		return true, false
	default:
		return false, true
	}
}

// probe tries a few servers, other than the one at address except, until one accepts or all have
// failed. Calls at the same time share one round.
func (m *Monitor) probe(except string) {
	m.mu.Lock()
	round := m.round
	if round == nil {
		round = make(chan struct{})
		m.round = round
		go m.probeRound(except, round)
	}
	m.mu.Unlock()
	<-round
}

// probeRound tries one server after the other, and closes round at the end.
func (m *Monitor) probeRound(except string, round chan struct{}) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.round = nil
		close(round)
	}()
	servers := isolation.Sample(m.cfg.Servers(), except, isolation.MinFailed)
	results := make(chan bool, len(servers))
	pending := 0
	for len(servers) > 0 || pending > 0 {
		var next <-chan time.Time
		if len(servers) > 0 {
			address := servers[0].Address
			servers = servers[1:]
			pending++
			go func() { results <- m.cfg.Accepts(address) }()
			next = time.After(probeStagger)
		}
		select {
		case accepted := <-results:
			if accepted {
				return
			}
			pending--
		case <-next:
		}
	}
}
