package scheduler_test

// This file tests grey failures: a server that fails requests while its health checks
// pass.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

const (
	greyServers     = 4
	greyInterval    = 25 * time.Millisecond // between two requests
	greyServiceTime = 15 * time.Millisecond // of one request
	greyFrom        = 4 * time.Second
	greyUntil       = 8 * time.Second
	greyEnd         = 14 * time.Second
	// backgroundFailureEvery makes every request with a multiple of it as its number
	// fail, whichever server runs it.
	backgroundFailureEvery = 20
)

// TestGreyServer lets one of four servers fail every request for four seconds, while
// one request in twenty fails on any server. During the failure the server must get
// at most a third of its fair share of the requests, and in the last three of the
// six seconds after its recovery at least half of it.
func TestGreyServer(t *testing.T) {
	s := scheduler.New(scheduler.Service{
		Name:        "app",
		Slots:       6,
		RetryWindow: 10 * time.Second,
	})
	listServers(s, greyServers, 6)
	id, duringFault, toGrey, afterRecovery := uint64(0), 0, 0, 0
	for now := time.Duration(0); now < greyEnd; now += greyInterval {
		id++
		d, ok := s.Schedule(now, scheduler.Request{
			ID:      id,
			MaxWait: 50 * time.Millisecond,
		})
		require.True(t, ok)
		require.NotEmpty(t, d.Server)
		grey := now >= greyFrom && now < greyUntil
		event := scheduler.Done
		if id%backgroundFailureEvery == 0 || grey && d.Server == "e0" {
			event = scheduler.Failed
		}
		if grey {
			duringFault++
			if d.Server == "e0" {
				toGrey++
			}
		}
		if now >= greyEnd-3*time.Second && d.Server == "e0" {
			afterRecovery++
		}
		s.Report(now+greyServiceTime, id, scheduler.Report{
			Event: event,
		})
	}
	fairShare := duringFault / greyServers
	recoveryFairShare := int(3*time.Second/greyInterval) / greyServers
	t.Logf("failing server got %d of %d requests; after recovery %d, with a fair share of %d", toGrey, duringFault, afterRecovery, recoveryFairShare)
	require.LessOrEqual(t, toGrey, fairShare/3)
	require.GreaterOrEqual(t, afterRecovery, recoveryFairShare/2)
}
