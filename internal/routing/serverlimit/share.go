package serverlimit

// This file defines Share and DelayedShare.

import (
	"time"

	"camphorspoke/internal/routing/ratelimit"
)

const (
	// Span is the time in which the requests to a server that names a limit are counted. Over
	// all instances it may get overage times what its limit allows in it, and slack requests.
	Span    = 4 * time.Second
	overage = 1.5
	slack   = 5
	// firstConstant is how many requests of the slack belong to the first in the order of
	// deciders. It makes up for rounding down, and lets a server that names a limit of zero
	// get a request now and then, as nothing else shows that the limit has ended.
	firstConstant = 1
	// transitMargin is by how much the time from a grant to the arrival at the server may
	// differ between requests. Windows are longer than the time they stand for by this.
	transitMargin = 100 * time.Millisecond
	// raiseDelay is the time until a larger share applies. Instances see a change of the order
	// of deciders up to about a second after one another, and half a Span has to pass from the
	// last grant of the instance that had the share before, so that no span holds more than
	// two windows of grants with that share.
	raiseDelay = 3 * time.Second
)

// Share is the share of an instance of what servers that name a limit take, in requests in a
// Span: PerLimit times the limit, plus Constant. The zero value allows none.
type Share struct {
	PerLimit float64
	Constant float64
}

// limitDivision and constantDivision divide overage times the limit, and slack.
var (
	limitDivision = ratelimit.Division{
		Rate:    Span.Seconds(),
		Overage: overage,
	}
	constantDivision = ratelimit.Division{
		Rate:  firstConstant,
		Slack: slack - firstConstant,
	}
)

// DeciderShare returns the share of an instance that decides for all instances, by its position
// in the order of deciders, counted from zero.
func DeciderShare(rank, instances int) Share {
	return Share{
		PerLimit: limitDivision.Decider(rank, instances),
		Constant: constantDivision.Decider(rank, instances),
	}
}

// AloneShare returns the share of an instance that decides for its own requests only.
func AloneShare(instances int) Share {
	return Share{
		PerLimit: limitDivision.Alone(instances),
		Constant: constantDivision.Alone(instances),
	}
}

// DelayedShare holds the share that an instance uses. A smaller one applies at once, a larger
// one after raiseDelay. A change of a limit applies at once. The zero value allows nothing.
type DelayedShare struct {
	perLimit ratelimit.Share
	constant ratelimit.Share
}

// Set sets the share.
func (d *DelayedShare) Set(now time.Duration, share Share) {
	d.perLimit.Delay, d.constant.Delay = raiseDelay, raiseDelay
	d.perLimit.Set(now, share.PerLimit)
	d.constant.Set(now, share.Constant)
}

// RaiseIn returns the time until a larger share applies; zero if none was set.
func (d *DelayedShare) RaiseIn(now time.Duration) time.Duration {
	return max(d.perLimit.RaiseIn(now), d.constant.RaiseIn(now))
}

// Allowance returns what a server gets that names a limit, in requests a second. The window is
// half a Span, or a whole one for a share of a single request.
func (d *DelayedShare) Allowance(now time.Duration, perSecond float64) ratelimit.Allowance {
	grants := d.perLimit.Rate(now)*perSecond + d.constant.Rate(now)
	if grants < 2 {
		return ratelimit.PerWindow(grants, Span+transitMargin)
	}
	return ratelimit.PerWindow(grants/2, Span/2+transitMargin)
}
