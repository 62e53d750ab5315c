package placer_test

// This file tests how the limits that servers name reach the instances.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/serverlimit"
)

const (
	// shareDelay is longer than the time after which instances use their shares of limits, and
	// longestStall shorter than the one after which they begin anew with them.
	shareDelay   = 3200 * time.Millisecond
	longestStall = 500 * time.Millisecond
)

// newLimitedFleet starts a fleet, and waits until its instances use their shares of what servers that
// name a limit take. After a stall of this process they begin anew, as after a freeze.
func newLimitedFleet(t *testing.T, n int) (map[string]*instance, []string) {
	t.Helper()
	fleet, order := newFleet(t, n, nil)
	for began, last := time.Now(), time.Now(); time.Since(began) < shareDelay; last = time.Now() {
		time.Sleep(10 * time.Millisecond)
		if time.Since(last) > longestStall {
			began = time.Now()
		}
	}
	return fleet, order
}

// placeAt places requests until one is granted the given server.
func placeAt(t *testing.T, p *placer.Placer, server string) *placer.Grant {
	t.Helper()
	for range 20 {
		g, err := p.Place(t.Context(), service, scheduler.Request{
			MaxWait: time.Second,
		})
		require.NoError(t, err)
		if server == "" || g.Server == server {
			return g
		}
		// The request stays in flight, so that the next one goes to another server.
		t.Cleanup(func() {
			g.Report(scheduler.Report{
				Event: scheduler.Done,
			})
		})
	}
	require.FailNow(t, "no request was granted the server", server)
	return nil
}

// started reports that the server of a grant has begun to answer, with what it says of its
// limit, and the end of the request.
func started(g *placer.Grant, st serverlimit.Statement) {
	g.Report(scheduler.Report{
		Event: scheduler.Started,
		Limit: st,
	})
	g.Report(scheduler.Report{
		Event: scheduler.Done,
	})
}

// requireLimited waits until an instance has so many servers that name a limit.
func requireLimited(t *testing.T, in *instance, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return in.placer.Schedulers().LimitedServers()[service] == n }, 5*time.Second, 5*time.Millisecond)
}

// manyPerSecond is a limit that the requests of these tests do not reach.
var manyPerSecond = serverlimit.Statement{
	Known:     true,
	Named:     true,
	PerSecond: 1000,
}

// TestInstancesLearnOfALimit: a server has named a limit to one instance. The decider learns
// of it with the report, and another instance with a decision. The report of an answer that
// names none ends it at the decider; as one without content it was dropped, also where the
// instance knew of no limit any more, but the decider did.
func TestInstancesLearnOfALimit(t *testing.T) {
	fleet, order := newLimitedFleet(t, 4)
	g := placeAt(t, fleet[order[2]].placer, "")
	started(g, manyPerSecond)
	requireLimited(t, fleet[order[0]], 1)
	requireLimited(t, fleet[order[2]], 1)

	requireLimited(t, fleet[order[3]], 0)
	learned := placeAt(t, fleet[order[3]].placer, g.Server)
	require.Equal(t, order[0], learned.Decider)
	require.True(t, learned.Limit.Named)
	require.InDelta(t, manyPerSecond.PerSecond, learned.Limit.PerSecond, 0)
	requireLimited(t, fleet[order[3]], 1)

	// The report of one such answer is lost.
	second := placeAt(t, fleet[order[3]].placer, g.Server)
	none := serverlimit.Statement{
		Known: true,
	}
	fleet[order[0]].ignoresLimits.Store(true)
	started(learned, none)
	requireLimited(t, fleet[order[3]], 0)
	// The next decision on the stream shows that the decider has received the report.
	placeAt(t, fleet[order[3]].placer, "")
	requireLimited(t, fleet[order[0]], 1)
	fleet[order[0]].ignoresLimits.Store(false)
	started(second, none)
	requireLimited(t, fleet[order[0]], 0)
}

// TestLimitOutlivesTheDecider: the next decider does not know of a limit. An instance that
// learned it with a decision gives the first grant back, so that the decider learns it too
// before it places the request again.
func TestLimitOutlivesTheDecider(t *testing.T) {
	fleet, order := newLimitedFleet(t, 4)
	g := placeAt(t, fleet[order[2]].placer, "")
	started(g, manyPerSecond)
	requireLimited(t, fleet[order[0]], 1)
	placeAt(t, fleet[order[3]].placer, g.Server)
	fleet[order[0]].stop()

	requireLimited(t, fleet[order[1]], 0)
	withdrawn := 0
	for range 6 {
		next := placeAt(t, fleet[order[3]].placer, "")
		require.Equal(t, order[1], next.Decider)
		require.Equal(t, next.Withdrawn, next.WithdrawnForLimit)
		withdrawn += next.WithdrawnForLimit
	}
	require.Equal(t, 1, withdrawn)
	requireLimited(t, fleet[order[1]], 1)
}

// TestDisagreementOnLimitsRefusesNothing: a decider of an older build, which does not read
// limits, grants servers that name one. Each request is placed again once at most.
func TestDisagreementOnLimitsRefusesNothing(t *testing.T) {
	fleet, order := newLimitedFleet(t, 2)
	fleet[order[0]].ignoresLimits.Store(true)
	asking := fleet[order[1]].placer
	for range 3 {
		started(placeAt(t, asking, ""), manyPerSecond)
	}
	for range 6 {
		g := placeAt(t, asking, "")
		require.Equal(t, order[0], g.Decider)
		require.LessOrEqual(t, g.WithdrawnForLimit, 1)
		started(g, manyPerSecond)
	}
	requireLimited(t, fleet[order[0]], 0)
	g := placeAt(t, asking, "")
	require.Equal(t, 1, g.WithdrawnForLimit)
}
