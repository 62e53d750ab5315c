// Package quarantine finds parts of prompts that crash the server which answers them, and
// decides which requests are refused because of them.
//
// Load pattern: one part makes every engine that begins to answer it go down, whatever
// else the prompt holds. Each of the callers' requests with it, and each retry, crashes one
// more engine, together with all requests that run there.
//
// The requests that were in flight at a server when it crashed, and of which the
// caller had no part of the answer yet, share the blame. If the answers to some of them had
// begun, only those do, as the others were still queued or being read. All parts of a
// blamed request but the last are blamed; the last belongs to the request alone. These
// rules single out the part that is at fault:
//
//   - A part is cleared once the answer to a request with it has reached the caller, if
//     the request was granted after the part was first blamed. Parts that many prompts
//     share are cleared so within moments.
//   - A part is blamed again only by a request that was granted after the previous server
//     crashed. Servers that crash together, for a reason of their own, are thus one
//     piece of evidence.
//   - Parts that are blamed for the same servers cannot be distinguished. They are
//     quarantined together: only a request with all of them is refused, and those that
//     are cleared later are taken out.
//   - Where a quarantine explains the crash of a server, no other part is blamed for it.
//
// After a pause one request is let through as a trial: if it is answered, the quarantine
// ends, otherwise the pause doubles.
//
// A whole request can be quarantined too, by its fingerprint; package crashsuspect finds
// those. Such a quarantine shuts out nothing but the repeats of one request, so its pauses
// grow faster, and after the last trial only an operator ends it.
//
// Tracker is a deterministic state machine without a clock or I/O.
package quarantine

// This file defines Tracker and its verdicts on requests.

import (
	"maps"
	"slices"
	"time"
)

const (
	// minTrialPause is the time until the first trial of a quarantine; it doubles with
	// each failed trial, up to maxTrialPause.
	minTrialPause = 30 * time.Second
	maxTrialPause = time.Hour
	// trialTimeout is the time after which a trial without an outcome counts no longer.
	trialTimeout = time.Minute
	// requestPauseFactor is by how much each failed trial of a whole request lengthens the
	// pause, and maxRequestTrials how many trials it gets. Each costs a server.
	requestPauseFactor = 10
	maxRequestTrials   = 3
	// minRetryAfter is the least retry delay for a refused caller.
	minRetryAfter = time.Second
	// maxQuarantines bounds the memory, as callers may invent parts.
	maxQuarantines = 256
)

// Quarantine is a set of parts that are refused in one prompt, or a request that is refused.
type Quarantine struct {
	// ID names the quarantine; it stays while parts are taken out.
	ID uint64
	// Parts are in ascending order. If WholeRequest is true, the fingerprint of the request is
	// the only one.
	Parts        []uint64
	WholeRequest bool
	// FailedTrials is the number of trials that crashed a server.
	FailedTrials int
	// Released is true if the quarantine has ended.
	Released bool
}

// Refusal states why a request is refused.
type Refusal struct {
	// ID is that of the quarantine.
	ID           uint64
	WholeRequest bool
	RetryAfter   time.Duration
}

// Tracker holds the suspected and the quarantined parts of one service. Its zero value is
// ready for use. It is not safe for concurrent use.
type Tracker struct {
	suspects    suspects
	quarantines map[uint64]*entry
	changes     []Quarantine
}

// entry is a quarantine with its state in this process.
type entry struct {
	Quarantine
	// since is the time from which an answered request clears parts. A whole request explains no
	// crash up to addedAt.
	since   time.Duration
	addedAt time.Duration
	trialAt time.Duration
	// triedAt is when the trial in progress began, if trying is true.
	triedAt time.Duration
	trying  bool
	// recorded is true once the quarantine has been among the recorded ones. A released
	// one is kept until it no longer is.
	recorded   bool
	releasedAt time.Duration
}

// Idle reports whether no part is suspected or quarantined.
func (t *Tracker) Idle() bool { return len(t.quarantines) == 0 && t.suspects.idle() }

// Len returns the number of quarantines.
func (t *Tracker) Len() int { return len(t.quarantines) }

// Crashed records a request that was in flight at a server which crashed.
func (t *Tracker) Crashed(now time.Duration, server string, r Request) {
	t.judgeCrashes(now)
	t.suspects.addRequest(now, server, r)
}

// judgeCrashes blames the requests of the crashes whose reports have been gathered, unless
// a quarantine explains the crash.
func (t *Tracker) judgeCrashes(now time.Duration) {
	for _, c := range t.suspects.gathered(now) {
		if !t.explains(c) {
			t.suspects.blame(c)
		}
	}
}

// explains reports whether a request of a crash has all parts of a quarantine. It records
// the failure of the trials among them.
func (t *Tracker) explains(c *crash) bool {
	explained := false
	for _, r := range c.requests {
		for _, q := range t.quarantines {
			if q.Released || !q.covers(r) || q.WholeRequest && c.at <= q.addedAt {
				// A crash for which the whole request is quarantined is evidence on its parts too.
				continue
			}
			explained = true
			t.failTrial(c.at, r.GrantedAt, q)
		}
	}
	return explained
}

// failTrial records that a trial has crashed a server.
func (t *Tracker) failTrial(now, grantedAt time.Duration, q *entry) {
	if !q.trying || grantedAt < q.triedAt {
		return
	}
	t.countFailedTrial(now, q)
}

// countFailedTrial ends a trial and schedules the next one.
func (t *Tracker) countFailedTrial(now time.Duration, q *entry) {
	q.trying = false
	q.FailedTrials++
	q.trialAt = now + q.trialPause()
	t.change(q)
}

// covers reports whether a request is refused because of the quarantine.
func (q *Quarantine) covers(r Request) bool {
	if q.WholeRequest {
		return r.Fingerprint != 0 && slices.Contains(q.Parts, r.Fingerprint)
	}
	return containsAll(r.Parts, q.Parts)
}

// trialPause returns the time until the next trial.
func (q *Quarantine) trialPause() time.Duration {
	if !q.WholeRequest {
		return min(minTrialPause<<min(q.FailedTrials, 8), maxTrialPause)
	}
	pause := minTrialPause
	for range min(q.FailedTrials, maxRequestTrials) {
		pause *= requestPauseFactor
	}
	return min(pause, maxTrialPause)
}

// refusal returns the refusal of a request that the quarantine covers.
func (q *entry) refusal(now time.Duration) *Refusal {
	after := q.trialAt - now
	if q.trialsSpent() {
		after = maxTrialPause
	}
	return &Refusal{
		ID:           q.ID,
		WholeRequest: q.WholeRequest,
		RetryAfter:   max(after, minRetryAfter),
	}
}

// trialsSpent reports whether there is no further trial.
func (q *Quarantine) trialsSpent() bool { return q.WholeRequest && q.FailedTrials >= maxRequestTrials }

func (t *Tracker) change(q *entry) {
	c := q.Quarantine
	c.Parts = slices.Clone(q.Parts)
	t.changes = append(t.changes, c)
}

// Clear records that the caller of a request has received an answer, or a part of it.
// parts are those of its prompt but the last.
func (t *Tracker) Clear(now, grantedAt time.Duration, parts []uint64) {
	t.judgeCrashes(now)
	t.suspects.clear(grantedAt, parts)
	for _, q := range t.quarantines {
		if !q.Released && !q.WholeRequest && grantedAt >= q.since {
			t.takeOut(now, q, parts)
		}
	}
}

// ClearRequest records that a server has responded to a request.
func (t *Tracker) ClearRequest(now, grantedAt time.Duration, fingerprint uint64) {
	q := t.quarantines[identify([]uint64{fingerprint})]
	if q != nil && q.WholeRequest && !q.Released && grantedAt >= q.since {
		t.release(now, q)
	}
}

// AddRequest adds a quarantine of a whole request. since is when it crashed the first server;
// failedTrials is the number of its trials that have been made.
func (t *Tracker) AddRequest(now, since time.Duration, fingerprint uint64, failedTrials int) {
	parts := []uint64{fingerprint}
	id := identify(parts)
	if q := t.quarantines[id]; q != nil && !q.Released {
		return
	}
	q := &entry{
		Quarantine: Quarantine{
			ID:           id,
			Parts:        parts,
			WholeRequest: true,
			FailedTrials: failedTrials,
		},
		since:   since,
		addedAt: now,
	}
	q.trialAt = now + q.trialPause()
	t.add(q)
	t.change(q)
}

// takeOut takes cleared parts out of a quarantine, which is released if none is left.
func (t *Tracker) takeOut(now time.Duration, q *entry, cleared []uint64) {
	rest := slices.DeleteFunc(slices.Clone(q.Parts), func(p uint64) bool { return slices.Contains(cleared, p) })
	switch len(rest) {
	case len(q.Parts):
	case 0:
		t.release(now, q)
	default:
		q.Parts = rest
		t.change(q)
	}
}

func (t *Tracker) release(now time.Duration, q *entry) {
	q.Released, q.releasedAt = true, now
	t.change(q)
	if !q.recorded {
		delete(t.quarantines, q.ID)
	}
}

// Peek returns the refusal of a request by the quarantines known so far, or nil. Unlike Check it
// changes nothing, and counts no request as the trial of a quarantine.
func (t *Tracker) Peek(now time.Duration, r Request) *Refusal {
	for _, id := range slices.Sorted(maps.Keys(t.quarantines)) {
		q := t.quarantines[id]
		if !q.Released && q.covers(r) {
			return q.refusal(now)
		}
	}
	return nil
}

// Check returns nil if a request may be sent. mayTry is true if it may be the trial of a
// quarantine. survived reports whether a request with a part, granted after a time, is being
// answered.
func (t *Tracker) Check(now time.Duration, r Request, mayTry bool, survived func(part uint64, since time.Duration) bool) *Refusal {
	t.judgeCrashes(now)
	for _, part := range r.Parts {
		if set := t.suspects.quarantineSet(now, part, survived); len(set) > 0 {
			t.quarantine(now, set)
		}
	}
	var trial *entry
	for _, id := range slices.Sorted(maps.Keys(t.quarantines)) {
		q := t.quarantines[id]
		if q.Released || !q.covers(r) {
			continue
		}
		t.expireTrial(now, q)
		if !mayTry || !q.trialDue(now) || trial != nil {
			return q.refusal(now)
		}
		trial = q
	}
	if trial != nil {
		trial.trying, trial.triedAt = true, now
	}
	return nil
}

// trialDue reports whether a request may be let through as a trial.
func (q *entry) trialDue(now time.Duration) bool {
	if q.trialsSpent() {
		return false
	}
	return now >= q.trialAt && (!q.trying || now-q.triedAt >= trialTimeout)
}

// expireTrial counts the trial of a whole request that has had no outcome in time as failed, as it
// may have crashed a server all the same.
func (t *Tracker) expireTrial(now time.Duration, q *entry) {
	if q.WholeRequest && q.trying && now-q.triedAt >= trialTimeout {
		t.countFailedTrial(now, q)
	}
}

// quarantine adds a quarantine of suspected parts. Those of more specific prompts are
// released, as the new one covers them.
func (t *Tracker) quarantine(now time.Duration, parts []uint64) {
	for _, q := range t.quarantines {
		switch {
		case q.Released || q.WholeRequest:
		case containsAll(parts, q.Parts):
			return
		case containsAll(q.Parts, parts):
			t.release(now, q)
		}
	}
	q := &entry{
		Quarantine: Quarantine{
			ID:    identify(parts),
			Parts: parts,
		},
		since:   t.suspects.firstBlame(parts),
		trialAt: now + minTrialPause,
	}
	t.suspects.explain(parts)
	t.add(q)
	t.change(q)
}

// add adds a quarantine. If there are too many, the one whose trial is due the soonest is
// dropped.
func (t *Tracker) add(q *entry) {
	if t.quarantines == nil {
		t.quarantines = make(map[uint64]*entry)
	}
	if len(t.quarantines) >= maxQuarantines {
		var first *entry
		for _, other := range t.quarantines {
			if first == nil || other.trialAt < first.trialAt {
				first = other
			}
		}
		delete(t.quarantines, first.ID)
	}
	t.quarantines[q.ID] = q
}

// SetRecorded replaces the quarantines that are recorded for all instances. One that was
// recorded and is no longer has ended.
func (t *Tracker) SetRecorded(now time.Duration, recorded []Quarantine) {
	ids := make(map[uint64]bool, len(recorded))
	for _, r := range recorded {
		ids[r.ID] = true
		t.record(now, r)
	}
	for id, q := range t.quarantines {
		if q.recorded && !ids[id] {
			delete(t.quarantines, id)
			t.suspects.forget(q.Parts)
		}
	}
}

// record takes over a recorded quarantine.
func (t *Tracker) record(now time.Duration, r Quarantine) {
	q := t.quarantines[r.ID]
	if q == nil {
		t.add(&entry{
			Quarantine: r,
			since:      now,
			addedAt:    now,
			trialAt:    now + r.trialPause(),
			recorded:   true,
		})
		return
	}
	q.recorded = true
	if r.FailedTrials > q.FailedTrials {
		q.FailedTrials = r.FailedTrials
		q.trialAt = now + q.trialPause()
		q.trying = false
	}
	if !q.Released {
		q.Parts = slices.DeleteFunc(q.Parts, func(p uint64) bool { return !slices.Contains(r.Parts, p) })
		if len(q.Parts) == 0 {
			q.Parts = slices.Clone(r.Parts)
		}
	} else if now-q.releasedAt >= trialTimeout {
		// The release was lost on its way to the record.
		t.release(now, q)
	}
}

// TakeChanges returns the quarantines that were added, changed or released since the last
// call.
func (t *Tracker) TakeChanges() []Quarantine {
	out := t.changes
	t.changes = nil
	return out
}

// containsAll reports whether all elements of subset are in set.
func containsAll(set, subset []uint64) bool {
	for _, p := range subset {
		if !slices.Contains(set, p) {
			return false
		}
	}
	return true
}
