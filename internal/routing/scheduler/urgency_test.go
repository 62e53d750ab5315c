package scheduler_test

// This file tests a burst of short requests that are less urgent than long ones.

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
)

// burstKind is a kind of request of the replay.
type burstKind struct {
	perSecond int
	// burst is by how much the rate is multiplied while the burst lasts.
	burst    float64
	urgency  int
	shared   int
	own      int
	subjects int
	// objective is the time within which the first event is due; half of it may be spent
	// in the queue.
	objective time.Duration
}

// burstResult counts the requests of a kind that arrived during the burst.
type burstResult struct {
	arrived, served, inTime int
}

// replayBurst replays a burst at nine engines and returns the results by kind.
func replayBurst(seed uint64, kinds []burstKind) []burstResult {
	const span, begin, end = 14 * time.Second, 4 * time.Second, 11 * time.Second
	rng := rand.New(rand.NewPCG(seed, 7))
	s := scheduler.New(scheduler.Service{
		Name:        "llm",
		Engine:      true,
		Slots:       modelSlots,
		CacheTokens: 400_000,
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
	})
	listServers(s, modelEngines, 0)
	engines := make(map[string]*modelEngine)
	for _, name := range engineNames() {
		engines[name] = &modelEngine{
			cache: prefixcache.Cache{
				Capacity: 340_000,
			},
		}
	}
	type arrival struct {
		kind  int
		at    time.Duration
		parts []prefixcache.Part
	}
	requests := make(map[uint64]arrival)
	out := make([]burstResult, len(kinds))
	grant := func(d scheduler.Decision) {
		r := requests[d.ID]
		if d.Server == "" {
			delete(requests, d.ID)
			return
		}
		e := engines[d.Server]
		all := 0
		for _, p := range r.parts {
			all += p.Tokens
		}
		e.running = append(e.running, &modelRequest{
			id:          d.ID,
			prefillLeft: all - e.cache.CachedTokens(r.parts),
			decodeLeft:  decodeTicks,
		})
		e.cache.Use(r.parts)
		if r.at < begin || r.at >= end {
			return
		}
		out[r.kind].served++
	}
	// countFirstEvents counts the requests of an engine whose prompt has been read.
	countFirstEvents := func(now time.Duration, e *modelEngine) {
		for _, m := range e.running {
			r, waiting := requests[m.id]
			if !waiting || m.prefillLeft > 0 {
				continue
			}
			delete(requests, m.id)
			if r.at >= begin && r.at < end && now-r.at <= kinds[r.kind].objective {
				out[r.kind].inTime++
			}
		}
	}
	id := uint64(0)
	due := make([]float64, len(kinds))
	for now := time.Duration(0); now < span; now += tick {
		for k, kind := range kinds {
			rate := float64(kind.perSecond)
			if now >= begin && now < end {
				rate *= kind.burst
			}
			for due[k] += rate / 1000; due[k] >= 1; due[k]-- {
				id++
				subject := uint64(k+1)<<20 + uint64(rng.IntN(kind.subjects))
				r := arrival{
					kind: k,
					at:   now,
					parts: []prefixcache.Part{
						{ID: subject, Tokens: kind.shared},
						{ID: 1<<40 + id, Tokens: kind.own},
					},
				}
				requests[id] = r
				if now >= begin && now < end {
					out[k].arrived++
				}
				if d, ok := s.Schedule(now, scheduler.Request{
					ID:      id,
					Parts:   r.parts,
					Urgency: kind.urgency,
					MaxWait: kind.objective / 2,
				}); ok {
					grant(d)
				}
			}
		}
		for _, name := range engineNames() {
			countFirstEvents(now, engines[name])
			for _, ended := range engines[name].step() {
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
	return out
}

// TestUrgentRequestsInABurstOfOthers guards against long urgent prompts that lose the free
// slots to short less urgent ones, since a request with more to read costs more: the urgent
// ones must not be served less often by more than 5 in 100, nor in time by more than 15.
func TestUrgentRequestsInABurstOfOthers(t *testing.T) {
	for seed := range uint64(2) {
		for _, burst := range []float64{2.4, 6} {
			r := replayBurst(seed, []burstKind{
				{perSecond: 150, burst: 1, urgency: 0, shared: 8620, own: 580, subjects: 60, objective: 400 * time.Millisecond},
				{perSecond: 200, burst: burst, urgency: 1, shared: 2041, own: 360, subjects: 60, objective: 800 * time.Millisecond},
			})
			share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
			t.Logf("seed %d, burst %.1f: served %.3f and %.3f, in time %.3f and %.3f", seed, burst,
				share(r[0].served, r[0].arrived), share(r[1].served, r[1].arrived), share(r[0].inTime, r[0].arrived), share(r[1].inTime, r[1].arrived))
			require.GreaterOrEqual(t, share(r[0].served, r[0].arrived), share(r[1].served, r[1].arrived)-0.05, "served")
			require.GreaterOrEqual(t, share(r[0].inTime, r[0].arrived), share(r[1].inTime, r[1].arrived)-0.15, "in time")
		}
	}
}
