package raftlog

// This file tests single rules of the protocol on one node.

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

func TestQuorumOf(t *testing.T) {
	for _, c := range []struct {
		values []uint64
		want   uint64
	}{
		{values: []uint64{5}, want: 5},
		{values: []uint64{5, 3}, want: 3},
		{values: []uint64{1, 9, 5}, want: 5},
		{values: []uint64{1, 2, 3, 4}, want: 2},
		{values: []uint64{5, 1, 4, 2, 3}, want: 3},
	} {
		require.Equal(t, c.want, quorumOf(slices.Clone(c.values)), "%v", c.values)
	}
}

// threeMembers returns the bootstrap entry of a group of a, b and c.
func threeMembers(t *testing.T) *pb.RaftEntry {
	t.Helper()
	e, err := BootstrapEntry(&pb.RaftMembers{
		Members: []*pb.RaftMember{
			{Name: "a", Identity: 1},
			{Name: "b", Identity: 2},
			{Name: "c", Identity: 3},
		},
	})
	require.NoError(t, err)
	return e
}

// TestCommitsOnlyOwnTerm checks that an entry of an earlier term is not committed
// merely because a quorum holds it. A later leader may still overwrite such an
// entry, until an entry of the present leader's term is committed after it.
func TestCommitsOnlyOwnTerm(t *testing.T) {
	first := threeMembers(t)
	n := New(Config{
		Name:     "a",
		Identity: 1,
	}, Stored{
		HardState: &pb.RaftHardState{
			Term: 3,
		},
		Entries: []*pb.RaftEntry{first, {
			Index: 2,
			Term:  2,
			Kind:  pb.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND,
		}},
	}, 0)
	n.campaign(time.Minute, candidate, false)
	n.Step(time.Minute, &pb.RaftMessage{
		Kind:       pb.RaftKind_RAFT_KIND_VOTE_REPLY,
		From:       "b",
		Identity:   2,
		ToIdentity: 1,
		Term:       n.Term(),
	})
	require.True(t, n.IsLeader())
	ack := func(index uint64) {
		n.Step(time.Minute, &pb.RaftMessage{
			Kind:       pb.RaftKind_RAFT_KIND_APPEND_REPLY,
			From:       "b",
			Identity:   2,
			ToIdentity: 1,
			Term:       n.Term(),
			LogIndex:   index,
		})
	}
	n.Ready()
	n.Synced(time.Minute)
	ack(2)
	require.Zero(t, n.Commit())
	ack(3)
	require.EqualValues(t, 3, n.Commit())
}

// TestLostDiskVoteNotCounted checks that the vote of a replica which lost its
// disk, and therefore replies under another identity, is not counted. It may
// have voted for another candidate of the same term before.
func TestLostDiskVoteNotCounted(t *testing.T) {
	e := threeMembers(t)
	n := New(Config{
		Name:     "a",
		Identity: 1,
	}, Stored{
		HardState: &pb.RaftHardState{
			Term: 1,
		},
		Entries: []*pb.RaftEntry{e},
	}, 0)
	n.campaign(time.Minute, candidate, false)
	vote := func(identity uint64) *pb.RaftMessage {
		return &pb.RaftMessage{
			Kind:       pb.RaftKind_RAFT_KIND_VOTE_REPLY,
			From:       "b",
			Identity:   identity,
			ToIdentity: 1,
			Term:       n.Term(),
		}
	}
	n.Step(time.Minute, vote(99))
	require.False(t, n.IsLeader())
	n.Step(time.Minute, vote(2))
	require.True(t, n.IsLeader())
}
