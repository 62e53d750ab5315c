package scheduler

// This file defines what a Scheduler would decide on a request, without deciding on it.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The outcomes of an Explanation.
const (
	WouldGrant  = "granted"
	WouldWait   = "queued"
	WouldRefuse = "refused"
)

// The reasons for which a server is left out of the choice.
const (
	// NotAccepting servers leave or are drained.
	NotAccepting = "notAccepting"
	// Paused servers have asked the instance to send them nothing.
	Paused = "paused"
	// RejectedLately is a server that has just rejected a request.
	RejectedLately = "rejectedLately"
	// Replaced is a server at whose address another one answers.
	Replaced     = "replaced"
	AlreadyTried = "alreadyTried"
	// OtherVersion means that the request is bound to another version of the software.
	OtherVersion = "otherVersion"
	Ejected      = "ejected"
	NoSlot       = "noSlot"
	// OverLoadLimit servers have more than their part of the load. They are chosen if no
	// server within the limit has room.
	OverLoadLimit = "overLoadLimit"
	// EvacuatedDomain servers are in an evacuated failure domain.
	EvacuatedDomain = "evacuated"
	// ColdRateUsed is a cold server that has got all requests that its rate allows now.
	ColdRateUsed = "coldRateUsed"
	// LimitUsed is a server that has got all requests that its limit allows now from the
	// instance that decides.
	LimitUsed = "limitUsed"
	// NoMemory is an engine whose memory cannot hold the request besides those in progress.
	NoMemory = "noMemory"
)

// maxExplained is the number of servers in an Explanation.
const maxExplained = 100

// Candidate is a server in an Explanation.
type Candidate struct {
	Server        string `json:"server"`
	FailureDomain string `json:"failureDomain,omitempty"`
	CachedTokens  int    `json:"cachedTokens"`
	// PendingTokens are the tokens that await prefill.
	PendingTokens int `json:"pendingTokens"`
	// Load is the number of requests without this one, Slots the number that run at a time.
	Load  int `json:"load"`
	Slots int `json:"slots"`
	// LoadAgeMs is the age of the load that the server reported last; -1 if it has not.
	LoadAgeMs int64 `json:"loadAgeMs"`
	// FailureRate is the recent failure rate, decayed to now.
	FailureRate float64 `json:"failureRate"`
	// Slowness is by how much longer work is expected to take there than usual; 1 is as usual.
	Slowness float64 `json:"slowness"`
	// Cost is compared between servers, the lowest first.
	Cost float64 `json:"cost"`
	// LeftOut holds the reasons for which the server is not chosen.
	LeftOut []string `json:"leftOut,omitempty"`
}

// Explanation is what would be decided on a request now.
type Explanation struct {
	// Outcome is granted, queued or refused.
	Outcome string `json:"outcome"`
	Server  string `json:"server,omitempty"`
	Refusal string `json:"refusal,omitempty"`
	// Quarantine is the ID of the quarantine because of which the request is refused.
	Quarantine   uint64 `json:"quarantine,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	// ExpectedWaitMs is the expected wait of a request that has to wait, and MaxWaitMs the
	// longest that this one may.
	ExpectedWaitMs int64 `json:"expectedWaitMs"`
	MaxWaitMs      int64 `json:"maxWaitMs"`
	Queued         int   `json:"queued"`
	// Surging is true if the account sends far more than it usually does.
	Surging bool `json:"surging,omitempty"`
	// LoadLimit is the limit on the load of one server, this request included.
	LoadLimit float64 `json:"loadLimit"`
	// Candidates holds the cheapest servers, first those that are not left out. Omitted is
	// the number of the others.
	Candidates []Candidate `json:"candidates"`
	Omitted    int         `json:"omitted,omitempty"`
}

// Explain returns what Schedule would decide on a request that is no retry. The scheduler and
// its budgets stay as they are.
func (s *Scheduler) Explain(now time.Duration, req Request) Explanation {
	full, fullUntil, memoryShort := s.full, s.fullUntil, s.memoryShort
	defer func() { s.full, s.fullUntil, s.memoryShort = full, fullUntil, memoryShort }()
	limit := s.currentLimit(now)
	req.surging = s.surges.Surging(now, req.Account)
	out := Explanation{
		Outcome:        WouldWait,
		ExpectedWaitMs: max(s.expectedWait(req), s.pauseLeft(now, req), s.paceWait(now, req)).Milliseconds(),
		MaxWaitMs:      req.MaxWait.Milliseconds(),
		Queued:         len(s.queue),
		Surging:        req.surging,
		LoadLimit:      limit.requests,
	}
	for _, sv := range s.listedServers {
		out.Candidates = append(out.Candidates, s.explainServer(now, req, sv, limit.requests))
	}
	slices.SortStableFunc(out.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(min(len(a.LeftOut), 1), min(len(b.LeftOut), 1)), cmp.Compare(a.Cost, b.Cost))
	})
	if n := len(out.Candidates); n > maxExplained {
		out.Candidates, out.Omitted = out.Candidates[:maxExplained], n-maxExplained
	}
	s.explainOutcome(now, req, &out)
	return out
}

// explainOutcome sets the outcome of an explanation.
func (s *Scheduler) explainOutcome(now time.Duration, req Request, out *Explanation) {
	if r := s.quarantine.Peek(now, suspectOf(req)); r != nil {
		d := refuseWith(req, r)
		out.Outcome, out.Refusal, out.Quarantine = WouldRefuse, d.Refusal, d.Quarantine
		out.RetryAfterMs = d.RetryAfter.Milliseconds()
		return
	}
	if d, refused := s.refuseTooLarge(req); refused {
		out.Outcome, out.Refusal = WouldRefuse, d.Refusal
		return
	}
	sv, refusal := s.decide(now, req)
	switch {
	case sv != nil:
		out.Outcome, out.Server = WouldGrant, sv.name
	case refusal != nil:
		out.Outcome, out.Refusal = WouldRefuse, refusal.Refusal
		out.RetryAfterMs = refusal.RetryAfter.Milliseconds()
	}
}

// explainServer returns how a server stands in the choice.
func (s *Scheduler) explainServer(now time.Duration, req Request, sv *server, limit float64) Candidate {
	c := Candidate{
		Server:        sv.name,
		FailureDomain: sv.domain,
		CachedTokens:  sv.cache.CachedTokens(req.Parts),
		PendingTokens: max(sv.pendingTokens, 0),
		Load:          sv.load(now),
		Slots:         sv.slots,
		LoadAgeMs:     -1,
		FailureRate:   math.Round(1000*sv.failureRate(now)) / 1000,
		Slowness:      math.Round(1000*s.slowness(now, sv)) / 1000,
		Cost:          math.Round(1000*s.cost(now, sv, req)) / 1000,
	}
	if sv.reportsLoad {
		c.LoadAgeMs = (now - sv.loadReportedAt).Milliseconds()
	}
	for _, r := range []struct {
		reason  string
		applies bool
	}{
		{NotAccepting, !sv.accepting},
		{Paused, sv.pauses.Left(now, req.Instance) > 0},
		{RejectedLately, now < sv.fullUntil},
		{Replaced, now < sv.replacedUntil},
		{OtherVersion, !sv.hasVersion(req)},
		{AlreadyTried, slices.Contains(req.Tried, sv.name)},
		{Ejected, sv.ejected(now)},
		{NoSlot, c.Load+1 > s.maxGrants(sv)},
		{OverLoadLimit, float64(c.Load+1) > limit},
		{EvacuatedDomain, s.evacuated[sv.domain] || slices.Contains(req.ExcludedDomains, sv.domain)},
		{ColdRateUsed, !sv.coldAllows(now, req)},
		{LimitUsed, !sv.limitAllows(now, req)},
		{NoMemory, !s.hasMemory(sv, req)},
	} {
		if r.applies {
			c.LeftOut = append(c.LeftOut, r.reason)
		}
	}
	return c
}
