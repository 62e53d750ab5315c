// Package workload makes the stream of requests of a trial: chats that return
// after minutes to hours, from ten client accounts, a few of them large.
package workload

// This file defines Source.

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"camphorspoke/internal/measure"
	"camphorspoke/internal/rules/file"
)

const (
	accounts = 10
	// meanTurns is the mean number of turns of a chat.
	meanTurns = 8
	// gapMedian and gapSigma shape the log-normal pause between two turns.
	gapMedian = 2 * time.Minute
	gapSigma  = 1.2
)

// Source yields requests in the order of their time.
type Source struct {
	// PerSecond is the rate of requests, returns included.
	PerSecond float64
	Routers   int
	// SurgeAccount sends ten times its rate while Surging.
	SurgeAccount int
	Surging      func(now time.Duration) bool

	rnd     *rand.Rand
	returns returnHeap
	nextNew time.Duration
	extraAt time.Duration
	chats   int
}

// New returns a source with a seed.
func New(seed uint64, perSecond float64, routers, surgeAccount int, surging func(time.Duration) bool) *Source {
	return &Source{
		PerSecond:    perSecond,
		Routers:      routers,
		SurgeAccount: surgeAccount,
		Surging:      surging,
		rnd:          rand.New(rand.NewPCG(seed, 11)),
	}
}

type conversation struct {
	name    string
	account int
	class   int
	turns   int
	tokens  uint32
	// computed counts the tokens that some engine has computed.
	computed uint32
	at       time.Duration
}

type returnHeap []*conversation

func (h returnHeap) Len() int           { return len(h) }
func (h returnHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h returnHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *returnHeap) Push(x any)        { *h = append(*h, x.(*conversation)) }
func (h *returnHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// weight is the share of an account in the traffic.
func weight(account int) float64 { return 1 / float64(account+1) }

func (s *Source) pickAccount() int {
	total := 0.0
	for a := range accounts {
		total += weight(a)
	}
	at := s.rnd.Float64() * total
	for a := range accounts {
		if at -= weight(a); at < 0 {
			return a
		}
	}
	return accounts - 1
}

// Share returns the fair share of an account; the large ones pay for more.
func Share(account int) int {
	if account < 2 {
		return 4
	}
	return 1
}

// FairSlots returns an account's fair part of an engine's slots.
func FairSlots(account, slots int) int {
	total := 0
	for a := range accounts {
		total += Share(a)
	}
	return max(1, slots*Share(account)/total)
}

// Account returns the name of an account.
func Account(account int) string { return fmt.Sprintf("account-%d", account) }

func (s *Source) newChat(account int, at time.Duration) *conversation {
	s.chats++
	c := &conversation{
		name:    fmt.Sprintf("chat-%d", s.chats),
		account: account,
		turns:   1 + int(s.rnd.ExpFloat64()*(meanTurns-1)),
		at:      at,
	}
	switch x := s.rnd.Float64(); {
	case x < 0.2:
		c.class, c.tokens = file.Urgent, 1500+uint32(s.rnd.IntN(3000))
	case x < 0.8:
		c.class, c.tokens = file.Normal, 200+uint32(s.rnd.IntN(1000))
	default:
		c.class, c.tokens = file.Batch, 500+uint32(s.rnd.IntN(2000))
	}
	return c
}

// Next returns the next request.
func (s *Source) Next() *measure.Request {
	newRate := s.PerSecond / meanTurns
	for {
		at := s.nextNew
		switch {
		case len(s.returns) > 0 && s.returns[0].at <= at && s.returns[0].at <= s.extraAt:
			c := heap.Pop(&s.returns).(*conversation)
			return s.turn(c)
		case s.extraAt < at:
			// The surge: nine times the account's own rate on top.
			extra := 9 * s.PerSecond * weight(s.SurgeAccount) / harmonic()
			now := s.extraAt
			s.extraAt += time.Duration(s.rnd.ExpFloat64() / extra * float64(time.Second))
			if s.Surging(now) {
				c := s.newChat(s.SurgeAccount, now)
				c.turns = 1
				return s.turn(c)
			}
		default:
			s.nextNew += time.Duration(s.rnd.ExpFloat64() / newRate * float64(time.Second))
			return s.turn(s.newChat(s.pickAccount(), at))
		}
	}
}

func harmonic() float64 {
	total := 0.0
	for a := range accounts {
		total += weight(a)
	}
	return total
}

func (s *Source) turn(c *conversation) *measure.Request {
	fresh := 50 + uint32(s.rnd.IntN(150))
	r := &measure.Request{
		ID:       fmt.Sprintf("%s-%d", c.name, c.at),
		Chat:     c.name,
		Account:  Account(c.account),
		Share:    Share(c.account),
		FairOf:   func(slots int) int { return FairSlots(c.account, slots) },
		Class:    c.class,
		Prompt:   c.tokens + fresh,
		Tokens:   40 + uint32(s.rnd.IntN(120)),
		Reusable: c.computed,
		Router:   s.rnd.IntN(s.Routers),
		At:       c.at,
	}
	c.tokens = r.Prompt + r.Tokens
	c.computed = c.tokens
	c.turns--
	if c.turns <= 0 {
		r.Last = true
		return r
	}
	gap := float64(gapMedian) * math.Exp(gapSigma*s.rnd.NormFloat64())
	c.at += time.Duration(gap) + time.Duration(r.Tokens)*50*time.Millisecond
	heap.Push(&s.returns, c)
	return r
}
