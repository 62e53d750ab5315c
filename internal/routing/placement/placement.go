// Package placement decides at which engine a returning chat is served.
//
// The home owner weighs the engines that may still remember the chat and takes
// the cheapest expected first token: the wait for a slot, plus the prefill of
// what is not cached, plus the cost of moving the cache where that is on
// offer. Home wins unless another engine is clearly cheaper, so chats don't
// wander on noise; an engine that came back cold therefore does not pull its
// chats back while another still remembers them.
package placement

// This file defines Order and the cost model.

import (
	"cmp"
	"slices"
	"time"
)

// MoveTokens is the least cache that is worth copying to another engine.
const MoveTokens = 256

// Costs is the cost model of a service's engines.
type Costs struct {
	// PrefillPerToken is the time to compute one token of a prompt.
	PrefillPerToken time.Duration
	// WaitPerRequest is the wait that one request ahead adds at a full engine.
	WaitPerRequest time.Duration
	// MovePerToken is the time to export and import the cache of one token;
	// zero when caches are not moved.
	MovePerToken time.Duration
	// Margin is how much cheaper than home another engine must be.
	Margin time.Duration
}

// DefaultCosts fit engines that prefill 20,000 tokens a second.
func DefaultCosts() Costs {
	return Costs{
		PrefillPerToken: 50 * time.Microsecond,
		WaitPerRequest:  50 * time.Millisecond,
		Margin:          5 * time.Millisecond,
	}
}

// Candidate is an engine that could serve the chat.
type Candidate struct {
	Server string
	// Cached is how much of the prompt the engine is believed to hold.
	Cached uint32
	Load   int
	Slots  int
	Home   bool
}

// FirstToken returns the expected time to the first token at c.
func (m Costs) FirstToken(prompt uint32, c Candidate) time.Duration {
	cold := time.Duration(prompt - min(prompt, c.Cached))
	d := cold * m.PrefillPerToken
	if over := c.Load + 1 - max(c.Slots, 1); over > 0 {
		d += time.Duration(over) * m.WaitPerRequest
	}
	if !c.Home {
		d += m.Margin
	}
	return d
}

// Order sorts candidates by expected first token, keeping the given order
// among equals, which is the preference list.
func Order(m Costs, prompt uint32, cs []Candidate) []Candidate {
	out := slices.Clone(cs)
	slices.SortStableFunc(out, func(a, b Candidate) int {
		return cmp.Compare(m.FirstToken(prompt, a), m.FirstToken(prompt, b))
	})
	return out
}
