package raftlog

// This file tests which members are voters and which are learners on standby.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// newTestLeader returns node a, elected leader at the given time. The group has
// the voters a, b and c, the learner d, and a target of three voters.
func newTestLeader(t *testing.T, now time.Duration) *Node {
	t.Helper()
	first, err := BootstrapEntry(&pb.RaftMembers{
		Members: []*pb.RaftMember{
			{Name: "a", Identity: 1, Address: "a:1"},
			{Name: "b", Identity: 2, Address: "b:1"},
			{Name: "c", Identity: 3, Address: "c:1"},
			{Name: "d", Identity: 4, Address: "d:1", Learner: true},
		},
	})
	require.NoError(t, err)
	n := New(Config{
		Name:     "a",
		Identity: 1,
		Voters:   3,
	}, Stored{
		HardState: &pb.RaftHardState{
			Term: 1,
		},
		Entries: []*pb.RaftEntry{first},
	}, 0)
	n.campaign(now, candidate, false)
	n.Step(now, &pb.RaftMessage{
		Kind:       pb.RaftKind_RAFT_KIND_VOTE_REPLY,
		From:       "b",
		Identity:   2,
		ToIdentity: 1,
		Term:       n.Term(),
	})
	require.True(t, n.IsLeader())
	n.Ready()
	n.Synced(now)
	return n
}

// broadcastAndAck makes the leader send a round of messages, which the given
// members acknowledge.
func broadcastAndAck(n *Node, now time.Duration, members ...string) {
	identity := map[string]uint64{"b": 2, "c": 3, "d": 4}
	n.broadcast(now)
	for _, m := range n.Ready().Messages {
		for _, name := range members {
			if m.GetTo() != name {
				continue
			}
			n.Step(now, &pb.RaftMessage{
				Kind:       pb.RaftKind_RAFT_KIND_APPEND_REPLY,
				From:       name,
				Identity:   identity[name],
				ToIdentity: 1,
				Term:       n.Term(),
				LogIndex:   n.LastIndex(),
				Round:      m.GetRound(),
			})
		}
	}
	n.Synced(now)
}

// names returns the names of either the learners or the voters.
func names(members *pb.RaftMembers, learner bool) []string {
	var out []string
	for _, m := range members.GetMembers() {
		if m.GetLearner() == learner {
			out = append(out, m.GetName())
		}
	}
	return out
}

// TestNoRepairWhileAllVotersAnswer checks that a learner on standby replaces no
// voter that answers.
func TestNoRepairWhileAllVotersAnswer(t *testing.T) {
	n := newTestLeader(t, time.Minute)
	for now := time.Minute; now < 2*time.Minute; now += 100 * time.Millisecond {
		broadcastAndAck(n, now, "b", "c", "d")
		require.Nil(t, n.NextRepair(now))
	}
}

// TestLearnerReplacesSilentVoter checks that a voter that does not answer is
// replaced by a learner in two steps, not before voterReplaceTimeout, and that no
// step leaves fewer voters than wanted: the disk of the silent voter may be intact,
// and a group with one voter less bears the loss of one disk less.
func TestLearnerReplacesSilentVoter(t *testing.T) {
	n := newTestLeader(t, time.Minute)
	now := time.Minute
	for ; now < time.Minute+voterReplaceTimeout; now += 100 * time.Millisecond {
		broadcastAndAck(n, now, "b", "d")
		require.Nil(t, n.NextRepair(now), "the voter was replaced before voterReplaceTimeout")
	}
	broadcastAndAck(n, now, "b", "d")
	next := n.NextRepair(now)
	require.Equal(t, []string{"a", "b", "c", "d"}, names(next, false))
	require.NoError(t, n.ProposeMembers(now, next))
	require.Equal(t, 1, n.LossesBorne())
	n.Ready()
	n.Synced(now)
	require.Nil(t, n.NextRepair(now), "the step before is not committed")
	broadcastAndAck(n, now, "b", "d")
	next = n.NextRepair(now)
	require.Equal(t, []string{"a", "b", "d"}, names(next, false))
	require.Equal(t, []string{"c"}, names(next, true))
	require.NoError(t, n.ProposeMembers(now, next))
	require.Equal(t, 1, n.LossesBorne())
	broadcastAndAck(n, now, "b", "d")
	require.Nil(t, n.NextRepair(now))
	require.Equal(t, 1, n.LossesBorne())
}

// TestVoterThatReturnsDuringItsReplacement checks that a group does not stay with more
// voters than wanted if the silent voter answers again before it is taken out.
func TestVoterThatReturnsDuringItsReplacement(t *testing.T) {
	now := time.Minute
	n := newTestLeader(t, now)
	now += voterReplaceTimeout
	broadcastAndAck(n, now, "b", "d")
	require.NoError(t, n.ProposeMembers(now, n.NextRepair(now)))
	broadcastAndAck(n, now, "b", "c", "d")
	require.Len(t, names(n.Members(), false), 4)
	next := n.NextRepair(now)
	require.Len(t, names(next, false), 3)
	require.Contains(t, names(next, false), "a", "the leader must not take itself out")
}

// TestSilentVoterStaysWithoutLearner checks that a voter that does not answer
// stays a voter while no learner has caught up. Removing it would leave a group
// of fewer voters, which tolerates fewer failures.
func TestSilentVoterStaysWithoutLearner(t *testing.T) {
	n := newTestLeader(t, time.Minute)
	for now := time.Minute; now < 2*time.Minute; now += 100 * time.Millisecond {
		broadcastAndAck(n, now, "b")
		require.Nil(t, n.NextRepair(now))
	}
}

func TestMembersAfterJoin(t *testing.T) {
	n := newTestLeader(t, time.Minute)
	require.Nil(t, n.WithReplica("b", "b:1", 2), "b is already listed with this address and identity")
	require.Equal(t, []string{"d", "e"}, names(n.WithReplica("e", "e:1", 5), true))
	wiped := n.WithReplica("b", "b:1", 9)
	require.Equal(t, []string{"a", "c"}, names(wiped, false), "a replica that lost its disk must not stay a voter")
	require.Equal(t, []string{"b", "d"}, names(wiped, true))
	require.Len(t, wiped.GetMembers(), 4)
	moved := n.WithReplica("c", "c:2", 3)
	require.Equal(t, []string{"a", "b", "c"}, names(moved, false))
	require.Equal(t, "c:2", moved.GetMembers()[2].GetAddress())
}
