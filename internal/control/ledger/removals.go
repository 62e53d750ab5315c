package ledger

// This file defines the removal of the rows of servers that are gone.

import (
	"cmp"
	"slices"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// GoneServer is the row of a server that is marked gone.
type GoneServer struct {
	Row *pb.BackendServer
	// Needed states that another command depends on the row, so that it can't be removed.
	Needed bool
}

// GoneServers returns the rows of the servers that are marked gone, in the order in which they were.
func (l *Ledger) GoneServers() []GoneServer {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.goneServers()
}

// goneServers is GoneServers; the caller holds mu.
func (l *Ledger) goneServers() []GoneServer {
	var gone []GoneServer
	for _, s := range l.servers {
		if s.GetGone() {
			gone = append(gone, GoneServer{
				Row: s,
			})
		}
	}
	slices.SortFunc(gone, func(a, b GoneServer) int {
		return cmp.Or(cmp.Compare(a.Row.GetChangedIndex(), b.Row.GetChangedIndex()), cmp.Compare(a.Row.GetName(), b.Row.GetName()))
	})
	l.markNeeded(gone)
	return gone
}

// markNeeded marks the rows without which a command would have another result: those of servers with open
// orders, and the last row that names a failure domain, which may be evacuated and be in use again. Replicas
// of builds that keep all rows have the same results therefore. The caller holds mu.
func (l *Ledger) markNeeded(gone []GoneServer) {
	ordered := make(map[string]bool)
	for _, o := range l.orders {
		if !o.GetFinished() {
			ordered[o.GetBackendServer()] = true
		}
	}
	named := l.namedDomains()
	for i := len(gone) - 1; i >= 0; i-- {
		domain := gone[i].Row.GetFailureDomain()
		gone[i].Needed = ordered[gone[i].Row.GetName()] || !named[domain]
		named[domain] = true
	}
}

// namedDomains returns the failure domains that the row of an instance or of a listed server names, and the
// empty one, which is none. The caller holds mu.
func (l *Ledger) namedDomains() map[string]bool {
	named := map[string]bool{"": true}
	for _, s := range l.servers {
		if !s.GetGone() {
			named[s.GetFailureDomain()] = true
		}
	}
	for _, i := range l.instances {
		named[i.GetFailureDomain()] = true
	}
	return named
}

// removeServers removes the rows of gone servers that changed last at the given indexes or before, unless
// another command depends on them.
func (l *Ledger) removeServers(r *pb.RemoveServers) *pb.Result {
	for _, g := range l.goneServers() {
		through := r.GetThroughIndex()
		if g.Row.GetDrained() {
			through = r.GetDrainedThroughIndex()
		}
		if g.Needed || g.Row.GetChangedIndex() > through {
			continue
		}
		delete(l.servers, g.Row.GetName())
		l.removedServers++
		l.removedIndex = max(l.removedIndex, g.Row.GetChangedIndex())
		l.removedMs = max(l.removedMs, g.Row.GetJoinedMs(), g.Row.GetGoneMs())
	}
	return &pb.Result{}
}

// RemovedMs returns the latest Unix millisecond at which a server whose row was removed joined or was
// marked gone; zero if none was removed.
func (l *Ledger) RemovedMs() int64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.removedMs
}

// RemovedServers returns how many rows of servers this process has removed.
func (l *Ledger) RemovedServers() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.removedServers
}
