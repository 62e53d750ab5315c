// Package measure compares ways of placing chats on engines, in virtual time.
//
// A trial feeds one stream of requests to one policy over stand-in engines.
// The decisions are the very code that the daemons run; what is modelled is
// only the engines and what each router believes of them.
package measure

// This file defines the interface of a policy and what it may look at.

import "time"

// Request is one request of a trial.
type Request struct {
	ID      string
	Chat    string
	Account string
	Share   int
	// FairOf returns the account's fair part of a number of slots.
	FairOf func(slots int) int
	Class  int
	// Prompt counts the tokens of the prompt, Tokens those of the answer.
	Prompt uint32
	Tokens uint32
	// Reusable is the part of the prompt that some engine has computed before.
	Reusable uint32
	// Router is the router that the caller reached.
	Router int
	At     time.Duration
	// Last is true for the last turn of a chat.
	Last bool
}

// Fleet is what a policy may look at.
type Fleet interface {
	Now() time.Duration
	// Open returns the engines that a router believes to be open.
	Open(router int) []int
	Name(engine int) string
	Slots(engine int) int
	// Cached and Load are the truth; only a clairvoyant policy or the owner
	// of the engine may ask.
	Cached(engine int, chat string) uint32
	Load(engine int) int
	// ReportedLoad is the load that others know, which lags.
	ReportedLoad(engine int) int
	// Cold reports whether an engine joined lately with an empty cache.
	Cold(engine int) bool
}

// Choice is an engine to try.
type Choice struct {
	Engine int
	// OnlyCached tries the engine only if it remembers the chat.
	OnlyCached bool
	// MoveFrom, when Moves is set, is an engine whose cache of the chat is
	// copied to Engine before the prompt is computed.
	MoveFrom int
	Moves    bool
}

// Policy places requests.
type Policy interface {
	Name() string
	// Bound returns the multiple of the mean load that an engine may carry;
	// zero for a policy without one.
	Bound() float64
	// Place returns the engines to try, best first.
	Place(f Fleet, r *Request) []Choice
	// Served tells where a request was admitted; engine -1 when refused.
	Served(f Fleet, r *Request, engine int)
	// Finished tells that a request has ended.
	Finished(r *Request, engine int)
}
