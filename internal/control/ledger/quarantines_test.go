package ledger

// This file tests the table of quarantined parts of prompts.

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

func quarantineCommand(id uint64, released bool, parts ...uint64) *pb.Command {
	return &pb.Command{
		Kind: &pb.Command_Quarantine{
			Quarantine: &pb.Quarantine{
				Service:  "llm",
				Id:       id,
				Parts:    parts,
				Released: released,
			},
		},
	}
}

// TestQuarantineOutlivesTheReplica: a quarantine is in the snapshot, and its release
// reaches a router that has the row.
func TestQuarantineOutlivesTheReplica(t *testing.T) {
	l := &Ledger{}
	require.Empty(t, l.Apply(1, quarantineCommand(7, false, 1, 2)).GetFailure())
	require.Empty(t, l.Apply(2, quarantineCommand(7, false, 2)).GetFailure())
	require.Empty(t, l.Apply(3, quarantineCommand(7, false, 1, 2)).GetFailure(), "another instance is late")
	require.Empty(t, l.Changes(2).Quarantines, "nothing has changed")
	b, err := l.Encode()
	require.NoError(t, err)
	restored := &Ledger{}
	require.NoError(t, restored.Restore(b))
	rows := restored.Changes(0).Quarantines
	require.Len(t, rows, 1)
	require.Equal(t, []uint64{2}, rows[0].GetParts())
	require.Empty(t, restored.Apply(4, quarantineCommand(7, true)).GetFailure())
	rows = restored.Changes(3).Quarantines
	require.Len(t, rows, 1)
	require.True(t, rows[0].GetReleased())
	require.Equal(t, fault.UnknownQuarantine, restored.Apply(5, quarantineCommand(7, true)).GetFailure())
	require.Equal(t, fault.UnknownQuarantine, restored.Apply(6, quarantineCommand(8, true)).GetFailure())
}

// TestQuarantinesAreBounded: the table keeps the latest quarantines, and drops those that
// have ended first.
func TestQuarantinesAreBounded(t *testing.T) {
	l := &Ledger{}
	index := uint64(0)
	apply := func(c *pb.Command) {
		index++
		l.Apply(index, c)
	}
	for id := uint64(1); id <= maxQuarantines; id++ {
		apply(quarantineCommand(id, false, id))
	}
	apply(quarantineCommand(100, true))
	apply(quarantineCommand(1000, false, 1))
	rows := l.Changes(0).Quarantines
	require.Len(t, rows, maxQuarantines)
	for _, q := range rows {
		require.False(t, q.GetReleased())
	}
}

// TestSuspectedRequestsAreDroppedFirst guards against a request that is known to crash servers and is
// dropped for the many that were beside it.
func TestSuspectedRequestsAreDroppedFirst(t *testing.T) {
	l := &Ledger{}
	apply := func(id uint64, failedTrials uint32) {
		l.Apply(id, &pb.Command{
			Kind: &pb.Command_Quarantine{
				Quarantine: &pb.Quarantine{
					Service:      "s",
					Id:           id,
					Parts:        []uint64{id},
					WholeRequest: true,
					FailedTrials: failedTrials,
				},
			},
		})
	}
	apply(1, 1)
	for id := uint64(2); id <= 2*maxQuarantines; id++ {
		apply(id, 0)
	}
	rows := l.Changes(0).Quarantines
	require.Len(t, rows, maxQuarantines)
	require.True(t, slices.ContainsFunc(rows, func(q *pb.Quarantine) bool { return q.GetId() == 1 }))
}
