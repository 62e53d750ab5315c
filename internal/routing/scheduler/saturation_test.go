package scheduler_test

// This file replays more load than fits against a small model of the engines:
// reading a prompt takes the engine's time from all that run there, so a
// scheduler that scatters prefixes loses the capacity that it is short of.

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
)

const (
	modelEngines  = 9
	modelSlots    = 16
	modelSubjects = 120
	readPerTick   = 110 // tokens that an engine reads in a millisecond
	runTicks      = 150 // milliseconds of generating, while nothing is read
	tick          = time.Millisecond
)

// modelRequest is a request at an engine.
type modelRequest struct {
	id     uint64
	toRead int
	left   int
}

// modelEngine reads prompts one after the other, and generates for the others
// only in the milliseconds in which it reads nothing.
type modelEngine struct {
	cache   prefixcache.Cache
	running []*modelRequest
}

// step lets a millisecond pass and returns the requests that have ended.
func (e *modelEngine) step() (ended []uint64) {
	for _, r := range e.running {
		if r.toRead > 0 {
			r.toRead -= readPerTick
			return nil
		}
	}
	kept := e.running[:0]
	for _, r := range e.running {
		if r.left--; r.left <= 0 {
			ended = append(ended, r.id)
		} else {
			kept = append(kept, r)
		}
	}
	e.running = kept
	return ended
}

// served offers perSecond requests a second for the given time and returns how
// many were served a second in its second half.
func served(perSecond int, span time.Duration) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	s := scheduler.New(scheduler.Service{
		Name:        "llm",
		Engine:      true,
		Slots:       modelSlots,
		CacheTokens: 200_000,
		Bound:       2,
		RetryWindow: 10 * time.Second,
	})
	list(s, modelEngines, 0)
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
			id:     d.ID,
			toRead: all - e.cache.Cached(parts),
			left:   runTicks,
		})
		e.cache.Use(parts)
	}
	due := 0.0
	for now := time.Duration(0); now < span; now += tick {
		for due += float64(perSecond) / 1000; due >= 1; due-- {
			id++
			prompts[id] = prompt(uint64(100+rng.IntN(modelSubjects)), 1_000_000+id)
			if d, ok := s.Ask(now, scheduler.Ask{
				ID:    id,
				Parts: prompts[id],
				Wait:  200 * time.Millisecond,
			}); ok {
				grant(d)
			}
		}
		for _, sv := range serverNames() {
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

func serverNames() []string {
	return []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
}

// TestOverloadKeepsTheCapacity: with half as much load again as fits, as many
// requests are served as at the load that just fits.
func TestOverloadKeepsTheCapacity(t *testing.T) {
	const span = 16 * time.Second
	best := 0.0
	for perSecond := 300; perSecond <= 900; perSecond += 100 {
		best = max(best, served(perSecond, span))
	}
	over := served(int(1.5*best), span)
	t.Logf("at most %.0f served a second, %.0f with half as much load again as fits", best, over)
	require.GreaterOrEqual(t, over, 0.9*best)
}
