package formation

// This file defines Proposal.

import (
	"maps"
	"slices"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Proposal is one attempt of a seed to have the members of a new group chosen. Its seed has to promise
// and to accept like the others. It is not safe for concurrent use.
type Proposal struct {
	Ballot *pb.FormationBallot
	// Seeds holds the addresses of all seeds.
	Seeds []string

	// promises holds the answers of the seeds that have promised, by address.
	promises map[string]*pb.FormResponse
	// accept is what is proposed to them; nil before Propose.
	accept   *pb.FormAccept
	accepted map[string]bool
}

// NextBallot returns a ballot of the seed at an address above the one that it has promised, and above a
// round that it has seen.
func NextBallot(s *pb.FormationState, address string, seen uint64) *pb.FormationBallot {
	return &pb.FormationBallot{
		Round:    max(s.GetPromised().GetRound(), seen) + 1,
		Proposer: address,
	}
}

// Promised records the answer of the seed at an address to the request for a promise.
func (p *Proposal) Promised(address string, r *pb.FormResponse) {
	if !r.GetGranted() || !slices.Contains(p.Seeds, address) {
		return
	}
	if p.promises == nil {
		p.promises = make(map[string]*pb.FormResponse)
	}
	p.promises[address] = r
}

// Propose returns what the seeds that have promised are to accept, or nil if too few have.
func (p *Proposal) Propose() *pb.FormAccept {
	unanimous := len(p.promises) == len(p.Seeds)
	if !unanimous {
		maps.DeleteFunc(p.promises, func(_ string, r *pb.FormResponse) bool { return !r.GetState().GetVoter() })
	}
	if len(p.promises) < Quorum(len(p.Seeds)) {
		return nil
	}
	p.accepted = make(map[string]bool)
	p.accept = &pb.FormAccept{
		Ballot:    p.Ballot,
		Members:   p.members(),
		Unanimous: unanimous,
		Seeds:     p.Seeds,
	}
	return p.accept
}

// Asked returns the addresses of the seeds that are to accept.
func (p *Proposal) Asked() []string { return slices.Sorted(maps.Keys(p.promises)) }

// members returns the members that were accepted in the highest ballot, or those that have promised.
func (p *Proposal) members() *pb.RaftMembers {
	var last *pb.FormationState
	out := &pb.RaftMembers{}
	for _, address := range p.Asked() {
		r := p.promises[address]
		if s := r.GetState(); s.GetAccepted() != nil && (last == nil || Compare(s.GetAccepted(), last.GetAccepted()) > 0) {
			last = s
		}
		out.Members = append(out.Members, &pb.RaftMember{
			Name:     r.GetInstance(),
			Address:  address,
			Identity: r.GetIdentity(),
		})
	}
	if last != nil {
		return last.GetMembers()
	}
	return out
}

// Accepted records the answer of the seed at an address to Propose's request. It reports whether the
// members are chosen.
func (p *Proposal) Accepted(address string, r *pb.FormResponse) (chosen bool) {
	if r.GetGranted() && p.promises[address] != nil {
		p.accepted[address] = true
	}
	return len(p.accepted) >= Quorum(len(p.Seeds))
}
