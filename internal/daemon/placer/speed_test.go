package placer_test

// This file tests that the speed which a server states to one instance reaches the decider.

import (
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

// TestStatedSpeedReachesTheDecider: a server tells an instance that its work takes four times as
// long. The decider, another instance, went on sending it the prompts of which it has a part
// cached.
func TestStatedSpeedReachesTheDecider(t *testing.T) {
	fleet, order := newFleet(t, 3, nil)
	asking := fleet[order[2]].placer
	g, err := place(t, asking, 1000)
	require.NoError(t, err)
	require.Equal(t, order[0], g.Decider)
	slow := g.Server
	g.Report(scheduler.Report{
		Event:       scheduler.Started,
		HasLoad:     true,
		Running:     1,
		WorkPercent: 400,
	})
	// The report arrives before the next request of the same stream.
	g, err = place(t, asking, 2000)
	require.NoError(t, err)
	require.NotEqual(t, slow, g.Server)
}
