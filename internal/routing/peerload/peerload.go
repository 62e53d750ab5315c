// Package peerload holds the last reported loads of the servers that other
// routers own.
//
// Routers attach load reports to heartbeats and to forwarded requests. Reports
// are ordered by ownership epoch and counter, so one that arrives late is
// ignored. A report older than MaxAge counts as zero load: this lowers the mean
// load and thereby the load bound, so that a stale report never allows too much
// load.
package peerload

// This file defines Table.

import (
	"sync"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// MaxAge is how long after its arrival a report is used.
const MaxAge = 1500 * time.Millisecond

// Table holds the latest report of each server. The zero value is ready to use.
type Table struct {
	mu      sync.Mutex
	entries map[string]entry
}

type entry struct {
	report     *pb.LoadReport
	receivedAt time.Duration
}

// Update stores reports that are newer than the stored ones and ignores others.
func (t *Table) Update(now time.Duration, reports []*pb.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = make(map[string]entry)
	}
	for _, r := range reports {
		if old, ok := t.entries[r.GetBackendServer()]; ok && !newer(r, old.report) {
			continue
		}
		t.entries[r.GetBackendServer()] = entry{
			report:     r,
			receivedAt: now,
		}
	}
}

// newer reports whether a was made after b.
func newer(a, b *pb.LoadReport) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	return a.GetCounter() > b.GetCounter()
}

// Load returns the last reported load of a server, zero if there is no report
// or it has expired.
func (t *Table) Load(now time.Duration, server string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.entries[server]
	if !ok || now-r.receivedAt > MaxAge {
		return 0
	}
	return int(r.report.GetLoad())
}

// Reports returns the reports of the named servers that have not expired.
func (t *Table) Reports(now time.Duration, servers []string) []*pb.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.LoadReport
	for _, s := range servers {
		if r, ok := t.entries[s]; ok && now-r.receivedAt <= MaxAge {
			out = append(out, r.report)
		}
	}
	return out
}
