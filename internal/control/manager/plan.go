package manager

// This file defines the assignment of backend servers to routers.

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/control/assignment"
	"camphorspoke/internal/control/lease"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

func withoutOwner(s *pb.BackendServer) *pb.BackendServer {
	row := proto.Clone(s).(*pb.BackendServer)
	row.Owner, row.OwnerIncarnation = "", 0
	return row
}

// release notes the servers that a router says it admits to no more.
func (m *Manager) release(req *pb.HeartbeatRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leads(m.cfg.Replica.Now()) {
		return
	}
	for _, r := range req.GetReleasing() {
		s := m.cfg.Replica.Ledger.Server(r.GetBackendServer())
		// The word may be old: the server may be the router's again since, in
		// a later epoch that it has not given up.
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

// plan decides and commits the next changes of ownership, one plan at a time.
func (m *Manager) plan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	select {
	case m.planning <- struct{}{}:
		defer func() { <-m.planning }()
	case <-ctx.Done():
		return
	}
	if m.unanswered && !m.barrier(ctx) {
		return
	}
	if m.cfg.Direct {
		m.noteSilent()
		return
	}
	term, as := m.decide()
	if len(as) == 0 {
		return
	}
	_, err := m.cfg.Replica.ProposeIn(ctx, term, &pb.Command{
		Kind: &pb.Command_Assign{
			Assign: &pb.Assign{
				Assignments: as,
			},
		},
	})
	if err != nil {
		// It may still be committed: the servers stay pending.
		m.unanswered = true
		m.cfg.Logger.WithError(err).Warn("control: an assignment has no answer")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range as {
		delete(m.pending, a.GetBackendServer())
		delete(m.released, a.GetBackendServer())
	}
}

// barrier commits an empty command. Proposals are taken in order, so once it
// is applied, no assignment proposed before it is still open.
func (m *Manager) barrier(ctx context.Context) bool {
	if !m.Leads() {
		return false
	}
	if _, err := m.cfg.Replica.Propose(ctx, &pb.Command{}); err != nil {
		return false
	}
	m.unanswered = false
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.pending)
	return true
}

// decide returns the assignments to commit in the present term, and marks
// their servers pending.
func (m *Manager) decide() (term uint64, as []*pb.Assignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.leads(now) {
		return 0, nil
	}
	m.leases.Prune(now)
	m.silent = m.findSilent(now)
	var servers []*pb.BackendServer
	for _, s := range m.cfg.Replica.Ledger.Changes(0).Servers {
		switch {
		case m.pending[s.GetName()]:
		case m.released[s.GetName()] == s.GetEpoch() && s.GetEpoch() > 0:
			// Given up for good in this epoch, though its owner is alive.
			servers = append(servers, withoutOwner(s))
		default:
			servers = append(servers, s)
		}
	}
	p := assignment.Make(assignment.Input{
		Servers: servers,
		Routers: m.aliveRouters(now),
		Free:    func(s *pb.BackendServer) bool { return m.free(now, s) },
	})
	m.giveUp = make(map[string]*pb.Assignment)
	for _, a := range p.Move {
		m.giveUp[a.GetBackendServer()] = a
	}
	for _, a := range p.Assign {
		m.pending[a.GetBackendServer()] = true
	}
	return m.term, p.Assign
}

// noteSilent renews what the routers are told of silent instances.
func (m *Manager) noteSilent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.leads(now) {
		return
	}
	m.leases.Prune(now)
	m.silent = m.findSilent(now)
}

// UnheardPeers returns the peer addresses of the listed instances that were not
// heard lately, or not since this replica began to lead; none while it does not.
func (m *Manager) UnheardPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Replica.Now()
	if !m.leads(now) {
		return nil
	}
	var out []string
	for _, i := range m.unheard(now) {
		if a := i.GetPeerAddress(); a != "" {
			out = append(out, a)
		}
	}
	return out
}

// free reports whether the owner of s can no longer be admitting.
func (m *Manager) free(now time.Duration, s *pb.BackendServer) bool {
	if s.GetOwner() == "" {
		return true
	}
	return !m.leases.Held(now, lease.Holder{
		Instance:    s.GetOwner(),
		Incarnation: s.GetOwnerIncarnation(),
	})
}

func (m *Manager) aliveRouters(now time.Duration) []assignment.Router {
	var out []assignment.Router
	heard := m.leases.Heard(now, hearingAge)
	for _, i := range m.cfg.Replica.Ledger.Routers() {
		row := heard[lease.Holder{
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

// Leads reports whether this replica leads and its lease holds.
func (m *Manager) Leads() bool { return m.cfg.Replica.Leads() }

// Propose commits a command for an asker elsewhere, with its failure typed.
func (m *Manager) Propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	if !m.Leads() {
		return nil, m.notLeader()
	}
	if c.GetEditRules() != nil || c.GetAssign() != nil || c.GetRegisterInstance() != nil || c.GetUpdateServers() != nil {
		return nil, fault.New(fault.BadRequest, "command", "only the leader makes this change")
	}
	return m.cfg.Replica.Propose(ctx, c)
}

// Query answers from the ledger of a leader whose lease holds.
func (m *Manager) Query(q *pb.QueryRequest) (*pb.QueryResponse, error) {
	resp := &pb.QueryResponse{}
	if q.GetClaims() {
		resp.Claims = m.cfg.Replica.Ledger.Claims(q.GetAllClaims())
	}
	if q.GetRules() {
		resp.RuleVersion, resp.Rules = m.cfg.Replica.Ledger.Rules()
	}
	if q.GetSource() {
		resp.Revision, resp.Source = m.cfg.Replica.Ledger.Source()
	}
	// The lease is checked after the read: then no newer leader can have
	// committed anything before it.
	if !m.Leads() {
		return nil, m.notLeader()
	}
	return resp, nil
}
