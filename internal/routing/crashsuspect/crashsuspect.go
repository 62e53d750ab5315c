// Package crashsuspect finds the requests under which servers crash one after the other.
//
// Load pattern: one request of one client account, sent again and again with new IDs at any
// instance, crashes each server that runs it. The requests that run beside it fail too,
// and so do all others while the last server is down.
//
// All requests that are in flight at a server when it crashes are suspected, as nothing
// tells which one did it. So are those whose callers have left shortly before. These rules single out the one that is at fault:
//
//   - A suspect is cleared as soon as a server survives it, that is, answers it.
//   - It is guilty after the second crash in a row. A crash counts only if the request was
//     sent after the crash before: servers that crash at the same time, for a reason of their
//     own, are one piece of evidence.
//   - Where a request that is known to crash servers was in flight, the crash is explained and
//     counts for no other.
//   - A server that responds to a request which was sent before it seemed to crash has not
//     crashed: only the connections of one instance broke.
//   - Another decider may be told of a crash, so that it can take over. It is not told which
//     requests are answered, so that such a crash counts for some seconds only.
//   - A request that was sent to several servers at the same time, and has crashed three of
//     them, runs at one server at a time.
//
// Tracker is a deterministic state machine without a clock or I/O. What follows for a guilty
// request is decided by package quarantine.
package crashsuspect

// This file defines Tracker.

import (
	"slices"
	"time"
)

const (
	// guiltyCrashes is the number of crashes in a row from which a request is guilty, and
	// exclusiveCrashes the number of all crashes from which it runs at one server at a time.
	guiltyCrashes    = 2
	exclusiveCrashes = 3
	// maxInFlight is for how long a request keeps its repeats from being sent, if it has no
	// outcome; inFlightRetryAfter is when they may come again.
	maxInFlight        = 5 * time.Minute
	inFlightRetryAfter = 200 * time.Millisecond
	// noteTime is for how long a crash counts that this decider was told of.
	noteTime = 30 * time.Second
	// leftTime is for how long a server may still run a request whose caller has left.
	leftTime = 500 * time.Millisecond
	// maxSuspects, maxCrashes and maxLeft bound the memory, as callers may invent requests.
	maxSuspects = 4096
	maxCrashes  = 1024
	maxLeft     = 1024
)

// Verdict is what is known of a request.
type Verdict struct {
	// Guilty is true if the request has crashed servers in a row. Since is when the first of
	// them crashed.
	Guilty bool
	Since  time.Duration
	// RetryAfter is not zero if the request must not be sent now.
	RetryAfter time.Duration
	// LateSends is the number of sends since the third server crashed under the request. It is
	// zero if the request was not sent to several servers at the same time.
	LateSends int
}

// crash is the crash of one server.
type crash struct {
	at time.Duration
	// void is true if the crash counts for no suspect.
	void bool
}

// blame is a crash that counts for a suspect. noted is true if this decider was only told of it.
type blame struct {
	*crash
	noted bool
}

// suspect is a request that servers have crashed under and that none has survived since.
type suspect struct {
	// all holds the crashes, and inRow those that came one after the other.
	all, inRow []blame
	lateSends  int
	// inFlight is true from sentAt until the request has an outcome.
	inFlight bool
	sentAt   time.Duration
}

// leftRequest is a request whose caller has left.
type leftRequest struct {
	at          time.Duration
	server      string
	sentAt      time.Duration
	fingerprint uint64
}

// Tracker holds the suspects of one service by their fingerprints. Its zero value is ready for
// use. It is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64]*suspect
	// crashes holds the latest crash of each server, by its name.
	crashes map[string]*crash
	// left holds the requests whose callers have left within leftTime, in order.
	left []leftRequest
}

// Idle reports whether there is no suspect.
func (t *Tracker) Idle() bool { return len(t.suspects) == 0 }

// Suspects reports whether a request is a suspect.
func (t *Tracker) Suspects(fingerprint uint64) bool { return t.suspects[fingerprint] != nil }

// Crashed records that a server has crashed while a request, which was sent at sentAt, was in
// flight there.
func (t *Tracker) Crashed(now time.Duration, server string, sentAt time.Duration, fingerprint uint64) {
	b := blame{
		crash: t.crash(now, server, sentAt),
	}
	t.blame(now, b, sentAt, fingerprint)
	for _, l := range t.left {
		if l.server == server && now-l.at < leftTime && l.sentAt < b.at {
			t.blame(now, b, l.sentAt, l.fingerprint)
		}
	}
}

// Noted records a crash that was reported to another decider.
func (t *Tracker) Noted(now time.Duration, server string, sentAt time.Duration, fingerprint uint64) {
	b := blame{
		crash: t.crash(now, server, sentAt),
		noted: true,
	}
	t.blame(now, b, sentAt, fingerprint)
}

// Left records that the caller of a request has left, and that the server may run on.
func (t *Tracker) Left(now time.Duration, server string, sentAt time.Duration, fingerprint uint64) {
	t.Ended(sentAt, fingerprint)
	t.left = slices.DeleteFunc(t.left, func(l leftRequest) bool { return now-l.at >= leftTime })
	if len(t.left) < maxLeft {
		t.left = append(t.left, leftRequest{
			at:          now,
			server:      server,
			sentAt:      sentAt,
			fingerprint: fingerprint,
		})
	}
}

// blame blames a request for a crash.
func (t *Tracker) blame(now time.Duration, b blame, sentAt time.Duration, fingerprint uint64) {
	s := t.suspects[fingerprint]
	if s == nil {
		s = &suspect{}
		t.add(fingerprint, s)
	}
	s.end(sentAt)
	s.forgetInvalid(now)
	isSame := func(other blame) bool { return other.crash == b.crash }
	if !slices.ContainsFunc(s.all, isSame) && len(s.all) < maxCrashes {
		s.all = append(s.all, b)
	}
	if n := len(s.inRow); n == 0 || sentAt >= s.inRow[n-1].at {
		s.inRow = append(s.inRow, b)
	}
}

// Explained records that a request which is known to crash servers, and was sent at sentAt, was in
// flight at a server that has crashed.
func (t *Tracker) Explained(now time.Duration, server string, sentAt time.Duration) {
	t.crash(now, server, sentAt).void = true
}

// Responded records that a server has responded to a request that was sent at sentAt.
func (t *Tracker) Responded(server string, sentAt time.Duration) {
	if c := t.crashes[server]; c != nil && sentAt < c.at {
		c.void = true
	}
}

// crash returns the crash of a server at which a request was in flight. All requests that were
// sent before it belong to it.
func (t *Tracker) crash(now time.Duration, server string, sentAt time.Duration) *crash {
	if c := t.crashes[server]; c != nil && sentAt < c.at {
		return c
	}
	if t.crashes == nil {
		t.crashes = make(map[string]*crash)
	}
	if len(t.crashes) >= maxCrashes {
		delete(t.crashes, oldest(t.crashes, func(c *crash) time.Duration { return c.at }))
	}
	c := &crash{
		at: now,
	}
	t.crashes[server] = c
	return c
}

// forgetInvalid drops the crashes that count no longer.
func (s *suspect) forgetInvalid(now time.Duration) {
	isInvalid := func(b blame) bool { return b.void || b.noted && now-b.at >= noteTime }
	s.all = slices.DeleteFunc(s.all, isInvalid)
	s.inRow = slices.DeleteFunc(s.inRow, isInvalid)
}

// add adds a suspect. If there are too many, the one whose latest crash is the longest ago is
// dropped.
func (t *Tracker) add(fingerprint uint64, s *suspect) {
	if t.suspects == nil {
		t.suspects = make(map[uint64]*suspect)
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, oldest(t.suspects, (*suspect).latestAt))
	}
	t.suspects[fingerprint] = s
}

// oldest returns the key of the value with the earliest time.
func oldest[K comparable, V any](m map[K]V, at func(V) time.Duration) K {
	var first K
	found := false
	for k, v := range m {
		if !found || at(v) < at(m[first]) {
			first, found = k, true
		}
	}
	return first
}

func (s *suspect) latestAt() time.Duration {
	if len(s.all) == 0 {
		return 0
	}
	return s.all[len(s.all)-1].at
}

// Survived records that a server has answered a request that was sent at sentAt.
func (t *Tracker) Survived(sentAt time.Duration, fingerprint uint64) {
	if s := t.suspects[fingerprint]; s != nil && len(s.all) > 0 && sentAt >= s.all[0].at {
		delete(t.suspects, fingerprint)
	}
}

// Check returns the verdict on a request.
func (t *Tracker) Check(now time.Duration, fingerprint uint64) Verdict {
	s := t.suspects[fingerprint]
	if s == nil {
		return Verdict{}
	}
	s.forgetInvalid(now)
	if len(s.all) == 0 {
		delete(t.suspects, fingerprint)
		return Verdict{}
	}
	v := Verdict{
		Guilty:    len(s.inRow) >= guiltyCrashes,
		Since:     s.all[0].at,
		LateSends: s.lateSends,
	}
	if s.inFlight && len(s.all) >= exclusiveCrashes && now < s.sentAt+maxInFlight {
		v.RetryAfter = inFlightRetryAfter
	}
	return v
}

// Sent records that a request is sent.
func (t *Tracker) Sent(now time.Duration, fingerprint uint64) {
	s := t.suspects[fingerprint]
	if s == nil {
		return
	}
	s.inFlight, s.sentAt = true, now
	if len(s.all) >= exclusiveCrashes {
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
