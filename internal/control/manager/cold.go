package manager

// This file defines how cold periods that the platform's list announces are copied to the
// ledger.

import (
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// minColdExtension is by how much longer than announced a server must stay cold for that to
// be announced. The list counts the time down and lags, so that its end varies a little.
const minColdExtension = 500 * time.Millisecond

// announcement is a cold period of a server that was proposed to the ledger.
type announcement struct {
	until time.Duration
	// before is the cold index of the row that the proposal changes. While the row has it
	// still, the proposal is not committed.
	before uint64
}

// copyCold copies the cold period of a listed server to its new row: the period of the old
// row while that holds, without an index if it is new, and zero once it is over. A row
// that shows no end of a period would start it again at each instance that starts. It
// reports whether the period changes. The caller holds mu.
func (m *Manager) copyCold(now time.Duration, old, row *pb.BackendServer, s *pb.ListedServer) bool {
	if old.GetGone() {
		delete(m.cold, s.GetName())
		old = nil
	}
	row.ColdMs, row.ColdIndex = old.GetColdMs(), old.GetColdIndex()
	until := now + time.Duration(s.GetColdMs())*time.Millisecond
	a, ok := m.cold[s.GetName()]
	switch {
	case s.GetColdMs() == 0:
		delete(m.cold, s.GetName())
		row.ColdMs = 0
		return old.GetColdMs() > 0
	case old.GetColdMs() > 0 && !ok && s.GetColdMs() <= old.GetColdMs():
		// An earlier leader has announced this period.
		m.cold[s.GetName()] = announcement{
			until: until,
		}
		return false
	case old.GetColdMs() > 0 && ok && a.before != old.GetColdIndex() && until <= a.until+minColdExtension:
		return false
	}
	m.cold[s.GetName()] = announcement{
		until:  until,
		before: old.GetColdIndex(),
	}
	row.ColdMs, row.ColdIndex = s.GetColdMs(), 0
	return true
}
