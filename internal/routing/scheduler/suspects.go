package scheduler

// This file defines how the scheduler finds and refuses requests whose prompts crash
// the servers that answer them.

import (
	"slices"
	"time"

	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/quarantine"
)

// survivalTime is how long after the beginning of its response a request counts as
// survived: a prompt that crashes its server does so when the answer begins.
const survivalTime = 300 * time.Millisecond

// sharedParts returns the IDs of the parts of a prompt but the last, which belongs to the
// request alone.
func sharedParts(parts []prefixcache.Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	out := make([]uint64, len(parts)-1)
	for i := range out {
		out[i] = parts[i].ID
	}
	return out
}

// refuseQuarantined refuses a request that has a quarantined part.
func (s *Scheduler) refuseQuarantined(now time.Duration, req Request) (Decision, bool) {
	if s.quarantine.Idle() {
		return Decision{}, false
	}
	r := s.quarantine.Check(now, sharedParts(req.Parts), req.MayTry, s.survived(now))
	if r == nil {
		return Decision{}, false
	}
	d := refuse(req, Quarantined, r.RetryAfter)
	d.Quarantine = r.ID
	return d, true
}

// expelQuarantined refuses the queued requests that have a quarantined part.
func (s *Scheduler) expelQuarantined(now time.Duration) []Decision {
	if s.quarantine.Len() == 0 {
		return nil
	}
	var out []Decision
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedRequest) bool {
		req := w.request
		req.MayTry = false
		d, refused := s.refuseQuarantined(now, req)
		if refused {
			out = append(out, d)
		}
		return refused
	})
	return out
}

// survived returns whether a request with a part is being answered that was granted after
// a time.
func (s *Scheduler) survived(now time.Duration) func(part uint64, since time.Duration) bool {
	return func(part uint64, since time.Duration) bool {
		for _, g := range s.granted {
			if g.grantedAt >= since && g.started && now-g.startedAt >= survivalTime && slices.Contains(sharedParts(g.request.Parts), part) {
				return true
			}
		}
		return false
	}
}

// recordVerdict blames or clears the parts of a request that has ended. started is true if
// its response had begun before.
func (s *Scheduler) recordVerdict(now time.Duration, g *grant, r Report, started bool) {
	switch {
	case (r.Event == Done || r.Answered) && !s.quarantine.Idle():
		s.quarantine.Clear(now, g.grantedAt, sharedParts(g.request.Parts))
	case r.Event == Down && !r.Answered:
		s.quarantine.Crashed(now, g.server.name, quarantine.Request{
			GrantedAt: g.grantedAt,
			Begun:     started,
			Parts:     sharedParts(g.request.Parts),
		})
	}
}

// SetQuarantines replaces the quarantines that are recorded for all instances.
func (s *Scheduler) SetQuarantines(now time.Duration, recorded []quarantine.Quarantine) {
	s.quarantine.SetRecorded(now, recorded)
}

// TakeQuarantineChanges returns the quarantines that were added, changed or released since
// the last call.
func (s *Scheduler) TakeQuarantineChanges() []quarantine.Quarantine {
	return s.quarantine.TakeChanges()
}
