// Package membership keeps a router's place in the fleet: its lease, its view
// of the tables and the proof that its rules are fresh.
//
// An answer to a heartbeat is taken in one step under one lock, tables first
// and lease last, so no admission ever sees a new lease beside old tables. The
// rules are fresh for FreshFor after a heartbeat was sent that the leader
// answered. When that runs out, the router asks all listed routers; if a
// majority of them, itself counted, answers and none knows a newer version,
// the rules are as fresh as that question. An edit is accepted only once a
// majority of the listed routers holds it, so the two majorities share a
// router and an accepted edit can't be missed.
package membership

// This file defines Agent and its loop.

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/daemon"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/ownership"
	"camphorspoke/internal/routing/view"
)

const (
	// Interval is the time between heartbeats until the leader names another.
	Interval = 250 * time.Millisecond
	// maxInterval is the longest time between heartbeats.
	maxInterval = time.Second
	// lostInterval is the time between heartbeats while none is answered, where
	// the leader alone proves the rules and servers have no owners to wait for.
	lostInterval = 60 * time.Millisecond
	// FreshFor is how long a proof of the rule version counts.
	FreshFor = 2500 * time.Millisecond
	// askAfter is the age of the proof at which the other routers are asked.
	askAfter       = 1500 * time.Millisecond
	askLimit       = 500 * time.Millisecond
	heartbeatLimit = 900 * time.Millisecond
)

// Config names what an Agent works with.
type Config struct {
	Instance      string
	Incarnation   uint64
	CallerAddress string
	PeerAddress   string
	FailureDomain string
	Control       control.Client
	Peers         daemon.Peers
	Logger        logrus.FieldLogger
	Checker       *invariant.Checker
	// Now is the monotonic clock of the process.
	Now func() time.Duration
	// Loads returns the loads of the owned servers.
	Loads func() []*pb.LoadReport
	// Learn takes the loads that others report.
	Learn func([]*pb.LoadReport)
	// Changed is told of each new view.
	Changed func(old, next *view.View)
	// LeaderOnly takes the leader's word alone as proof of the rules; the other
	// routers are not asked. An edit is then accepted before routers hold it.
	LeaderOnly bool
	// FreshFor is how long a proof counts; zero takes the default.
	FreshFor time.Duration
	// Replicas is told of the addresses of the control group; it may be nil.
	Replicas func([]string)
	// GiveUp is asked to hand a server over.
	GiveUp func(*pb.Assignment)
}

// Agent sends the heartbeats of one router.
type Agent struct {
	cfg  Config
	view atomic.Pointer[view.View]
	kick chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// started is when the agent was made.
	started time.Duration

	mu         sync.Mutex
	book       ownership.Book
	freshUntil time.Duration
	// renewed is closed, and replaced, when the rules are proved anew.
	renewed chan struct{}
	// known is set once a version was learned from a majority.
	known   bool
	leaving bool
	// releasing holds the epoch in which each server was given up.
	releasing map[string]uint64
	lastError string
	// every is the time between heartbeats that the leader asked for.
	every time.Duration
	// wantWhole asks for the whole rule file, not for edits of it.
	wantWhole bool
	// silent holds the instances that did not answer lately, as the leader or
	// this router's own question has it.
	silent []string
}

// New returns an agent. It sends nothing until Start; the clean-up function
// stops it.
func New(cfg Config) (*Agent, func()) {
	a := &Agent{
		cfg:  cfg,
		kick: make(chan struct{}, 1),
		book: ownership.Book{
			Instance:    cfg.Instance,
			Incarnation: cfg.Incarnation,
		},
		releasing: make(map[string]uint64),
		renewed:   make(chan struct{}),
		started:   cfg.Now(),
	}
	if a.cfg.FreshFor == 0 {
		a.cfg.FreshFor = FreshFor
	}
	a.view.Store(&view.View{})
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a, func() {
		a.cancel()
		a.wg.Wait()
	}
}

// Start sends the first heartbeat and keeps on.
func (a *Agent) Start() {
	a.wg.Go(func() { a.heartbeats(a.ctx) })
	if !a.cfg.LeaderOnly {
		a.wg.Go(func() { a.questions(a.ctx) })
	}
}

// View returns the present view.
func (a *Agent) View() *view.View { return a.view.Load() }

// Kick sends the next heartbeat at once.
func (a *Agent) Kick() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// Fresh reports whether the rules held are proved to be in force.
func (a *Agent) Fresh() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known && a.cfg.Now() < a.freshUntil
}

// AwaitFresh waits until the rules held are proved to be in force, for limit at
// most, and reports whether they are. It does not wait where they have not been
// for longer than recent: then nothing says that they will be soon.
func (a *Agent) AwaitFresh(ctx context.Context, recent, limit time.Duration) bool {
	if a.Fresh() {
		return true
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		a.mu.Lock()
		since := a.cfg.Now() - max(a.freshUntil, a.started)
		renewed := a.renewed
		a.mu.Unlock()
		if since > recent {
			return a.Fresh()
		}
		select {
		case <-renewed:
			if a.Fresh() {
				return true
			}
		case <-timeout.C:
			return a.Fresh()
		case <-ctx.Done():
			return false
		}
	}
}

// prove notes a proof of the rules as of a time. The caller holds mu.
func (a *Agent) prove(sent time.Duration) {
	a.freshUntil = max(a.freshUntil, sent+a.cfg.FreshFor)
	close(a.renewed)
	a.renewed = make(chan struct{})
}

// Known reports whether a version of the rules was ever proved.
func (a *Agent) Known() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known
}

// Contact returns how long ago the request was sent that the leader answered
// last; a long time before the first answer.
func (a *Agent) Contact() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known {
		return math.MaxInt64
	}
	return a.cfg.Now() - (a.freshUntil - a.cfg.FreshFor)
}

// Admits reports whether this router may admit work to the named server now,
// as its owner, and the ownership epoch.
func (a *Agent) Admits(name string) (epoch uint64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.view.Load().Servers[name]
	if s == nil {
		return 0, false
	}
	return s.GetEpoch(), a.book.Admits(a.cfg.Now(), s)
}

// Silent reports whether an instance has not answered lately.
func (a *Agent) Silent(instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Contains(a.silent, instance)
}

// Assigned reports whether the named server is assigned to this router.
func (a *Agent) Assigned(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.view.Load().Servers[name]
	return s != nil && a.book.Assigned(s)
}

// Degraded reports whether control has been lost for longer than a lease.
func (a *Agent) Degraded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.book.Until() > 0 && a.cfg.Now() >= a.book.Until()
}

// Leave says with each heartbeat from now on that this router is leaving.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.Kick()
}

// Release gives a server up: no admission follows, and the leader is told.
func (a *Agent) Release(name string) {
	a.mu.Lock()
	if s := a.view.Load().Servers[name]; s != nil && a.book.Assigned(s) {
		a.book.Release(s)
		a.releasing[name] = s.GetEpoch()
	}
	a.mu.Unlock()
	a.Kick()
}

// State is what the dump shows of an agent.
type State struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Fresh       bool   `json:"rulesFresh"`
	LeaseMs     int64  `json:"leaseLeftMs"`
	Leaving     bool   `json:"leaving"`
	RuleVersion uint64 `json:"ruleVersion"`
	Index       uint64 `json:"logIndex"`
	LastError   string `json:"lastError,omitempty"`
}

// State returns the present state.
func (a *Agent) State() State {
	v := a.View()
	fresh := a.Fresh()
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		Instance:    a.cfg.Instance,
		Incarnation: a.cfg.Incarnation,
		Fresh:       fresh,
		LeaseMs:     max(0, a.book.Until()-a.cfg.Now()).Milliseconds(),
		Leaving:     a.leaving,
		RuleVersion: v.RuleVersion,
		Index:       v.Index,
		LastError:   a.lastError,
	}
}

func (a *Agent) heartbeats(ctx context.Context) {
	for {
		every := a.interval()
		if !a.heartbeat(ctx) && a.cfg.LeaderOnly {
			every = min(every, lostInterval)
		}
		pause := every - every/10 + rand.N(every/5)
		select {
		case <-ctx.Done():
			return
		case <-a.kick:
		case <-time.After(pause):
		}
	}
}

func (a *Agent) interval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.every == 0 {
		return Interval
	}
	return min(a.every, maxInterval)
}

func (a *Agent) request() *pb.HeartbeatRequest {
	v := a.View()
	loads := a.cfg.Loads()
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &pb.HeartbeatRequest{
		Instance:      a.cfg.Instance,
		Incarnation:   a.cfg.Incarnation,
		CallerAddress: a.cfg.CallerAddress,
		PeerAddress:   a.cfg.PeerAddress,
		FailureDomain: a.cfg.FailureDomain,
		RuleVersion:   v.RuleVersion,
		SeenIndex:     v.Index,
		Loads:         loads,
		Leaving:       a.leaving,
	}
	if a.wantWhole {
		r.RuleVersion = 0
	}
	for name, epoch := range a.releasing {
		r.Releasing = append(r.Releasing, &pb.Release{
			BackendServer: name,
			Epoch:         epoch,
		})
	}
	return r
}

// heartbeat sends one heartbeat; false when it had no answer.
func (a *Agent) heartbeat(ctx context.Context) bool {
	req := a.request()
	sent := a.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, heartbeatLimit)
	defer cancel()
	resp, err := a.cfg.Control.Heartbeat(ctx, req)
	if err != nil {
		a.noteError(err)
		return false
	}
	old, next := a.take(sent, req, resp)
	if a.cfg.Replicas != nil {
		a.cfg.Replicas(resp.GetControlAddresses())
	}
	a.cfg.Learn(resp.GetLoads())
	if next != old {
		a.cfg.Changed(old, next)
	}
	if next.RuleVersion > req.GetRuleVersion() {
		// The leader counts who holds a version: tell it at once.
		a.Kick()
	}
	for _, g := range resp.GetGiveUp() {
		a.cfg.GiveUp(g)
	}
	return true
}

func (a *Agent) noteError(err error) {
	a.mu.Lock()
	first := a.lastError == ""
	a.lastError = err.Error()
	a.mu.Unlock()
	if first {
		a.cfg.Logger.WithError(err).Warn("member: a heartbeat has no answer")
	}
}

// take makes an answer the router's state: tables, rules, then the lease.
func (a *Agent) take(sent time.Duration, req *pb.HeartbeatRequest, resp *pb.HeartbeatResponse) (old, next *view.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastError != "" {
		a.cfg.Logger.WithField("ruleVer", resp.GetRuleVersion()).Info("member: the control group answers again")
	}
	a.lastError = ""
	a.every = time.Duration(resp.GetIntervalMs()) * time.Millisecond
	old = a.view.Load()
	next = old
	if resp.GetIndex() < old.Index {
		// An answer from the past must not undo what is known.
		a.cfg.Checker.Holds(false, "tablesRise", "index %d after %d", resp.GetIndex(), old.Index)
		return old, old
	}
	if len(resp.GetServers()) > 0 || len(resp.GetInstances()) > 0 || resp.GetWhole() || resp.GetIndex() != old.Index {
		next = next.WithTables(resp.GetIndex(), resp.GetWhole(), resp.GetServers(), resp.GetInstances())
	}
	a.cfg.Checker.Holds(resp.GetRuleVersion() >= req.GetRuleVersion(), "ruleVersionRises",
		"the leader names version %d, this router held %d when it asked", resp.GetRuleVersion(), req.GetRuleVersion())
	next, ok := a.adopt(next, resp.GetRuleVersion(), a.ruleText(next, resp))
	a.view.Store(next)
	for name, epoch := range a.releasing {
		if next.Servers[name].GetEpoch() != epoch {
			delete(a.releasing, name)
		}
	}
	a.book.Freeze(resp.GetFrozen())
	a.silent = resp.GetSilent()
	if ok {
		a.known = true
		a.prove(sent)
		a.book.Renew(sent, time.Duration(resp.GetLeaseMs())*time.Millisecond)
	}
	return old, next
}
