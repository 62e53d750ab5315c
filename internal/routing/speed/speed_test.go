package speed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/speed"
)

// TestLatestFigureDecaysTowardsTheMean: a figure that is kept for longer than it is true sends
// requests to the wrong servers. The mean of the server's own figures takes its place, and the
// usual time that of the mean.
func TestLatestFigureDecaysTowardsTheMean(t *testing.T) {
	var e speed.Estimator
	require.Equal(t, 1.0, e.Factor(0))
	now := time.Minute
	for range 200 {
		e.Observe(now, 200)
		now += 50 * time.Millisecond
		e.Observe(now, 100)
		now += 50 * time.Millisecond
	}
	e.Observe(now, 400)
	require.InDelta(t, 4, e.Factor(now), .01)
	require.InDelta(t, 2.4, e.Factor(now+250*time.Millisecond), .2, "half of the way, as logarithms, to the mean")
	require.InDelta(t, 1.42, e.Factor(now+1500*time.Millisecond), .1, "the mean")
	require.InDelta(t, 1, e.Factor(now+15*time.Second), .02, "the usual time")
}

// TestOneSlowRequestIsNoSlowServer: requests of several kinds take several times. One long
// request must not repel others from its server, and some in succession must.
func TestOneSlowRequestIsNoSlowServer(t *testing.T) {
	var e speed.Estimator
	now := time.Duration(0)
	for i := range 100 {
		now += 10 * time.Millisecond
		e.ObserveDuration(now, []float64{.9, 1.1, 1, 1.05}[i%4])
	}
	require.Equal(t, 1.0, e.Factor(now))
	e.ObserveDuration(now, 2.5)
	require.Less(t, e.Factor(now), 1.25)
	for range 6 {
		now += 10 * time.Millisecond
		e.ObserveDuration(now, 2.5)
	}
	require.Greater(t, e.Factor(now), 1.8)
}

// TestStatedFigureGoesBeforeTimes: while a server states its speed, the times of its requests
// do not replace it.
func TestStatedFigureGoesBeforeTimes(t *testing.T) {
	var e speed.Estimator
	e.Observe(time.Second, 300)
	before := e.Factor(time.Second)
	for range 50 {
		e.ObserveDuration(time.Second, .25)
	}
	require.Equal(t, before, e.Factor(time.Second))
}

// TestFactorIsBounded: no sequence of figures, at any times, gives a factor out of its range.
func TestFactorIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e speed.Estimator
		for range rapid.IntRange(1, 50).Draw(t, "figures") {
			now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "now"))
			e.Observe(now, rapid.Int().Draw(t, "percent"))
			e.ObserveDuration(now, rapid.Float64().Draw(t, "elapsed"))
			f := e.Factor(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "then")))
			require.GreaterOrEqual(t, f, speed.MinFactor)
			require.LessOrEqual(t, f, speed.MaxFactor)
		}
	})
}
