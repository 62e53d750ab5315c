package scheduler_test

// This file replays servers that fail requests while their health is good.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

const (
	greyServers = 4
	greyGap     = 25 * time.Millisecond // between two requests
	greyRuns    = 15 * time.Millisecond
	greyFrom    = 4 * time.Second
	greyUntil   = 8 * time.Second
	greyEnd     = 14 * time.Second
	// everyBad is how often a request fails at whatever server it runs.
	everyBad = 20
)

// TestGreyServer: one of four servers fails all that it runs for four seconds,
// and one request in twenty fails wherever it runs. A third of its fair share at
// most goes to the failing server, and it has at least half of its share back
// in the last three seconds of the six after it has recovered.
func TestGreyServer(t *testing.T) {
	s := scheduler.New(scheduler.Service{
		Name:        "app",
		Slots:       6,
		RetryWindow: 10 * time.Second,
	})
	list(s, greyServers, 6)
	id, during, lost, after := uint64(0), 0, 0, 0
	for now := time.Duration(0); now < greyEnd; now += greyGap {
		id++
		d, ok := s.Ask(now, scheduler.Ask{
			ID:   id,
			Wait: 50 * time.Millisecond,
		})
		require.True(t, ok)
		require.NotEmpty(t, d.Server)
		grey := now >= greyFrom && now < greyUntil
		event := scheduler.Done
		if id%everyBad == 0 || grey && d.Server == "e0" {
			event = scheduler.Failed
		}
		if grey {
			during++
			if d.Server == "e0" {
				lost++
			}
		}
		if now >= greyEnd-3*time.Second && d.Server == "e0" {
			after++
		}
		s.Report(now+greyRuns, id, scheduler.Report{
			Event: event,
		})
	}
	share := during / greyServers
	lastShare := int(3*time.Second/greyGap) / greyServers
	t.Logf("%d of %d went to the failing server, %d of a share of %d afterwards", lost, during, after, lastShare)
	require.LessOrEqual(t, lost, share/3)
	require.GreaterOrEqual(t, after, lastShare/2)
}
