// Package assignment computes which router owns which backend server.
//
// A plan balances the number of servers per router, prefers routers in the
// server's own failure domain, and avoids moves: a server stays with its owner as
// long as the owner runs, unless the owner is leaving or owns at least two servers
// more than another router.
package assignment

// This file defines Plan.

import (
	"cmp"
	"slices"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Router is a router that may own servers.
type Router struct {
	Name          string
	Incarnation   uint64
	FailureDomain string
	Leaving       bool
}

// Input is the state from which a plan is computed.
type Input struct {
	Servers []*pb.BackendServer
	// Routers holds the routers with a recent heartbeat, including those that are
	// leaving.
	Routers []Router
	// Reassignable reports whether a server may be reassigned at once: it has no owner,
	// or its owner's lease has expired, so the owner no longer admits requests.
	Reassignable func(*pb.BackendServer) bool
}

// Plan holds the next changes of ownership.
type Plan struct {
	// Assign holds the assignments that may be committed at once.
	Assign []*pb.Assignment
	// Move holds the assignments that wait for the current owner to hand the
	// server over and release it, or for its lease to expire.
	Move []*pb.Assignment
}

// NewPlan computes the next changes of ownership. It is deterministic: its result
// depends only on the input.
func NewPlan(in Input) Plan {
	p := planner{
		count:  make(map[string]int),
		active: make(map[string]Router),
	}
	for _, r := range in.Routers {
		if !r.Leaving {
			p.active[r.Name] = r
			p.activeNames = append(p.activeNames, r.Name)
		}
	}
	slices.Sort(p.activeNames)
	servers := slices.Clone(in.Servers)
	slices.SortFunc(servers, func(a, b *pb.BackendServer) int { return cmp.Compare(a.GetName(), b.GetName()) })
	for _, s := range servers {
		if !s.GetGone() && p.keepsOwner(s) {
			p.count[s.GetOwner()]++
		}
	}
	p.place(servers, in.Reassignable)
	p.rebalance(servers)
	return p.plan
}

// planner holds the state of one computation of a plan.
type planner struct {
	active      map[string]Router // routers that are not leaving, by name
	activeNames []string          // the keys of active, sorted
	count       map[string]int    // servers per router, including those placed so far
	plan        Plan
}

// keepsOwner reports whether the server's owner is alive, not leaving and still
// the same process.
func (p *planner) keepsOwner(s *pb.BackendServer) bool {
	r, ok := p.active[s.GetOwner()]
	return ok && r.Incarnation == s.GetOwnerIncarnation()
}

// place plans a new owner for each server that can't keep its owner.
func (p *planner) place(servers []*pb.BackendServer, reassignable func(*pb.BackendServer) bool) {
	for _, s := range servers {
		if s.GetGone() || p.keepsOwner(s) {
			continue
		}
		next, ok := p.leastLoaded(s.GetFailureDomain())
		if !ok {
			return
		}
		a := p.assignment(s, next)
		p.count[next]++
		if reassignable(s) {
			p.plan.Assign = append(p.plan.Assign, a)
			continue
		}
		p.plan.Move = append(p.plan.Move, a)
	}
}

// leastLoaded returns the router with the fewest servers. Among equals it prefers
// one in the given failure domain. It returns false if there is no router.
func (p *planner) leastLoaded(domain string) (string, bool) {
	best := ""
	for _, name := range p.activeNames {
		if best == "" || p.cost(name, domain) < p.cost(best, domain) {
			best = name
		}
	}
	return best, best != ""
}

// cost orders routers by their number of servers, then by failure domain.
func (p *planner) cost(name, domain string) int {
	r := 2 * p.count[name]
	if p.active[name].FailureDomain != domain {
		r++
	}
	return r
}

func (p *planner) assignment(s *pb.BackendServer, to string) *pb.Assignment {
	return &pb.Assignment{
		BackendServer:    s.GetName(),
		Owner:            to,
		OwnerIncarnation: p.active[to].Incarnation,
	}
}

// rebalance moves at most one server, from the router with the most servers to
// the one with the fewest, if they differ by at least two. It prefers a server
// in the failure domain of the new owner. It does nothing if place has already
// planned a move.
func (p *planner) rebalance(servers []*pb.BackendServer) {
	if len(p.activeNames) == 0 || len(p.plan.Move) > 0 {
		return
	}
	byCount := func(a, b string) int { return cmp.Compare(p.count[a], p.count[b]) }
	most, fewest := slices.MaxFunc(p.activeNames, byCount), slices.MinFunc(p.activeNames, byCount)
	if p.count[most]-p.count[fewest] < 2 {
		return
	}
	var candidate *pb.BackendServer
	for _, s := range servers {
		if s.GetGone() || s.GetOwner() != most || !p.keepsOwner(s) {
			continue
		}
		sameDomain := s.GetFailureDomain() == p.active[fewest].FailureDomain
		if candidate == nil || sameDomain && candidate.GetFailureDomain() != p.active[fewest].FailureDomain {
			candidate = s
		}
	}
	if candidate != nil {
		p.plan.Move = append(p.plan.Move, p.assignment(candidate, fewest))
	}
}
