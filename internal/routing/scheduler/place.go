package scheduler

// This file defines the choice of a server, the request queue and the expected wait.

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// runningCostTokens is the cost of one request that runs on an engine, in
	// prefill tokens: each running request slows all others on the engine a little.
	runningCostTokens = 40
	// pendingPrefillWeight weighs the tokens that await prefill on an engine against
	// those that the request itself misses. It is below one because pending tokens
	// only delay this request, while prefilling its prefix on one more engine delays
	// every request there.
	pendingPrefillWeight = 0.3
	// noServerRetryAfter is the retry delay returned while no server accepts new
	// requests.
	noServerRetryAfter = 300 * time.Millisecond
	// minExpectedWait is the lower bound of the expected wait, and so of the retry
	// delay returned to refused callers.
	minExpectedWait = 100 * time.Millisecond
	// lookAhead is the number of queued requests that are compared for a free slot.
	lookAhead = 48
	// urgencyPenaltyTokens is added to the cost of a queued request, in prefill
	// tokens, for each more urgent level that is also queued.
	urgencyPenaltyTokens = 1000
	// slotOvercommit is the number of requests granted for each slot of a server
	// that is not an engine; see maxGrants.
	slotOvercommit = 2
	// minFetchTokens is the smallest gain in cached tokens for which an engine
	// fetches a prefix from another one: prefilling fewer tokens takes no longer than
	// setting up the transfer.
	minFetchTokens = 400
	// tieBreakTokens scales the hash that breaks ties, in prefill tokens. It spreads
	// prompts that no engine has cached.
	tieBreakTokens = 40
	// prefixCacheFraction is the fraction of an engine's cache memory that holds
	// prefixes; running requests use the rest.
	prefixCacheFraction = 0.85
)

// grant counts req as running on sv, and its prompt as cached there, and returns
// the decision.
func (s *Scheduler) grant(now time.Duration, req Request, sv *server) Decision {
	cached := sv.cache.CachedTokens(req.Parts)
	best := s.bestCached(req)
	from, fetched := s.fetchSource(now, req, sv, cached)
	limit := s.currentLimit(now)
	s.restartWindows(now)
	if req.Alone {
		s.aloneRunning++
	}
	g := &grant{
		server:     sv,
		request:    req,
		grantedAt:  now,
		listing:    sv.incarnation.Listing(),
		missTokens: promptTokens(req) - cached,
	}
	s.granted[req.ID] = g
	s.suspects.Sent(now, req.Fingerprint)
	s.quarantine.Sent(now, suspectOf(req))
	s.predict(now, g)
	s.holdMemory(g)
	sv.recordGrant(g)
	sv.grants.Record(now)
	sv.pendingTokens += g.missTokens
	d := Decision{
		ID:               req.ID,
		Server:           sv.name,
		CachedTokens:     cached,
		Load:             sv.running,
		LoadLimit:        limit.requests,
		MeanServers:      limit.servers,
		OverLimit:        float64(sv.load(now)) > limit.requests,
		BestCachedTokens: best,
		FetchFrom:        from,
		FetchedTokens:    fetched,
		PromptTokens:     promptTokens(req),
		Limit:            sv.serverLimit.Statement(now),
		ListedVersion:    sv.version,
		VersionUnknown:   sv.doubt.doubted,
	}
	if at, known := sv.incarnation.ServedAt(); known {
		d.ServedAgo = max(now-at, time.Millisecond)
	}
	if len(req.Parts) > 0 {
		g.beginRead()
		sv.cache.Use(req.Parts)
		s.setReuse(&d)
	}
	return d
}

// fetchSource returns the server from which sv should fetch the cached prefix that
// it misses, and the length of that prefix in tokens; "" when no server has read at
// least minFetchTokens more than sv has. It is the server with the longest prefix,
// whether or not it takes new work, so that the cache of a draining server is not
// lost. Among equals, a server in the failure domain of sv is preferred. Ejected
// servers are skipped.
func (s *Scheduler) fetchSource(now time.Duration, req Request, sv *server, cached int) (name string, tokens int) {
	if !s.svc.FetchesPrefixes {
		return "", 0
	}
	var best *server
	most := cached + minFetchTokens - 1
	for _, o := range s.holders(req) {
		if o == sv || o.ejected(now) {
			continue
		}
		tokens := o.readTokens(req.Parts)
		if tokens > most || best != nil && tokens == most && best.domain != sv.domain && o.domain == sv.domain {
			best, most = o, tokens
		}
	}
	if best == nil {
		return "", 0
	}
	return best.name, most
}

// bestCached returns the length of the longest prefix of the prompt, in tokens, that
// any accepting server has cached.
func (s *Scheduler) bestCached(req Request) int {
	best := 0
	for _, sv := range s.holders(req) {
		if sv.accepting {
			best = max(best, sv.cache.CachedTokens(req.Parts))
		}
	}
	return best
}

func promptTokens(req Request) int {
	n := 0
	for _, p := range req.Parts {
		n += p.Tokens
	}
	return n
}

// choose returns the cheapest server that has room for req, or nil. These are tried
// in turn:
//
//   - the servers that are not ejected, within the load limit
//   - an ejected one, within the load limit and with one request at a time, to find out
//     whether it responds again: the limit need not be exceeded if it does
//   - the servers that are not ejected, within the load limit that follows from their mean
//   - the same within the limit that follows from the servers that have room
//   - all servers, if every one that req may go to is ejected
//
// An ejected server gets no more than that: if it is down, it has the lowest load of all
// and would attract requests.
func (s *Scheduler) choose(now time.Duration, req Request) *server {
	s.memoryShort = s.allMemoryFull(req)
	if s.memoryShort || s.aloneFull(req) {
		return nil
	}
	if s.full && now < s.fullUntil {
		return nil
	}
	limit := s.currentLimit(now).requests
	if s.index != nil {
		if sv := s.chooseFrom(now, req, s.candidates(req), healthyServers, limit); sv != nil {
			return sv
		}
	}
	for _, step := range []struct {
		servers serverSet
		limit   func() float64
	}{
		{healthyServers, func() float64 { return limit }},
		{probedServers, func() float64 { return limit }},
		{healthyServers, func() float64 { return s.limitAmongHealthy(now) }},
		{healthyServers, func() float64 { return s.limitAmongAvailable(now, req) }},
	} {
		if sv := s.chooseFrom(now, req, s.listedServers, step.servers, step.limit()); sv != nil {
			return sv
		}
	}
	if !s.anyHealthy(now, req) {
		return s.chooseFrom(now, req, s.listedServers, allServers, math.Inf(1))
	}
	if s.index != nil && !s.restricted(req) && !s.anyPaused(now) && !s.refusedByAloneShare(now, req) && !s.memoryShort {
		s.full, s.fullUntil = true, now+min(maxLimitAge, s.nextPlace(now, req))
	}
	return nil
}

// serverSet selects servers by whether they are ejected.
type serverSet int

const (
	// healthyServers are not ejected.
	healthyServers serverSet = iota
	// probedServers also include the ejected ones that may be probed.
	probedServers
	// allServers also include the other ejected ones.
	allServers
)

// includes reports whether the set includes sv for req.
func (set serverSet) includes(now time.Duration, sv *server, req Request) bool {
	switch {
	case !sv.ejected(now):
		return true
	case set == probedServers:
		return sv.mayProbe(now, req)
	default:
		return set == allServers
	}
}

// chooseFrom returns the cheapest of the given servers that is in the set and has room
// for req within the load limit, or nil.
func (s *Scheduler) chooseFrom(now time.Duration, req Request, servers []*server, set serverSet, limit float64) *server {
	var best *server
	bestCost := math.Inf(1)
	for _, sv := range servers {
		load := sv.load(now) + 1
		if !sv.eligible(now, req) || !set.includes(now, sv, req) || load > s.maxGrants(sv) || float64(load) > limit {
			continue
		}
		if !s.hasMemory(sv, req) {
			s.memoryShort = true
			continue
		}
		if c := s.cost(now, sv, req); c < bestCost {
			best, bestCost = sv, c
		}
	}
	return best
}

// maxGrants returns how many requests may be granted to sv at a time. A server that
// is not an engine gets more requests than slots: its requests are short, so
// for part of the time for which one counts as running, the request or the report of
// its completion is in transit, and the slot on the server would be idle. A brittle server gets
// no more than its window.
func (s *Scheduler) maxGrants(sv *server) int {
	if s.isBrittle {
		return sv.window.Size(sv.slots)
	}
	if s.svc.Engine {
		return sv.slots
	}
	return sv.slots * slotOvercommit
}

// anyHealthy reports whether a server that may run req is not ejected.
func (s *Scheduler) anyHealthy(now time.Duration, req Request) bool {
	return slices.ContainsFunc(s.listedServers, func(sv *server) bool {
		return sv.mayRun(req) && !sv.ejected(now)
	})
}

// cost returns the cost of running req on sv, for comparison between servers. For an
// engine the unit is a prefill token; for other servers it is the fraction of the
// slots in use, and a server in another failure domain counts half a request more.
// What takes time on the server counts more while work takes longer there. Ties between
// engines are broken by the second to last part of the prompt, so that
// prompts that differ only in their last part go to the same engine.
func (s *Scheduler) cost(now time.Duration, sv *server, req Request) float64 {
	if !s.svc.Engine {
		c := float64(sv.load(now)+1) / float64(sv.slots)
		if sv.domain != req.FailureDomain {
			c += 0.5 / float64(sv.slots)
		}
		return c*s.slowness(now, sv)*sv.costFactor(now) + tieBreak(sv.name, req.ID)/100
	}
	miss := promptTokens(req) - sv.cache.CachedTokens(req.Parts)
	c := float64(miss) + pendingPrefillWeight*float64(max(sv.pendingTokens, 0)) + runningCostTokens*float64(sv.load(now)+1)
	c *= s.slowness(now, sv)
	if len(req.Parts) > 0 {
		at := max(len(req.Parts)-2, 0)
		c += tieBreakTokens * tieBreak(sv.name, req.Parts[at].ID)
	}
	return c * sv.costFactor(now)
}

// tieBreak returns a hash of server and key in [0, 1), so that each key has its own
// order of the servers (rendezvous hashing).
func tieBreak(server string, key uint64) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(server)
	return float64(d.Sum64()>>11) / (1 << 53)
}

func (s *Scheduler) anyAccepting(req Request) bool {
	return slices.ContainsFunc(s.listedServers, func(sv *server) bool {
		return sv.mayRun(req)
	})
}

// allReplaced reports whether other servers have taken the addresses of all servers that may run
// req, so that it is served only once the list has the new ones.
func (s *Scheduler) allReplaced(now time.Duration, req Request) bool {
	return !slices.ContainsFunc(s.listedServers, func(sv *server) bool {
		return sv.mayRun(req) && now >= sv.replacedUntil
	})
}

// compareRanks orders requests by urgency, and those of surging accounts behind the others of
// their urgency.
func compareRanks(a, b Request) int {
	switch {
	case a.Urgency != b.Urgency:
		return a.Urgency - b.Urgency
	case a.surging == b.surging:
		return 0
	case a.surging:
		return 1
	default:
		return -1
	}
}

// enqueue inserts w into the queue, which is ordered by rank and then by arrival.
func (s *Scheduler) enqueue(w *queuedRequest) {
	i, _ := slices.BinarySearchFunc(s.queue, w, func(a, b *queuedRequest) int {
		if c := compareRanks(a.request, b.request); c != 0 {
			return c
		}
		return -1
	})
	s.queue = slices.Insert(s.queue, i, w)
}

// expectedWait estimates how long req waits in the queue, from the number of requests
// of the same or a higher rank and the rate at which requests complete.
func (s *Scheduler) expectedWait(req Request) time.Duration {
	interval := s.completions.meanInterval()
	if interval == 0 {
		return minExpectedWait
	}
	return max(minExpectedWait, time.Duration(s.queuedAhead(req)+1)*interval)
}

// queuedAhead returns the number of queued requests of the same or a higher rank than req.
func (s *Scheduler) queuedAhead(req Request) int {
	n := 0
	for _, w := range s.queue {
		if compareRanks(w.request, req) <= 0 {
			n++
		}
	}
	return n
}
