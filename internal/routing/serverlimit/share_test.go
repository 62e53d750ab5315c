package serverlimit_test

// This file tests the division of a limit among the instances.

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/ratelimit"
	"camphorspoke/internal/routing/serverlimit"
)

const (
	// maxViewLag is how much later than another one an instance sees a new order.
	maxViewLag = 900 * time.Millisecond
	// maxTransit is the longest time from a grant to the arrival at the server.
	maxTransit = 100 * time.Millisecond
	// stableWindow is the time from the first name of a limit until the rule applies.
	stableWindow = 3 * time.Second
)

// decider is one instance: its grants to the server, and its shares as decider and alone.
type decider struct {
	limiter ratelimit.Limiter
	share   serverlimit.DelayedShare
	alone   serverlimit.DelayedShare
	// rank applies from rankAt on.
	rank   int
	rankAt time.Duration
}

// apply lets the instance apply the order that it has seen last.
func (d *decider) apply(now time.Duration, instances int) {
	if now >= d.rankAt {
		d.share.Set(now, serverlimit.DeciderShare(d.rank, instances))
		d.alone.Set(now, serverlimit.AloneShare(instances))
	}
}

// grants lets the instance grant as many of n requests as its share of a limit allows, all of
// them if there is none, and returns how many it has granted.
func (d *decider) grants(now time.Duration, n int, alone bool, limit float64, instances int) int {
	d.apply(now, instances)
	share := &d.share
	if alone {
		share = &d.alone
	}
	if limit >= 0 {
		n = min(n, d.limiter.Places(now, share.Allowance(now, limit)))
	}
	for range n {
		d.limiter.Record(now)
	}
	return n
}

// requireBound checks the number of arrivals in each span after a time.
func requireBound(t require.TestingT, arrivals []time.Duration, from time.Duration, limit float64) {
	slices.Sort(arrivals)
	first := 0
	for i, at := range arrivals {
		for arrivals[first] < from || arrivals[first] <= at-serverlimit.Span {
			if first++; first > i {
				break
			}
		}
		require.LessOrEqual(t, float64(i-first+1), 1.5*4*limit+5, "requests in the 4 s before %s", at)
	}
}

// TestMachineSumOfAllInstances: a server names a limit, maybe right after a burst. Bursts arrive
// at any instances, which decide for all or alone, and the order of the deciders changes, which
// the instances see one after the other. In no 4 s may the server get more than the rule allows.
func TestMachineSumOfAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(0, 160).Draw(t, "limit")) / 4
		n := rapid.IntRange(1, 60).Draw(t, "instances")
		instances := make([]decider, n)
		for i := range instances {
			instances[i].rank = i
			instances[i].grants(0, 0, false, limit, n)
		}
		var arrivals []time.Duration
		now := 10 * time.Second
		named := now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "namedMs"))*time.Millisecond
		lastChange := time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "pauseMs")) * time.Millisecond
			if now-lastChange > maxViewLag && rapid.IntRange(0, 5).Draw(t, "change") == 0 {
				lastChange = now
				order := rapid.Permutation(seq(n)).Draw(t, "order")
				for i := range instances {
					instances[i].apply(now, n)
					instances[i].rank = order[i]
					instances[i].rankAt = now + time.Duration(rapid.IntRange(0, int(maxViewLag/time.Millisecond)).Draw(t, "lagMs"))*time.Millisecond
				}
			}
			inForce := limit
			if now < named {
				inForce = -1
			}
			burst := rapid.IntRange(1, 60).Draw(t, "burst")
			alone := rapid.Bool().Draw(t, "alone")
			at := []int{rapid.IntRange(0, n-1).Draw(t, "instance")}
			if rapid.Bool().Draw(t, "everywhere") {
				at = seq(n)
			}
			for _, i := range at {
				for range instances[i].grants(now, burst, alone, inForce, n) {
					arrivals = append(arrivals, now+time.Duration(rapid.Int64Range(0, int64(maxTransit)).Draw(t, "transit")))
				}
			}
		}
		requireBound(t, arrivals, named+stableWindow, limit)
	})
}

func seq(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestFirstDeciderUsesTheLimit: the rule must not be kept by granting next to nothing. The first
// in the order of deciders uses the limit, and a server that names zero gets a request now and
// then, as it could not show otherwise that it takes more.
func TestFirstDeciderUsesTheLimit(t *testing.T) {
	const seconds = 84
	for _, c := range []struct {
		limit float64
		want  int
	}{
		{0, 20},
		{0.2, 20},
		{1, 80},
		{8, 640},
		{12.7, 1000},
		{2000, 150_000},
	} {
		var d decider
		d.grants(0, 0, false, c.limit, 10)
		granted := 0
		for now := 10 * time.Second; now < (10+seconds)*time.Second; now += 10 * time.Millisecond {
			granted += d.grants(now, 1000, false, c.limit, 10)
		}
		require.GreaterOrEqual(t, granted, c.want, "limit %v", c.limit)
		require.LessOrEqual(t, float64(granted), seconds*c.limit+seconds/4, "limit %v", c.limit)
	}
}

// TestStartedInstanceWaits: an instance that has just started has no part in the order that the
// others have seen, so that its share applies later. A change of the limit applies at once.
func TestStartedInstanceWaits(t *testing.T) {
	var d serverlimit.DelayedShare
	d.Set(0, serverlimit.DeciderShare(0, 10))
	require.Zero(t, d.Allowance(0, 8).Grants)
	raise := d.RaiseIn(0)
	require.Positive(t, raise)
	require.Zero(t, d.Allowance(raise-1, 8).Grants)
	require.Equal(t, 16, d.Allowance(raise, 8).Grants)
	require.Equal(t, 20, d.Allowance(raise, 10).Grants)
	require.Zero(t, d.RaiseIn(raise))
	d.Set(raise, serverlimit.DeciderShare(1, 10))
	require.Equal(t, 4, d.Allowance(raise, 8).Grants, "the constant of the second is larger")
	require.Equal(t, 5, d.Allowance(2*raise, 8).Grants)
	d.Set(2*raise, serverlimit.DeciderShare(2, 10))
	require.Zero(t, d.Allowance(2*raise, 8).Grants)
}
