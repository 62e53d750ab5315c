// Package goneservers decides when the rows of servers that have left the platform's list are removed.
//
// Load pattern: the servers of a large fleet are replaced under new names, twice a day, for months. Each
// leaves a row in the ledger, and nobody needs it after a while.
//
// Both the wall clock of the leaders, in which rows say since when their servers are gone, and the
// monotonic clock of the present leader must have passed the bounds: the wall clock may jump, and the
// leader may have changed.
package goneservers

// This file defines Tracker.

import (
	"time"

	"camphorspoke/internal/control/ledger"
)

const (
	// keepGone is how long the row of a gone server is kept. Instances that are out of touch for longer
	// read the whole tables afterwards.
	keepGone = time.Hour
	// keepDrained is how long it is kept if an operator drained the server: one that restarts under its
	// name stays drained.
	keepDrained = 24 * time.Hour
	// observeGone is how long the present leader must have seen the server as gone. It is far above the
	// length of a lease and the lag of the list.
	observeGone = 10 * time.Minute
	// maxRemoved limits the rows that one command removes, but for those that were marked gone
	// by one command. The ledger is locked meanwhile.
	maxRemoved = 512
)

// Tracker decides for one leader in one term. The zero Tracker is ready to use.
type Tracker struct {
	// seen holds, by log index, since when the servers that were marked gone there are seen as gone.
	seen map[uint64]time.Duration
}

// Removal is the removal of rows that changed last at a log index or before. It is of no effect if Rows
// is zero.
type Removal struct {
	Through        uint64
	DrainedThrough uint64
	// Rows is the number of rows removed.
	Rows int
}

// Decide returns the next removal. The gone servers are in the order in which they were marked; unix is the
// time of the wall clock and now that of the monotonic one. Streams are remembered for stream at most, and
// rows are kept for as long at least.
func (t *Tracker) Decide(now time.Duration, unix time.Time, gone []ledger.GoneServer, stream time.Duration) Removal {
	t.observe(now, gone)
	observed := max(observeGone, stream)
	var r Removal
	due := func(g ledger.GoneServer, keep time.Duration) bool {
		age := unix.Sub(time.UnixMilli(g.Row.GetGoneMs()))
		return now-t.seen[g.Row.GetChangedIndex()] >= observed && age >= max(keep, stream)
	}
	drainedDue := true
	for _, g := range gone {
		index := g.Row.GetChangedIndex()
		if !due(g, keepGone) || r.Rows >= maxRemoved && index > r.Through {
			break
		}
		r.Through = index
		drainedDue = drainedDue && due(g, keepDrained)
		if drainedDue {
			r.DrainedThrough = index
		}
		if !g.Needed && (drainedDue || !g.Row.GetDrained()) {
			r.Rows++
		}
	}
	return r
}

// observe records since when servers are seen as gone, and forgets those without rows.
func (t *Tracker) observe(now time.Duration, gone []ledger.GoneServer) {
	seen := make(map[uint64]time.Duration)
	for _, g := range gone {
		index := g.Row.GetChangedIndex()
		since, ok := t.seen[index]
		if !ok {
			since = now
		}
		seen[index] = since
	}
	t.seen = seen
}
