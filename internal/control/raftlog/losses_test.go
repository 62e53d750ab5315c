package raftlog

// This file tests how many lost disks a leader states that its group bears.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// TestLossesBorne checks the number that operators see and that holds acknowledgements back. A
// voter that is silent counts, one whose disk is lost does not, and neither does one that the last
// committed membership does not have.
func TestLossesBorne(t *testing.T) {
	now := time.Minute
	n := newTestLeader(t, now)
	require.Equal(t, 1, n.LossesToBear())
	require.Zero(t, n.LossesBorne(), "nothing is committed yet")
	broadcastAndAck(n, now, "b", "c", "d")
	require.Equal(t, 1, n.LossesBorne())
	now += time.Minute
	broadcastAndAck(n, now, "b", "d")
	require.Equal(t, 1, n.LossesBorne(), "the disk of a silent voter may be intact")
	n.Step(now, &pb.RaftMessage{
		Kind:       pb.RaftKind_RAFT_KIND_APPEND_REPLY,
		From:       "b",
		Identity:   9,
		ToIdentity: 1,
		Term:       n.Term(),
		Reject:     true,
	})
	require.Zero(t, n.LossesBorne(), "the disk of b is lost")
	require.NoError(t, n.ProposeMembers(now, n.WithoutMember("c")))
	require.Zero(t, n.LossesBorne(), "of two voters none may be lost")
	require.Zero(t, (&Node{}).LossesBorne())
	require.Zero(t, (&Node{}).LossesToBear())
}
