package formation_test

// This file checks the rules of a seed one by one.

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/control/formation"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

func ballot(round uint64, proposer string) *pb.FormationBallot {
	return &pb.FormationBallot{
		Round:    round,
		Proposer: proposer,
	}
}

// TestSeedKeepsItsPromise: after a promise, a seed promises and accepts nothing of a lower ballot, nor
// accepts in a higher one that it has not promised.
func TestSeedKeepsItsPromise(t *testing.T) {
	s, granted := formation.Prepare(formation.FirstStart([]string{"a", "b"}), ballot(2, "b"))
	require.True(t, granted)
	for _, lower := range []*pb.FormationBallot{ballot(1, "b"), ballot(2, "a")} {
		_, granted = formation.Prepare(s, lower)
		require.False(t, granted)
		_, granted = formation.Accept(s, &pb.FormAccept{
			Ballot: lower,
		})
		require.False(t, granted)
	}
	_, granted = formation.Accept(s, &pb.FormAccept{
		Ballot: ballot(3, "a"),
	})
	require.False(t, granted)
	_, granted = formation.Accept(s, &pb.FormAccept{
		Ballot: ballot(2, "b"),
	})
	require.True(t, granted)
}

// TestSeedWithoutVoteAcceptsOnlyWhatAllHavePromised: a seed that has lost its disk may have accepted members
// that it no longer knows of.
func TestSeedWithoutVoteAcceptsOnlyWhatAllHavePromised(t *testing.T) {
	s, granted := formation.Prepare(nil, ballot(1, "a"))
	require.True(t, granted)
	require.False(t, s.GetVoter())
	accept := &pb.FormAccept{
		Ballot: ballot(1, "a"),
		Seeds:  []string{"a", "b"},
	}
	_, granted = formation.Accept(s, accept)
	require.False(t, granted)
	accept.Unanimous = true
	s, granted = formation.Accept(s, accept)
	require.True(t, granted)
	require.True(t, s.GetVoter())
	require.Equal(t, accept.Seeds, s.GetSeeds())
}

// TestProposalNeedsMoreThanHalfOfTheVoters: a seed without a vote counts only if all seeds have promised.
func TestProposalNeedsMoreThanHalfOfTheVoters(t *testing.T) {
	promise := func(voter bool) *pb.FormResponse {
		return &pb.FormResponse{
			Granted: true,
			State: &pb.FormationState{
				Voter: voter,
			},
		}
	}
	for _, c := range []struct {
		promises map[string]bool
		members  int
	}{
		{map[string]bool{"a": true}, 0},
		{map[string]bool{"a": true, "b": false}, 0},
		{map[string]bool{"a": true, "b": true}, 2},
		{map[string]bool{"a": true, "b": true, "c": false}, 3},
		{map[string]bool{"a": true, "b": false, "c": false}, 3},
	} {
		p := formation.Proposal{
			Seeds: []string{"a", "b", "c"},
		}
		for address, voter := range c.promises {
			p.Promised(address, promise(voter))
		}
		require.Len(t, p.Propose().GetMembers().GetMembers(), c.members)
	}
}

// TestMembersThatWereAcceptedAreProposedAgain: they may have been chosen. Of several, those of the highest
// ballot are proposed.
func TestMembersThatWereAcceptedAreProposedAgain(t *testing.T) {
	p := formation.Proposal{
		Ballot: ballot(4, "c"),
		Seeds:  []string{"a", "b", "c"},
	}
	for address, round := range map[string]uint64{"a": 2, "b": 3, "c": 0} {
		state := formation.FirstStart(p.Seeds)
		if round > 0 {
			state.Accepted = ballot(round, address)
			state.Members = &pb.RaftMembers{
				Members: []*pb.RaftMember{{Name: fmt.Sprint("of round ", round)}},
			}
		}
		p.Promised(address, &pb.FormResponse{
			Granted: true,
			State:   state,
		})
	}
	got := p.Propose().GetMembers().GetMembers()
	require.Len(t, got, 1)
	require.Equal(t, "of round 3", got[0].GetName())
}

// TestSeedsThatStartTogetherAreWaitedFor: a seed that does not answer yet is waited for, but not for long
// once more than half could form the group.
func TestSeedsThatStartTogetherAreWaitedFor(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	voter := &pb.ReplicaStateResponse{
		Identity: 1,
		Formation: &pb.FormationStatus{
			Voter: true,
		},
	}
	var turn formation.Turn
	look := func(now time.Duration, self string, answering ...string) string {
		answers := make(map[string]*pb.ReplicaStateResponse)
		for _, s := range answering {
			answers[s] = voter
		}
		_, reason := turn.Look(now, self, seeds, answers)
		return reason
	}
	require.Equal(t, formation.NoAnswer, look(0, "b", "b"))
	require.Equal(t, formation.NoAnswer, look(100*time.Millisecond, "b", "b", "c"))
	require.Equal(t, formation.NoAnswer, look(time.Second, "b", "b", "c"))
	require.Empty(t, look(1100*time.Millisecond, "b", "b", "c"))

	turn = formation.Turn{}
	require.Empty(t, look(0, "a", "a", "b", "c"))
	turn = formation.Turn{}
	require.Equal(t, formation.OthersTurn, look(0, "b", "a", "b", "c"))
	require.Empty(t, look(500*time.Millisecond, "b", "a", "b", "c"))
}

// TestSeedOfAnotherBuildIsNotCounted: builds of before form groups by themselves, and have no votes.
func TestSeedOfAnotherBuildIsNotCounted(t *testing.T) {
	old := &pb.ReplicaStateResponse{
		Identity: 1,
		Empty:    true,
	}
	voter := &pb.ReplicaStateResponse{
		Identity: 1,
		Formation: &pb.FormationStatus{
			Voter: true,
		},
	}
	var turn formation.Turn
	for _, now := range []time.Duration{0, 10 * time.Second} {
		_, reason := turn.Look(now, "a", []string{"a", "b", "c"}, map[string]*pb.ReplicaStateResponse{
			"a": voter,
			"b": old,
			"c": old,
		})
		require.Equal(t, formation.OldBuild, reason)
	}
	old.Empty = false
	_, reason := turn.Look(20*time.Second, "a", []string{"a", "b", "c"}, map[string]*pb.ReplicaStateResponse{
		"a": voter,
		"b": voter,
		"c": old,
	})
	require.Equal(t, formation.GroupExists, reason)
}
