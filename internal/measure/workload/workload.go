// Package workload generates the stream of requests of a trial: chats of several
// turns with pauses of minutes to hours, from ten client accounts, of which a few
// send most of the traffic.
package workload

// This file defines Source.

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"camphorspoke/internal/measure"
	"camphorspoke/internal/rules/ruleset"
)

const (
	accounts = 10
	// meanTurns is the mean number of turns of a chat.
	meanTurns = 8
	// gapMedian and gapSigma are the parameters of the log-normal pause between
	// two turns.
	gapMedian = 2 * time.Minute
	gapSigma  = 1.2
)

// Source yields requests in the order of their arrival.
type Source struct {
	// PerSecond is the rate of requests, including later turns of chats.
	PerSecond float64
	Routers   int
	// SurgeAccount is the account that sends at ten times its normal rate while
	// Surging returns true.
	SurgeAccount int
	Surging      func(now time.Duration) bool

	rnd         *rand.Rand
	nextTurns   turnHeap
	nextChatAt  time.Duration
	nextSurgeAt time.Duration
	chatCount   int
}

// New returns a source that draws from a generator with the given seed.
func New(seed uint64, perSecond float64, routers, surgeAccount int, surging func(time.Duration) bool) *Source {
	return &Source{
		PerSecond:    perSecond,
		Routers:      routers,
		SurgeAccount: surgeAccount,
		Surging:      surging,
		rnd:          rand.New(rand.NewPCG(seed, 11)),
	}
}

type chat struct {
	name      string
	account   int
	class     int
	turnsLeft int
	tokens    uint32
	// computed counts the tokens that engines have computed in earlier turns.
	computed uint32
	nextAt   time.Duration
}

type turnHeap []*chat

func (h turnHeap) Len() int           { return len(h) }
func (h turnHeap) Less(i, j int) bool { return h[i].nextAt < h[j].nextAt }
func (h turnHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *turnHeap) Push(x any)        { *h = append(*h, x.(*chat)) }
func (h *turnHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// trafficWeight returns the weight of an account in the traffic, which falls
// with its index as in Zipf's law.
func trafficWeight(account int) float64 { return 1 / float64(account+1) }

func (s *Source) pickAccount() int {
	total := 0.0
	for a := range accounts {
		total += trafficWeight(a)
	}
	at := s.rnd.Float64() * total
	for a := range accounts {
		if at -= trafficWeight(a); at < 0 {
			return a
		}
	}
	return accounts - 1
}

// FairShare returns the fair share of an account. The two largest accounts pay
// for a larger one.
func FairShare(account int) int {
	if account < 2 {
		return 4
	}
	return 1
}

// FairSlots returns the number of an engine's slots that an account is entitled
// to by its fair share.
func FairSlots(account, slots int) int {
	total := 0
	for a := range accounts {
		total += FairShare(a)
	}
	return max(1, slots*FairShare(account)/total)
}

// Account returns the name of an account.
func Account(account int) string { return fmt.Sprintf("account-%d", account) }

func (s *Source) newChat(account int, at time.Duration) *chat {
	s.chatCount++
	c := &chat{
		name:      fmt.Sprintf("chat-%d", s.chatCount),
		account:   account,
		turnsLeft: 1 + int(s.rnd.ExpFloat64()*(meanTurns-1)),
		nextAt:    at,
	}
	switch x := s.rnd.Float64(); {
	case x < 0.2:
		c.class, c.tokens = ruleset.Urgent, 1500+uint32(s.rnd.IntN(3000))
	case x < 0.8:
		c.class, c.tokens = ruleset.Normal, 200+uint32(s.rnd.IntN(1000))
	default:
		c.class, c.tokens = ruleset.Batch, 500+uint32(s.rnd.IntN(2000))
	}
	return c
}

// Next returns the next request.
func (s *Source) Next() *measure.Request {
	newChatsPerSecond := s.PerSecond / meanTurns
	for {
		at := s.nextChatAt
		switch {
		case len(s.nextTurns) > 0 && s.nextTurns[0].nextAt <= at && s.nextTurns[0].nextAt <= s.nextSurgeAt:
			c := heap.Pop(&s.nextTurns).(*chat)
			return s.nextTurn(c)
		case s.nextSurgeAt < at:
			// During a surge, single-turn chats arrive at nine times the
			// account's normal rate, in addition to its normal traffic.
			surgeChatsPerSecond := 9 * s.PerSecond * trafficWeight(s.SurgeAccount) / totalWeight()
			now := s.nextSurgeAt
			s.nextSurgeAt += time.Duration(s.rnd.ExpFloat64() / surgeChatsPerSecond * float64(time.Second))
			if s.Surging(now) {
				c := s.newChat(s.SurgeAccount, now)
				c.turnsLeft = 1
				return s.nextTurn(c)
			}
		default:
			s.nextChatAt += time.Duration(s.rnd.ExpFloat64() / newChatsPerSecond * float64(time.Second))
			return s.nextTurn(s.newChat(s.pickAccount(), at))
		}
	}
}

func totalWeight() float64 {
	total := 0.0
	for a := range accounts {
		total += trafficWeight(a)
	}
	return total
}

func (s *Source) nextTurn(c *chat) *measure.Request {
	newTokens := 50 + uint32(s.rnd.IntN(150))
	r := &measure.Request{
		ID:             fmt.Sprintf("%s-%d", c.name, c.nextAt),
		Chat:           c.name,
		Account:        Account(c.account),
		Share:          FairShare(c.account),
		FairSlots:      func(slots int) int { return FairSlots(c.account, slots) },
		Class:          c.class,
		PromptTokens:   c.tokens + newTokens,
		OutputTokens:   40 + uint32(s.rnd.IntN(120)),
		ReusableTokens: c.computed,
		Router:         s.rnd.IntN(s.Routers),
		Arrival:        c.nextAt,
	}
	c.tokens = r.PromptTokens + r.OutputTokens
	c.computed = c.tokens
	c.turnsLeft--
	if c.turnsLeft <= 0 {
		r.LastTurn = true
		return r
	}
	gap := float64(gapMedian) * math.Exp(gapSigma*s.rnd.NormFloat64())
	c.nextAt += time.Duration(gap) + time.Duration(r.OutputTokens)*50*time.Millisecond
	heap.Push(&s.nextTurns, c)
	return r
}
