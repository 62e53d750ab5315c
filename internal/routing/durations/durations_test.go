package durations_test

// This file tests which requests are accepted shortly before a stop.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/durations"
)

func TestFits(t *testing.T) {
	var e durations.Estimator
	fits := func(left time.Duration) bool {
		return e.Fits("r", time.Second, durations.Shutdown{
			Left: left,
		})
	}
	require.True(t, fits(time.Second))
	require.False(t, fits(900*time.Millisecond), "a route without recorded requests is assumed to take its timeout")
	e.Observe("r", 400*time.Millisecond)
	require.True(t, fits(500*time.Millisecond))
	require.False(t, fits(490*time.Millisecond))
	for range 2000 {
		e.Observe("r", 20*time.Millisecond)
	}
	require.True(t, fits(50*time.Millisecond), "shorter requests must reduce the recorded maximum")
}

// TestLateRequestsInTheGracePeriodEndInTime: chats of a route were short, and become long while
// the instance shuts down. What it accepts later than the first seconds must end before it
// stops, however long it takes within its timeout.
func TestLateRequestsInTheGracePeriodEndInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const grace, late = 7300 * time.Millisecond, 3 * time.Second
		var e durations.Estimator
		draw := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(1, int64(limit)).Draw(rt, name))
		}
		for range rapid.IntRange(0, 300).Draw(rt, "before") {
			e.Observe("r", draw("past", time.Second))
		}
		for range 20 {
			since, timeout := draw("since", grace), draw("timeout", 15*time.Second)
			accepted := e.Fits("r", timeout, durations.Shutdown{
				Since: since,
				Left:  grace - since,
			})
			if accepted && since > late {
				require.LessOrEqual(rt, since+timeout, grace)
			}
			if since+timeout <= grace {
				require.True(rt, accepted, "a request that surely ends in time must be accepted")
			}
		}
	})
}

// TestStopThatIsNoticedLate: a busy instance notices its stop some hundred milliseconds late. A
// chat that was sent later than 3 s after the signal was accepted as an early one, and cut.
func TestStopThatIsNoticedLate(t *testing.T) {
	var e durations.Estimator
	e.Observe("chat", 400*time.Millisecond)
	const grace, noticed, sent = 8 * time.Second, 400 * time.Millisecond, 3010 * time.Millisecond
	require.False(t, e.Fits("chat", 12*time.Second, durations.Shutdown{
		Since: sent - noticed,
		Left:  grace - sent,
	}))
	require.True(t, e.Fits("chat", 12*time.Second, durations.Shutdown{
		Since: 2 * time.Second,
		Left:  grace - 2*time.Second,
	}))
}
