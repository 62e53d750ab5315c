package replica

// This file tests that changes of evacuations survive the loss of replicas, and that a
// change whose caller has left is not made late.

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

func evacuate(active bool) *pb.Command {
	return &pb.Command{
		Kind: &pb.Command_Evacuation{
			Evacuation: &pb.Evacuation{
				FailureDomain: "a",
				Active:        active,
			},
		},
	}
}

func requireActive(t *testing.T, r *Replica, index uint64) {
	t.Helper()
	rows := r.Ledger.Changes(0).Evacuations
	require.Len(t, rows, 1)
	require.True(t, rows[0].GetActive())
	require.Equal(t, index, rows[0].GetChangedIndex())
}

// TestEvacuationOutlivesItsLeader: the leader is lost after the commit of an evacuation and
// before its answer. The repeated call is acknowledged by the next leader and changes
// nothing; and after more commands than a log holds, the evacuation is in the snapshot from
// which all replicas restart.
func TestEvacuationOutlivesItsLeader(t *testing.T) {
	g := startGroup(t, 3, 50)
	l := g.leader(t)
	_, err := l.Propose(t.Context(), &pb.Command{
		Kind: &pb.Command_UpdateServers{
			UpdateServers: &pb.UpdateServers{
				Servers: []*pb.BackendServer{{
					Name:          "s",
					FailureDomain: "a",
				}},
			},
		},
	})
	require.NoError(t, err)
	r, err := l.Propose(t.Context(), evacuate(true))
	require.NoError(t, err)
	index := r.GetIndex()
	g.stop(l.cfg.Name)
	repeated, err := g.leader(t).Propose(t.Context(), evacuate(true))
	require.NoError(t, err)
	require.Empty(t, repeated.GetFailure())
	requireActive(t, g.leader(t), index)
	for n := range 130 {
		_, err := g.leader(t).Propose(t.Context(), claim(n))
		require.NoError(t, err)
	}
	g.start(t, l.cfg.Name)
	for name := range g.peers {
		g.stop(name)
	}
	for name := range g.peers {
		g.start(t, name)
	}
	requireActive(t, g.leader(t), index)
}

// TestAbandonedProposalIsDropped: the replica is busy while callers give up waiting. It
// must not commit their commands afterwards, when the operator may have done the opposite
// through another instance.
func TestAbandonedProposalIsDropped(t *testing.T) {
	g := startGroup(t, 1, 1000)
	l := g.leader(t)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for n := range 100 {
		_, err := l.Propose(gone, claim(n))
		require.Error(t, err)
	}
	_, err := l.Propose(t.Context(), claim(1000))
	require.NoError(t, err)
	require.Len(t, l.Ledger.Claims(true), 1)
}
