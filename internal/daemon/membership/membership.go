// Package membership maintains a router's membership of the fleet: its lease, its
// view of the tables of backend servers and instances, and the confirmation that its
// rules are current.
//
// Each heartbeat answer is applied in one step under one lock, the tables first and
// the lease last, so no admission decision combines a new lease with old tables. An
// answer from the leader also confirms the rules: they are fresh, that is known to
// be current, for FreshFor from the time at which the heartbeat was sent. Before
// that period ends, the router queries all listed routers, unless Config.LeaderOnly
// is set. If a majority of them, itself included, answers, the router adopts the
// newest version among the answers, and its rules are fresh for FreshFor from the
// time of the query. The leader accepts a rule edit only once a majority of the
// listed routers holds it, so the two majorities have a router in common and an
// accepted edit can't be missed.
package membership

// This file defines Agent and what it reports of its state.

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/daemon"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/ownership"
	"camphorspoke/internal/routing/view"
)

const (
	// DefaultHeartbeatInterval is the time between heartbeats until the leader
	// requests another.
	DefaultHeartbeatInterval = 250 * time.Millisecond
	// maxHeartbeatInterval limits the interval that the leader may request.
	maxHeartbeatInterval = time.Second
	// reconnectInterval limits the time between heartbeats after one has failed. It
	// applies only with Config.LeaderOnly: there only the leader can confirm the
	// rules, and no backend server has an owner whose lease must expire first, so
	// service can resume with the first heartbeat that is answered.
	reconnectInterval = 60 * time.Millisecond
	// FreshFor is how long a confirmation of the rule version is valid.
	FreshFor = 2500 * time.Millisecond
	// peerQueryAge is the age of the last confirmation from which on the other
	// routers are queried, and peerQueryTimeout limits such a query.
	peerQueryAge     = 1500 * time.Millisecond
	peerQueryTimeout = 500 * time.Millisecond
	// heartbeatTimeout limits the wait for the answer to a heartbeat.
	heartbeatTimeout = 900 * time.Millisecond
)

// Config holds the settings and dependencies of an Agent.
type Config struct {
	Instance      string
	Incarnation   uint64
	CallerAddress string
	PeerAddress   string
	FailureDomain string
	// CPUMilli is the processor share of this instance, in thousandths of a core;
	// zero if unknown.
	CPUMilli uint32
	// Requests returns how many requests of callers this instance has received; nil if
	// it does not count them.
	Requests func() uint64
	Control  control.Client
	Peers    daemon.Peers
	Logger   logrus.FieldLogger
	Checker  *invariant.Checker
	// Now returns the time of the monotonic clock of the process.
	Now func() time.Duration
	// Loads returns load reports on the servers that this router owns.
	Loads func() []*pb.LoadReport
	// OnLoads is called with the load reports of other routers, after each heartbeat
	// answer.
	OnLoads func([]*pb.LoadReport)
	// OnViewChange is called when a heartbeat answer has changed the view.
	OnViewChange func(old, next *view.View)
	// LeaderOnly accepts only the leader's answers as confirmation of the rules;
	// the other routers are not queried. The leader then accepts an edit before
	// routers hold it.
	LeaderOnly bool
	// FreshFor is how long a confirmation of the rules is valid; zero stands for
	// the constant FreshFor.
	FreshFor time.Duration
	// OnControlAddresses, if not nil, is called with the addresses of the control
	// group from each heartbeat answer.
	OnControlAddresses func([]string)
	// OnHandover is called for each server that the leader orders this router to hand
	// over to another owner.
	OnHandover func(*pb.Assignment)
}

// Agent sends the heartbeats of one router and holds its lease and view.
type Agent struct {
	cfg  Config
	view atomic.Pointer[view.View]
	// heartbeatNow makes the heartbeat loop send without waiting.
	heartbeatNow chan struct{}
	// readTables makes the table loop read the tables.
	readTables chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// createdAt is the time at which the agent was created.
	createdAt time.Duration

	// viewChange serializes the changes of the view; it is locked before mu.
	viewChange sync.Mutex

	mu        sync.Mutex
	ownership ownership.Tracker
	// freshUntil is when the last confirmation of the rules expires.
	freshUntil time.Duration
	// confirmed is closed and replaced each time the rules are confirmed.
	confirmed chan struct{}
	// listReadAt is a time by which the platform's list was read that the view shows; zero if unknown.
	listReadAt time.Duration
	// failing is true if a heartbeat has ended without a confirmation since the last one;
	// failingSince is when the first such heartbeat ended.
	failing      bool
	failingSince time.Duration
	// everConfirmed is set once the leader has confirmed a rule version, everCurrent
	// once the tables included every row up to the leader's index.
	everConfirmed bool
	everCurrent   bool
	leaving       bool
	// selfIsolated is true while this instance reaches no backend server.
	selfIsolated bool
	// releasing holds, for each released server, the ownership epoch that was
	// released. The entry is removed once the server has another epoch.
	releasing map[string]uint64
	lastError string
	// requestedInterval is the time between heartbeats that the leader requests.
	requestedInterval time.Duration
	// needFullRules makes the next heartbeat request the complete rule file rather
	// than edits.
	needFullRules bool
	// unresponsive holds the instances that have not answered recently, according
	// to the leader's last answer or this router's last query, whichever is later.
	unresponsive map[string]bool
	// isolated holds the instances that reach no backend server, according to the leader's last
	// answer.
	isolated map[string]bool
	// leader is the instance that leads the control group, as last received.
	leader string
	// leaderOperator is the address at which the leader serves operators; empty if unknown.
	leaderOperator string
	// workingSets holds the size of the working set of each failure domain, as last
	// received from a leader that knew them.
	workingSets map[string]int
	// rate measures the requests between heartbeats.
	rate requestRate
}

// New returns an agent that sends nothing until Start is called. The clean-up
// function stops it.
func New(cfg Config) (*Agent, func()) {
	a := &Agent{
		cfg:          cfg,
		heartbeatNow: make(chan struct{}, 1),
		readTables:   make(chan struct{}, 1),
		ownership: ownership.Tracker{
			Instance:    cfg.Instance,
			Incarnation: cfg.Incarnation,
		},
		releasing: make(map[string]uint64),
		confirmed: make(chan struct{}),
		createdAt: cfg.Now(),
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

// Start begins sending heartbeats and, unless LeaderOnly is set, queries to the
// other routers.
func (a *Agent) Start() {
	a.wg.Go(func() { a.heartbeatLoop(a.ctx) })
	a.wg.Go(func() { a.tableLoop(a.ctx) })
	if !a.cfg.LeaderOnly {
		a.wg.Go(func() { a.peerQueryLoop(a.ctx) })
	}
}

// View returns the current view.
func (a *Agent) View() *view.View { return a.view.Load() }

// HeartbeatNow makes the agent send its next heartbeat without waiting for the
// interval.
func (a *Agent) HeartbeatNow() {
	select {
	case a.heartbeatNow <- struct{}{}:
	default:
	}
}

// Fresh reports whether the rules that this router holds are confirmed to be
// current. With LeaderOnly it must also have had the tables as of a leader's answer:
// those that a replica served before may list servers that have left.
func (a *Agent) Fresh() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	hasTables := !a.cfg.LeaderOnly || a.everCurrent
	return hasTables && a.everConfirmed && a.cfg.Now() < a.freshUntil
}

// AwaitFresh waits until the rules are fresh, for timeout at most, and reports
// whether they are. It returns at once if they are stale and heartbeats have failed to confirm them
// for longer than maxFailing, as there is then no reason to expect a confirmation soon. While a process
// is frozen no heartbeat fails, so that it waits right after the process wakes.
func (a *Agent) AwaitFresh(ctx context.Context, maxFailing, timeout time.Duration) bool {
	if a.Fresh() {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		a.mu.Lock()
		failingFor := a.failingFor()
		confirmed := a.confirmed
		a.mu.Unlock()
		if failingFor > maxFailing {
			return a.Fresh()
		}
		select {
		case <-confirmed:
			if a.Fresh() {
				return true
			}
		case <-timer.C:
			return a.Fresh()
		case <-ctx.Done():
			return false
		}
	}
}

// failingFor returns for how long heartbeats have failed to confirm the rules, counted from when the
// last confirmation expired at the earliest. The caller holds mu.
func (a *Agent) failingFor() time.Duration {
	if !a.failing {
		return 0
	}
	return a.cfg.Now() - max(a.freshUntil, a.createdAt, a.failingSince)
}

// recordUnconfirmed records that a heartbeat has ended without a confirmation of the rules. The caller
// holds mu.
func (a *Agent) recordUnconfirmed() {
	if !a.failing {
		a.failing, a.failingSince = true, a.cfg.Now()
	}
}

// confirm records that the rules were current at the time sent, at which the
// heartbeat or query that confirmed them was sent. The caller holds mu.
func (a *Agent) confirm(sent time.Duration) {
	a.freshUntil = max(a.freshUntil, sent+a.cfg.FreshFor)
	a.failing = false
	close(a.confirmed)
	a.confirmed = make(chan struct{})
}

// EverConfirmed reports whether the leader has ever confirmed a rule version.
func (a *Agent) EverConfirmed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.everConfirmed
}

// SinceLeaderContact returns how long ago the last heartbeat or query that confirmed
// the rules was sent. With LeaderOnly, that is the last heartbeat that the leader
// answered. Before the first confirmation it returns the maximum duration.
func (a *Agent) SinceLeaderContact() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.everConfirmed {
		return math.MaxInt64
	}
	return a.cfg.Now() - (a.freshUntil - a.cfg.FreshFor)
}

// Admits reports whether this router, as the owner of the named server, may now
// admit requests to it. It also returns the ownership epoch.
func (a *Agent) Admits(name string) (epoch uint64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.view.Load()
	s := v.Servers[name]
	if s == nil {
		return 0, false
	}
	return s.GetEpoch(), !v.IsEvacuated(s) && a.ownership.Admits(a.cfg.Now(), s)
}

// Unresponsive reports whether an instance is recorded as not having answered
// recently.
func (a *Agent) Unresponsive(instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unresponsive[instance]
}

// Isolated reports whether an instance reaches no backend server, as far as is known.
func (a *Agent) Isolated(instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isolated[instance]
}

// SetIsolated sets whether this instance reaches no backend server, in all further heartbeats.
func (a *Agent) SetIsolated(isolated bool) {
	a.mu.Lock()
	a.selfIsolated = isolated
	a.mu.Unlock()
	a.HeartbeatNow()
}

// Leader returns the instance that leads the control group, according to the last
// heartbeat answer; empty if there was none.
func (a *Agent) Leader() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader
}

// LeaderOperatorAddress returns the address at which the leader of the control group serves operators,
// according to the last heartbeat answer; empty if it is unknown.
func (a *Agent) LeaderOperatorAddress() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaderOperator
}

// Assigned reports whether the named server is assigned to this router and not
// released, whether or not the lease is valid.
func (a *Agent) Assigned(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.view.Load().Servers[name]
	return s != nil && a.ownership.Assigned(s)
}

// Degraded reports whether the lease has expired because no heartbeat was answered
// in time. It is false before the first lease.
func (a *Agent) Degraded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ownership.LeaseEnd() > 0 && a.cfg.Now() >= a.ownership.LeaseEnd()
}

// SetLeaving marks this router as leaving in all further heartbeats.
func (a *Agent) SetLeaving() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.HeartbeatNow()
}

// Release ends the ownership of a server: this router admits no more requests
// to it, and the next heartbeat reports the release to the leader.
func (a *Agent) Release(name string) {
	a.mu.Lock()
	if s := a.view.Load().Servers[name]; s != nil && a.ownership.Assigned(s) {
		a.ownership.Release(s)
		a.releasing[name] = s.GetEpoch()
	}
	a.mu.Unlock()
	a.HeartbeatNow()
}

// State is the part of an instance's dump that describes its agent.
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

// State returns the current state.
func (a *Agent) State() State {
	v := a.View()
	fresh := a.Fresh()
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		Instance:    a.cfg.Instance,
		Incarnation: a.cfg.Incarnation,
		Fresh:       fresh,
		LeaseMs:     max(0, a.ownership.LeaseEnd()-a.cfg.Now()).Milliseconds(),
		Leaving:     a.leaving,
		RuleVersion: v.RuleVersion,
		Index:       v.Index,
		LastError:   a.lastError,
	}
}
