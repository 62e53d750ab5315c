// Package loadbook remembers the loads of servers that other routers own.
//
// Reports travel with heartbeats and with forwarded requests, and are ordered
// by ownership epoch and counter, so one that arrives late changes nothing. A
// report that has grown old counts as no load at all: a mean that is too low
// lowers the bound, which is the safe side.
package loadbook

// This file defines Book.

import (
	"sync"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// MaxAge is how long a report counts.
const MaxAge = 1500 * time.Millisecond

// Book holds the latest report of each server; the zero value works.
type Book struct {
	mu   sync.Mutex
	rows map[string]row
}

type row struct {
	report *pb.LoadReport
	at     time.Duration
}

// Learn takes reports; older ones than those held are ignored.
func (b *Book) Learn(now time.Duration, reports []*pb.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rows == nil {
		b.rows = make(map[string]row)
	}
	for _, r := range reports {
		if old, ok := b.rows[r.GetBackendServer()]; ok && !newer(r, old.report) {
			continue
		}
		b.rows[r.GetBackendServer()] = row{
			report: r,
			at:     now,
		}
	}
}

func newer(a, b *pb.LoadReport) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	return a.GetCounter() > b.GetCounter()
}

// Load returns the known load of a server.
func (b *Book) Load(now time.Duration, server string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rows[server]
	if !ok || now-r.at > MaxAge {
		return 0
	}
	return int(r.report.GetLoad())
}

// Reports returns the reports held for the named servers that still count.
func (b *Book) Reports(now time.Duration, servers []string) []*pb.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*pb.LoadReport
	for _, s := range servers {
		if r, ok := b.rows[s]; ok && now-r.at <= MaxAge {
			out = append(out, r.report)
		}
	}
	return out
}
