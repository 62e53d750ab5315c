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
