package retrybudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/retrybudget"
)

func newBudget() *retrybudget.Budget {
	return &retrybudget.Budget{
		Window: 10 * time.Second,
		Ratio:  0.2,
		Slack:  5,
	}
}

func TestSlackPlusRatioOfRequests(t *testing.T) {
	b := newBudget()
	for range 10 {
		b.RecordRequest(time.Second)
	}
	spent := 0
	for b.TrySpend(2 * time.Second) {
		spent++
	}
	require.Equal(t, 7, spent)
	require.False(t, b.TrySpend(9*time.Second))
	require.True(t, b.TrySpend(13*time.Second), "the retries should have left the window")
}

// TestEveryWindowIsBounded runs random loads and checks every window that ends with a
// retry.
func TestEveryWindowIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBudget()
		var requests, retries []time.Duration
		now := time.Duration(0)
		within := func(list []time.Duration, span time.Duration) int {
			n := 0
			for _, at := range list {
				if now-at < span {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(rt, "pauseMs")) * time.Millisecond
			if rapid.Bool().Draw(rt, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			if !b.TrySpend(now) {
				continue
			}
			retries = append(retries, now)
			// The requests counted are never more than those of the whole window.
			spent := float64(within(retries, b.Window))
			require.LessOrEqual(rt, spent, b.Ratio*float64(within(requests, b.Window))+b.Slack)
		}
	})
}

// TestSlackIsNotSpentTwiceInAWindow guards against retries that are forgotten before the window that
// began with them is over.
func TestSlackIsNotSpentTwiceInAWindow(t *testing.T) {
	b := newBudget()
	spent := 0
	for _, now := range []time.Duration{499 * time.Millisecond, 10001 * time.Millisecond} {
		for b.TrySpend(now) {
			spent++
		}
	}
	require.Equal(t, 5, spent)
}

// TestRequestsCountInOneWindow guards against retries for the requests of two bursts of which each window
// that applies holds one: those of a window are counted in it, in the one before it or in the one
// half a window before it.
func TestRequestsCountInOneWindow(t *testing.T) {
	b := newBudget()
	const perBurst = 100
	first, second := 11*time.Second, 20*time.Second
	for range perBurst {
		b.RecordRequest(first)
	}
	for range perBurst {
		b.RecordRequest(second)
	}
	spent := 0
	for b.TrySpend(second) {
		spent++
	}
	// The window from 17.5 s on has the second burst, the one from 12.5 s on too, and the one from 7.5 s
	// on the first.
	require.LessOrEqual(t, float64(spent), b.Ratio*perBurst+b.Slack)
}

// TestMachineRetriesOfEveryWindow checks each window that begins with a retry against the requests in it,
// in the one before it or in the one half a window before it, under random bursts.
func TestMachineRetriesOfEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBudget()
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 6000).Draw(rt, "pauseMs")) * time.Millisecond
			for range rapid.IntRange(0, 60).Draw(rt, "requests") {
				b.RecordRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 30).Draw(rt, "retries") {
				if b.TrySpend(now) {
					retries = append(retries, now)
				}
			}
		}
		count := func(list []time.Duration, begin time.Duration) int {
			n := 0
			for _, at := range list {
				if at >= begin && at < begin+b.Window {
					n++
				}
			}
			return n
		}
		for _, begin := range retries {
			counted := max(count(requests, begin), count(requests, begin-b.Window/2), count(requests, begin-b.Window))
			require.LessOrEqual(rt, float64(count(retries, begin)), b.Ratio*float64(counted)+b.Slack)
		}
	})
}
