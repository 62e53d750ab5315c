package manager

// This file defines the assignment of backend servers to routers.

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control/assignment"
	"camphorspoke/internal/control/lease"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/workingset"
)

// withoutOwner returns a copy of s that has no owner.
func withoutOwner(s *pb.BackendServer) *pb.BackendServer {
	row := proto.Clone(s).(*pb.BackendServer)
	row.Owner, row.OwnerIncarnation = "", 0
	return row
}

// recordReleases records the servers that a router reports as released, which
// means that it no longer admits requests to them.
func (m *Manager) recordReleases(req *pb.HeartbeatRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.checkLeadership(m.cfg.Replica.Now()) {
		return
	}
	for _, r := range req.GetReleasing() {
		s := m.cfg.Replica.Ledger.Server(r.GetBackendServer())
		// The request may be outdated: the router may own the server again in
		// a later epoch, which it has not released.
		if s.GetEpoch() == r.GetEpoch() && s.GetOwner() == req.GetInstance() && s.GetOwnerIncarnation() == req.GetIncarnation() {
			m.released[s.GetName()] = s.GetEpoch()
		}
	}
}

func (m *Manager) planLoop(ctx context.Context) {
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.plan(ctx)
		}
	}
}

// plan computes and commits the next changes of ownership. Only one plan runs at
// a time.
func (m *Manager) plan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	select {
	case m.planSem <- struct{}{}:
		defer func() { <-m.planSem }()
	case <-ctx.Done():
		return
	}
	if m.outcomeUnknown && !m.barrier(ctx) {
		return
	}
	if m.cfg.WithoutOwnership {
		m.refreshUnresponsive()
		return
	}
	term, assignments := m.decide()
	if len(assignments) == 0 {
		return
	}
	_, err := m.cfg.Replica.ProposeInTerm(ctx, term, &pb.Command{
		Kind: &pb.Command_Assign{
			Assign: &pb.Assign{
				Assignments: assignments,
			},
		},
	})
	if err != nil {
		// The proposal may still be committed, so its servers stay pending.
		m.outcomeUnknown = true
		m.cfg.Logger.WithError(err).Warn("control: proposing an assignment failed; it may still be committed")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range assignments {
		delete(m.pending, a.GetBackendServer())
		delete(m.released, a.GetBackendServer())
	}
}

// barrier commits an empty command and reports whether that succeeded. Proposals
// are committed in order, so once the command is applied, no assignment proposed
// before it can still be committed, and no server is pending any longer.
func (m *Manager) barrier(ctx context.Context) bool {
	if !m.Leads() {
		return false
	}
	if _, err := m.cfg.Replica.Propose(ctx, &pb.Command{}); err != nil {
		return false
	}
	m.outcomeUnknown = false
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.pending)
	return true
}

// decide computes a plan. It marks the servers to assign as pending, and returns
// their assignments and the term in which they must be committed.
func (m *Manager) decide() (term uint64, assignments []*pb.Assignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.checkLeadership(now) {
		return 0, nil
	}
	m.leases.Prune(now)
	m.unresponsive = m.unresponsiveNames(now)
	m.refreshIsolated(now)
	var servers []*pb.BackendServer
	for _, s := range m.cfg.Replica.Ledger.Changes(0).Servers {
		switch {
		case m.pending[s.GetName()]:
		case m.released[s.GetName()] == s.GetEpoch() && s.GetEpoch() > 0:
			// The owner is live but has released its ownership of this epoch.
			servers = append(servers, withoutOwner(s))
		default:
			servers = append(servers, s)
		}
	}
	p := assignment.NewPlan(assignment.Input{
		Servers:      servers,
		Routers:      m.liveRouters(now),
		Reassignable: func(s *pb.BackendServer) bool { return m.reassignable(now, s) },
	})
	m.moves = make(map[string]*pb.Assignment)
	for _, a := range p.Move {
		m.moves[a.GetBackendServer()] = a
	}
	for _, a := range p.Assign {
		m.pending[a.GetBackendServer()] = true
	}
	return m.term, p.Assign
}

// refreshUnresponsive updates the unresponsive instances that heartbeat replies
// name.
func (m *Manager) refreshUnresponsive() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.checkLeadership(now) {
		return
	}
	m.leases.Prune(now)
	m.unresponsive = m.unresponsiveNames(now)
	m.refreshIsolated(now)
	m.workingSets = m.currentWorkingSets(now)
}

// refreshIsolated updates the isolated instances that heartbeat replies name. The caller holds mu.
func (m *Manager) refreshIsolated(now time.Duration) {
	isolated := m.isolatedNames(now)
	if slices.Equal(isolated, m.isolated) {
		return
	}
	m.isolated = isolated
	m.cfg.Logger.WithField("instances", strings.Join(isolated, ",")).WithField("count", len(isolated)).
		Info("control: the instances that reach no backend server have changed")
}

// currentWorkingSets returns the size of the working set of each failure domain, from
// the rates that its instances reported. It returns none until the instances have had
// the time to report to this leader. The caller holds mu.
func (m *Manager) currentWorkingSets(now time.Duration) []*pb.WorkingSet {
	if !m.leases.EarlierLeasesExpired(now) {
		return nil
	}
	rates := make(map[string]float64)
	m.leases.EachRecent(now, maxHeartbeatAge, func(_ lease.Holder, row *lease.Row) {
		rates[row.FailureDomain] += row.RequestRate
	})
	var out []*pb.WorkingSet
	for _, domain := range slices.Sorted(maps.Keys(rates)) {
		if m.sizers[domain] == nil {
			m.sizers[domain] = &workingset.Sizer{}
		}
		out = append(out, &pb.WorkingSet{
			FailureDomain: domain,
			Size:          uint32(m.sizers[domain].Size(now, rates[domain])),
		})
	}
	return out
}

// maxUnresponsivePeers limits the addresses that UnresponsivePeerAddresses returns. A
// new leader of a large fleet has heard from nobody yet, and opening a connection to
// every instance would delay its replies to those that find it by themselves.
const maxUnresponsivePeers = 32

// UnresponsivePeerAddresses returns the peer addresses of listed instances from
// which this replica received no heartbeat recently, or none since it became leader:
// maxUnresponsivePeers of them, chosen at random, if there are more. It returns nil on
// a replica that is not the leader.
func (m *Manager) UnresponsivePeerAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.checkLeadership(now) {
		return nil
	}
	var out []string
	for _, i := range m.unresponsiveInstances(now) {
		if a := i.GetPeerAddress(); a != "" {
			out = append(out, a)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxUnresponsivePeers)]
}

// reassignable reports whether s has no owner, or its owner's lease has expired,
// so that no router admits requests to s.
func (m *Manager) reassignable(now time.Duration, s *pb.BackendServer) bool {
	if s.GetOwner() == "" {
		return true
	}
	return !m.leases.Held(now, lease.Holder{
		Instance:    s.GetOwner(),
		Incarnation: s.GetOwnerIncarnation(),
	})
}

// liveRouters returns the listed routers with a recent heartbeat. The caller
// holds mu.
func (m *Manager) liveRouters(now time.Duration) []assignment.Router {
	var out []assignment.Router
	live := m.leases.Recent(now, maxHeartbeatAge)
	for _, i := range m.cfg.Replica.Ledger.Routers() {
		row := live[lease.Holder{
			Instance:    i.GetName(),
			Incarnation: i.GetIncarnation(),
		}]
		if row == nil {
			continue
		}
		out = append(out, assignment.Router{
			Name:          i.GetName(),
			Incarnation:   i.GetIncarnation(),
			FailureDomain: i.GetFailureDomain(),
			Leaving:       i.GetLeaving() || row.Leaving,
		})
	}
	return out
}

// Leads reports whether this replica is the leader and its leader lease is valid.
func (m *Manager) Leads() bool { return m.cfg.Replica.Leads() }

// Propose commits a command on behalf of another process. Commands that only the
// leader itself issues are rejected. Its errors are faults.
func (m *Manager) Propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	if !m.Leads() {
		return nil, m.notLeader()
	}
	if c.GetEditRules() != nil || c.GetAssign() != nil || c.GetRegisterInstance() != nil || c.GetUpdateServers() != nil {
		return nil, fault.New(fault.BadRequest, "command", "only the leader itself may propose this command")
	}
	return m.cfg.Replica.Propose(ctx, c)
}

// Query reads from the ledger. It succeeds only on a leader whose lease is valid,
// so the result is linearizable.
func (m *Manager) Query(q *pb.QueryRequest) (*pb.QueryResponse, error) {
	resp := &pb.QueryResponse{}
	if q.GetClaims() {
		resp.Claims = m.cfg.Replica.Ledger.Claims(q.GetAllClaims())
	}
	if q.GetRules() {
		resp.RuleVersion, resp.Rules = m.cfg.Replica.Ledger.Rules()
	}
	if q.GetSource() {
		resp.Revision, resp.Source = m.cfg.Replica.Ledger.RuleSource()
	}
	// The lease is checked after the read. If it is still valid, no newer
	// leader can have committed anything before the read.
	if !m.Leads() {
		return nil, m.notLeader()
	}
	return resp, nil
}
