// Package policy defines the placement policies that a measurement compares:
// the one that the daemons use, earlier versions of it, and baselines.
package policy

// This file defines the policies.

import (
	"math/rand/v2"
	"slices"

	"camphorspoke/internal/measure"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/displaced"
	"camphorspoke/internal/routing/loadbound"
	"camphorspoke/internal/routing/placement"
	"camphorspoke/internal/routing/rendezvous"
	"camphorspoke/internal/rules/ruleset"
)

// minColdProbeTokens is the length of the shortest prompt that is also offered to
// the second engine in rendezvous order when the preferred engine, the first one,
// is cold and has nothing of the chat cached. The second engine admits the request
// only if it has the chat cached.
const minColdProbeTokens = 512

// All returns every policy, newly created, for a trial with the given seed.
func All(seed uint64) []measure.Policy {
	return []measure.Policy{
		&random{
			rnd: rand.New(rand.NewPCG(seed, 3)),
		},
		leastReported{},
		plainRendezvous{},
		&localBound{},
		ownerExact{},
		&production{},
		&production{
			movesCache: true,
		},
		clairvoyant{},
	}
}

// stateless implements the methods of a policy that has no load bound and keeps
// no state between requests.
type stateless struct{}

func (stateless) LoadBound() float64                                { return 0 }
func (stateless) RecordServed(measure.Fleet, *measure.Request, int) {}
func (stateless) RecordFinished(*measure.Request, int)              {}

type random struct {
	stateless
	rnd *rand.Rand
}

var _ measure.Policy = (*random)(nil)

func (*random) Name() string { return "random" }

func (p *random) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	accepting := slices.Clone(f.AcceptingEngines(r.Router))
	p.rnd.Shuffle(len(accepting), func(i, j int) { accepting[i], accepting[j] = accepting[j], accepting[i] })
	return choices(accepting)
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

type leastReported struct{ stateless }

var _ measure.Policy = leastReported{}

func (leastReported) Name() string { return "least reported load" }

func (leastReported) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	accepting := slices.Clone(f.AcceptingEngines(r.Router))
	slices.SortStableFunc(accepting, func(a, b int) int { return f.ReportedLoad(a) - f.ReportedLoad(b) })
	return choices(accepting)
}

// preferenceList returns the engines that accept requests, sorted in the
// rendezvous order of the chat. The first one is the chat's preferred engine.
func preferenceList(f measure.Fleet, r *measure.Request) []int {
	accepting := f.AcceptingEngines(r.Router)
	servers := make([]routing.Server, len(accepting))
	index := make(map[string]int, len(accepting))
	for i, e := range accepting {
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

type plainRendezvous struct{ stateless }

var _ measure.Policy = plainRendezvous{}

func (plainRendezvous) Name() string { return "plain rendezvous" }

func (plainRendezvous) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	return choices(preferenceList(f, r))
}

// localBound applies the load bound at each router, which counts only the
// requests that it placed itself.
type localBound struct {
	counts map[[2]int]int
	totals map[int]int
}

var _ measure.Policy = (*localBound)(nil)

func (*localBound) Name() string       { return "bounded, local counts" }
func (*localBound) LoadBound() float64 { return 0 }

func (p *localBound) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	order := preferenceList(f, r)
	limit := loadbound.Limit(ruleset.DefaultLoadBound, p.totals[r.Router], len(order))
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

func (p *localBound) RecordServed(_ measure.Fleet, r *measure.Request, engine int) {
	if p.counts == nil {
		p.counts, p.totals = make(map[[2]int]int), make(map[int]int)
	}
	if engine >= 0 {
		p.counts[[2]int{r.Router, engine}]++
		p.totals[r.Router]++
	}
}

func (p *localBound) RecordFinished(r *measure.Request, engine int) {
	p.counts[[2]int{r.Router, engine}]--
	p.totals[r.Router]--
}

// ownerExact applies the load bound at the owner of the engine, which counts all
// its requests. It does not record where a spilled chat was served.
type ownerExact struct{ stateless }

var _ measure.Policy = ownerExact{}

func (ownerExact) Name() string       { return "owner-exact" }
func (ownerExact) LoadBound() float64 { return ruleset.DefaultLoadBound }

func (ownerExact) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	return choices(preferenceList(f, r))
}

// production is the policy of the daemons: ownerExact with a table of displaced
// chats and a rule for cold engines. With movesCache, the cache of a chat is
// copied to the engine that the chat spills to.
type production struct {
	movesCache           bool
	displacedByPreferred map[int]*displaced.Table
}

var _ measure.Policy = (*production)(nil)

// LoadBound implements measure.Policy.
func (*production) LoadBound() float64 { return ruleset.DefaultLoadBound }

// Name implements measure.Policy.
func (p *production) Name() string {
	if p.movesCache {
		return "owner-exact, cold rule, moves"
	}
	return "owner-exact, cold rule"
}

func (p *production) displacedTable(preferred int) *displaced.Table {
	if p.displacedByPreferred == nil {
		p.displacedByPreferred = make(map[int]*displaced.Table)
	}
	if p.displacedByPreferred[preferred] == nil {
		p.displacedByPreferred[preferred] = &displaced.Table{}
	}
	return p.displacedByPreferred[preferred]
}

func (p *production) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	order := preferenceList(f, r)
	if len(order) == 0 {
		return nil
	}
	out := Candidates(f, r, order, p.displacedTable(order[0]))
	if p.movesCache {
		p.addMoves(f, r, order, out)
	}
	return out
}

// addMoves makes the choices copy the cache of the chat from its preferred engine,
// or from the engine in the table of displaced chats if more tokens are recorded
// there. Fewer than MinMoveTokens tokens are not worth a copy.
func (p *production) addMoves(f measure.Fleet, r *measure.Request, order []int, out []measure.Choice) {
	from, tokens := order[0], f.Cached(order[0], r.Chat)
	if location, ok := p.displacedTable(order[0]).Get(r.Chat); ok && location.Tokens > tokens {
		for _, e := range order {
			if f.Name(e) == location.Server {
				from, tokens = e, location.Tokens
			}
		}
	}
	if tokens < placement.MinMoveTokens {
		return
	}
	for i := range out {
		if out[i].Engine != from && !out[i].OnlyCached {
			out[i].MovesCache, out[i].MoveFrom = true, from
		}
	}
}

// Candidates orders the engines as the owner of the chat's preferred engine does:
// first the preferred engine and the engine that may have the chat cached, by the
// expected time to the first token, then the rest in the order of preference.
func Candidates(f measure.Fleet, r *measure.Request, order []int, displacedChats *displaced.Table) []measure.Choice {
	preferred := order[0]
	index := map[string]int{
		f.Name(preferred): preferred,
	}
	cs := []placement.Candidate{{
		Server:    f.Name(preferred),
		Cached:    f.Cached(preferred, r.Chat),
		Load:      f.Load(preferred),
		Slots:     f.Slots(preferred),
		Preferred: true,
	}}
	probed := -1
	add := func(e int, cached uint32) {
		index[f.Name(e)] = e
		cs = append(cs, placement.Candidate{
			Server: f.Name(e),
			Cached: cached,
			Load:   f.ReportedLoad(e),
			Slots:  f.Slots(e),
		})
	}
	if location, ok := displacedChats.Get(r.Chat); ok {
		for _, e := range order[1:] {
			if f.Name(e) == location.Server {
				add(e, location.Tokens)
			}
		}
	} else if r.PromptTokens >= minColdProbeTokens && cs[0].Cached == 0 && f.Cold(preferred) && len(order) > 1 {
		probed = order[1]
		add(probed, r.PromptTokens)
	}
	var out []measure.Choice
	for _, c := range placement.Order(placement.DefaultCosts(), r.PromptTokens, cs) {
		out = append(out, measure.Choice{
			Engine:     index[c.Server],
			OnlyCached: index[c.Server] == probed,
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

func (p *production) RecordServed(f measure.Fleet, r *measure.Request, engine int) {
	order := preferenceList(f, r)
	if engine < 0 || len(order) == 0 {
		return
	}
	t := p.displacedTable(order[0])
	if engine == order[0] {
		t.Remove(r.Chat)
		return
	}
	t.Put(r.Chat, displaced.Location{
		Server: f.Name(engine),
		Tokens: r.PromptTokens + r.OutputTokens,
	})
}

func (*production) RecordFinished(*measure.Request, int) {}

// clairvoyant orders the engines by the number of tokens of the chat that they
// actually have cached. No router has this information.
type clairvoyant struct{ stateless }

var _ measure.Policy = clairvoyant{}

func (clairvoyant) Name() string       { return "clairvoyant" }
func (clairvoyant) LoadBound() float64 { return ruleset.DefaultLoadBound }

func (clairvoyant) Place(f measure.Fleet, r *measure.Request) []measure.Choice {
	order := preferenceList(f, r)
	slices.SortStableFunc(order, func(a, b int) int {
		return int(f.Cached(b, r.Chat)) - int(f.Cached(a, r.Chat))
	})
	return choices(order)
}
