// Package ownership decides whether a router may admit requests to a backend
// server now.
//
// A router owns a server from the time it receives the assignment until its
// lease expires by its own clock (see package boottime) or it has released the
// server. The lease starts when the router sent the heartbeat and not when the
// leader received it, so it expires on the router before it expires on the leader.
package ownership

// This file defines Tracker.

import (
	"slices"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Tracker holds the lease of one router process and the servers it may not admit
// requests to. It is not safe for concurrent use.
type Tracker struct {
	Instance    string
	Incarnation uint64

	leaseEnd time.Duration
	// releasedEpochs maps a server to the last epoch in which it was released.
	releasedEpochs map[string]uint64
	// frozen lists the servers that the leader is about to reassign.
	frozen []string
}

// Renew extends the lease to length after sentAt, the time at which this router
// sent the heartbeat that was answered with the lease. It never shortens the
// lease.
func (t *Tracker) Renew(sentAt, length time.Duration) { t.leaseEnd = max(t.leaseEnd, sentAt+length) }

// SetFrozen replaces the list of servers that the leader is about to reassign.
// Requests to them are not admitted.
func (t *Tracker) SetFrozen(names []string) { t.frozen = names }

// LeaseEnd returns when the lease expires.
func (t *Tracker) LeaseEnd() time.Duration { return t.leaseEnd }

// Assigned reports whether s is assigned to this process and not released. It
// does not check the lease.
func (t *Tracker) Assigned(s *pb.BackendServer) bool {
	return s.GetOwner() == t.Instance && s.GetOwnerIncarnation() == t.Incarnation && s.GetEpoch() > t.releasedEpochs[s.GetName()]
}

// Admits reports whether this process may admit requests to s now.
func (t *Tracker) Admits(now time.Duration, s *pb.BackendServer) bool {
	return now < t.leaseEnd && t.Assigned(s) && !slices.Contains(t.frozen, s.GetName()) && !s.GetGone() && !s.GetLeaving() && !s.GetDrained()
}

// Release ends the ownership of s until it is assigned again in a later epoch.
func (t *Tracker) Release(s *pb.BackendServer) {
	if t.releasedEpochs == nil {
		t.releasedEpochs = make(map[string]uint64)
	}
	t.releasedEpochs[s.GetName()] = s.GetEpoch()
}
