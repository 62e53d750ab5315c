// Package trial simulates a fleet that places one stream of requests with one
// policy. It is a discrete-event simulation in virtual time.
package trial

// This file defines Trial and its event loop.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/measure"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/admission"
	"camphorspoke/internal/routing/loadbound"
	"camphorspoke/internal/routing/residency"
	"camphorspoke/internal/rules/ruleset"
)

const (
	prefillTokensPerSecond = 20_000
	// moveTokensPerSecond is the rate of copying cached tokens between engines.
	moveTokensPerSecond   = 125_000
	timePerToken          = 30 * time.Millisecond
	reportInterval        = 500 * time.Millisecond
	laggingReportInterval = 3 * time.Second
	sampleInterval        = time.Second
	// A request that no engine admits waits at the owner of its preferred engine,
	// which retries it every retryInterval and refuses it after retryTimeout.
	retryInterval = 50 * time.Millisecond
	retryTimeout  = 2 * time.Second
	coldPeriod    = 30 * time.Minute
	// maxListLag bounds the delay of a router's list of engines in a phase with
	// DelayListChanges.
	maxListLag = 4 * time.Second
)

// Trial is one simulation. Set the exported fields, then call Run.
type Trial struct {
	Policy  measure.Policy
	Source  Source
	Engines int
	// EngineSlots is the number of requests that an engine runs concurrently.
	EngineSlots int
	// CacheTokens is the capacity of the prefix cache of an engine.
	CacheTokens uint64
	Routers     int
	Seed        uint64
	Phases      []Phase
	// SurgeAccount names the account that surges.
	SurgeAccount string

	now     time.Duration
	events  eventHeap
	serial  int
	engines []*engine
	rnd     *rand.Rand
	checker invariant.Checker
	results []*Result
}

// Source yields requests in the order of their arrival.
type Source interface {
	Next() *measure.Request
}

type engine struct {
	name       string
	gate       admission.Gate
	cache      residency.Table
	up         bool
	lastChange time.Duration
	// joinedAt is when the engine last came back up; zero if it was never down.
	joinedAt time.Duration
	// reportedLoad is the load last published to all routers, and recentLoad
	// the load that the owners of the other engines last received.
	reportedLoad int
	recentLoad   int
	queued       map[string]admittedRequest
}

// admittedRequest is a request and the choice that admitted it.
type admittedRequest struct {
	request *measure.Request
	choice  measure.Choice
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var _ measure.Fleet = (*Trial)(nil)

// Now returns the virtual time.
func (t *Trial) Now() time.Duration { return t.now }

// Name returns the name of an engine.
func (t *Trial) Name(e int) string { return t.engines[e].name }

// Slots returns the slots of an engine.
func (t *Trial) Slots(int) int { return t.EngineSlots }

// Cached returns the number of tokens of a chat in the cache of an engine.
func (t *Trial) Cached(e int, chat string) uint32 { return t.engines[e].cache.Tokens(chat) }

// Load returns the load of an engine.
func (t *Trial) Load(e int) int { return t.engines[e].gate.Load() }

// ReportedLoad returns the load that an engine last published to all routers.
func (t *Trial) ReportedLoad(e int) int { return t.engines[e].reportedLoad }

// Cold reports whether an engine came back recently, with an empty cache.
func (t *Trial) Cold(e int) bool {
	return t.engines[e].joinedAt > 0 && t.now-t.engines[e].joinedAt < coldPeriod
}

// AcceptingEngines returns the engines that are up in the view of a router. In a
// phase with DelayListChanges, each router sees a change after a delay of its
// own.
func (t *Trial) AcceptingEngines(router int) []int {
	lag := time.Duration(0)
	if t.currentPhase().DelayListChanges {
		lag = maxListLag * time.Duration(router) / time.Duration(t.Routers)
	}
	var out []int
	for i, e := range t.engines {
		up := e.up
		if t.now-e.lastChange < lag {
			up = !up
		}
		if up {
			out = append(out, i)
		}
	}
	return out
}

func (t *Trial) schedule(d time.Duration, run func()) {
	t.serial++
	heap.Push(&t.events, event{
		at:     t.now + d,
		serial: t.serial,
		run:    run,
	})
}

func (t *Trial) currentPhase() *Phase {
	at := t.now
	for i := range t.Phases {
		if at < t.Phases[i].Duration {
			return &t.Phases[i]
		}
		at -= t.Phases[i].Duration
	}
	return &t.Phases[len(t.Phases)-1]
}

func (t *Trial) currentResult() *Result {
	p := t.currentPhase()
	for i := range t.Phases {
		if &t.Phases[i] == p {
			return t.results[i]
		}
	}
	return nil
}

// Run runs the trial and returns one result for each phase. It fails if an
// invariant was violated.
func (t *Trial) Run() ([]*Result, error) {
	t.rnd = rand.New(rand.NewPCG(t.Seed, 5))
	for i := range t.Engines {
		t.engines = append(t.engines, &engine{
			name: fmt.Sprintf("engine-%d", i),
			gate: admission.Gate{
				Server:  fmt.Sprintf("engine-%d", i),
				Slots:   t.EngineSlots,
				Checker: &t.checker,
			},
			cache: residency.Table{
				Capacity: t.CacheTokens,
			},
			up:         true,
			lastChange: -time.Hour,
			queued:     make(map[string]admittedRequest),
		})
	}
	var end time.Duration
	for _, p := range t.Phases {
		t.results = append(t.results, newResult(p.Name))
		end += p.Duration
	}
	t.scheduleArrival()
	t.reportLoads()
	t.sampleSkew()
	t.disruptEngines()
	for len(t.events) > 0 {
		e := heap.Pop(&t.events).(event)
		if e.at >= end {
			break
		}
		t.now = e.at
		e.run()
	}
	if v := t.checker.Counts(); len(v) > 0 {
		return nil, fault.New(fault.Internal, t.Policy.Name(), fmt.Sprintf("violated invariants: %v", v))
	}
	return t.results, nil
}

func (t *Trial) scheduleArrival() {
	r := t.Source.Next()
	t.schedule(max(0, r.Arrival-t.now), func() {
		t.place(r, t.now)
		t.scheduleArrival()
	})
}

// place offers the request to the policy's choices in order. If none admits it,
// place runs again after retryInterval, until retryTimeout has passed since the
// arrival of the request; then the request is refused.
func (t *Trial) place(r *measure.Request, arrival time.Duration) {
	res := t.currentResult()
	if arrival == t.now {
		res.Requests++
	}
	for _, c := range t.Policy.Place(t, r) {
		e := t.engines[c.Engine]
		if !e.up || c.OnlyCached && e.cache.Tokens(r.Chat) < r.PromptTokens/2 {
			continue
		}
		if t.offer(c, r) {
			return
		}
	}
	if t.now-arrival >= retryTimeout {
		res.Refused++
		if r.Account != t.SurgeAccount {
			res.RefusedOthers++
		}
		t.Policy.RecordServed(t, r, -1)
		return
	}
	t.schedule(retryInterval, func() { t.place(r, arrival) })
}

func (t *Trial) enginesUp() int {
	n := 0
	for _, e := range t.engines {
		if e.up {
			n++
		}
	}
	return n
}

// offer requests admission from the gate of an engine and reports whether the
// request was admitted. The gate decides with the loads of the other engines as
// its owner last received them.
func (t *Trial) offer(c measure.Choice, r *measure.Request) bool {
	i := c.Engine
	e := t.engines[i]
	othersLoad, totalLoad := 0, 0
	for j, o := range t.engines {
		if !o.up {
			continue
		}
		totalLoad += o.gate.Load()
		if j != i {
			othersLoad += o.recentLoad
		}
	}
	q := routing.Request{
		ID:      r.ID,
		Account: r.Account,
		Share:   r.Share,
		Class:   r.Class,
		Cost:    int(r.PromptTokens/8 + r.OutputTokens),
	}
	if t.Policy.LoadBound() > 0 {
		q.FairSlots = r.FairSlots(t.EngineSlots)
	}
	d := e.gate.Offer(t.now, q, admission.Params{
		Bound:      t.Policy.LoadBound(),
		OthersLoad: othersLoad,
		Servers:    t.enginesUp(),
	})
	if d.Refused != "" {
		return false
	}
	res := t.currentResult()
	res.Admitted++
	if e.gate.Load() > loadbound.Limit(ruleset.DefaultLoadBound, totalLoad, t.enginesUp()) {
		res.OverBound++
	}
	// The response to a forwarded request carries the load of its engine, so
	// the owners have it before the next report.
	e.recentLoad = e.gate.Load()
	t.Policy.RecordServed(t, r, i)
	a := admittedRequest{
		request: r,
		choice:  c,
	}
	if d.Started {
		t.startRequest(a)
	} else {
		e.queued[r.ID] = a
	}
	return true
}

// moveCache copies the cache of a chat if the choice has MovesCache set and the
// source holds more than the target. It returns the time that the copy takes.
func (t *Trial) moveCache(a admittedRequest) time.Duration {
	if !a.choice.MovesCache {
		return 0
	}
	from, to := t.engines[a.choice.MoveFrom], t.engines[a.choice.Engine]
	tokens := from.cache.Tokens(a.request.Chat)
	if !from.up || tokens <= to.cache.Tokens(a.request.Chat) {
		return 0
	}
	to.cache.Touch(a.request.Chat, tokens)
	t.currentResult().MovedTokens += int64(tokens)
	return time.Duration(tokens) * time.Second / moveTokensPerSecond
}

// startRequest runs an admitted request in a slot of its engine.
func (t *Trial) startRequest(a admittedRequest) {
	i, r := a.choice.Engine, a.request
	e := t.engines[i]
	move := t.moveCache(a)
	reused := min(e.cache.Tokens(r.Chat), r.ReusableTokens)
	prefill := move + time.Duration(r.PromptTokens-reused)*time.Second/prefillTokensPerSecond
	res := t.currentResult()
	res.Reused += int64(reused)
	res.Reusable += int64(r.ReusableTokens)
	res.recordFirstToken(r, t.now-r.Arrival+prefill)
	t.schedule(prefill+time.Duration(r.OutputTokens)*timePerToken, func() { t.finishRequest(i, r) })
}

func (t *Trial) finishRequest(i int, r *measure.Request) {
	e := t.engines[i]
	if e.up {
		e.cache.Touch(r.Chat, r.PromptTokens+r.OutputTokens)
	}
	t.Policy.RecordFinished(r, i)
	for _, next := range e.gate.Finish(t.now, routing.Request{
		ID:      r.ID,
		Account: r.Account,
	}) {
		started := e.queued[next.ID]
		delete(e.queued, next.ID)
		t.startRequest(started)
	}
}

// reportLoads publishes the loads: to the owners of engines every
// reportInterval, and to all routers as often, or only every
// laggingReportInterval in a phase with DelayLoadReports.
func (t *Trial) reportLoads() {
	interval := reportInterval
	if t.currentPhase().DelayLoadReports {
		interval = laggingReportInterval
	}
	for _, e := range t.engines {
		e.recentLoad = e.gate.Load()
	}
	if t.now%interval < reportInterval {
		for _, e := range t.engines {
			e.reportedLoad = e.gate.Load()
		}
	}
	t.schedule(reportInterval, t.reportLoads)
}

func (t *Trial) sampleSkew() {
	loads := make([]int, 0, len(t.engines))
	total := 0
	for _, e := range t.engines {
		if e.up {
			loads = append(loads, e.gate.Load())
			total += e.gate.Load()
		}
	}
	if total >= len(loads) && len(loads) > 0 {
		res := t.currentResult()
		res.Skew = append(res.Skew, float64(slices.Max(loads))*float64(len(loads))/float64(total))
	}
	t.schedule(sampleInterval, t.sampleSkew)
}

// disruptEngines takes engines down and brings them up again as the phase
// specifies. Requests that run at an engine that goes down still finish; its cache
// is lost.
func (t *Trial) disruptEngines() {
	p := t.currentPhase()
	next := time.Second
	if p.DownEvery > 0 {
		next = p.DownEvery
		i := t.rnd.IntN(t.Engines)
		if p.Flapping {
			i = 0
		}
		t.takeDown(i, p.DownFor)
	}
	t.schedule(next, t.disruptEngines)
}

func (t *Trial) takeDown(i int, d time.Duration) {
	e := t.engines[i]
	if !e.up {
		return
	}
	e.up, e.lastChange = false, t.now
	e.cache.Clear()
	t.schedule(d, func() {
		e.up, e.lastChange, e.joinedAt = true, t.now, t.now
	})
}
