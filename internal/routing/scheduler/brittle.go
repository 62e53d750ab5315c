package scheduler

// This file defines how servers that say that they are brittle get no more than they have room for;
// see package brittle.

import (
	"time"

	"camphorspoke/internal/routing/brittle"
)

const (
	// brittleBackoff is how long a brittle server that refused a request gets no other.
	brittleBackoff = 500 * time.Millisecond
	// idleTime is the time without a grant after which it is no longer known what brittle servers have:
	// another instance may have decided meanwhile.
	idleTime = time.Second
	// aloneShare is the fraction of the slots of a brittle service that the requests on which
	// instances decide alone may take, over all instances.
	aloneShare = 0.5
)

// TakeBrittleChange returns whether the servers of the service are brittle, and whether that has changed
// since the last call.
func (s *Scheduler) TakeBrittleChange() (now, changed bool) {
	changed = s.isBrittle != s.brittleLogged
	s.brittleLogged = s.isBrittle
	return s.isBrittle, changed
}

// Brittle reports whether the servers of the service are brittle.
func (s *Scheduler) Brittle() bool { return s.isBrittle }

// recordBrittle records what a report says of whether servers are brittle, and opens or shrinks the
// window of its server.
func (s *Scheduler) recordBrittle(now time.Duration, g *grant, r Report) {
	if s.brittle.Observe(now, g.grantedAt, r.Brittle) {
		s.applyBrittle(now)
	}
	if !s.isBrittle {
		return
	}
	w := &g.server.window
	switch r.Event {
	case Done, Failed:
		w.Answered(now, g.server.slots)
	case Rejected:
		w.Refused(g.server.slots)
		g.server.fullUntil = max(g.server.fullUntil, now+brittleBackoff)
	case Unreachable, Down:
		w.Reset(now)
	}
}

// recordBrittleRequest records that the instance that received a request knows that the servers are
// brittle: this scheduler may have received no answer yet.
func (s *Scheduler) recordBrittleRequest(now time.Duration, req Request) {
	if req.Brittle && !s.isBrittle {
		s.brittle.Observe(now, now, brittle.Statement{
			Known:    true,
			Refusals: 1,
		})
	}
}

// applyBrittle applies a change of the state, or its end with time. Servers that have just become
// brittle may get as much as they have slots, unless it is not known what they have.
func (s *Scheduler) applyBrittle(now time.Duration) {
	before := s.isBrittle
	s.isBrittle = s.brittle.Brittle(now)
	if !s.isBrittle || before {
		return
	}
	for _, sv := range s.listedServers {
		sv.window.Reset(now)
		if now-s.grantAt <= idleTime {
			sv.window.Open(sv.slots)
		}
	}
}

// restartWindows lets the windows of brittle servers begin anew if this instance has decided nothing
// for a while.
func (s *Scheduler) restartWindows(now time.Duration) {
	if s.isBrittle && now-s.grantAt > idleTime {
		for _, sv := range s.listedServers {
			sv.window.Reset(now)
		}
	}
	s.grantAt = now
}

// aloneFull reports whether this instance has as many requests at the servers of a brittle service as it
// may have for requests like req. Those on which instances decide alone are not known to one another.
func (s *Scheduler) aloneFull(req Request) bool {
	if !s.isBrittle || !req.Alone {
		return false
	}
	slots := 0
	for _, sv := range s.listedServers {
		if sv.accepting {
			slots += sv.slots
		}
	}
	return s.aloneRunning >= int(aloneShare*float64(slots)/float64(max(s.svc.Instances, 1)))
}
