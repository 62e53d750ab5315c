// Package surge finds the client accounts that send far more requests than they usually do.
//
// Load pattern: a few accounts send many times their usual rate, so that a service has fewer
// slots than requests. In order of arrival, the requests of all accounts would wait and be
// refused alike, although the others send no more than before. An account that is large at
// all times does not surge; what counts is the account's own usual rate.
package surge

// This file defines Tracker.

import (
	"math"
	"time"
)

const (
	// recentTime and usualTime are the time constants of the two moving averages.
	recentTime = time.Second
	usualTime  = time.Minute
	// minHistory is how long requests are recorded before any account surges.
	minHistory = 10 * time.Second
	// surgeFactor is by how much the recent rate of a surging account exceeds its usual one.
	surgeFactor = 2.5
	// surgeWeight is the weight of a surging account's requests in its usual rate, and
	// maxSurge the time after which they have full weight: the account has grown.
	surgeWeight = 0.1
	maxSurge    = 2 * time.Minute
	// minShare is the least share of the recent requests that a surging account has. A
	// smaller one takes next to nothing from the others.
	minShare = 0.05
	// minRecent is the least recent rate of a surging account, in requests per second. Below
	// it, a few requests that come together look like a surge.
	minRecent = 10
	// maxAccounts bounds the table. When it is full, accounts whose usual rate is below
	// keptRate, in requests per second, are forgotten, every trimInterval at most; no other
	// account is recorded until there is room.
	maxAccounts  = 50_000
	keptRate     = 0.02
	trimInterval = 10 * time.Second
)

// rate is a moving average of a rate in requests per second, as of at.
type rate struct {
	perSecond float64
	at        time.Duration
}

// value returns the rate at a time.
func (r *rate) value(now, constant time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(max(now-r.at, 0))/float64(constant))
}

// record counts one request with a weight.
func (r *rate) record(now, constant time.Duration, weight float64) {
	r.perSecond, r.at = r.value(now, constant)+weight/constant.Seconds(), now
}

// account holds the rates of one account.
type account struct {
	recent, usual rate
	// surgedAt is when the account began to surge, lastSurge when it did last. A surge that
	// begins again within maxSurge is the same one.
	surged    bool
	surgedAt  time.Duration
	lastSurge time.Duration
}

// Tracker records the requests of the accounts of one service. The zero value has none. It is
// not safe for concurrent use.
type Tracker struct {
	accounts map[string]*account
	total    rate
	begun    bool
	since    time.Duration
	// newSurges holds the accounts that began to surge since the last TakeNew.
	newSurges []string
	trimmedAt time.Duration
}

// Record counts a request of an account.
func (t *Tracker) Record(now time.Duration, name string) {
	if !t.begun {
		t.begun, t.since = true, now
		t.accounts = make(map[string]*account)
	}
	a := t.accounts[name]
	if a == nil && !t.hasRoom(now) {
		t.total.record(now, recentTime, 1)
		return
	}
	if a == nil {
		a = &account{}
		t.accounts[name] = a
	}
	a.recent.record(now, recentTime, 1)
	t.total.record(now, recentTime, 1)
	a.usual.record(now, usualTime, t.usualWeight(now, name, a))
}

// usualWeight returns the weight of a request in the usual rate of its account. A surge must
// not become the usual rate while it lasts.
func (t *Tracker) usualWeight(now time.Duration, name string, a *account) float64 {
	if !t.surging(now, a) {
		return 1
	}
	if !a.surged || now-a.lastSurge > maxSurge {
		a.surged, a.surgedAt = true, now
		t.newSurges = append(t.newSurges, name)
	}
	a.lastSurge = now
	if now-a.surgedAt > maxSurge {
		return 1
	}
	return surgeWeight
}

// hasRoom reports whether another account can be recorded. It forgets accounts with low rates
// when the table is full.
func (t *Tracker) hasRoom(now time.Duration) bool {
	if len(t.accounts) < maxAccounts {
		return true
	}
	if t.trimmedAt != 0 && now-t.trimmedAt < trimInterval {
		return false
	}
	t.trimmedAt = now
	for name, a := range t.accounts {
		if a.usual.value(now, usualTime) < keptRate {
			delete(t.accounts, name)
		}
	}
	return len(t.accounts) < maxAccounts
}

// Surging reports whether an account sends far more than it usually does.
func (t *Tracker) Surging(now time.Duration, name string) bool {
	a := t.accounts[name]
	return a != nil && t.surging(now, a)
}

func (t *Tracker) surging(now time.Duration, a *account) bool {
	if now-t.since < minHistory {
		return false
	}
	recent := a.recent.value(now, recentTime)
	if recent < max(minRecent, minShare*t.total.value(now, recentTime)) {
		return false
	}
	return recent > surgeFactor*t.usualRate(now, a)
}

// usualRate returns the usual rate of an account. The average starts at zero, so that it is
// corrected for the time for which requests have been recorded.
func (t *Tracker) usualRate(now time.Duration, a *account) float64 {
	seen := 1 - math.Exp(-float64(now-t.since)/float64(usualTime))
	return a.usual.value(now, usualTime) / seen
}

// Accounts returns the number of accounts that are recorded.
func (t *Tracker) Accounts() int { return len(t.accounts) }

// TakeNew returns the accounts that have begun to surge since the last call.
func (t *Tracker) TakeNew() []string {
	out := t.newSurges
	t.newSurges = nil
	return out
}
