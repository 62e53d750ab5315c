// Package lease keeps, on the control leader, which routers hold a lease.
//
// A router counts its lease from when it sent the heartbeat, the leader from
// when it answered, which is later; the leader adds the drift of clocks. So
// the leader sees a lease end after the router does. A new leader knows
// nothing of what its predecessor granted and holds every lease as valid
// until the longest of them must have run out.
package lease

// This file defines Table.

import (
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// Length is how long a router may admit after it sent a heartbeat.
	Length = 2 * time.Second
	// MaxDriftPercent bounds how far two clocks may part over a lease.
	MaxDriftPercent = 2
	// wait is how long the leader waits for a lease to run out.
	wait = Length * (100 + 2*MaxDriftPercent) / 100
)

// Holder is one life of a router process.
type Holder struct {
	Instance    string
	Incarnation uint64
}

// Row is what the leader knows of a holder.
type Row struct {
	Until       time.Duration
	Seen        time.Duration
	RuleVersion uint64
	Leaving     bool
	// Loads holds the reported loads by service.
	Loads map[string][]*pb.LoadReport
}

// Table holds the leases granted by one leader in one term.
type Table struct {
	// holdUntil is when the leases of earlier leaders have run out.
	holdUntil time.Duration
	rows      map[Holder]*Row
}

// Start empties the table for a new term.
func (t *Table) Start(now time.Duration) {
	t.holdUntil = now + wait
	t.rows = make(map[Holder]*Row)
}

// Renew extends the lease of h and returns its row.
func (t *Table) Renew(now time.Duration, h Holder) *Row {
	if t.rows == nil {
		t.rows = make(map[Holder]*Row)
	}
	r := t.rows[h]
	if r == nil {
		r = &Row{}
		t.rows[h] = r
	}
	r.Until = max(r.Until, now+wait)
	r.Seen = now
	return r
}

// Held reports whether h may still be admitting work.
func (t *Table) Held(now time.Duration, h Holder) bool {
	if now < t.holdUntil {
		return true
	}
	r := t.rows[h]
	return r != nil && now < r.Until
}

// Settled reports whether every lease of earlier leaders has run out.
func (t *Table) Settled(now time.Duration) bool { return now >= t.holdUntil }

// Row returns the row of h, or nil.
func (t *Table) Row(h Holder) *Row { return t.rows[h] }

// EachHeard calls f with the holders heard from since the given age.
func (t *Table) EachHeard(now, age time.Duration, f func(Holder, *Row)) {
	for h, r := range t.rows {
		if now-r.Seen <= age {
			f(h, r)
		}
	}
}

// Heard returns the holders heard from since the given age.
func (t *Table) Heard(now, age time.Duration) map[Holder]*Row {
	out := make(map[Holder]*Row)
	t.EachHeard(now, age, func(h Holder, r *Row) { out[h] = r })
	return out
}

// Prune drops the rows whose lease has long run out.
func (t *Table) Prune(now time.Duration) {
	for h, r := range t.rows {
		if now > r.Until+10*Length {
			delete(t.rows, h)
		}
	}
}
