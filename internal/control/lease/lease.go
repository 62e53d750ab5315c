// Package lease tracks, on the control leader, which routers hold a lease.
//
// A router counts its lease from the time it sent the heartbeat, the leader
// from the time it processed the heartbeat, which is later, and the leader adds
// an allowance for clock drift. The leader therefore considers a lease expired
// only after the router does. A new leader has no record of the leases that its
// predecessors granted, so it treats every router as holding one until the
// longest of these leases must have expired.
package lease

// This file defines Table.

import (
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// Length is how long a router may admit requests after it sent a heartbeat
	// that the leader has answered.
	Length = 2 * time.Second
	// MaxDriftPercent bounds how far two clocks may drift apart over a lease,
	// as a percentage of its length.
	MaxDriftPercent = 2
	// leaderWait is how long the leader treats a lease as held: its length and
	// an allowance for clock drift.
	leaderWait = Length * (100 + 2*MaxDriftPercent) / 100
)

// Holder identifies one incarnation of a router: each start of the process
// counts as a holder of its own.
type Holder struct {
	Instance    string
	Incarnation uint64
}

// Row is the leader's record of a holder.
type Row struct {
	// Expiry is when the leader considers the lease expired.
	Expiry time.Duration
	// LastHeartbeat is when the last heartbeat was processed.
	LastHeartbeat time.Duration
	// RuleVersion is the version of the rules that the holder last reported.
	RuleVersion uint64
	// Leaving is set while the router is shutting down, Isolated while it reaches no backend
	// server.
	Leaving  bool
	Isolated bool
	// RemovesServers is set if a replica of the holder applies the removal of rows of servers.
	RemovesServers bool
	// FailureDomain and RequestRate are the failure domain of the holder and the rate
	// of its callers' requests, in requests per second.
	FailureDomain string
	RequestRate   float64
	// Loads holds the load reports of the holder by service.
	Loads map[string][]*pb.LoadReport
}

// Table holds the leases granted by one leader in one term.
type Table struct {
	// earlierLeasesEnd is when all leases granted by earlier leaders have
	// expired.
	earlierLeasesEnd time.Duration
	rows             map[Holder]*Row
}

// StartTerm empties the table for a new term.
func (t *Table) StartTerm(now time.Duration) {
	t.earlierLeasesEnd = now + leaderWait
	t.rows = make(map[Holder]*Row)
}

// Renew extends the lease of h, or grants it one, and returns its row.
func (t *Table) Renew(now time.Duration, h Holder) *Row {
	if t.rows == nil {
		t.rows = make(map[Holder]*Row)
	}
	r := t.rows[h]
	if r == nil {
		r = &Row{}
		t.rows[h] = r
	}
	r.Expiry = max(r.Expiry, now+leaderWait)
	r.LastHeartbeat = now
	return r
}

// Held reports whether h may still be admitting requests under a lease, including
// one that an earlier leader may have granted.
func (t *Table) Held(now time.Duration, h Holder) bool {
	if now < t.earlierLeasesEnd {
		return true
	}
	r := t.rows[h]
	return r != nil && now < r.Expiry
}

// EarlierLeasesExpired reports whether every lease granted by earlier leaders has expired.
func (t *Table) EarlierLeasesExpired(now time.Duration) bool { return now >= t.earlierLeasesEnd }

// Row returns the row of h, or nil if it has sent no heartbeat in this term.
func (t *Table) Row(h Holder) *Row { return t.rows[h] }

// EachRecent calls f with each holder whose last heartbeat is at most age old.
func (t *Table) EachRecent(now, age time.Duration, f func(Holder, *Row)) {
	for h, r := range t.rows {
		if now-r.LastHeartbeat <= age {
			f(h, r)
		}
	}
}

// Recent returns the holders whose last heartbeat is at most age old.
func (t *Table) Recent(now, age time.Duration) map[Holder]*Row {
	out := make(map[Holder]*Row)
	t.EachRecent(now, age, func(h Holder, r *Row) { out[h] = r })
	return out
}

// Prune deletes the rows whose lease expired more than ten lease lengths ago.
func (t *Table) Prune(now time.Duration) {
	for h, r := range t.rows {
		if now > r.Expiry+10*Length {
			delete(t.rows, h)
		}
	}
}
