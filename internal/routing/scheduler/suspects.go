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
	s.clearSurvivors(now, req.Fingerprint)
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
	switch {
	case r.Suspected:
		reason = RequestSuspected
	case r.WholeRequest:
		reason = RequestQuarantined
	}
	d := refuse(req, reason, r.RetryAfter)
	d.Quarantine = r.ID
	return d
}

// refuseSuspect quarantines a request that is guilty, and refuses one that must not be sent beside
// another one with the same fingerprint.
func (s *Scheduler) refuseSuspect(now time.Duration, req Request) (Decision, bool) {
	if req.Fingerprint == 0 || s.suspects.Idle() {
		return Decision{}, false
	}
	s.convict(now, req.Fingerprint)
	if v := s.suspects.Check(now, req.Fingerprint); v.RetryAfter > 0 {
		return refuse(req, RequestSuspected, v.RetryAfter), true
	}
	return Decision{}, false
}

// convict quarantines a request if it is guilty.
func (s *Scheduler) convict(now time.Duration, fingerprint uint64) {
	s.clearSurvivors(now, fingerprint)
	v := s.suspects.Check(now, fingerprint)
	if !v.Guilty {
		return
	}
	s.suspects.Forget(fingerprint)
	s.quarantine.AddRequest(now, v.Since, fingerprint, v.LateSends)
}

// clearSurvivors clears a request if it is suspected or quarantined and is being answered.
func (s *Scheduler) clearSurvivors(now time.Duration, fingerprint uint64) {
	if !s.suspects.Suspects(fingerprint) && !s.quarantine.CoversRequest(fingerprint) {
		return
	}
	for _, g := range s.granted {
		if g.request.Fingerprint == fingerprint && g.started && now-g.startedAt >= survivalTime {
			s.suspects.Survived(g.grantedAt, fingerprint)
			s.quarantine.ClearRequest(now, g.grantedAt, fingerprint)
		}
	}
}

// clearTrial clears the request that is on trial if it is being answered, so that a long answer
// does not hold up the trials of others.
func (s *Scheduler) clearTrial(now time.Duration) {
	if fingerprint := s.quarantine.OnTrial(); fingerprint != 0 {
		s.clearSurvivors(now, fingerprint)
	}
}

// expelQuarantined refuses the queued requests that refuseQuarantined refuses.
func (s *Scheduler) expelQuarantined(now time.Duration) []Decision {
	if s.quarantine.Len() == 0 && s.suspects.Idle() {
		return nil
	}
	var out []Decision
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedRequest) bool {
		d, refused := s.refuseQuarantined(now, w.request)
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
	fingerprint, answered := g.request.Fingerprint, r.Event == Done || r.Answered
	switch r.Event {
	case Done, Failed, Rejected:
		s.suspects.Responded(g.server.name, g.grantedAt)
	}
	if answered {
		s.suspects.Survived(g.grantedAt, fingerprint)
		s.quarantine.ClearRequest(now, g.grantedAt, fingerprint)
	}
	switch {
	case answered && !s.quarantine.Idle():
		s.quarantine.Clear(now, g.grantedAt, sharedParts(g.request.Parts))
	case r.Event == Down && !answered:
		suspect := suspectOf(g.request)
		suspect.GrantedAt, suspect.Begun = g.grantedAt, started
		s.quarantine.Crashed(now, g.server.name, suspect)
		s.recordSuspect(now, g)
	case r.Event == Rejected || r.Event == Unreachable:
		s.suspects.Ended(g.grantedAt, fingerprint)
		s.quarantine.WithdrawRequest(g.grantedAt, fingerprint)
	default:
		// An error proves nothing: servers also fail requests that they have not begun to run.
		s.recordUnproved(now, g, r)
	}
}

// recordUnproved records a request that has ended without proof that its server survives it.
func (s *Scheduler) recordUnproved(now time.Duration, g *grant, r Report) {
	fingerprint := g.request.Fingerprint
	if r.Event == Cancelled && fingerprint != 0 && !s.quarantine.CoversRequest(fingerprint) {
		s.suspects.Left(now, g.server.name, g.grantedAt, fingerprint)
	} else {
		s.suspects.Ended(g.grantedAt, fingerprint)
	}
	s.quarantine.EndRequest(now, g.grantedAt, fingerprint)
}

// recordSuspect counts a crash for a request that was in flight at a server, unless one that is
// quarantined explains it.
func (s *Scheduler) recordSuspect(now time.Duration, g *grant) {
	fingerprint := g.request.Fingerprint
	switch {
	case fingerprint == 0:
	case s.quarantine.CoversRequest(fingerprint):
		s.quarantine.CrashRequest(now, g.grantedAt, fingerprint)
		s.suspects.Explained(now, g.server.name, g.grantedAt)
	default:
		s.suspects.Crashed(now, g.server.name, g.grantedAt, fingerprint)
		s.explainByTrial(now, g.server)
		if g.request.MayTry {
			// The decider records it at once, as it may be lost before the request comes again.
			s.convict(now, fingerprint)
		}
	}
}

// NoteCrash records that a server has crashed, as reported to another decider, and the request that was in
// flight there, unless its fingerprint is zero. sentAt is when it was sent.
func (s *Scheduler) NoteCrash(now time.Duration, server string, sentAt time.Duration, fingerprint uint64) {
	if sv := s.servers[server]; sv != nil {
		s.doubtVersion(now, sv)
	}
	if fingerprint != 0 && !s.quarantine.CoversRequest(fingerprint) {
		s.suspects.Noted(now, server, sentAt, fingerprint)
	}
}

// explainByTrial explains the crash of a server by a quarantined request that is in flight there and
// has not been reported yet.
func (s *Scheduler) explainByTrial(now time.Duration, sv *server) {
	for _, other := range s.granted {
		if other.server == sv && s.quarantine.CoversRequest(other.request.Fingerprint) {
			s.suspects.Explained(now, sv.name, other.grantedAt)
			return
		}
	}
}

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
