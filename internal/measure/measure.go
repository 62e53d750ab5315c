// Package measure compares placement policies, which assign chats to engines,
// by simulation in virtual time.
//
// A trial feeds one stream of requests to one policy over simulated engines.
// Placement, admission and cache tracking use the code that the daemons run;
// only the engines and each router's view of them are modelled.
package measure

// This file defines Policy, and the Request and Fleet that a policy decides on.

import "time"

// Request is one request of a trial.
type Request struct {
	ID      string
	Chat    string
	Account string
	Share   int
	// FairSlots returns the account's fair share of the slots of an engine.
	FairSlots    func(slots int) int
	Class        int
	PromptTokens uint32
	OutputTokens uint32
	// ReusableTokens is the number of prompt tokens that some engine has computed
	// in an earlier turn and may have cached.
	ReusableTokens uint32
	// Router is the index of the router that the caller sent the request to.
	Router  int
	Arrival time.Duration
	// LastTurn marks the last turn of a chat.
	LastTurn bool
}

// Fleet is the state of the fleet that a policy may read. Engines and routers
// are identified by their index.
type Fleet interface {
	Now() time.Duration
	// AcceptingEngines returns the engines that accept requests according to the
	// view of a router, which may be out of date.
	AcceptingEngines(router int) []int
	Name(engine int) string
	Slots(engine int) int
	// Cached and Load return the actual state of an engine. Only a clairvoyant
	// policy, or a decision made by the owner of the engine, may use them.
	Cached(engine int, chat string) uint32
	Load(engine int) int
	// ReportedLoad returns the last load published to all routers, which lags
	// behind the actual load.
	ReportedLoad(engine int) int
	// Cold reports whether an engine joined recently with an empty cache.
	Cold(engine int) bool
}

// Choice is one engine to offer a request to.
type Choice struct {
	Engine int
	// OnlyCached skips the engine unless it has cached at least half as many tokens
	// of the chat as the prompt has.
	OnlyCached bool
	// MoveFrom, when MovesCache is set, is the engine from which the cache of the
	// chat is copied to Engine before the prefill.
	MoveFrom   int
	MovesCache bool
}

// Policy assigns requests to engines.
type Policy interface {
	Name() string
	// LoadBound returns the load bound as a multiple of the mean load of the
	// engines; zero for a policy without a bound at the engine.
	LoadBound() float64
	// Place returns the engines to offer the request to, best first.
	Place(f Fleet, r *Request) []Choice
	// RecordServed is called with the engine that admitted the request, or with
	// -1 when the request was refused.
	RecordServed(f Fleet, r *Request, engine int)
	// RecordFinished is called when a request has ended.
	RecordFinished(r *Request, engine int)
}
