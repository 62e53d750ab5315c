package hedge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/hedge"
)

// TestDecide names each reason for which a copy must not be sent.
func TestDecide(t *testing.T) {
	times := hedge.Times{
		Median:  50 * time.Millisecond,
		Late:    100 * time.Millisecond,
		Longest: 400 * time.Millisecond,
	}
	sound := hedge.Request{
		Repeatable: true,
		Runs:       1,
		Attempts:   2,
		Left:       time.Second,
	}
	policy := hedge.Policy{
		Share: 0.05,
	}
	require.Equal(t, hedge.Send, policy.Decide(sound, times))
	require.Equal(t, hedge.Disabled, hedge.Policy{}.Decide(sound, times))
	for want, change := range map[hedge.Verdict]func(*hedge.Request){
		hedge.NotRepeatable: func(r *hedge.Request) { r.Repeatable = false },
		hedge.NoAttempts:    func(r *hedge.Request) { r.Attempts = 1 },
		hedge.ResponseBegun: func(r *hedge.Request) { r.ResponseBegun = true },
		hedge.CallerGone:    func(r *hedge.Request) { r.CallerGone = true },
		hedge.DeadlineNear:  func(r *hedge.Request) { r.Left = times.Median },
	} {
		r := sound
		change(&r)
		require.Equal(t, want, policy.Decide(r, times))
	}
}

// TestDelayFollowsTheTimes: with any distribution, at most the share of the requests that may
// be hedged is later than the delay, apart from the width of a bucket. Copies would be sent
// for other requests than the latest.
func TestDelayFollowsTheTimes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.Float64Range(0.01, 0.5).Draw(rt, "share")
		var e hedge.Estimator
		var times []time.Duration
		for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 60_000), 30, 500).Draw(rt, "ms") {
			times = append(times, time.Duration(ms)*time.Millisecond)
			e.Observe("r", times[len(times)-1])
		}
		known, ok := e.Times("r", share)
		require.True(rt, ok)
		delay := hedge.Policy{
			Share: share,
		}.Delay(known)
		later := 0
		for _, d := range times {
			if d > delay {
				later++
			}
		}
		require.LessOrEqual(rt, float64(later), share*float64(len(times))+1e-6)
	})
}

// TestFewTimesGiveNoEstimate: the first requests of a route would be hedged by the times of one
// or two others.
func TestFewTimesGiveNoEstimate(t *testing.T) {
	var e hedge.Estimator
	for range 29 {
		e.Observe("r", time.Millisecond)
	}
	_, ok := e.Times("r", 0.05)
	require.False(t, ok)
	e.Observe("r", time.Millisecond)
	_, ok = e.Times("r", 0.05)
	require.True(t, ok)
	_, ok = e.Times("other", 0.05)
	require.False(t, ok)
}

// TestDelayFollowsAChange: a service becomes four times as slow as a whole. If old times counted
// as much as new ones, most requests would be later than the delay for a long time.
func TestDelayFollowsAChange(t *testing.T) {
	var e hedge.Estimator
	rng := rand.New(rand.NewPCG(1, 2))
	policy := hedge.Policy{
		Share: 0.05,
	}
	observe := func(n int, mean time.Duration) time.Duration {
		for range n {
			e.Observe("r", time.Duration((0.8+0.4*rng.Float64())*float64(mean)))
		}
		times, ok := e.Times("r", policy.Share)
		require.True(t, ok)
		return policy.Delay(times)
	}
	before := observe(5000, 50*time.Millisecond)
	require.InDelta(t, 60, before.Milliseconds(), 8)
	after := observe(1000, 200*time.Millisecond)
	require.InDelta(t, 240, after.Milliseconds(), 32)
}

// TestLightTailGetsNoCopies: 15 in 100 requests take 2.5 times as long, and few may be hedged.
// A copy sent at that time would respond later than the first server.
func TestLightTailGetsNoCopies(t *testing.T) {
	var e hedge.Estimator
	for i := range 1000 {
		d := 100 * time.Millisecond
		if i%20 < 3 {
			d = 250 * time.Millisecond
		}
		e.Observe("r", d)
	}
	delay := func(share float64) time.Duration {
		times, ok := e.Times("r", share)
		require.True(t, ok)
		return hedge.Policy{
			Share: share,
		}.Delay(times)
	}
	require.GreaterOrEqual(t, delay(0.05), 250*time.Millisecond)
	require.Less(t, delay(0.2), 150*time.Millisecond, "with a copy for each of them, all respond sooner")
}
