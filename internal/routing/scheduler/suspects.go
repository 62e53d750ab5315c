package scheduler

// This file defines how the scheduler finds and refuses requests that crash the servers
// which run them, by parts of their prompts or as a whole.

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

// suspectOf returns what a request may be quarantined for.
func suspectOf(req Request) quarantine.Request {
	return quarantine.Request{
		Parts:       sharedParts(req.Parts),
		Fingerprint: req.Fingerprint,
	}
}

// refuseQuarantined refuses a request that has a quarantined part, is quarantined as a whole, or is
// held off because servers have crashed under it.
func (s *Scheduler) refuseQuarantined(now time.Duration, req Request) (Decision, bool) {
	if d, refused := s.refuseSuspect(now, req); refused {
		return d, true
	}
	if s.quarantine.Idle() {
		return Decision{}, false
	}
	r := s.quarantine.Check(now, suspectOf(req), req.MayTry, s.survived(now))
	if r == nil {
		return Decision{}, false
	}
	return refuseWith(req, r), true
}

// refuseWith returns the decision for a refusal of a quarantine.
func refuseWith(req Request, r *quarantine.Refusal) Decision {
	reason := Quarantined
	if r.WholeRequest {
		reason = RequestQuarantined
	}
	d := refuse(req, reason, r.RetryAfter)
	d.Quarantine = r.ID
	return d
}

// refuseSuspect refuses a request that is held off, and quarantines one that is guilty.
func (s *Scheduler) refuseSuspect(now time.Duration, req Request) (Decision, bool) {
	if req.Fingerprint == 0 || s.suspects.Idle() {
		return Decision{}, false
	}
	s.quarantineGuilty(now, req.Fingerprint)
	if v := s.suspects.Check(now, req.Fingerprint); v.HoldOff > 0 {
		return refuse(req, RequestSuspected, v.HoldOff), true
	}
	return Decision{}, false
}

// expelQuarantined refuses the queued requests that refuseQuarantined refuses.
func (s *Scheduler) expelQuarantined(now time.Duration) []Decision {
	if s.quarantine.Len() == 0 && s.suspects.Idle() {
		return nil
	}
	var out []Decision
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedRequest) bool {
		req := w.request
		if req.trial {
			return false
		}
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

// recordVerdict blames or clears a request that has ended, and the parts of its prompt. started is
// true if its response had begun before.
func (s *Scheduler) recordVerdict(now time.Duration, g *grant, r Report, started bool) {
	answered := r.Event == Done || r.Answered
	if answered || r.Event == Failed {
		s.suspects.Survived(g.grantedAt, g.request.Fingerprint)
	}
	if answered {
		// An error status may come from a server that did not begin to run the request.
		s.quarantine.ClearRequest(now, g.grantedAt, g.request.Fingerprint)
	}
	switch {
	case answered && !s.quarantine.Idle():
		s.quarantine.Clear(now, g.grantedAt, sharedParts(g.request.Parts))
	case r.Event == Down && !r.Answered:
		suspect := suspectOf(g.request)
		suspect.GrantedAt, suspect.Begun = g.grantedAt, started
		s.quarantine.Crashed(now, g.server.name, suspect)
		s.recordSuspect(now, g)
	default:
		s.suspects.Ended(g.grantedAt, g.request.Fingerprint)
	}
}

// recordSuspect counts a crash for a request, unless it is quarantined already. If this scheduler
// granted it, a guilty one is quarantined at once, so that the verdict is recorded for all instances
// even if the request does not come again while this instance decides. Of the requests that
// others granted, this one sees only a part, and decides once it is asked.
func (s *Scheduler) recordSuspect(now time.Duration, g *grant) {
	fingerprint := g.request.Fingerprint
	if fingerprint == 0 || s.quarantine.Peek(now, suspectOf(g.request)) != nil {
		return
	}
	s.suspects.Crashed(now, g.grantedAt, fingerprint)
	if !g.adopted {
		s.quarantineGuilty(now, fingerprint)
	}
}

// quarantineGuilty quarantines a request if it is guilty.
func (s *Scheduler) quarantineGuilty(now time.Duration, fingerprint uint64) {
	if v := s.suspects.Check(now, fingerprint); v.Guilty {
		s.suspects.Forget(fingerprint)
		s.quarantine.AddRequest(now, v.Since, fingerprint, v.LateSends)
	}
}

// TakeHeldOff returns the fingerprints of the requests that are held off since the last call.
func (s *Scheduler) TakeHeldOff() []uint64 { return s.suspects.TakeHeldOff() }

// SetQuarantines replaces the quarantines that are recorded for all instances.
func (s *Scheduler) SetQuarantines(now time.Duration, recorded []quarantine.Quarantine) {
	s.quarantine.SetRecorded(now, recorded)
	for _, q := range recorded {
		if !q.WholeRequest {
			continue
		}
		for _, fingerprint := range q.Parts {
			// Once it has ended, no crash from before counts.
			s.suspects.Forget(fingerprint)
		}
	}
}

// TakeQuarantineChanges returns the quarantines that were added, changed or released since
// the last call.
func (s *Scheduler) TakeQuarantineChanges() []quarantine.Quarantine {
	return s.quarantine.TakeChanges()
}
