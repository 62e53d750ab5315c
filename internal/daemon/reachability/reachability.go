// Package reachability finds out whether this instance reaches any backend server, and so whether a
// failure is that of a server or its own.
//
// The outcome of every new connection to a server is recorded: whether a byte of a response came
// on it. Before a failure is reported as that of a server, any server has to answer on a
// connection that was opened after it; see Monitor.ServerFailed. An instance that none answers is
// isolated, and asks a few servers at intervals until one does. The decision is package isolation's.
package reachability

// This file defines Monitor.

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/isolation"
)

const (
	// probeStagger is the time after which the next server is asked while the one before has
	// neither answered nor failed.
	probeStagger = 30 * time.Millisecond
	// recheckInterval is the time between two rounds of probes of an isolated instance.
	recheckInterval = 250 * time.Millisecond
)

// errSilent is the failure of a connection on which no response begins.
var errSilent = errors.New("the server accepted a connection and does not answer")

// Config holds the dependencies of a Monitor.
type Config struct {
	// Now is a monotonic clock.
	Now func() time.Duration
	// Answers asks a server, on a new connection, and reports whether it answers. The outcome of
	// the connection is also passed to Record.
	Answers func(s isolation.Server) bool
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
	// lastErr is the last failure of a new connection.
	lastErr error
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

// run probes servers whenever it is woken, and at intervals while the instance is isolated.
func (m *Monitor) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for first := true; m.Isolated() || first && m.failing(); first = false {
			m.probe("")
			select {
			case <-ctx.Done():
				return
			case <-time.After(recheckInterval):
			}
		}
	}
}

// failing reports whether any server has failed since one answered.
func (m *Monitor) failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Failing()
}

// wakeUp makes the loop probe servers.
func (m *Monitor) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
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

// Accepted reports whether servers have lately accepted connections of this instance that they did
// not answer.
func (m *Monitor) Accepted() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Accepted(m.cfg.Now())
}

// Record records what a new connection to a server shows.
func (m *Monitor) Record(o backend.Outcome) {
	switch {
	case m == nil:
	case o.Err == nil:
		m.recordAnswer(o)
	default:
		m.recordFailure(o)
	}
}

func (m *Monitor) recordAnswer(o backend.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.detector.Answered(o.Begun) {
		return
	}
	m.cfg.Logger.WithField("server", o.Address).WithField("isolatedMs", (m.cfg.Now() - m.isolatedAt).Milliseconds()).
		Info("reachability: a backend server answers this instance again; requests are no longer forwarded")
	m.notify(false)
}

// recordFailure records a new connection on which no byte of a response has come. If this instance
// has failed at enough servers, others are asked.
func (m *Monitor) recordFailure(o backend.Outcome) {
	listed := len(m.cfg.Servers())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastErr = o.Err
	m.detector.Failed(isolation.Failure{
		Address:  o.Address,
		Begun:    o.Begun,
		Accepted: o.Opened,
	})
	if !m.detector.Isolated() && m.detector.Suspects(m.cfg.Now(), listed) {
		m.wakeUp()
	}
}

// Silent records a new connection on which a request has long been waiting for the first byte of a
// response. Unless a server has answered since, others are asked: a server may be slow, but an
// instance that is cut off must not wait until its requests time out.
func (m *Monitor) Silent(address string, begun time.Duration) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.detector.AnsweredSince(begun) {
		return
	}
	m.lastErr = errSilent
	m.detector.Failed(isolation.Failure{
		Address:  address,
		Begun:    begun,
		Accepted: true,
	})
	m.wakeUp()
}

// notify calls OnChange. The caller holds mu, so that the calls are in order.
func (m *Monitor) notify(isolated bool) {
	if m.cfg.OnChange != nil {
		m.cfg.OnChange(isolated)
	}
}

// ServerFailed reports whether a failure at the server at address, in an exchange that was begun at
// a time, is the server's. If no server has answered on a connection that was opened since, it first
// asks others than this one: an instance that reaches none of them has itself failed.
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
	case m.detector.AnsweredSince(begun):
		return true, true
	case m.detector.Isolated():
		return true, false
	default:
		return false, true
	}
}

// probe asks a few servers, other than the one at address except, until one answers or all have
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

// probeRound asks one server after the other, and closes round at the end.
func (m *Monitor) probeRound(except string, round chan struct{}) {
	begun := m.cfg.Now()
	listed := m.cfg.Servers()
	answered := m.ask(isolation.Sample(listed, except, isolation.MinFailed))
	m.mu.Lock()
	defer m.mu.Unlock()
	if !answered {
		m.noAnswer(begun, len(listed))
	}
	m.round = nil
	close(round)
}

// ask reports whether one of the servers answers. The next one is asked once the one before has
// failed, or has not answered for probeStagger.
func (m *Monitor) ask(servers []isolation.Server) bool {
	results := make(chan bool, len(servers))
	pending := 0
	for len(servers) > 0 || pending > 0 {
		var next <-chan time.Time
		if len(servers) > 0 {
			s := servers[0]
			servers = servers[1:]
			pending++
			go func() { results <- m.askOne(s) }()
			next = time.After(probeStagger)
		}
		select {
		case answered := <-results:
			if answered {
				return true
			}
			pending--
		case <-next:
		}
	}
	return false
}

// askOne reports whether a server answers.
func (m *Monitor) askOne(s isolation.Server) bool {
	begun := m.cfg.Now()
	if m.cfg.Answers(s) {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// A connection that could not be opened, or was reset, is recorded already, and as begun
	// later.
	m.detector.Failed(isolation.Failure{
		Address:  s.Address,
		Begun:    begun,
		Accepted: true,
	})
	return false
}

// noAnswer records that no server has answered in a round of probes that was begun at a time. The
// caller holds mu.
func (m *Monitor) noAnswer(begun time.Duration, listed int) {
	now := m.cfg.Now()
	if !m.detector.NoAnswer(now, begun, listed) {
		return
	}
	m.isolatedAt = now
	m.cfg.Logger.WithError(m.lastErr).WithField("servers", listed).WithField("accepted", m.detector.Accepted(now)).
		Warn("reachability: this instance reaches no backend server; requests are forwarded to other instances")
	m.wakeUp()
	m.notify(true)
}
