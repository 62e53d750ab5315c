package scheduler_test

// This file tests overload against a small model of the engines. Prefilling a prompt
// stalls all requests on the engine, so a scheduler that spreads prefixes over
// many engines loses capacity when it is scarcest.

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
)

const (
	modelEngines   = 9
	modelSlots     = 16
	modelSubjects  = 120
	prefillPerTick = 110 // tokens that an engine prefills in a millisecond
	decodeTicks    = 150 // milliseconds of decoding, without those in which the engine prefills
	tick           = time.Millisecond
)

// modelRequest is a request that runs on an engine.
type modelRequest struct {
	id          uint64
	prefillLeft int
	decodeLeft  int
}

// modelEngine prefills prompts one after the other, and decodes for its requests only
// in milliseconds in which it does not prefill.
type modelEngine struct {
	cache   prefixcache.Cache
	running []*modelRequest
}

// step advances the engine by a millisecond and returns the completed requests.
func (e *modelEngine) step() (ended []uint64) {
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			r.prefillLeft -= prefillPerTick
			return nil
		}
	}
	unfinished := e.running[:0]
	for _, r := range e.running {
		if r.decodeLeft--; r.decodeLeft <= 0 {
			ended = append(ended, r.id)
		} else {
			unfinished = append(unfinished, r)
		}
	}
	e.running = unfinished
	return ended
}

// throughput offers perSecond requests a second for the given time and returns the
// completed requests per second in its second half.
func throughput(perSecond int, span time.Duration) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	s := scheduler.New(scheduler.Service{
		Name:        "llm",
		Engine:      true,
		Slots:       modelSlots,
		CacheTokens: 200_000,
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
	})
	listServers(s, modelEngines, 0)
	engines := make(map[string]*modelEngine)
	prompts := make(map[uint64][]prefixcache.Part)
	id, count := uint64(0), 0
	grant := func(d scheduler.Decision) {
		if d.Server == "" {
			delete(prompts, d.ID)
			return
		}
		e := engines[d.Server]
		if e == nil {
			e = &modelEngine{
				cache: prefixcache.Cache{
					Capacity: 200_000,
				},
			}
			engines[d.Server] = e
		}
		parts := prompts[d.ID]
		all := 0
		for _, p := range parts {
			all += p.Tokens
		}
		e.running = append(e.running, &modelRequest{
			id:          d.ID,
			prefillLeft: all - e.cache.CachedTokens(parts),
			decodeLeft:  decodeTicks,
		})
		e.cache.Use(parts)
	}
	due := 0.0
	for now := time.Duration(0); now < span; now += tick {
		for due += float64(perSecond) / 1000; due >= 1; due-- {
			id++
			prompts[id] = prompt(uint64(100+rng.IntN(modelSubjects)), 1_000_000+id)
			if d, ok := s.Schedule(now, scheduler.Request{
				ID:      id,
				Parts:   prompts[id],
				MaxWait: 200 * time.Millisecond,
			}); ok {
				grant(d)
			}
		}
		for _, sv := range engineNames() {
			e := engines[sv]
			if e == nil {
				continue
			}
			for _, ended := range e.step() {
				if now > span/2 {
					count++
				}
				for _, d := range s.Report(now, ended, scheduler.Report{
					Event: scheduler.Done,
				}) {
					grant(d)
				}
			}
		}
		for _, d := range s.Tick(now) {
			grant(d)
		}
	}
	return float64(count) / (span / 2).Seconds()
}

func engineNames() []string {
	return []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
}

// TestOverloadKeepsTheCapacity checks that, when requests arrive at 1.5 times the
// highest throughput, the throughput is still at least 0.9 of the highest.
func TestOverloadKeepsTheCapacity(t *testing.T) {
	const span = 16 * time.Second
	best := 0.0
	for perSecond := 300; perSecond <= 900; perSecond += 100 {
		best = max(best, throughput(perSecond, span))
	}
	over := throughput(int(1.5*best), span)
	t.Logf("highest throughput %.0f requests/s; %.0f requests/s when 1.5 times as many arrive", best, over)
	require.GreaterOrEqual(t, over, 0.9*best)
}
