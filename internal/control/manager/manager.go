// Package manager implements what the leader of the control group does beyond
// replicating the log: it grants leases to routers, assigns backend servers to
// them, accepts rule edits, tracks the platform's server list and sends orders to
// engines.
//
// It maintains the invariant that each server has at most one owner. A router
// lease is granted only while the leader's own lease is valid. Every heartbeat
// reply lists as frozen the servers whose reassignment is pending: after the leader
// has decided that an owner's lease expired, and until the next owner is committed,
// a late heartbeat must not let the old owner admit requests again.
//
// Lock order: planSem, then mu. mu is never held while waiting for the log.
package manager

// This file defines Manager and its handling of heartbeats.

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control/goneservers"
	"camphorspoke/internal/control/lease"
	"camphorspoke/internal/control/replica"
	"camphorspoke/internal/control/rulechange"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/workingset"
)

const (
	// maxHeartbeatAge is the age of its last heartbeat up to which a router
	// counts as live.
	maxHeartbeatAge = 1500 * time.Millisecond
	// removeAfter is the time without a heartbeat after which an instance is
	// removed from the list of routers.
	removeAfter = 10 * time.Minute
	// heartbeatPerRouter times the number of registered instances, including
	// those marked gone, is the interval between the heartbeats of one router,
	// clamped to the minimum and the maximum. Where it is not clamped, the leader
	// receives at most 500 heartbeats per second.
	heartbeatPerRouter   = 2 * time.Millisecond
	minHeartbeatInterval = 250 * time.Millisecond
	maxHeartbeatInterval = 650 * time.Millisecond
	planInterval         = 100 * time.Millisecond
	// maxHeartbeatRows is the number of table rows that a heartbeat reply carries at
	// most. A router that lacks more reads them from any replica: otherwise, when
	// many routers start at once, the replies would queue on the leader's link for
	// longer than the routers wait.
	maxHeartbeatRows = 128
	proposeTimeout   = 2 * time.Second
)

// Config configures a Manager.
type Config struct {
	Replica  *replica.Replica
	Platform edge.Platform
	Engine   edge.Engine
	Logger   logrus.FieldLogger
	Checker  *invariant.Checker
	// WithoutOwnership leaves the backend servers without owners: any router may send to
	// any server, routers confirm the current rule version with the leader
	// alone, and a rule edit is accepted once it is committed.
	WithoutOwnership bool
	// OperatorAddress is the address at which this instance serves the platform's operator; empty if
	// it serves none.
	OperatorAddress string
	// OrdersPerSecond limits the rate of load orders, which read from the
	// weight store; zero means DefaultOrdersPerSecond.
	OrdersPerSecond float64
}

// Manager runs on every control replica but acts only while its replica is the
// leader.
type Manager struct {
	cfg Config
	// ctx ends and background is waited for when the manager stops.
	ctx        context.Context
	background sync.WaitGroup

	// planSem lets one plan run at a time; it is acquired before mu. It is a
	// channel and not a mutex because a plan waits for the log, and a caller
	// that waits for its turn must be able to time out.
	planSem chan struct{}
	// outcomeUnknown is set while a proposed assignment without a result may
	// still be committed. planSem guards it.
	outcomeUnknown bool
	// listFailed is set while the platform's server list can't be read. Only
	// platformLoop uses it.
	listFailed bool
	// listPartial is set while a part of the list can't be read; it too is used by
	// platformLoop only.
	listPartial bool
	// removalBlocked names the instances that keep rows of gone servers from being removed; only
	// platformLoop uses it.
	removalBlocked string

	mu sync.Mutex
	// listReadAt is when the last read of the whole list was begun whose changes are committed, and
	// listReadTerm the term in which it was.
	listReadAt   time.Duration
	listReadTerm uint64
	term         uint64 // the term to which the tables below belong
	leases       lease.Table
	// pending holds the servers whose reassignment has been decided but is not
	// known to be committed.
	pending map[string]bool
	// released holds, by server, the epoch of the ownership that its owner has
	// released.
	released map[string]uint64
	// moves holds, by server, the planned assignment that waits for the current
	// owner to release the server or for its lease to expire. Heartbeat replies
	// request the owner to hand the server over.
	moves map[string]*pb.Assignment
	// missingSince holds, by server, the time at which a known server was first
	// found missing from the platform's list.
	missingSince map[string]time.Duration
	// cold holds, by server, the cold period that was proposed last.
	cold map[string]announcement
	// gone holds since when this leader has seen servers as gone.
	gone goneservers.Tracker
	// seenIndex holds the log index up to which each router has the tables.
	seenIndex map[lease.Holder]uint64
	// registering holds the instances whose registration is being committed.
	registering map[string]bool
	// workingSets holds the sizes that heartbeat replies name, sizers how they are
	// chosen, by failure domain.
	workingSets []*pb.WorkingSet
	sizers      map[string]*workingset.Sizer
	// unresponsive holds the names of the listed instances without a recent
	// heartbeat, as of the last plan.
	unresponsive []string
	// isolated holds the names of the instances that reach no backend server, by their last
	// heartbeats.
	isolated []string
	// ruleChanges encodes what routers lack of the rules.
	ruleChanges rulechange.Encoder
}

// Start starts a manager. The returned function stops it and waits for its
// goroutines.
func Start(cfg Config) (*Manager, func()) {
	m := &Manager{
		cfg:         cfg,
		planSem:     make(chan struct{}, 1),
		registering: make(map[string]bool),
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.ctx = ctx
	for _, loop := range []func(context.Context){m.planLoop, m.platformLoop, m.orderLoop} {
		m.background.Go(func() { loop(ctx) })
	}
	return m, func() {
		cancel()
		m.background.Wait()
	}
}

// checkLeadership reports whether this replica's leader lease is valid, so that
// it may grant leases and plan. In a new term it first resets the tables of the
// previous term. The caller holds mu.
func (m *Manager) checkLeadership(now time.Duration) bool {
	st := m.cfg.Replica.Status()
	if now >= st.LeaseUntil {
		return false
	}
	if st.Term != m.term {
		m.term = st.Term
		m.leases.StartTerm(now)
		m.pending = make(map[string]bool)
		m.released = make(map[string]uint64)
		m.moves = make(map[string]*pb.Assignment)
		m.missingSince = make(map[string]time.Duration)
		m.cold = make(map[string]announcement)
		m.gone = goneservers.Tracker{}
		m.seenIndex = make(map[lease.Holder]uint64)
		m.sizers, m.workingSets = make(map[string]*workingset.Sizer), nil
		m.cfg.Logger.Infof("control: leading term %d", st.Term)
	}
	return true
}

func (m *Manager) notLeader() error {
	return fault.New(fault.NotLeader, m.cfg.Replica.Status().LeaderAddress, "send the request to the leader")
}

// Heartbeat handles the heartbeat of a router: it registers the router, renews
// its lease, and returns what has changed since the router's last update.
func (m *Manager) Heartbeat(ctx context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	if !m.cfg.Replica.Leads() {
		return nil, m.notLeader()
	}
	if m.cfg.WithoutOwnership {
		m.registerLater(req)
	} else if err := m.register(ctx, req); err != nil {
		return nil, err
	}
	if len(req.GetReleasing()) > 0 && !m.cfg.WithoutOwnership {
		m.recordReleases(req)
		m.plan(ctx)
	}
	return m.grant(req)
}

// grant renews the router's lease and builds the reply.
func (m *Manager) grant(req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.checkLeadership(now) {
		return nil, m.notLeader()
	}
	h := lease.Holder{
		Instance:    req.GetInstance(),
		Incarnation: req.GetIncarnation(),
	}
	row := m.leases.Renew(now, h)
	row.RuleVersion = req.GetRuleVersion()
	row.Leaving, row.Isolated = req.GetLeaving(), req.GetIsolated()
	row.RemovesServers = req.GetRemovesServers()
	row.Loads = m.byService(req.GetLoads())
	row.FailureDomain, row.RequestRate = req.GetFailureDomain(), float64(req.GetRequestMilliRate())/1000
	m.seenIndex[h] = req.GetSeenIndex()

	l := m.cfg.Replica.Ledger
	changes := l.Changes(req.GetSeenIndex())
	resp := &pb.HeartbeatResponse{
		LeaseMs:    uint32(lease.Length.Milliseconds()),
		IntervalMs: uint32(heartbeatInterval(l.InstanceCount()).Milliseconds()),
		Index:      changes.Index,
		Servers:    changes.Servers,
		Frozen:     slices.Sorted(maps.Keys(m.pending)),
		Instances:  changes.Instances,
		Whole:      changes.Whole,

		Quarantines:  changes.Quarantines,
		Evacuations:  changes.Evacuations,
		RemovedIndex: changes.RemovedIndex,

		Term:  m.term,
		Loads: m.otherLoads(now, h, row.Loads),

		ListAgeMs: m.listAge(now),
	}
	if changes.Len() > maxHeartbeatRows {
		resp.Index, resp.Servers, resp.Instances, resp.Whole = req.GetSeenIndex(), nil, nil, false
		resp.Quarantines, resp.Evacuations = nil, nil
		resp.TablesBehind = true
	}
	m.addRules(req, resp)
	resp.Silent, resp.Isolated = m.unresponsive, m.isolated
	resp.WorkingSets = m.workingSets
	resp.Leader, resp.LeaderOperatorAddress = m.cfg.Replica.Status().Leader, m.cfg.OperatorAddress
	for _, member := range m.cfg.Replica.Status().Members {
		resp.ControlAddresses = append(resp.ControlAddresses, member.GetAddress())
	}
	for _, a := range m.moves {
		if s := l.Server(a.GetBackendServer()); s.GetOwner() == h.Instance && s.GetOwnerIncarnation() == h.Incarnation {
			resp.GiveUp = append(resp.GiveUp, a)
		}
	}
	return resp, nil
}

// unresponsiveNames returns the names of the listed instances without a recent
// heartbeat. It returns none until the leases granted by earlier leaders have
// expired, as a new leader has not yet received heartbeats from all instances.
func (m *Manager) unresponsiveNames(now time.Duration) []string {
	if !m.leases.EarlierLeasesExpired(now) {
		return nil
	}
	var out []string
	for _, i := range m.unresponsiveInstances(now) {
		out = append(out, i.GetName())
	}
	return out
}

// isolatedNames returns the names of the instances whose last heartbeat, if it is recent, says that
// they reach no backend server, in order. The caller holds mu.
func (m *Manager) isolatedNames(now time.Duration) []string {
	var out []string
	m.leases.EachRecent(now, maxHeartbeatAge, func(h lease.Holder, row *lease.Row) {
		if row.Isolated {
			out = append(out, h.Instance)
		}
	})
	slices.Sort(out)
	return slices.Compact(out)
}

// unresponsiveInstances returns the listed instances from which this replica
// received no heartbeat recently, or none since it became leader. The caller holds
// mu.
func (m *Manager) unresponsiveInstances(now time.Duration) []*pb.Instance {
	live := make(map[string]bool)
	m.leases.EachRecent(now, maxHeartbeatAge, func(h lease.Holder, _ *lease.Row) { live[h.Instance] = true })
	var out []*pb.Instance
	for _, i := range m.cfg.Replica.Ledger.Routers() {
		if !live[i.GetName()] {
			out = append(out, i)
		}
	}
	return out
}

// heartbeatInterval returns the time between the heartbeats of one router. It is
// short in a small fleet, so that load reports are fresh, and grows with the
// number of registered instances, so that the leader's work stays bounded. It is
// always well below the lease length.
func heartbeatInterval(instances int) time.Duration {
	return min(max(heartbeatPerRouter*time.Duration(instances), minHeartbeatInterval), maxHeartbeatInterval)
}

// otherLoads returns the last load reports of the other routers for the services
// of which h owns a server; own holds the reports of h by service. Only owners
// use loads, and sending the loads of all servers to every router would exceed
// the bandwidth budget of control traffic.
func (m *Manager) otherLoads(now time.Duration, h lease.Holder, own map[string][]*pb.LoadReport) []*pb.LoadReport {
	var out []*pb.LoadReport
	m.leases.EachRecent(now, maxHeartbeatAge, func(other lease.Holder, row *lease.Row) {
		if other == h {
			return
		}
		for service := range own {
			out = append(out, row.Loads[service]...)
		}
	})
	return out
}

// byService groups load reports by the service of their backend server.
func (m *Manager) byService(reports []*pb.LoadReport) map[string][]*pb.LoadReport {
	out := make(map[string][]*pb.LoadReport)
	for _, r := range reports {
		service := m.cfg.Replica.Ledger.Server(r.GetBackendServer()).GetService()
		out[service] = append(out[service], r)
	}
	return out
}

// routerListConfirmed reports whether a majority of the listed routers has
// received the last change of the router list.
func (m *Manager) routerListConfirmed() bool {
	l := m.cfg.Replica.Ledger
	changedAt := l.RouterListIndex()
	return m.countRouters(func(h lease.Holder, _ *lease.Row) bool { return m.seenIndex[h] >= changedAt }).majority()
}

// tally counts the listed routers, and those of them that match a condition.
type tally struct {
	matching, listed int
}

// majority reports whether more than half of the listed routers match.
func (t tally) majority() bool { return 2*t.matching > t.listed }

// countRouters counts the listed routers, and the live ones for which ok returns
// true. A router is live if its last heartbeat is recent.
func (m *Manager) countRouters(ok func(lease.Holder, *lease.Row) bool) tally {
	routers := m.cfg.Replica.Ledger.Routers()
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.leases.Recent(m.cfg.Replica.Now(), maxHeartbeatAge)
	t := tally{
		listed: len(routers),
	}
	for _, r := range routers {
		h := lease.Holder{
			Instance:    r.GetName(),
			Incarnation: r.GetIncarnation(),
		}
		if row := live[h]; row != nil && ok(h, row) {
			t.matching++
		}
	}
	return t
}
