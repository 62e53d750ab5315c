// Package trial runs one policy over one stream of requests in virtual time.
package trial

// This file defines Trial and its event loop.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/measure"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/admission"
	"camphorspoke/internal/routing/bounded"
	"camphorspoke/internal/routing/residency"
	"camphorspoke/internal/rules/file"
	"camphorspoke/internal/world/fault"
)

const (
	prefillPerSecond = 20_000
	// movePerSecond is how many cached tokens are copied in a second.
	movePerSecond  = 125_000
	tokenEvery     = 30 * time.Millisecond
	reportEvery    = 500 * time.Millisecond
	laggingReports = 3 * time.Second
	sampleEvery    = time.Second
	// retryEvery and retryFor are how a home owner waits for room.
	retryEvery = 50 * time.Millisecond
	retryFor   = 2 * time.Second
	coldFor    = 30 * time.Minute
	// disagreeFor is how long a router's list of engines may lag.
	disagreeFor = 4 * time.Second
)

// Trial is one run. Set the fields, then call Run.
type Trial struct {
	Policy  measure.Policy
	Source  Source
	Engines int
	// EngineSlots is how many requests an engine runs at once.
	EngineSlots int
	// CacheTokens is the prefix cache of an engine.
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

// Source yields requests in the order of their time.
type Source interface {
	Next() *measure.Request
}

type engine struct {
	name     string
	gate     admission.Gate
	cache    residency.Table
	up       bool
	changed  time.Duration
	joined   time.Duration
	reported int
	fresh    int
	waiting  map[string]admitted
}

// admitted is a request with the choice it was admitted by.
type admitted struct {
	request *measure.Request
	choice  measure.Choice
}

type event struct {
	at     time.Duration
	serial int
	do     func()
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

// Cached returns what an engine holds of a chat.
func (t *Trial) Cached(e int, chat string) uint32 { return t.engines[e].cache.Tokens(chat) }

// Load returns the load of an engine.
func (t *Trial) Load(e int) int { return t.engines[e].gate.Load() }

// ReportedLoad returns the load that others know.
func (t *Trial) ReportedLoad(e int) int { return t.engines[e].reported }

// Cold reports whether an engine joined lately.
func (t *Trial) Cold(e int) bool {
	return t.engines[e].joined > 0 && t.now-t.engines[e].joined < coldFor
}

// Open returns the engines that a router believes to be open: in a phase of
// disagreement each router hears of a change after a time of its own.
func (t *Trial) Open(router int) []int {
	lag := time.Duration(0)
	if t.phase().Disagree {
		lag = disagreeFor * time.Duration(router) / time.Duration(t.Routers)
	}
	var out []int
	for i, e := range t.engines {
		up := e.up
		if t.now-e.changed < lag {
			up = !up
		}
		if up {
			out = append(out, i)
		}
	}
	return out
}

func (t *Trial) after(d time.Duration, do func()) {
	t.serial++
	heap.Push(&t.events, event{
		at:     t.now + d,
		serial: t.serial,
		do:     do,
	})
}

func (t *Trial) phase() *Phase {
	at := t.now
	for i := range t.Phases {
		if at < t.Phases[i].For {
			return &t.Phases[i]
		}
		at -= t.Phases[i].For
	}
	return &t.Phases[len(t.Phases)-1]
}

func (t *Trial) result() *Result {
	p := t.phase()
	for i := range t.Phases {
		if &t.Phases[i] == p {
			return t.results[i]
		}
	}
	return nil
}

// Run runs the trial and returns the results, one for each phase.
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
			up:      true,
			changed: -time.Hour,
			waiting: make(map[string]admitted),
		})
	}
	var end time.Duration
	for _, p := range t.Phases {
		t.results = append(t.results, newResult(p.Name))
		end += p.For
	}
	t.arrive()
	t.report()
	t.sample()
	t.disturb()
	for len(t.events) > 0 {
		e := heap.Pop(&t.events).(event)
		if e.at >= end {
			break
		}
		t.now = e.at
		e.do()
	}
	if v := t.checker.Counts(); len(v) > 0 {
		return nil, fault.New(fault.Internal, t.Policy.Name(), fmt.Sprintf("violated invariants: %v", v))
	}
	return t.results, nil
}

func (t *Trial) arrive() {
	r := t.Source.Next()
	t.after(max(0, r.At-t.now), func() {
		t.place(r, t.now)
		t.arrive()
	})
}

// place tries the policy's choices; when every engine is at its bound the home
// owner waits a little for room.
func (t *Trial) place(r *measure.Request, since time.Duration) {
	res := t.result()
	if since == t.now {
		res.Requests++
	}
	for _, c := range t.Policy.Place(t, r) {
		e := t.engines[c.Engine]
		if !e.up || c.OnlyCached && e.cache.Tokens(r.Chat) < r.Prompt/2 {
			continue
		}
		if t.offer(c, r) {
			return
		}
	}
	if t.now-since >= retryFor {
		res.Refused++
		if r.Account != t.SurgeAccount {
			res.RefusedOthers++
		}
		t.Policy.Served(t, r, -1)
		return
	}
	t.after(retryEvery, func() { t.place(r, since) })
}

func (t *Trial) up() int {
	n := 0
	for _, e := range t.engines {
		if e.up {
			n++
		}
	}
	return n
}

// offer asks the gate of an engine, with the loads that its owner knows.
func (t *Trial) offer(c measure.Choice, r *measure.Request) bool {
	i := c.Engine
	e := t.engines[i]
	others, total := 0, 0
	for j, o := range t.engines {
		if !o.up {
			continue
		}
		total += o.gate.Load()
		if j != i {
			others += o.fresh
		}
	}
	q := routing.Request{
		ID:      r.ID,
		Account: r.Account,
		Share:   r.Share,
		Class:   r.Class,
		Cost:    int(r.Prompt/8 + r.Tokens),
	}
	if t.Policy.Bound() > 0 {
		q.FairSlots = r.FairOf(t.EngineSlots)
	}
	d := e.gate.Offer(t.now, q, admission.Terms{
		Bound:      t.Policy.Bound(),
		OthersLoad: others,
		Servers:    t.up(),
	})
	if d.Refused != "" {
		return false
	}
	res := t.result()
	res.Admitted++
	if e.gate.Load() > bounded.Limit(file.DefaultBound, total, t.up()) {
		res.OverBound++
	}
	// The reply to a forwarded request carries the loads along.
	e.fresh = e.gate.Load()
	t.Policy.Served(t, r, i)
	a := admitted{
		request: r,
		choice:  c,
	}
	if d.Started {
		t.begin(a)
	} else {
		e.waiting[r.ID] = a
	}
	return true
}

// moved copies the cache of a chat where the choice says so, and returns how
// long that takes.
func (t *Trial) moved(a admitted) time.Duration {
	if !a.choice.Moves {
		return 0
	}
	from, to := t.engines[a.choice.MoveFrom], t.engines[a.choice.Engine]
	tokens := from.cache.Tokens(a.request.Chat)
	if !from.up || tokens <= to.cache.Tokens(a.request.Chat) {
		return 0
	}
	to.cache.Touch(a.request.Chat, tokens)
	t.result().MovedTokens += int64(tokens)
	return time.Duration(tokens) * time.Second / movePerSecond
}

// begin runs a request in a slot.
func (t *Trial) begin(a admitted) {
	i, r := a.choice.Engine, a.request
	e := t.engines[i]
	move := t.moved(a)
	reused := min(e.cache.Tokens(r.Chat), r.Reusable)
	prefill := move + time.Duration(r.Prompt-reused)*time.Second/prefillPerSecond
	res := t.result()
	res.Reused += int64(reused)
	res.Reusable += int64(r.Reusable)
	res.firstToken(r, t.now-r.At+prefill)
	t.after(prefill+time.Duration(r.Tokens)*tokenEvery, func() { t.finish(i, r) })
}

func (t *Trial) finish(i int, r *measure.Request) {
	e := t.engines[i]
	if e.up {
		e.cache.Touch(r.Chat, r.Prompt+r.Tokens)
	}
	t.Policy.Finished(r, i)
	for _, next := range e.gate.Finish(t.now, routing.Request{
		ID:      r.ID,
		Account: r.Account,
	}) {
		w := e.waiting[next.ID]
		delete(e.waiting, next.ID)
		t.begin(w)
	}
}

// report makes loads known: to owners twice a second, and to all with a lag.
func (t *Trial) report() {
	lag := reportEvery
	if t.phase().LagLoads {
		lag = laggingReports
	}
	for _, e := range t.engines {
		e.fresh = e.gate.Load()
	}
	if t.now%lag < reportEvery {
		for _, e := range t.engines {
			e.reported = e.gate.Load()
		}
	}
	t.after(reportEvery, t.report)
}

func (t *Trial) sample() {
	loads := make([]int, 0, len(t.engines))
	total := 0
	for _, e := range t.engines {
		if e.up {
			loads = append(loads, e.gate.Load())
			total += e.gate.Load()
		}
	}
	if total >= len(loads) && len(loads) > 0 {
		res := t.result()
		res.Skew = append(res.Skew, float64(slices.Max(loads))*float64(len(loads))/float64(total))
	}
	t.after(sampleEvery, t.sample)
}

// disturb takes engines down and up as the phase says. What runs at an engine
// that goes down finishes; its cache is lost.
func (t *Trial) disturb() {
	p := t.phase()
	next := time.Second
	if p.DownEvery > 0 {
		next = p.DownEvery
		i := t.rnd.IntN(t.Engines)
		if p.Flapping {
			i = 0
		}
		t.takeDown(i, p.DownFor)
	}
	t.after(next, t.disturb)
}

func (t *Trial) takeDown(i int, d time.Duration) {
	e := t.engines[i]
	if !e.up {
		return
	}
	e.up, e.changed = false, t.now
	e.cache.Clear()
	t.after(d, func() {
		e.up, e.changed, e.joined = true, t.now, t.now
	})
}
