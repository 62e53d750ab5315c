package retrybudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/retrybudget"
)

func budget() *retrybudget.Budget {
	return &retrybudget.Budget{
		Window: 10 * time.Second,
		Ratio:  0.2,
		Slack:  5,
	}
}

func TestSpendsTheSlackAndAShare(t *testing.T) {
	b := budget()
	for range 10 {
		b.Request(time.Second)
	}
	spent := 0
	for b.Spend(2 * time.Second) {
		spent++
	}
	require.Equal(t, 7, spent)
	require.False(t, b.Spend(9*time.Second))
	require.True(t, b.Spend(13*time.Second), "the window has gone by")
}

// TestEveryWindowIsBounded replays random loads and checks every window that
// ends with a repeat.
func TestEveryWindowIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := budget()
		var requests, repeats []time.Duration
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
				b.Request(now)
				requests = append(requests, now)
				continue
			}
			if !b.Spend(now) {
				continue
			}
			repeats = append(repeats, now)
			// Buckets end up to one bucket early, so the span that surely counts
			// is the window less one bucket; the requests of the whole window count.
			got := float64(within(repeats, b.Window-b.Window/20))
			require.LessOrEqual(rt, got, b.Ratio*float64(within(requests, b.Window))+b.Slack)
		}
	})
}
