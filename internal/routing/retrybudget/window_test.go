package retrybudget_test

// This file tests the budget against the bound as an observer of the servers computes it.

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// load records when requests and retries came, in order.
type load struct {
	window            time.Duration
	requests, retries []time.Duration
}

// count returns the number of times in [from, to).
func count(times []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, to)
	return max(end-first, 0)
}

// requireBound checks each window that begins with a retry. Its requests are those in it, in the
// window before it or in the one that begins half a window earlier, whichever has most.
func (l *load) requireBound(t require.TestingT, ratio, slack float64) {
	for _, from := range l.retries {
		retries := count(l.retries, from, from+l.window)
		requests := 0
		for _, earlier := range []time.Duration{0, l.window / 2, l.window} {
			requests = max(requests, count(l.requests, from-earlier, from-earlier+l.window))
		}
		require.LessOrEqual(t, float64(retries), ratio*float64(requests)+slack, "in the window from %v, with %d requests", from, requests)
	}
}

// TestSeriesOfRetriesOneWindowApart: servers crash together and are back under other names, twice,
// a little less than a window apart. What was spent in the first series must not be granted again
// before a whole window has passed.
func TestSeriesOfRetriesOneWindowApart(t *testing.T) {
	const (
		tick           = 10 * time.Millisecond
		requestEvery   = 3 * tick
		seriesFor      = time.Second
		seriesApart    = 9800 * time.Millisecond
		firstSeries    = 10_130 * time.Millisecond
		retriesPerTick = 2
	)
	b := newBudget()
	l := &load{
		window: b.Window,
	}
	for now := time.Duration(0); now < firstSeries+seriesApart+2*seriesFor; now += tick {
		if now%requestEvery == 0 {
			b.RecordRequest(now)
			l.requests = append(l.requests, now)
		}
		since := now - firstSeries
		if since < 0 || since >= seriesFor && since < seriesApart {
			continue
		}
		for range retriesPerTick {
			if b.TrySpend(now) {
				l.retries = append(l.retries, now)
			}
		}
	}
	l.requireBound(t, b.Ratio, b.Slack)
}

// TestAnyWindowIsBounded draws phases with other rates of requests and retries, and checks the
// bound in all windows, wherever they begin.
func TestAnyWindowIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBudget()
		l := &load{
			window: b.Window,
		}
		now := time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "startMs")) * time.Millisecond
		for range rapid.IntRange(1, 12).Draw(rt, "phases") {
			end := now + time.Duration(rapid.IntRange(1, 6_000).Draw(rt, "phaseMs"))*time.Millisecond
			step := time.Duration(rapid.IntRange(5, 200).Draw(rt, "stepMs")) * time.Millisecond
			requests := rapid.IntRange(0, 4).Draw(rt, "requests")
			retries := rapid.IntRange(0, 4).Draw(rt, "retries")
			for ; now < end; now += step {
				for range requests {
					b.RecordRequest(now)
					l.requests = append(l.requests, now)
				}
				for range retries {
					if b.TrySpend(now) {
						l.retries = append(l.retries, now)
					}
				}
			}
		}
		l.requireBound(rt, b.Ratio, b.Slack)
	})
}
