package durations_test

// This file replays planned stops in virtual time: callers with old addresses, bodies in
// chunks, and requests whose durations change while the instance stops.

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/durations"
)

const (
	stopGrace = 8 * time.Second
	// stopMargin is the part of the grace period that the instance keeps for itself.
	stopMargin = 700 * time.Millisecond
	// earlyRequests is how long after the signal a request may be sent that is cut in the
	// last sixth of the grace period.
	earlyRequests = 3 * time.Second
	lastSixth     = stopGrace - stopGrace/6
)

// stopRequest is one request; its times are counted from the signal.
type stopRequest struct {
	head, bodyEnd     time.Duration
	timeout, duration time.Duration
}

// end returns when the request ends: with its response or at its deadline.
func (r stopRequest) end() time.Duration { return min(r.bodyEnd+r.duration, r.head+r.timeout) }

// stoppingInstance is an instance that notices the signal after lag.
type stoppingInstance struct {
	estimator durations.Estimator
	lag       time.Duration
}

func (i *stoppingInstance) exit() time.Duration { return i.lag + stopGrace - stopMargin }

// accepts reports whether the instance accepts a request at a time, at its head or once its
// body has been read.
func (i *stoppingInstance) accepts(r stopRequest, at time.Duration) bool {
	return at < i.lag || i.estimator.Fits("r", r.head+r.timeout-at, durations.Shutdown{
		Since: at - i.lag,
		Left:  i.exit() - at,
	})
}

// drawRequests draws requests before and during the stop, in the order of their heads.
// Durations change at some time, for some of the requests or all of them.
func drawRequests(rt *rapid.T) []stopRequest {
	between := func(name string, low, high time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(int64(low), int64(high)).Draw(rt, name))
	}
	longest := []time.Duration{between("before", time.Millisecond, 2*time.Second), between("after", time.Millisecond, 15*time.Second)}
	change := between("change", -5*time.Second, stopGrace)
	timeout := rapid.SampledFrom([]time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 6 * time.Second, 12 * time.Second, 15 * time.Second}).Draw(rt, "timeout")
	var out []stopRequest
	for range rapid.IntRange(1, 120).Draw(rt, "requests") {
		r := stopRequest{
			head:    between("head", -10*time.Second, stopGrace-stopMargin),
			timeout: timeout,
		}
		r.bodyEnd = r.head
		if rapid.Bool().Draw(rt, "chunks") {
			r.bodyEnd += between("body", 0, min(2*time.Second, timeout))
		}
		limit := longest[0]
		if r.head >= change {
			limit = longest[1]
		}
		r.duration = between("duration", time.Millisecond, limit)
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b stopRequest) int { return int(a.head - b.head) })
	return out
}

// TestPlannedStopCutsNothingItAccepted: in stops of all shapes no request is cut off but those
// that were wholly sent in the first 3 s and are at work in the last sixth of the grace
// period. Nothing is refused before the signal, and nothing that ends in time by its deadline.
func TestPlannedStopCutsNothingItAccepted(t *testing.T) {
	refused, cut, served := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		i := &stoppingInstance{
			lag: time.Duration(rapid.Int64Range(0, int64(500*time.Millisecond)).Draw(rt, "lag")),
		}
		var running []stopRequest
		for _, r := range drawRequests(rt) {
			// Those that have ended by now are known to the estimator.
			running = slices.DeleteFunc(running, func(earlier stopRequest) bool {
				if earlier.end() <= r.head {
					i.estimator.Observe("r", earlier.end()-earlier.head)
				}
				return earlier.end() <= r.head
			})
			if !i.accepts(r, r.head) || !i.accepts(r, r.bodyEnd) {
				refused++
				require.GreaterOrEqual(rt, r.bodyEnd, i.lag, "refused before the signal")
				require.Greater(rt, r.head+r.timeout, i.exit(), "refused though it ends in time")
				continue
			}
			running = append(running, r)
			if r.end() <= i.exit() {
				served++
				continue
			}
			cut++
			require.LessOrEqual(rt, r.bodyEnd, earlyRequests, "accepted late and cut")
			require.GreaterOrEqual(rt, min(i.exit(), stopGrace), lastSixth)
		}
	})
	t.Logf("served %d, refused %d, cut at the end %d", served, refused, cut)
}
