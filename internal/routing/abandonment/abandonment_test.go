package abandonment_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/abandonment"
)

// TestOnlyRepeatedDeparturesCount guards against a check of the server for each caller that leaves.
func TestOnlyRepeatedDeparturesCount(t *testing.T) {
	var tr abandonment.Tracker
	require.False(t, tr.Left(1))
	require.False(t, tr.Left(2))
	require.True(t, tr.Left(1))
	tr.Answered(1)
	require.False(t, tr.Left(1))
}

// TestInventedRequestsAreBounded guards against memory that grows with the requests of callers.
func TestInventedRequestsAreBounded(t *testing.T) {
	var tr abandonment.Tracker
	for fingerprint := range uint64(10_000) {
		require.False(t, tr.Left(fingerprint+1))
	}
	require.False(t, tr.Left(1), "the oldest are dropped")
}
