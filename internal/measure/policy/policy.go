// Package policy holds the policies that a measurement compares: ours, its
// earlier versions, and the baselines.
package policy

// This file defines the policies.

import (
	"math/rand/v2"
	"slices"

	"camphorspoke/internal/measure"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/bounded"
	"camphorspoke/internal/routing/displaced"
	"camphorspoke/internal/routing/placement"
	"camphorspoke/internal/routing/rendezvous"
	"camphorspoke/internal/rules/file"
)

// coldAskTokens is the prompt above which a cold home asks elsewhere.
const coldAskTokens = 512

// All returns every policy, fresh, for a trial with a seed.
func All(seed uint64) []measure.Policy {
	return []measure.Policy{
		&random{
			rnd: rand.New(rand.NewPCG(seed, 3)),
		},
		leastReported{},
		plain{},
		&localBound{},
		ownerExact{},
		&ours{},
		&ours{
			moves: true,
		},
		clairvoyant{},
	}
}

// quiet is the part of a policy that keeps no memory.
type quiet struct{}

func (quiet) Bound() float64                              { return 0 }
func (quiet) Served(measure.Fleet, *measure.Request, int) {}
func (quiet) Finished(*measure.Request, int)              {}

type random struct {
	quiet
	rnd *rand.Rand
}

var _ measure.Policy = (*random)(nil)

func (*random) Name() string { return "random" }

func (p *random) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	open := slices.Clone(f.Open(r.Router))
	p.rnd.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	return choices(open)
}

func choices(engines []int) []measure.Choice {
	out := make([]measure.Choice, len(engines))
	for i, e := range engines {
		out[i] = measure.Choice{
			Engine: e,
		}
	}
	return out
}

type leastReported struct{ quiet }

var _ measure.Policy = leastReported{}

func (leastReported) Name() string { return "least reported load" }

func (leastReported) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	open := slices.Clone(f.Open(r.Router))
	slices.SortStableFunc(open, func(a, b int) int { return f.ReportedLoad(a) - f.ReportedLoad(b) })
	return choices(open)
}

// preference returns a chat's preference list among the open engines.
func preference(f measure.Fleet, r *measure.Request) []int {
	open := f.Open(r.Router)
	servers := make([]routing.Server, len(open))
	index := make(map[string]int, len(open))
	for i, e := range open {
		servers[i] = routing.Server{
			Name:   f.Name(e),
			Weight: float64(f.Slots(e)),
		}
		index[f.Name(e)] = e
	}
	var out []int
	for _, name := range (rendezvous.Picker{}).Order(r.Chat, servers) {
		out = append(out, index[name])
	}
	return out
}

type plain struct{ quiet }

var _ measure.Policy = plain{}

func (plain) Name() string { return "plain rendezvous" }

func (plain) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	return choices(preference(f, r))
}

// localBound bounds by the counts of each router alone.
type localBound struct {
	counts map[[2]int]int
	totals map[int]int
}

var _ measure.Policy = (*localBound)(nil)

func (*localBound) Name() string   { return "bounded, local counts" }
func (*localBound) Bound() float64 { return 0 }

func (p *localBound) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	order := preference(f, r)
	limit := bounded.Limit(file.DefaultBound, p.totals[r.Router], len(order))
	var under, over []int
	for _, e := range order {
		if p.counts[[2]int{r.Router, e}]+1 <= limit {
			under = append(under, e)
		} else {
			over = append(over, e)
		}
	}
	return choices(append(under, over...))
}

func (p *localBound) Served(_ measure.Fleet, r *measure.Request, engine int) {
	if p.counts == nil {
		p.counts, p.totals = make(map[[2]int]int), make(map[int]int)
	}
	if engine >= 0 {
		p.counts[[2]int{r.Router, engine}]++
		p.totals[r.Router]++
	}
}

func (p *localBound) Finished(r *measure.Request, engine int) {
	p.counts[[2]int{r.Router, engine}]--
	p.totals[r.Router]--
}

// ownerExact bounds at the engine's owner and spills without memory.
type ownerExact struct{ quiet }

var _ measure.Policy = ownerExact{}

func (ownerExact) Name() string   { return "owner-exact" }
func (ownerExact) Bound() float64 { return file.DefaultBound }

func (ownerExact) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	return choices(preference(f, r))
}

// ours adds the memory of displaced chats and the rule for cold engines.
// With moves, a spilled chat takes its cache along.
type ours struct {
	moves bool
	away  map[int]*displaced.Table
}

var _ measure.Policy = (*ours)(nil)

// Bound implements measure.Policy.
func (*ours) Bound() float64 { return file.DefaultBound }

// Name implements measure.Policy.
func (p *ours) Name() string {
	if p.moves {
		return "owner-exact, cold rule, moves"
	}
	return "owner-exact, cold rule"
}

func (p *ours) table(home int) *displaced.Table {
	if p.away == nil {
		p.away = make(map[int]*displaced.Table)
	}
	if p.away[home] == nil {
		p.away[home] = &displaced.Table{}
	}
	return p.away[home]
}

func (p *ours) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	order := preference(f, r)
	if len(order) == 0 {
		return nil
	}
	out := Candidates(f, r, order, p.table(order[0]))
	if p.moves {
		p.addMoves(f, r, order, out)
	}
	return out
}

// addMoves lets each engine that is not known to hold the chat take the cache
// from the one that holds most of it.
func (p *ours) addMoves(f measure.Fleet, r *measure.Request, order []int, out []measure.Choice) {
	from, tokens := order[0], f.Cached(order[0], r.Chat)
	if place, ok := p.table(order[0]).Get(r.Chat); ok && place.Tokens > tokens {
		for _, e := range order {
			if f.Name(e) == place.Server {
				from, tokens = e, place.Tokens
			}
		}
	}
	if tokens < placement.MoveTokens {
		return
	}
	for i := range out {
		if out[i].Engine != from && !out[i].OnlyCached {
			out[i].Moves, out[i].MoveFrom = true, from
		}
	}
}

// Candidates orders the engines as the owner of a chat's home does.
func Candidates(f measure.Fleet, r *measure.Request, order []int, away *displaced.Table) []measure.Choice {
	home := order[0]
	index := map[string]int{
		f.Name(home): home,
	}
	cs := []placement.Candidate{{
		Server: f.Name(home),
		Cached: f.Cached(home, r.Chat),
		Load:   f.Load(home),
		Slots:  f.Slots(home),
		Home:   true,
	}}
	asked := -1
	add := func(e int, cached uint32) {
		index[f.Name(e)] = e
		cs = append(cs, placement.Candidate{
			Server: f.Name(e),
			Cached: cached,
			Load:   f.ReportedLoad(e),
			Slots:  f.Slots(e),
		})
	}
	if place, ok := away.Get(r.Chat); ok {
		for _, e := range order[1:] {
			if f.Name(e) == place.Server {
				add(e, place.Tokens)
			}
		}
	} else if r.Prompt >= coldAskTokens && cs[0].Cached == 0 && f.Cold(home) && len(order) > 1 {
		asked = order[1]
		add(asked, r.Prompt)
	}
	var out []measure.Choice
	for _, c := range placement.Order(placement.DefaultCosts(), r.Prompt, cs) {
		out = append(out, measure.Choice{
			Engine:     index[c.Server],
			OnlyCached: index[c.Server] == asked,
		})
	}
	for _, e := range order {
		if !slices.ContainsFunc(out, func(c measure.Choice) bool { return c.Engine == e && !c.OnlyCached }) {
			out = append(out, measure.Choice{
				Engine: e,
			})
		}
	}
	return out
}

func (p *ours) Served(f measure.Fleet, r *measure.Request, engine int) {
	order := preference(f, r)
	if engine < 0 || len(order) == 0 {
		return
	}
	t := p.table(order[0])
	if engine == order[0] {
		t.Forget(r.Chat)
		return
	}
	t.Put(r.Chat, displaced.Place{
		Server: f.Name(engine),
		Tokens: r.Prompt + r.Tokens,
	})
}

func (*ours) Finished(*measure.Request, int) {}

// clairvoyant knows every cache and every load as they are now.
type clairvoyant struct{ quiet }

var _ measure.Policy = clairvoyant{}

func (clairvoyant) Name() string   { return "clairvoyant" }
func (clairvoyant) Bound() float64 { return file.DefaultBound }

func (clairvoyant) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	order := preference(f, r)
	slices.SortStableFunc(order, func(a, b int) int {
		return int(f.Cached(b, r.Chat)) - int(f.Cached(a, r.Chat))
	})
	return choices(order)
}
