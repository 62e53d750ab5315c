// Package formation decides how seeds form the control group at the first start of the system,
// although some of them may be lost meanwhile.
//
// The members of the new group are chosen as in single-decree Paxos: a seed that proposes members
// asks the others for the promise to accept nothing of a lower ballot, proposes the members that
// one of them has accepted before, or those that have promised, and the members are chosen once
// more than half of all seeds have accepted them. What a seed has promised and accepted is durable.
//
// Only a seed that remembers all its votes may vote: one whose disk has been empty at the first start, and
// has not been lost since. A seed that has lost its disk has no vote, since it may have accepted
// members that it no longer knows of. It gets one back by accepting, in a ballot for which every
// seed has promised: then none of them knows of members that were accepted, or those are proposed,
// and no lower ballot can choose any more.
//
// A seed accepts only in the ballot that it has promised last, so that nothing counts that was sent to
// the disk that it had before.
package formation

// This file defines what a seed does with the requests of others.

import (
	"cmp"

	"google.golang.org/protobuf/proto"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Quorum returns how many of a number of seeds are more than half.
func Quorum(seeds int) int { return seeds/2 + 1 }

// Compare orders ballots.
func Compare(a, b *pb.FormationBallot) int {
	return cmp.Or(cmp.Compare(a.GetRound(), b.GetRound()), cmp.Compare(a.GetProposer(), b.GetProposer()))
}

// Prepare returns the state of a seed after it was asked for a promise, and whether it gives it. The
// state has to be durable before the answer is sent.
func Prepare(s *pb.FormationState, ballot *pb.FormationBallot) (next *pb.FormationState, granted bool) {
	switch c := Compare(ballot, s.GetPromised()); {
	case c < 0:
		return s, false
	case c == 0:
		return s, true
	}
	next = clone(s)
	next.Promised = ballot
	return next, true
}

// Accept returns the state of a seed after it was asked to accept members, and whether it has accepted
// them. The state has to be durable before the answer is sent.
func Accept(s *pb.FormationState, r *pb.FormAccept) (next *pb.FormationState, granted bool) {
	if Compare(r.GetBallot(), s.GetPromised()) != 0 || !s.GetVoter() && !r.GetUnanimous() {
		return s, false
	}
	next = clone(s)
	next.Accepted, next.Members = r.GetBallot(), r.GetMembers()
	if !next.Voter {
		next.Voter, next.Seeds = true, r.GetSeeds()
	}
	return next, true
}

// FirstStart returns the state of a seed whose disk is empty at the first start.
func FirstStart(seeds []string) *pb.FormationState {
	return &pb.FormationState{
		Seeds: seeds,
		Voter: true,
	}
}

func clone(s *pb.FormationState) *pb.FormationState {
	if s == nil {
		return &pb.FormationState{}
	}
	return proto.CloneOf(s)
}
