// Package assignment decides which router owns which backend server.
//
// The plan is balanced, prefers routers of the server's own failure domain,
// and moves little: a server whose owner is alive keeps it unless the owner is
// leaving or holds at least two more servers than another router.
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

// Input is what a plan is made from.
type Input struct {
	Servers []*pb.BackendServer
	Routers []Router
	// Free reports whether the present owner can no longer be admitting.
	Free func(*pb.BackendServer) bool
}

// Plan is what should change.
type Plan struct {
	// Assign may be committed at once.
	Assign []*pb.Assignment
	// Move asks the present owner to hand a server over and release it.
	Move []*pb.Assignment
}

// Make plans the next changes. Its result depends on the input alone.
func Make(in Input) Plan {
	p := planner{
		count: make(map[string]int),
		alive: make(map[string]Router),
	}
	for _, r := range in.Routers {
		if !r.Leaving {
			p.alive[r.Name] = r
			p.names = append(p.names, r.Name)
		}
	}
	slices.Sort(p.names)
	servers := slices.Clone(in.Servers)
	slices.SortFunc(servers, func(a, b *pb.BackendServer) int { return cmp.Compare(a.GetName(), b.GetName()) })
	for _, s := range servers {
		if !s.GetGone() && p.keeps(s) {
			p.count[s.GetOwner()]++
		}
	}
	p.place(servers, in.Free)
	p.rebalance(servers)
	return p.plan
}

type planner struct {
	alive map[string]Router
	names []string
	count map[string]int
	plan  Plan
}

// keeps reports whether the server's owner is alive and stays.
func (p *planner) keeps(s *pb.BackendServer) bool {
	r, ok := p.alive[s.GetOwner()]
	return ok && r.Incarnation == s.GetOwnerIncarnation()
}

func (p *planner) place(servers []*pb.BackendServer, free func(*pb.BackendServer) bool) {
	for _, s := range servers {
		if s.GetGone() || p.keeps(s) {
			continue
		}
		next, ok := p.best(s.GetFailureDomain())
		if !ok {
			return
		}
		a := p.assignment(s, next)
		p.count[next]++
		if free(s) {
			p.plan.Assign = append(p.plan.Assign, a)
			continue
		}
		p.plan.Move = append(p.plan.Move, a)
	}
}

// best returns the router with the fewest servers; a router of the given
// failure domain wins when it holds at most as many as any other.
func (p *planner) best(domain string) (string, bool) {
	best := ""
	for _, name := range p.names {
		if best == "" || p.rank(name, domain) < p.rank(best, domain) {
			best = name
		}
	}
	return best, best != ""
}

func (p *planner) rank(name, domain string) int {
	r := 2 * p.count[name]
	if p.alive[name].FailureDomain != domain {
		r++
	}
	return r
}

func (p *planner) assignment(s *pb.BackendServer, to string) *pb.Assignment {
	return &pb.Assignment{
		BackendServer:    s.GetName(),
		Owner:            to,
		OwnerIncarnation: p.alive[to].Incarnation,
	}
}

// rebalance moves at most one server, from the fullest router to the emptiest.
func (p *planner) rebalance(servers []*pb.BackendServer) {
	if len(p.names) == 0 || len(p.plan.Move) > 0 {
		return
	}
	byCount := func(a, b string) int { return cmp.Compare(p.count[a], p.count[b]) }
	full, empty := slices.MaxFunc(p.names, byCount), slices.MinFunc(p.names, byCount)
	if p.count[full]-p.count[empty] < 2 {
		return
	}
	var pick *pb.BackendServer
	for _, s := range servers {
		if s.GetGone() || s.GetOwner() != full || !p.keeps(s) {
			continue
		}
		near := s.GetFailureDomain() == p.alive[empty].FailureDomain
		if pick == nil || near && pick.GetFailureDomain() != p.alive[empty].FailureDomain {
			pick = s
		}
	}
	if pick != nil {
		p.plan.Move = append(p.plan.Move, p.assignment(pick, empty))
	}
}
