package quarantine

// This file defines the quarantines of whole requests.

import "time"

const (
	// firstRequestPause is the time until the first trial of a whole request, in which servers
	// that have crashed can return. Then the pauses are minTrialPause and longer by
	// requestPauseFactor each time.
	firstRequestPause  = 5 * time.Second
	requestPauseFactor = 10
	// maxRequestTrials is the number of trials that a whole request gets. The first may crash the
	// third server, after which three more sends are tolerated: two are trials, and one is left
	// for a trial that a lost decider has not recorded.
	maxRequestTrials = 3
	// maxInconclusive is the number of trials in a row without proof that count as a failed one:
	// callers leave and servers fail requests for other reasons too.
	maxInconclusive = 3
	// requestTrialTimeout is the time after which a trial without an outcome counts as failed.
	requestTrialTimeout = 5 * time.Minute
)

// Suspected reports whether a quarantine of a whole request has had no failed trial yet: two
// servers have crashed under the request, which may have been beside the one at fault.
func (q *Quarantine) Suspected() bool { return q.WholeRequest && q.FailedTrials == 0 }

// requestPause returns the time until the next trial of a whole request.
func (q *Quarantine) requestPause() time.Duration {
	if q.FailedTrials == 0 {
		return firstRequestPause
	}
	pause := minTrialPause
	for range min(q.FailedTrials, maxRequestTrials) - 1 {
		pause *= requestPauseFactor
	}
	return min(pause, maxTrialPause)
}

// trialsSpent reports whether there is no further trial.
func (q *Quarantine) trialsSpent() bool { return q.WholeRequest && q.FailedTrials >= maxRequestTrials }

// AddRequest adds a quarantine of a whole request. since is when it crashed the first server;
// failedTrials is the number of its trials that have been made.
func (t *Tracker) AddRequest(now, since time.Duration, fingerprint uint64, failedTrials int) {
	if q := t.requests[fingerprint]; q != nil && !q.Released {
		return
	}
	q := &entry{
		Quarantine: Quarantine{
			ID:           identify([]uint64{fingerprint}),
			Parts:        []uint64{fingerprint},
			WholeRequest: true,
			FailedTrials: failedTrials,
		},
		since: since,
	}
	q.trialAt = now + q.trialPause()
	t.add(q)
	t.change(q)
}

// CoversRequest reports whether a whole request is quarantined.
func (t *Tracker) CoversRequest(fingerprint uint64) bool {
	q := t.requests[fingerprint]
	return q != nil && !q.Released
}

// checkRequest returns the refusal of a request that is quarantined as a whole, or nil if it is not
// or may be a trial.
func (t *Tracker) checkRequest(now time.Duration, fingerprint uint64, mayTry bool) *Refusal {
	q := t.requests[fingerprint]
	if q == nil || q.Released {
		return nil
	}
	t.expireTrial(now, q)
	if !mayTry || q.trialsSpent() || now < q.trialAt || t.requestOnTrial(now) {
		return q.refusal(now)
	}
	return nil
}

// requestOnTrial reports whether a trial of any whole request is in progress. There is one at a time:
// the requests beside the one at fault, which are quarantined with it at first, would otherwise
// be tried beside it again.
func (t *Tracker) requestOnTrial(now time.Duration) bool {
	if t.onTrial != nil {
		t.expireTrial(now, t.onTrial)
	}
	return t.onTrial != nil
}

// OnTrial returns the fingerprint of the whole request of which a trial is in progress; zero if
// there is none.
func (t *Tracker) OnTrial() uint64 {
	if t.onTrial == nil {
		return 0
	}
	return t.onTrial.Parts[0]
}

// Sent records that a request is sent, which makes it the trial of the quarantines that cover it.
func (t *Tracker) Sent(now time.Duration, r Request) {
	if q := t.requests[r.Fingerprint]; q != nil && !q.Released {
		q.trying, q.triedAt = true, now
		t.onTrial = q
	}
	for _, q := range t.quarantines {
		if !q.Released && q.covers(r) {
			q.trying, q.triedAt = true, now
		}
	}
}

// ClearRequest records that a server has answered a request.
func (t *Tracker) ClearRequest(now, grantedAt time.Duration, fingerprint uint64) {
	q := t.requests[fingerprint]
	if q != nil && !q.Released && grantedAt >= q.since {
		t.endTrial(q)
		t.release(now, q)
	}
}

// CrashRequest records that a server has crashed under a request. If it was a trial, it has failed.
func (t *Tracker) CrashRequest(now, grantedAt time.Duration, fingerprint uint64) {
	if q := t.requests[fingerprint]; q != nil {
		t.failTrial(now, grantedAt, q)
	}
}

// EndRequest records that a request has ended without an answer, and that nothing tells whether its
// server has crashed.
func (t *Tracker) EndRequest(now, grantedAt time.Duration, fingerprint uint64) {
	q := t.requests[fingerprint]
	if q == nil || !q.trying || grantedAt < q.triedAt {
		return
	}
	q.inconclusive++
	if q.inconclusive >= maxInconclusive {
		t.countFailedTrial(now, q)
		return
	}
	t.endTrial(q)
	q.trialAt = now + q.trialPause()
}

// WithdrawRequest records that no server has run a request. If it was a trial, another one is due.
func (t *Tracker) WithdrawRequest(grantedAt time.Duration, fingerprint uint64) {
	if q := t.requests[fingerprint]; q != nil && q.trying && grantedAt >= q.triedAt {
		t.endTrial(q)
	}
}

// endTrial records that a trial is no longer in progress.
func (t *Tracker) endTrial(q *entry) {
	q.trying = false
	if t.onTrial == q {
		t.onTrial = nil
	}
}

// expireTrial counts the trial of a whole request that has had no outcome in time as failed, as it
// may have crashed a server all the same.
func (t *Tracker) expireTrial(now time.Duration, q *entry) {
	if q.WholeRequest && q.trying && now-q.triedAt >= requestTrialTimeout {
		t.countFailedTrial(now, q)
	}
}
