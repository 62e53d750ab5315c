package placer_test

// This file tests that the size of a whole prompt reaches the decider.

import (
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
)

// TestDeciderRefusesWhatNoEngineHolds: the parts of a prompt may be less than the whole of it.
// A request that no engine can hold is refused with a reason of its own, which promises that
// it was not run.
func TestDeciderRefusesWhatNoEngineHolds(t *testing.T) {
	fleet, order := newFleet(t, 3, nil)
	req := newRequest(100, 1)
	req.PromptTokens, req.MaxOutputTokens = 99_000, 1001
	_, err := fleet[order[2]].placer.Place(t.Context(), service, req)
	require.Equal(t, fault.PromptTooLarge, fault.KindOf(err))
	require.False(t, fault.MayHaveRun(err))
	req.MaxOutputTokens = 1000
	_, err = fleet[order[2]].placer.Place(t.Context(), service, req)
	require.NoError(t, err)
}
