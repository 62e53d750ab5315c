package manager_test

// This file tests that all routers learn which of them reach no backend server.

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAllRoutersLearnWhichAreIsolated: a router that reaches no backend server says so, and all others know
// it within a second, and so its end.
func TestAllRoutersLearnWhichAreIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, stop := newLargeSimulation(t)
		defer stop()
		fleet := newLinkedFleet(sim)
		fleet.routers = 20
		defer fleet.stop()
		fleet.start(1)
		fleet.awaitComplete(10 * startTime)
		require.Equal(t, fleet.routers, fleet.complete())
		for _, isolated := range []bool{true, false} {
			fleet.agents[3].SetIsolated(isolated)
			time.Sleep(time.Second)
			for _, a := range fleet.agents {
				require.Equal(t, isolated, a.Isolated("front-terrace-3"))
				require.False(t, a.Isolated("front-terrace-4"))
			}
		}
	})
}
