// Package ownership decides, on a router, whether it may admit work to a
// backend server now.
//
// A router owns a server from when it learns of its assignment until its lease
// ends on its own monotonic clock, or until it has released the server. The
// lease counts from when the heartbeat was sent, so it ends here before the
// leader believes it has ended.
package ownership

// This file defines Book.

import (
	"slices"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Book holds the lease of one router process. It has one user at a time.
type Book struct {
	Instance    string
	Incarnation uint64

	until time.Duration
	// released holds the epoch up to which a server was given up.
	released map[string]uint64
	// frozen holds the servers that the leader is about to reassign.
	frozen []string
}

// Renew takes a lease granted on a heartbeat sent at sent.
func (b *Book) Renew(sent, length time.Duration) { b.until = max(b.until, sent+length) }

// Freeze replaces the servers that the leader is about to reassign.
func (b *Book) Freeze(names []string) { b.frozen = names }

// Until returns when the lease ends.
func (b *Book) Until() time.Duration { return b.until }

// Assigned reports whether s is assigned to this process and not released,
// whether or not the lease holds.
func (b *Book) Assigned(s *pb.BackendServer) bool {
	return s.GetOwner() == b.Instance && s.GetOwnerIncarnation() == b.Incarnation && s.GetEpoch() > b.released[s.GetName()]
}

// Admits reports whether this process may admit work to s now.
func (b *Book) Admits(now time.Duration, s *pb.BackendServer) bool {
	return now < b.until && b.Assigned(s) && !slices.Contains(b.frozen, s.GetName()) && !s.GetGone() && !s.GetLeaving() && !s.GetDrained()
}

// Release gives s up for good in its present epoch.
func (b *Book) Release(s *pb.BackendServer) {
	if b.released == nil {
		b.released = make(map[string]uint64)
	}
	b.released[s.GetName()] = s.GetEpoch()
}
