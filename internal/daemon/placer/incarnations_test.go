package placer_test

// This file tests what instances tell one another of servers that leave and start anew.

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/routing/scheduler"
)

// placeAtE0 places a request that only e0 may run.
func placeAtE0(t *testing.T, p *placer.Placer, unique uint64) (*placer.Grant, error) {
	t.Helper()
	req := newRequest(unique, unique)
	req.Tried = []string{"e1", "e2"}
	return p.Place(t.Context(), service, req)
}

// TestServerThatRestartedUnseenIsUsedByAll guards against a server that an instance leaves out for good, and
// takes out for the decider too, as neither has heard that it has started anew: the list never showed
// that it left. The decider asks it; the other instances learn that from its decisions.
func TestServerThatRestartedUnseenIsUsedByAll(t *testing.T) {
	fleet, order := newFleet(t, 3, nil)
	decider, requester := fleet[order[0]], fleet[order[2]]
	g, err := placeAtE0(t, requester.placer, 1000)
	require.NoError(t, err)
	g.Report(scheduler.Report{
		Event:   scheduler.Done,
		Leaving: true,
	})
	// Never may return while its last call is still in progress.
	var unique atomic.Uint64
	serves := func() bool {
		g, err := placeAtE0(t, requester.placer, 2000+unique.Add(1))
		if err != nil {
			return false
		}
		g.Report(scheduler.Report{
			Event: scheduler.Done,
		})
		return true
	}
	require.Never(t, serves, 2*time.Second, 100*time.Millisecond)
	require.Zero(t, decider.healthChecks.Load())
	decider.serving.Store(true)
	require.Eventually(t, serves, 5*time.Second, 50*time.Millisecond)
	for range 20 {
		require.True(t, serves())
	}
	require.LessOrEqual(t, decider.healthChecks.Load(), int32(2))
	require.Zero(t, requester.healthChecks.Load(), "it learns it from the decider")
}

// TestAnnouncementReadAfterAFreezeCountsFromItsBegin guards against an instance that wakes from a freeze and
// passes on, as new, that a server leaves, which said so before it started anew.
func TestAnnouncementReadAfterAFreezeCountsFromItsBegin(t *testing.T) {
	for name, frozen := range map[string]bool{"frozen": true, "not frozen": false} {
		t.Run(name, func(t *testing.T) {
			fleet, order := newFleet(t, 3, nil)
			decider, requester := fleet[order[0]], fleet[order[2]]
			late, err := placeAtE0(t, requester.placer, 1000)
			require.NoError(t, err)
			require.Equal(t, order[0], late.Decider)
			time.Sleep(100 * time.Millisecond)
			g, err := placeAtE0(t, decider.placer, 1001)
			require.NoError(t, err)
			g.Report(scheduler.Report{
				Event:  scheduler.Done,
				Opened: decider.now(),
			})
			time.Sleep(50 * time.Millisecond)
			if frozen {
				requester.frozenFor.Store(int64(6 * time.Second))
			}
			late.Report(scheduler.Report{
				Event:   scheduler.Done,
				Leaving: true,
			})
			time.Sleep(200 * time.Millisecond)
			for _, in := range []*instance{decider, requester} {
				_, err := placeAtE0(t, in.placer, 1002)
				require.Equal(t, frozen, err == nil, "decider %t: %v", in == decider, err)
			}
		})
	}
}
