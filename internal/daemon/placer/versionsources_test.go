package placer_test

// This file tests the version of a server where what an instance knows of it is out of date.

import (
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
)

// TestStaleViewNamesNoVersion: an instance is cut off from the control group and lists e0 with v1, while the
// decider lists v2. It guards against a stream of v2 that is recorded as of v1, and against one of v1 that
// the instance places at e0 by itself as the decider lists no server of v1.
func TestStaleViewNamesNoVersion(t *testing.T) {
	fleet, order, v := newVersionFleet(t, 3)
	stale := fleet[order[2]]
	for _, name := range order[:2] {
		fleet[name].placer.Update(withVersions(v, "v2", "v2", "v2"))
	}
	g, err := placeOnlyAt(t, stale, "e0", "", 1000)
	require.NoError(t, err)
	require.True(t, g.VersionUnknown)
	for unique, version := range []string{"v1", "v2"} {
		_, err = placeOnlyAt(t, stale, "e0", version, uint64(2000+unique))
		require.Error(t, err, version)
		require.False(t, fault.MayHaveRun(err))
	}
	stale.placer.Update(withVersions(v, "v2", "v2", "v2"))
	g, err = placeOnlyAt(t, stale, "e0", "v2", 3000)
	require.NoError(t, err)
	require.False(t, g.VersionUnknown)
}
