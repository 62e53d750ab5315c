// Package placement decides which inference engine serves the next request of
// a chat.
//
// The preferred engine of a chat is the first one in the rendezvous order of the
// chat. The router that owns it compares the engines that may still have the chat
// in their prefix cache and chooses the one with the shortest expected time to
// first token: the wait for a slot plus the prefill of the tokens that are not
// cached. An engine other than the preferred engine must be faster by a margin, so
// that small differences in load do not move chats back and forth. A preferred
// engine that restarted with an empty cache does not get its chats back while
// another engine still has them cached.
package placement

// This file defines Order and the cost model.

import (
	"cmp"
	"slices"
	"time"
)

// MinMoveTokens is the minimum number of cached tokens that is worth copying to
// another engine.
const MinMoveTokens = 256

// Costs holds the parameters of the cost model for the engines of a service.
type Costs struct {
	// PrefillPerToken is the time to prefill one token of a prompt.
	PrefillPerToken time.Duration
	// WaitPerRequest is the wait that each request ahead in the queue adds when
	// all slots are taken.
	WaitPerRequest time.Duration
	// MovePerToken is the time to export and import the cache of one token;
	// zero if caches are not copied. TimeToFirstToken does not use it.
	MovePerToken time.Duration
	// Margin is how much shorter the expected time to first token must be at
	// another engine than at the preferred engine.
	Margin time.Duration
}

// DefaultCosts returns parameters for engines that prefill 20,000 tokens per
// second.
func DefaultCosts() Costs {
	return Costs{
		PrefillPerToken: 50 * time.Microsecond,
		WaitPerRequest:  50 * time.Millisecond,
		Margin:          5 * time.Millisecond,
	}
}

// Candidate is an engine that could serve the request.
type Candidate struct {
	Server string
	// Cached is the estimated number of prompt tokens in the engine's cache.
	Cached    uint32
	Load      int
	Slots     int
	Preferred bool
}

// TimeToFirstToken returns the expected time to first token at c, plus the margin if
// c is not the preferred engine.
func (m Costs) TimeToFirstToken(prompt uint32, c Candidate) time.Duration {
	uncached := time.Duration(prompt - min(prompt, c.Cached))
	d := uncached * m.PrefillPerToken
	if queued := c.Load + 1 - max(c.Slots, 1); queued > 0 {
		d += time.Duration(queued) * m.WaitPerRequest
	}
	if !c.Preferred {
		d += m.Margin
	}
	return d
}

// Order returns the candidates sorted by TimeToFirstToken, shortest first. Equal
// candidates keep their order in cs, which is the preference order.
func Order(m Costs, prompt uint32, cs []Candidate) []Candidate {
	out := slices.Clone(cs)
	slices.SortStableFunc(out, func(a, b Candidate) int {
		return cmp.Compare(m.TimeToFirstToken(prompt, a), m.TimeToFirstToken(prompt, b))
	})
	return out
}
