// Package scheduler decides which backend server runs a request, how long the
// request may be queued for a slot, and when it is refused.
//
// It is a deterministic state machine: requests, reports and ticks are passed in
// with the current time, and decisions are returned. It reads no clock and does
// no I/O. One scheduler decides for a whole service, provided that its caller
// passes it every request of the service.
//
// Load patterns that it handles:
//
//   - Prompts that share long prefixes: a request is placed on the server that has
//     the longest prefix of its prompt cached, unless the tokens that await prefill
//     there cost more than prefilling the prefix elsewhere.
//   - A hot subject, that is, one prefix in many prompts: no server takes more
//     than a multiple of the mean load, so the requests spread over more servers,
//     which then cache the prefix too.
//   - More load than slots: requests are queued here, the urgent ones first and the
//     others in order of arrival, and not on the servers, which would reject them.
//     A request whose expected wait exceeds its limit is refused at once, with that
//     wait as the time after which to retry.
//   - Accounts that send many times their usual rate while there are too few slots: their
//     requests are queued behind the others of their urgency; see package surge.
//   - Short requests on the few slots of a server that is not an engine: more
//     requests are granted than run at a time, as slots would be idle while requests
//     and reports are in transit.
//   - Failing servers: a server that could not be reached or broke off responses is
//     ejected for a time that doubles. The more often a server has failed recently,
//     the higher is the cost of placing a request there.
//   - Servers that have just started, or that name a limit: they get no more requests a second
//     than they take from all instances together. While all are like that, requests wait for
//     these rates or are refused at once, with the time in which the rates allow them.
//   - Servers that turn requests away and ask for a pause: they get none from the instance
//     that they asked. While all of them have asked it, its requests are refused at once,
//     with the time until the first pause ends.
//   - Brittle servers, which fall over if they refuse too much: they get no more requests than
//     they have slots for, fewer after a refusal, and few once they are back. The others wait
//     here, or are refused by rank.
//   - Evacuated failure domains: their servers get no requests. While no other server takes
//     any, requests are refused at once, also those that are queued.
//   - A part of prompts that crashes every server which answers it: requests with it are
//     refused; see package quarantine.
//   - A request that crashes every server which runs it: its repeats are held off, then
//     refused; see package crashsuspect.
package scheduler

// This file defines Scheduler.

import (
	"math"
	"slices"
	"time"

	"camphorspoke/internal/routing/brittle"
	"camphorspoke/internal/routing/calibration"
	"camphorspoke/internal/routing/crashsuspect"
	"camphorspoke/internal/routing/incarnation"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/quarantine"
	"camphorspoke/internal/routing/retrybudget"
	"camphorspoke/internal/routing/surge"
	"camphorspoke/internal/routing/tokenmemory"
)

// Scheduler decides for one service; New returns one. It is not safe for concurrent
// use.
type Scheduler struct {
	svc Service
	// servers also holds servers that are no longer listed but still run requests.
	servers       map[string]*server
	listedServers []*server
	granted       map[uint64]*grant
	queue         []*queuedRequest
	// budget is the retry budget of the requests of all instances, aloneBudget that of
	// those on which this instance decides alone.
	budget      retrybudget.Budget
	aloneBudget retrybudget.Budget
	// hedges is the budget of the hedges of all instances.
	hedges retrybudget.Budget
	// quarantine finds the parts of prompts that crash servers.
	quarantine quarantine.Tracker
	// suspects finds the requests that crash servers as a whole.
	suspects crashsuspect.Tracker
	// surges finds the accounts that send far more than they usually do.
	surges surge.Tracker
	// completions measures how fast slots become free.
	completions completionRate
	// usualTime is how long the requests of a plain service take.
	usualTime usualTime
	// calibration measures how far the speed that servers state agrees with the times of
	// their requests.
	calibration calibration.Calibration
	// index finds the servers that have a part cached; nil in a small service.
	index *holderIndex
	// candidateList and candidateRound hold the servers compared last.
	candidateList  []*server
	candidateRound uint64
	// limit is the load limit as of limitAt. full is set if no server had room and no request
	// has ended since; it holds until fullUntil. Both only in a large service.
	limit     loadLimit
	limitAt   time.Duration
	full      bool
	fullUntil time.Duration
	// memory counts the tokens that granted requests hold, as if all servers were one.
	memory tokenmemory.Memory
	// memoryShort is true if the last choice left out a server with room for its memory alone.
	memoryShort bool
	// memoryBlocks is true if a queued request was not granted for that reason when the queue
	// was processed last. Requests that need less are then granted ahead of the queue.
	memoryBlocks bool
	// leaving is the number of listed servers that have announced that they leave. departures holds those
	// that have done so since the last TakeDepartures, restarts the new incarnations since the last
	// TakeRestarts.
	leaving    int
	departures []string
	restarts   []Restart
	// doubted holds the servers whose versions are unknown; see VersionKnown.
	doubted map[string]bool
	// evacuated holds the evacuated failure domains of the listed servers.
	evacuated map[string]bool
	// pausedUntil is the end of the last pause that a server has asked for.
	pausedUntil time.Duration
	// cold holds the rates of cold servers, and hasListed is true once a server was listed.
	cold      coldRates
	hasListed bool
	// limitedServers is the number of listed servers that name a limit.
	limitedServers int
	// limitShares holds the shares of what limited servers take. limitsObserved is true if a
	// limit may have changed since the last TakeLimitChanges.
	limitShares    limitShares
	limitsObserved bool
	// brittle holds whether the servers say that they are brittle, isBrittle as of the last call, and
	// brittleLogged what TakeBrittleChange has returned last.
	brittle       brittle.State
	isBrittle     bool
	brittleLogged bool
	// grantAt is when the last request was granted, and aloneRunning the number of granted requests
	// on which this instance decided alone.
	grantAt      time.Duration
	aloneRunning int
}

// grant is a request that counts as running on a server.
type grant struct {
	server    *server
	request   Request
	grantedAt time.Duration
	// listing identifies the incarnation of the server at the time of the grant.
	listing incarnation.Listing
	// missTokens are the prompt tokens that were not cached at the time of the grant.
	missTokens int
	// startedAt is when the response began, if started is true.
	started   bool
	startedAt time.Duration
	// pushedBack is true if the server asked for a pause in its response.
	pushedBack bool
	prediction prediction
}

// queuedRequest is a request that no server had room for.
type queuedRequest struct {
	request  Request
	queuedAt time.Duration
}

// New returns a scheduler for the service, without servers.
func New(svc Service) *Scheduler {
	s := &Scheduler{
		servers: make(map[string]*server),
		granted: make(map[uint64]*grant),
		grantAt: math.MinInt64 / 2,
	}
	s.SetService(svc)
	return s
}

// SetService replaces the settings of the service.
func (s *Scheduler) SetService(svc Service) {
	s.svc = svc
	for budget, slack := range map[*retrybudget.Budget]float64{&s.budget: svc.RetrySlack, &s.aloneBudget: svc.AloneRetrySlack} {
		budget.Window, budget.Ratio, budget.Slack = svc.RetryWindow, svc.RetryRatio, slack
	}
	s.hedges.Window, s.hedges.Ratio = svc.RetryWindow, svc.HedgeShare
	for _, sv := range s.listedServers {
		sv.setService(svc)
	}
	s.setColdRates()
	s.limitShares.changed = true
}

// applySettings applies the shares that follow from the last settings, and the cold periods that
// follow from the last list.
func (s *Scheduler) applySettings(now time.Duration) {
	s.applyCold(now)
	s.applyLimitShares(now)
	s.applyBrittle(now)
}

// SetServers replaces the list of servers. A server that is no longer listed stops
// accepting requests, and is dropped by the first call at which no requests run there.
func (s *Scheduler) SetServers(now time.Duration, list []Server) {
	listed := make(map[string]bool)
	s.updateEvacuated(list)
	var servers []*server
	for _, l := range list {
		listed[l.Name] = true
		sv := s.servers[l.Name]
		if sv == nil {
			sv = newServer(l.Name)
			s.servers[l.Name] = sv
			s.inheritLimit(sv, l)
		}
		known := sv.listed
		evidence := sv.incarnation.List(now, l.incarnationListing())
		sv.applyEntry(l)
		if evidence != incarnation.None {
			sv = s.replace(now, sv, evidence)
		}
		s.recordColdListing(sv, l, known)
		sv.serverLimit.shares = &s.limitShares
		sv.setService(s.svc)
		servers = append(servers, sv)
	}
	s.listedServers = servers
	for _, sv := range servers {
		sv.accepting = sv.entry.Accepting && !sv.incarnation.Leaving()
	}
	s.countLeaving()
	for name, sv := range s.servers {
		if listed[name] {
			continue
		}
		sv.accepting, sv.listed = false, false
		if sv.running == 0 {
			s.forget(sv)
			delete(s.servers, name)
		}
	}
	s.hasListed = s.hasListed || len(list) > 0
	s.updateIndex()
	s.countLimited()
	s.limitAt, s.full = -maxLimitAge, false
}

// Schedule decides on a request at once, or queues it and returns false; the decision is
// then returned by a later Tick or Report.
func (s *Scheduler) Schedule(now time.Duration, req Request) (Decision, bool) {
	s.recordBrittleRequest(now, req)
	s.applySettings(now)
	if req.Hedge {
		return s.scheduleHedge(now, req), true
	}
	s.clearTrial(now)
	if d, refused := s.refuseQuarantined(now, req); refused {
		return d, true
	}
	if d, refused := s.refuseTooLarge(req); refused {
		return d, true
	}
	if !s.withinBudget(now, req) {
		return refuse(req, RetryBudget, 0), true
	}
	req.surging = s.surges.Surging(now, req.Account)
	sv, refusal := s.decide(now, req)
	if sv != nil {
		return s.grant(now, req, sv), true
	}
	if refusal != nil {
		return *refusal, true
	}
	s.enqueue(&queuedRequest{
		request:  req,
		queuedAt: now,
	})
	return Decision{}, false
}

// decide returns the server for a request, or the refusal, or neither if the request is to be
// queued. Apart from the cached results of choose (full, fullUntil, memoryShort) it changes no
// state.
func (s *Scheduler) decide(now time.Duration, req Request) (*server, *Decision) {
	// While a queued request waits for memory, smaller ones are granted ahead of it. Its wait is
	// bounded by MaxWait.
	if len(s.queue) == 0 || !req.surging && (!s.svc.Engine || s.memoryBlocks) {
		if sv := s.choose(now, req); sv != nil && !s.overtakes(now, sv, req) {
			return sv, nil
		}
	}
	if !s.anyAccepting(req) {
		d := s.refuseUnplaced(req)
		return nil, &d
	}
	if s.allReplaced(now, req) {
		d := refuse(req, Overloaded, noServerRetryAfter)
		return nil, &d
	}
	if max(s.expectedWait(req), s.pauseLeft(now, req), s.paceWait(now, req)) > req.MaxWait {
		d := refuse(req, Overloaded, s.retryAfter(now, req))
		return nil, &d
	}
	return nil, nil
}

// withinBudget counts a request or a retry, and returns false for a retry that the budget
// does not allow.
func (s *Scheduler) withinBudget(now time.Duration, req Request) bool {
	budget := &s.budget
	if req.Alone {
		budget = &s.aloneBudget
	}
	if req.Retry {
		return budget.TrySpend(now)
	}
	if !req.Counted {
		budget.RecordRequest(now)
		s.surges.Record(now, req.Account)
		s.hedges.RecordRequest(now)
	}
	return true
}

func refuse(req Request, reason string, after time.Duration) Decision {
	return Decision{
		ID:         req.ID,
		Refusal:    reason,
		RetryAfter: after,
	}
}

// Report records an event of a request and returns decisions on queued requests. A
// report on a request that is still queued removes it from the queue.
func (s *Scheduler) Report(now time.Duration, id uint64, r Report) []Decision {
	g := s.granted[id]
	if g == nil {
		s.dequeue(id)
		return nil
	}
	r = s.withoutOutdated(g, r)
	s.recordIncarnation(now, g, r)
	s.recordPause(now, s.present(g), g.request.Instance, r.RetryAfter)
	s.recordColdReport(now, g, r)
	s.recordVersionReport(now, g, r)
	s.recordLimitReport(now, g, r)
	s.recordBrittle(now, g, r)
	s.recordSpeed(now, g, r)
	g.pushedBack = g.pushedBack || r.RetryAfter > 0
	started := g.started
	if !started {
		g.started, g.startedAt = true, now
		g.server.recordStart(g)
		g.server.pendingTokens -= g.missTokens
		g.endRead()
		s.recordHedgeWon(now, g, r)
	}
	if r.Event == Started {
		g.server.recordReportedLoad(now, r)
		g.server.recordResponse(g.grantedAt)
		return nil
	}
	delete(s.granted, id)
	s.full = false
	g.server.running--
	if g.request.Alone {
		s.aloneRunning--
	}
	s.releaseMemory(g)
	g.server.recordReportedLoad(now, r)
	s.recordVerdict(now, g, r, started)
	r.Elapsed = now - g.grantedAt
	g.server.applyReport(now, r, g.pushedBack)
	if r.Event == Done {
		s.completions.record(now)
	}
	return s.Tick(now)
}

// dequeue removes a request from the queue without a decision.
func (s *Scheduler) dequeue(id uint64) {
	for i, w := range s.queue {
		if w.request.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// Tick refuses the queued requests that have waited too long, grants the free slots to
// others, and returns the decisions.
func (s *Scheduler) Tick(now time.Duration) []Decision {
	s.applySettings(now)
	out := append(s.expire(now), s.expelQuarantined(now)...)
	out = append(out, s.expelEvacuated()...)
	for {
		i, sv := s.next(now)
		if i < 0 {
			return out
		}
		out = append(out, s.grant(now, s.queue[i].request, sv))
		s.queue = slices.Delete(s.queue, i, i+1)
		// The grant of a suspect holds off its repeats.
		out = append(out, s.expelQuarantined(now)...)
	}
}

// expire refuses the queued requests that have exceeded their maximum wait, or will before
// any server ends its pause.
func (s *Scheduler) expire(now time.Duration) []Decision {
	var out []Decision
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedRequest) bool {
		if now-w.queuedAt+s.pauseLeft(now, w.request) <= w.request.MaxWait {
			return false
		}
		out = append(out, refuse(w.request, Overloaded, s.retryAfter(now, w.request)))
		return true
	})
	return out
}

// next returns the index in the queue of the request that is granted the next slot,
// and its server; -1 when no server has room for any request.
//
// It is the request with the lowest cost among the first lookAhead ones. A server
// that has just become free has the prefix of some of them cached; prefilling the
// prefix of another one would take as long as several requests, at the time when
// capacity is scarcest. The cost includes a penalty for each more urgent level that
// is queued.
func (s *Scheduler) next(now time.Duration) (int, *server) {
	best, bestCost := -1, math.Inf(1)
	var bestServer *server
	level := 0
	s.memoryBlocks = false
	for i, w := range s.queue[:min(len(s.queue), lookAhead)] {
		if i > 0 && compareRanks(s.queue[i-1].request, w.request) != 0 {
			level++
		}
		sv := s.choose(now, w.request)
		if sv == nil {
			s.memoryBlocks = s.memoryBlocks || s.memoryShort
			if !s.restricted(w.request) && !s.anyPaused(now) && !s.refusedByAloneShare(now, w.request) && !s.memoryShort {
				// No server has room even for a request that may run on any of them.
				break
			}
			continue
		}
		c := s.queuedCost(now, sv, w) + urgencyPenaltyTokens*float64(level)
		if c < bestCost {
			best, bestCost, bestServer = i, c, sv
		}
	}
	return best, bestServer
}

// queuedCost returns the cost of granting a slot on sv to a queued request, in
// prefill tokens; zero for a service without engines. It falls to zero as the request
// nears its maximum wait, except for a request with a longer prefix cached on another
// server: prefilling that again lengthens the wait of all others, which would then
// be placed away from their cached prefixes too, until the engines do little but
// repeated prefill.
func (s *Scheduler) queuedCost(now time.Duration, sv *server, w *queuedRequest) float64 {
	if !s.svc.Engine {
		return 0
	}
	cached := sv.cache.CachedTokens(w.request.Parts)
	miss := float64(promptTokens(w.request) - cached)
	if cached < s.bestCached(w.request) {
		return miss
	}
	left := 1 - float64(now-w.queuedAt)/float64(max(w.request.MaxWait, 1))
	return miss * max(left, 0)
}

// TakeSurges returns the accounts that have begun to send far more than they usually do since
// the last call.
func (s *Scheduler) TakeSurges() []string { return s.surges.TakeNew() }

// QueueLen returns the number of queued requests.
func (s *Scheduler) QueueLen() int { return len(s.queue) }

// CachedPrefixes is the content of one server's cache, as modelled by the scheduler.
type CachedPrefixes struct {
	Server string
	Parts  []prefixcache.Part
}

// CachedPrefixes returns the modelled cache content of each listed server that has any.
func (s *Scheduler) CachedPrefixes() []CachedPrefixes {
	var out []CachedPrefixes
	for _, sv := range s.listedServers {
		if parts := sv.cache.Parts(); len(parts) > 0 {
			out = append(out, CachedPrefixes{
				Server: sv.name,
				Parts:  parts,
			})
		}
	}
	return out
}
