package ratelimit_test

// This file tests the limit of one server and its division among the instances.

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/coldstart"
	"camphorspoke/internal/routing/ratelimit"
)

const (
	// maxViewLag is how much later than another one an instance sees a new order.
	maxViewLag = 900 * time.Millisecond
	// maxTransit is the longest time from a grant to the arrival at the server.
	maxTransit = 100 * time.Millisecond
)

// decider is one instance: its limiter, and its rates as decider and alone.
type decider struct {
	limiter ratelimit.Limiter
	share   ratelimit.Share
	alone   ratelimit.Share
	// rank applies from rankAt on.
	rank   int
	rankAt time.Duration
}

// grants lets the instance grant as many of n requests as its rate allows, and returns how
// many it has granted.
func (d *decider) grants(now time.Duration, n int, alone bool, division ratelimit.Division, instances int) int {
	if now >= d.rankAt {
		d.share.Set(now, division.Decider(d.rank, instances))
		d.alone.Set(now, division.Alone(instances))
	}
	rate := d.share.Rate(now)
	if alone {
		rate = d.alone.Rate(now)
	}
	granted := min(n, d.limiter.Places(now, coldstart.Allowance(rate)))
	for range granted {
		d.limiter.Record(now)
	}
	return granted
}

// requireBound checks the number of arrivals in each second.
func requireBound(t require.TestingT, arrivals []time.Duration, limit float64) {
	slices.Sort(arrivals)
	first := 0
	for i, at := range arrivals {
		for arrivals[first] <= at-time.Second {
			first++
		}
		require.Less(t, float64(i-first+1), limit, "requests in the second before %s", at)
	}
}

// TestMachineSumOfAllInstances: while a server is cold, bursts arrive at any instances, which
// decide for all or alone, and the order of the deciders changes, which the instances see one
// after the other. In no second may the server get more than the limit: it would crash.
func TestMachineSumOfAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		division := ratelimit.Division{
			Rate:    float64(rapid.IntRange(2, 200).Draw(t, "rate")) / 2,
			Overage: float64(rapid.IntRange(10, 30).Draw(t, "overage")) / 10,
			Slack:   float64(rapid.IntRange(1, 40).Draw(t, "slack")),
		}
		n := rapid.IntRange(1, 100).Draw(t, "instances")
		instances := make([]decider, n)
		for i := range instances {
			instances[i].rank = i
			instances[i].grants(0, 0, false, division, n)
		}
		var arrivals []time.Duration
		now := 10 * time.Second
		lastChange := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pauseMs")) * time.Millisecond
			if now-lastChange > maxViewLag && rapid.IntRange(0, 5).Draw(t, "change") == 0 {
				lastChange = now
				order := rapid.Permutation(seq(n)).Draw(t, "order")
				for i := range instances {
					// An instance applies each order that it sees, also if it grants nothing meanwhile.
					instances[i].grants(now, 0, false, division, n)
					instances[i].rank = order[i]
					instances[i].rankAt = now + time.Duration(rapid.IntRange(0, int(maxViewLag/time.Millisecond)).Draw(t, "lagMs"))*time.Millisecond
				}
			}
			burst := rapid.IntRange(1, 60).Draw(t, "burst")
			alone := rapid.Bool().Draw(t, "alone")
			at := []int{rapid.IntRange(0, n-1).Draw(t, "instance")}
			if rapid.Bool().Draw(t, "everywhere") {
				at = seq(n)
			}
			for _, i := range at {
				for range instances[i].grants(now, burst, alone, division, n) {
					arrivals = append(arrivals, now+time.Duration(rapid.Int64Range(0, int64(maxTransit)).Draw(t, "transit")))
				}
			}
		}
		requireBound(t, arrivals, division.Rate*division.Overage+division.Slack)
	})
}

func seq(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestFirstDeciderUsesTheWholeRate: the limit must not be kept by granting next to nothing. One
// that decides for all grants the rate in each window, also after bursts.
func TestFirstDeciderUsesTheWholeRate(t *testing.T) {
	var l ratelimit.Limiter
	granted := 0
	for now := time.Duration(0); now < 11*time.Second; now += 10 * time.Millisecond {
		for range l.Places(now, coldstart.Allowance(14)) {
			l.Record(now)
			granted++
		}
	}
	require.Equal(t, 14*10, granted)
	wait, ok := l.Wait(11*time.Second, coldstart.Allowance(14))
	require.True(t, ok)
	require.LessOrEqual(t, wait, coldstart.Window)
	_, ok = l.Wait(11*time.Second, coldstart.Allowance(0.9))
	require.False(t, ok, "a rate below one allows nothing")
}
