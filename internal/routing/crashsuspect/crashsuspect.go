// Package crashsuspect finds the requests under which servers crash one after the other.
//
// Load pattern: one request of one client account, sent again and again with new IDs at any
// instance, crashes each server that runs it. The requests that run beside it fail too,
// and so do all others while the last server is down.
//
// All requests that are in flight at a server when it crashes are suspected, as nothing
// tells which one did it. A suspect is cleared as soon as a server survives it, that is,
// responds to it. Until then it runs at one server at a time. It is held off after the second
// crash in a row, so that the first servers can return before another one is at risk, and
// guilty after the third. A crash counts only if the request was sent after the crash before:
// servers that crash at the same time, for a reason of their own, are one piece of evidence.
//
// Tracker is a deterministic state machine without a clock or I/O. What follows for a guilty
// request is decided by package quarantine.
package crashsuspect

// This file defines Tracker.

import "time"

const (
	// holdOffCrashes is the number of crashes in a row from which a request is held off, and
	// guiltyCrashes the number from which it is guilty.
	holdOffCrashes = 2
	guiltyCrashes  = 3
	// holdOff is for how long a suspect is held off: a server that has crashed is back after
	// some seconds.
	holdOff = 5 * time.Second
	// maxInFlight is for how long a suspect that was sent keeps its repeats from being sent, if
	// it has no outcome; inFlightRetryAfter is when they may come again.
	maxInFlight        = 5 * time.Second
	inFlightRetryAfter = 200 * time.Millisecond
	// maxSuspects bounds the memory, as callers may invent requests.
	maxSuspects = 4096
)

// Verdict is what is known of a request.
type Verdict struct {
	// HoldOff is for how long the request must not be sent; zero if it may be sent.
	HoldOff time.Duration
	// Guilty is true if the request has crashed enough servers. Since is when the first of
	// them crashed.
	Guilty bool
	Since  time.Duration
	// LateSends is the number of sends since the third server crashed under the request. It is
	// zero if the request was not sent to several servers at the same time.
	LateSends int
}

// suspect is a request that servers have crashed under and that none has survived since.
type suspect struct {
	crashes           int
	firstAt, latestAt time.Duration
	// servers is the number of servers that have crashed, also at the same time.
	servers   int
	lateSends int
	// heldUntil is the end of the hold-off.
	heldUntil time.Duration
	// inFlight is true from sentAt until the request has an outcome.
	inFlight bool
	sentAt   time.Duration
}

// Tracker holds the suspects of one service by their fingerprints. Its zero value is ready for
// use. It is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64]*suspect
	heldOff  []uint64
}

// Idle reports whether there is no suspect.
func (t *Tracker) Idle() bool { return len(t.suspects) == 0 }

// Crashed records that a server has crashed while a request was in flight there.
func (t *Tracker) Crashed(now, sentAt time.Duration, fingerprint uint64) {
	s := t.suspects[fingerprint]
	if s == nil {
		t.add(fingerprint, &suspect{
			crashes:  1,
			servers:  1,
			firstAt:  now,
			latestAt: now,
		})
		return
	}
	s.servers++
	s.end(sentAt)
	if sentAt < s.latestAt {
		return
	}
	s.crashes++
	s.latestAt = now
	if s.crashes == holdOffCrashes {
		s.heldUntil = now + holdOff
		t.heldOff = append(t.heldOff, fingerprint)
	}
}

// add adds a suspect. If there are too many, the one whose latest crash is the longest ago is
// dropped.
func (t *Tracker) add(fingerprint uint64, s *suspect) {
	if t.suspects == nil {
		t.suspects = make(map[uint64]*suspect)
	}
	if len(t.suspects) >= maxSuspects {
		oldest, oldestAt := fingerprint, s.latestAt
		for other, o := range t.suspects {
			if o.latestAt <= oldestAt {
				oldest, oldestAt = other, o.latestAt
			}
		}
		delete(t.suspects, oldest)
	}
	t.suspects[fingerprint] = s
}

// Survived records that a server has responded to a request that was sent at sentAt.
func (t *Tracker) Survived(sentAt time.Duration, fingerprint uint64) {
	if s := t.suspects[fingerprint]; s != nil && sentAt >= s.firstAt {
		delete(t.suspects, fingerprint)
	}
}

// Check returns the verdict on a request. It changes nothing.
func (t *Tracker) Check(now time.Duration, fingerprint uint64) Verdict {
	s := t.suspects[fingerprint]
	if s == nil {
		return Verdict{}
	}
	held := s.heldUntil
	if s.inFlight && now < s.sentAt+maxInFlight {
		held = max(held, now+inFlightRetryAfter)
	}
	return Verdict{
		HoldOff:   max(held-now, 0),
		Guilty:    s.crashes >= guiltyCrashes,
		Since:     s.firstAt,
		LateSends: s.lateSends,
	}
}

// Sent records that a request is sent.
func (t *Tracker) Sent(now time.Duration, fingerprint uint64) {
	s := t.suspects[fingerprint]
	if s == nil {
		return
	}
	s.inFlight, s.sentAt = true, now
	if s.servers >= guiltyCrashes {
		s.lateSends++
	}
}

// Ended records that a request that was sent at sentAt has ended, and that nothing tells whether
// a server survives it.
func (t *Tracker) Ended(sentAt time.Duration, fingerprint uint64) {
	if s := t.suspects[fingerprint]; s != nil {
		s.end(sentAt)
	}
}

// end records that the request that was sent at sentAt is no longer in flight.
func (s *suspect) end(sentAt time.Duration) {
	if s.sentAt == sentAt {
		s.inFlight = false
	}
}

// Forget drops a suspect.
func (t *Tracker) Forget(fingerprint uint64) { delete(t.suspects, fingerprint) }

// TakeHeldOff returns the requests that have been held off since the last call.
func (t *Tracker) TakeHeldOff() []uint64 {
	out := t.heldOff
	t.heldOff = nil
	return out
}
