// Package manager is what the leader of the control group does beside keeping
// the log: it grants leases, assigns backend servers to routers, takes rule
// edits, follows the platform's list and carries out engine orders.
//
// The invariant it keeps is one owner a server. A lease is granted only while
// the leader lease holds, and an answer freezes every server whose reassignment is
// pending: between the decision that an owner's
// lease has run out and the commit of the next owner, a late heartbeat must
// not revive the old one. Lock order: planning, then mu; mu is never held
// while the log is asked.
package manager

// This file defines Manager and its heartbeats.

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/control/lease"
	"camphorspoke/internal/control/replica"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

const (
	// hearingAge is how recently a router must have been heard to count.
	hearingAge = 1500 * time.Millisecond
	// goneAfter is the silence after which an instance leaves the list.
	goneAfter = 10 * time.Minute
	// heartbeatPerRouter keeps the leader at 500 heartbeats a second between
	// the shortest and the longest interval.
	heartbeatPerRouter = 2 * time.Millisecond
	shortestInterval   = 250 * time.Millisecond
	longestInterval    = 650 * time.Millisecond
	planInterval       = 100 * time.Millisecond
	proposeLimit       = 2 * time.Second
)

// Config names what a Manager works with.
type Config struct {
	Replica  *replica.Replica
	Platform edge.Platform
	Engine   edge.Engine
	Logger   logrus.FieldLogger
	Checker  *invariant.Checker
	// Direct leaves the backend servers without owners: the routers send to
	// them as they see fit, prove their rules by the leader alone, and an edit
	// is accepted once it is committed.
	Direct bool
	// OrdersPerSecond paces orders that read the weight store.
	OrdersPerSecond float64
}

// Manager runs on every control replica and acts on the leader.
type Manager struct {
	cfg Config

	// planning admits one plan at a time; it is taken before mu. It is a
	// channel because a plan waits for the log and a waiter may give up.
	planning chan struct{}
	// unanswered is set while an assignment may be committed unseen.
	unanswered bool
	// listLost is true while the platform's list can't be read; the loop that
	// reads the list alone uses it.
	listLost bool

	mu     sync.Mutex
	term   uint64
	leases lease.Table
	// pending holds the servers whose reassignment is under way.
	pending map[string]bool
	// released holds, by server, the epoch that its owner gave up.
	released map[string]uint64
	// giveUp holds, by server, the move its owner is asked to make.
	giveUp map[string]*pb.Assignment
	// missing is since when a listed server is missing from the list.
	missing map[string]time.Duration
	seen    map[lease.Holder]uint64
	// silent holds the listed instances not heard lately, as of the last plan.
	silent []string
	// changes holds the packed changes to changesTo, by the version they begin at.
	changes   map[uint64][]byte
	changesTo uint64
}

// Start runs a manager; the clean-up function stops it.
func Start(cfg Config) (*Manager, func()) {
	m := &Manager{
		cfg:      cfg,
		planning: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){m.planLoop, m.platformLoop, m.orderLoop} {
		wg.Go(func() { loop(ctx) })
	}
	return m, func() {
		cancel()
		wg.Wait()
	}
}

// leads reports whether this replica may grant and decide now, and prepares
// the tables when its term is new. The caller holds mu.
func (m *Manager) leads(now time.Duration) bool {
	st := m.cfg.Replica.Status()
	if now >= st.LeaseUntil {
		return false
	}
	if st.Term != m.term {
		m.term = st.Term
		m.leases.Start(now)
		m.pending = make(map[string]bool)
		m.released = make(map[string]uint64)
		m.giveUp = make(map[string]*pb.Assignment)
		m.missing = make(map[string]time.Duration)
		m.seen = make(map[lease.Holder]uint64)
		m.cfg.Logger.Infof("control: leading term %d", st.Term)
	}
	return true
}

func (m *Manager) notLeader() error {
	return fault.New(fault.NotLeader, m.cfg.Replica.Status().LeaderAddress, "ask the leader")
}

// Heartbeat answers a router: it renews its lease and brings it up to date.
func (m *Manager) Heartbeat(ctx context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	if !m.cfg.Replica.Leads() {
		return nil, m.notLeader()
	}
	if err := m.register(ctx, req); err != nil {
		return nil, err
	}
	if len(req.GetReleasing()) > 0 && !m.cfg.Direct {
		m.release(req)
		m.plan(ctx)
	}
	return m.grant(req)
}

// grant renews the lease and builds the answer.
func (m *Manager) grant(req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.leads(now) {
		return nil, m.notLeader()
	}
	h := lease.Holder{
		Instance:    req.GetInstance(),
		Incarnation: req.GetIncarnation(),
	}
	row := m.leases.Renew(now, h)
	row.RuleVersion = req.GetRuleVersion()
	row.Leaving = req.GetLeaving()
	row.Loads = m.byService(req.GetLoads())
	m.seen[h] = req.GetSeenIndex()

	l := m.cfg.Replica.Ledger
	changes := l.Changes(req.GetSeenIndex())
	resp := &pb.HeartbeatResponse{
		LeaseMs:    uint32(lease.Length.Milliseconds()),
		IntervalMs: uint32(interval(l.RouterCount()).Milliseconds()),
		Index:      changes.Index,
		Servers:    changes.Servers,
		Frozen:     slices.Sorted(maps.Keys(m.pending)),
		Instances:  changes.Instances,
		Whole:      req.GetSeenIndex() == 0,
		Term:       m.term,
		Loads:      m.otherLoads(now, h, row.Loads),
	}
	version, content := l.Rules()
	resp.RuleVersion = version
	if version > req.GetRuleVersion() {
		resp.RuleChange = m.ruleChange(req.GetRuleVersion(), version, content)
	}
	resp.Silent = m.silent
	for _, member := range m.cfg.Replica.Status().Members {
		resp.ControlAddresses = append(resp.ControlAddresses, member.GetAddress())
	}
	for _, a := range m.giveUp {
		if s := l.Server(a.GetBackendServer()); s.GetOwner() == h.Instance && s.GetOwnerIncarnation() == h.Incarnation {
			resp.GiveUp = append(resp.GiveUp, a)
		}
	}
	return resp, nil
}

// findSilent returns the listed instances not heard lately; none while the leader
// is too new to know.
func (m *Manager) findSilent(now time.Duration) []string {
	if !m.leases.Settled(now) {
		return nil
	}
	var out []string
	for _, i := range m.unheard(now) {
		out = append(out, i.GetName())
	}
	return out
}

// unheard returns the listed instances that were not heard lately, or not since
// this replica began to lead. The caller holds mu.
func (m *Manager) unheard(now time.Duration) []*pb.Instance {
	var out []*pb.Instance
	for _, i := range m.cfg.Replica.Ledger.Routers() {
		row := m.leases.Row(lease.Holder{
			Instance:    i.GetName(),
			Incarnation: i.GetIncarnation(),
		})
		if row == nil || now-row.Seen > hearingAge {
			out = append(out, i)
		}
	}
	return out
}

// interval returns the time between the heartbeats of one router: short, so
// that loads are fresh, while the fleet is small; longer with more routers, so
// that the leader's work stays bounded; always well below a lease.
func interval(routers int) time.Duration {
	return min(max(heartbeatPerRouter*time.Duration(routers), shortestInterval), longestInterval)
}

// otherLoads returns what the other routers last reported on the services of
// which h owns a server: only an owner weighs loads, and a reply to each router
// with the loads of all servers would outgrow the control budget.
func (m *Manager) otherLoads(now time.Duration, h lease.Holder, own map[string][]*pb.LoadReport) []*pb.LoadReport {
	var out []*pb.LoadReport
	m.leases.EachHeard(now, hearingAge, func(other lease.Holder, row *lease.Row) {
		if other == h {
			return
		}
		for service := range own {
			out = append(out, row.Loads[service]...)
		}
	})
	return out
}

// byService groups load reports by the service of their server.
func (m *Manager) byService(reports []*pb.LoadReport) map[string][]*pb.LoadReport {
	out := make(map[string][]*pb.LoadReport)
	for _, r := range reports {
		service := m.cfg.Replica.Ledger.Server(r.GetBackendServer()).GetService()
		out[service] = append(out[service], r)
	}
	return out
}

// register commits what is new about an instance. Once rules are in force the
// list of routers changes slowly: a new name waits until a majority of the
// listed routers has seen the last change, so that any two lists that routers
// may hold have majorities which intersect.
func (m *Manager) register(ctx context.Context, req *pb.HeartbeatRequest) error {
	l := m.cfg.Replica.Ledger
	old := l.Instance(req.GetInstance())
	if old != nil && old.GetIncarnation() == req.GetIncarnation() && old.GetLeaving() == req.GetLeaving() &&
		old.GetCallerAddress() == req.GetCallerAddress() && old.GetPeerAddress() == req.GetPeerAddress() && !old.GetGone() {
		return nil
	}
	if old != nil && old.GetIncarnation() > req.GetIncarnation() {
		return fault.New(fault.BadSetting, req.GetInstance(), "a newer process runs under this instance name")
	}
	if old == nil || old.GetGone() {
		if version, _ := l.Rules(); version > 0 && !m.cfg.Direct && !m.listSeen() {
			return fault.New(fault.NoQuorum, req.GetInstance(), "waiting for the routers to see the last change of the list")
		}
	}
	_, err := m.cfg.Replica.Propose(ctx, &pb.Command{
		Kind: &pb.Command_RegisterInstance{
			RegisterInstance: &pb.RegisterInstance{
				Instance: &pb.Instance{
					Name:          req.GetInstance(),
					Incarnation:   req.GetIncarnation(),
					CallerAddress: req.GetCallerAddress(),
					PeerAddress:   req.GetPeerAddress(),
					FailureDomain: req.GetFailureDomain(),
					Leaving:       req.GetLeaving(),
				},
			},
		},
	})
	return err
}

// listSeen reports whether a majority of the listed routers has seen the last
// change of the list.
func (m *Manager) listSeen() bool {
	l := m.cfg.Replica.Ledger
	at := l.ListIndex()
	return m.countRouters(func(h lease.Holder, _ *lease.Row) bool { return m.seen[h] >= at }).majority()
}

// tally counts listed routers.
type tally struct {
	yes, listed int
}

func (t tally) majority() bool { return 2*t.yes > t.listed }

// countRouters counts the listed routers heard lately for which ok holds.
func (m *Manager) countRouters(ok func(lease.Holder, *lease.Row) bool) tally {
	routers := m.cfg.Replica.Ledger.Routers()
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := m.leases.Heard(m.cfg.Replica.Now(), hearingAge)
	t := tally{
		listed: len(routers),
	}
	for _, r := range routers {
		h := lease.Holder{
			Instance:    r.GetName(),
			Incarnation: r.GetIncarnation(),
		}
		if row := heard[h]; row != nil && ok(h, row) {
			t.yes++
		}
	}
	return t
}
