package scheduler_test

// This file tests services so large that not every server is compared.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
)

// newLargeScheduler returns a scheduler of n engines.
func newLargeScheduler(n int) (*scheduler.Scheduler, []scheduler.Server) {
	s := scheduler.New(scheduler.Service{
		Name:            "llm",
		Engine:          true,
		Slots:           12,
		CacheTokens:     300_000,
		FetchesPrefixes: true,
		LoadBound:       2,
		RetryWindow:     10 * time.Second,
	})
	return s, listServers(s, n, 0)
}

// TestLargeServiceReuse: in a service of 3000 engines with 2000 requests in flight, a
// returning prompt goes to the engine that has it cached, or to one that fetches it
// from there, and a prompt on a known subject to an engine that has the subject cached
// or can fetch it.
func TestLargeServiceReuse(t *testing.T) {
	s, _ := newLargeScheduler(3000)
	server := make(map[uint64]string)
	const inFlight = 2000
	id := uint64(0)
	schedule := func(subject, chat uint64) scheduler.Decision {
		id++
		d, ok := s.Schedule(time.Duration(id)*time.Millisecond, scheduler.Request{ID: id, Parts: prompt(subject, chat), MaxWait: time.Second})
		require.True(t, ok)
		reportStarted(s, time.Duration(id)*time.Millisecond, id)
		if id > inFlight {
			reportDone(s, time.Duration(id)*time.Millisecond, id-inFlight)
		}
		return d
	}
	for chat := uint64(0); chat < 2000; chat++ {
		d := schedule(100+chat%200, 10_000+chat)
		server[chat] = d.Server
		if chat >= 200 {
			require.Equal(t, 8500, max(d.CachedTokens, d.BestCachedTokens), "the subject is cached")
			require.True(t, d.CachedTokens >= 8500 || d.FetchFrom != "")
		}
	}
	for chat := uint64(0); chat < 2000; chat += 7 {
		d := schedule(100+chat%200, 10_000+chat)
		require.True(t, d.Server == server[chat] || d.FetchFrom == server[chat], "chat %d went to %s and not to %s", chat, d.Server, server[chat])
		require.Equal(t, 9000, d.BestCachedTokens)
	}
}

// TestLargeServiceSpreads: a hot subject in a service of 600 engines, with more
// requests in flight than the engines that have it cached may run, stays within the
// load bound, and every slot is used before a request is queued.
func TestLargeServiceSpreads(t *testing.T) {
	const engines, slots = 600, 12
	s, _ := newLargeScheduler(engines)
	load := make(map[string]int)
	for id := uint64(1); id <= engines*slots; id++ {
		now := time.Duration(id) * 100 * time.Microsecond
		d, ok := s.Schedule(now, scheduler.Request{ID: id, Parts: prompt(100, 1000+id), MaxWait: time.Minute})
		require.True(t, ok, "queued although a slot is free, after %d requests", id)
		load[d.Server]++
		if id%500 == 0 {
			mean := float64(id) / engines
			for name, n := range load {
				require.LessOrEqual(t, float64(n), 2*mean+3, name)
			}
		}
	}
	_, ok := s.Schedule(5*time.Second, scheduler.Request{ID: 1 << 40, Parts: prompt(100, 7), MaxWait: time.Minute})
	require.False(t, ok)
	freed := reportDone(s, 6*time.Second, 1)
	require.Len(t, freed, 1, "a slot that becomes free goes to the queued request at once")
}

// TestMachineLargeService runs random loads on a service whose size crosses the limit
// up to which all servers are compared. A request must get the longest cached prefix
// that any accepting server has as BestCachedTokens, no server may run more than its
// slots, and a request is queued only when no server has room.
func TestMachineLargeService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const slots = 2
		s := scheduler.New(scheduler.Service{
			Name:        "llm",
			Engine:      true,
			CacheTokens: 30_000,
			LoadBound:   2,
			RetryWindow: 10 * time.Second,
		})
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 3))
		n := 0
		resize := func() {
			n = 240 + rng.IntN(40)
			listServers(s, n, slots)
		}
		resize()
		running := make(map[uint64]string)
		count := make(map[string]int)
		for id := uint64(1); id <= 600; id++ {
			now := time.Duration(id) * time.Millisecond
			switch rng.IntN(20) {
			case 0:
				resize()
			case 1, 2, 3, 4, 5, 6:
				for _, done := range oldest(running, 2) {
					count[running[done]]--
					delete(running, done)
					reportDone(s, now, done)
				}
			}
			parts := prompt(100+uint64(rng.IntN(40)), 1000+uint64(rng.IntN(300)))
			want := -1
			if id%10 == 0 {
				want = longestCached(s, parts)
			}
			d, ok := s.Schedule(now, scheduler.Request{ID: id, Parts: parts, MaxWait: 0})
			if !ok || d.Server == "" {
				for i := range n {
					require.GreaterOrEqual(rt, count[fmt.Sprintf("e%d", i)], slots, "refused although e%d has room", i)
				}
				continue
			}
			if want >= 0 {
				require.Equal(rt, want, d.BestCachedTokens)
			}
			running[id] = d.Server
			count[d.Server]++
			require.LessOrEqual(rt, count[d.Server], slots)
		}
	})
}

// longestCached returns the length in tokens of the longest prefix that any server has
// cached.
func longestCached(s *scheduler.Scheduler, parts []prefixcache.Part) int {
	longest := 0
	for _, k := range s.CachedPrefixes() {
		tokens := 0
		for _, p := range parts {
			if !slices.Contains(k.Parts, p) {
				break
			}
			tokens += p.Tokens
		}
		longest = max(longest, tokens)
	}
	return longest
}

// oldest returns the n lowest IDs.
func oldest(running map[uint64]string, n int) []uint64 {
	var ids []uint64
	for id := range running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[:min(n, len(ids))]
}
