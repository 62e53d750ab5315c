package scheduler_test

// This file tests that the servers of evacuated failure domains get no requests.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/scheduler"
)

// domainServers returns two servers in each of the failure domains a and b, those of the
// given domains evacuated.
func domainServers(evacuated ...string) []scheduler.Server {
	out := []scheduler.Server{{Name: "a0", FailureDomain: "a"}, {Name: "a1", FailureDomain: "a"}, {Name: "b0", FailureDomain: "b"}, {Name: "b1", FailureDomain: "b"}}
	for i := range out {
		out[i].Accepting = true
		for _, domain := range evacuated {
			if out[i].FailureDomain == domain {
				out[i].Accepting, out[i].Evacuated = false, true
			}
		}
	}
	return out
}

func newDomainScheduler(engine bool, slots int) *scheduler.Scheduler {
	s := scheduler.New(scheduler.Service{
		Name:            "s",
		Engine:          engine,
		Slots:           slots,
		CacheTokens:     100_000,
		FetchesPrefixes: true,
		LoadBound:       2,
		RetryWindow:     10 * time.Second,
		RetryRatio:      1,
		RetrySlack:      1000,
	})
	s.SetServers(0, domainServers())
	return s
}

// TestQueuedRequestsAreRefusedOnceAllIsEvacuated: requests wait in the queue while the
// failure domains of all servers are evacuated. They would wait for their whole time and
// be refused then; their callers can use it elsewhere.
func TestQueuedRequestsAreRefusedOnceAllIsEvacuated(t *testing.T) {
	s := newDomainScheduler(true, 1)
	for id := uint64(1); id <= 4; id++ {
		_, ok := s.Schedule(0, scheduler.Request{ID: id, Parts: prompt(id, id), MaxWait: time.Second})
		require.True(t, ok)
	}
	for id := uint64(5); id <= 7; id++ {
		_, ok := s.Schedule(0, scheduler.Request{ID: id, Parts: prompt(id, id), MaxWait: time.Second})
		require.False(t, ok)
	}
	s.SetServers(0, domainServers("a"))
	require.Empty(t, s.Tick(time.Millisecond), "the servers of the other domain may have room soon")
	s.SetServers(0, domainServers("a", "b"))
	refused := s.Tick(2 * time.Millisecond)
	require.Len(t, refused, 3)
	for _, d := range refused {
		require.Equal(t, scheduler.NoServer, d.Refusal)
		require.NotZero(t, d.RetryAfter)
	}
	d, ok := s.Schedule(3*time.Millisecond, scheduler.Request{ID: 8, Parts: prompt(8, 8), MaxWait: time.Second})
	require.True(t, ok)
	require.Equal(t, scheduler.NoServer, d.Refusal)
	require.NotZero(t, d.RetryAfter)
}

// TestQueuedRequestGoesElsewhere: a request waits while a slot in an evacuated failure
// domain becomes free, and then one in another. It must not go to the first.
func TestQueuedRequestGoesElsewhere(t *testing.T) {
	s := newDomainScheduler(true, 1)
	at := make(map[string]uint64)
	for id := uint64(1); id <= 4; id++ {
		d, ok := s.Schedule(0, scheduler.Request{ID: id, Parts: prompt(id, id), MaxWait: time.Second})
		require.True(t, ok)
		at[d.Server] = id
	}
	_, ok := s.Schedule(0, scheduler.Request{ID: 5, Parts: prompt(5, 5), MaxWait: time.Second})
	require.False(t, ok)
	s.SetServers(0, domainServers("a"))
	require.Empty(t, reportDone(s, time.Millisecond, at["a0"]))
	granted := reportDone(s, 2*time.Millisecond, at["b1"])
	require.Len(t, granted, 1)
	require.Equal(t, "b1", granted[0].Server)
}

// TestPrefixIsFetchedFromEvacuatedEngine: the prefix of a chat is cached on an engine that
// is evacuated. The chat goes to another engine, which can fetch the prefix; without that,
// an evacuation would make the rest of the service prefill the prompts of a third of it.
func TestPrefixIsFetchedFromEvacuatedEngine(t *testing.T) {
	s := newDomainScheduler(true, 8)
	first, ok := s.Schedule(0, scheduler.Request{ID: 1, Parts: prompt(1, 1), MaxWait: time.Second})
	require.True(t, ok)
	reportStarted(s, 0, 1)
	reportDone(s, time.Millisecond, 1)
	domain := first.Server[:1]
	s.SetServers(0, domainServers(domain))
	d, ok := s.Schedule(time.Second, scheduler.Request{ID: 2, Parts: prompt(1, 1), MaxWait: time.Second})
	require.True(t, ok)
	require.NotEqual(t, domain, d.Server[:1])
	require.Equal(t, first.Server, d.FetchFrom)
}

// TestExclusionOfOneRequestBlocksNoOther: in a large service, a request whose instance has
// the only domain with room as evacuated finds no server. Other requests must not be
// queued because of that.
func TestExclusionOfOneRequestBlocksNoOther(t *testing.T) {
	s, servers := newLargeScheduler(300)
	for i := range servers {
		servers[i].FailureDomain = "a"
	}
	s.SetServers(0, servers)
	d, ok := s.Schedule(0, scheduler.Request{ID: 1, Parts: prompt(1, 1), MaxWait: time.Second, ExcludedDomains: []string{"a"}})
	require.True(t, ok)
	require.Equal(t, scheduler.NoServer, d.Refusal)
	d, ok = s.Schedule(0, scheduler.Request{ID: 2, Parts: prompt(2, 2), MaxWait: time.Second})
	require.True(t, ok)
	require.NotEmpty(t, d.Server)
}

// TestMachineEvacuations: evacuations start and end, in the list and in what requests
// exclude, while servers fail and are probed, requests are retried and wait. No request is
// granted a server of a failure domain that either of the two has as evacuated, and once
// nothing is, all servers get requests again.
func TestMachineEvacuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newDomainScheduler(rapid.Bool().Draw(rt, "engine"), rapid.IntRange(1, 3).Draw(rt, "slots"))
		now, id := time.Duration(0), uint64(0)
		evacuated := make(map[string]bool)
		requests := make(map[uint64]scheduler.Request)
		var running []uint64
		domain := rapid.SampledFrom([]string{"a", "b"})
		list := func() {
			var domains []string
			for d, on := range evacuated {
				if on {
					domains = append(domains, d)
				}
			}
			s.SetServers(0, domainServers(domains...))
		}
		check := func(ds ...scheduler.Decision) {
			for _, d := range ds {
				if d.Server == "" {
					continue
				}
				require.False(rt, evacuated[d.Server[:1]], "granted %s", d.Server)
				require.NotContains(rt, requests[d.ID].ExcludedDomains, d.Server[:1])
				running = append(running, d.ID)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				id++
				// No two prompts share a part, which would be quarantined after some failures.
				req := scheduler.Request{
					ID:      id,
					Parts:   prompt(1000+id, 5000+id)[1:],
					MaxWait: time.Second,
					Retry:   rapid.Bool().Draw(t, "retry"),
				}
				if rapid.Bool().Draw(t, "excludes") {
					req.ExcludedDomains = []string{domain.Draw(t, "excluded")}
				}
				if req.Retry {
					req.Tried = []string{rapid.SampledFrom([]string{"a0", "b0"}).Draw(t, "tried")}
				}
				requests[id] = req
				if d, ok := s.Schedule(now, req); ok {
					check(d)
				}
			},
			"report": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				ended := running[i]
				running = append(running[:i], running[i+1:]...)
				event := rapid.SampledFrom([]scheduler.Event{scheduler.Done, scheduler.Unreachable, scheduler.Broken, scheduler.Down, scheduler.Rejected}).Draw(t, "event")
				check(s.Report(now, ended, scheduler.Report{Event: event})...)
			},
			"evacuate": func(t *rapid.T) {
				evacuated[domain.Draw(t, "domain")] = rapid.Bool().Draw(t, "active")
				list()
			},
			"tick": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
				check(s.Tick(now)...)
			},
		})
		clear(evacuated)
		list()
		now += time.Minute
		check(s.Tick(now)...)
		for len(running) > 0 {
			ended := running[0]
			running = running[1:]
			check(s.Report(now, ended, scheduler.Report{Event: scheduler.Done})...)
		}
		used := make(map[string]bool)
		for range 100 {
			id++
			if d, _ := s.Schedule(now, scheduler.Request{ID: id, Parts: prompt(1000+id, 5000+id)[1:]}); d.Server != "" {
				used[d.Server] = true
			}
		}
		require.Len(rt, used, 4, "more requests than slots use every server")
	})
}
