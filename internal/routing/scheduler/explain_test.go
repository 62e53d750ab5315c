package scheduler_test

// This file tests that an explanation is what the scheduler then decides, and changes nothing.

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/scheduler"
)

// TestExplanationIsTheDecision: in any state, the outcome explained is the one decided, and two
// schedulers of which one also explains decide alike. An explanation that spends a budget, uses
// a cache or counts a request would change the figures that an operator looks into.
func TestExplanationIsTheDecision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		svc := scheduler.Service{
			Name:        "s",
			Engine:      rapid.Bool().Draw(rt, "engine"),
			Slots:       2,
			CacheTokens: 20_000,
			LoadBound:   2,
			RetryWindow: 10 * time.Second,
			RetryRatio:  0.2,
		}
		explains, other := scheduler.New(svc), scheduler.New(svc)
		for _, s := range []*scheduler.Scheduler{explains, other} {
			listServers(s, 3, 0)
		}
		now := time.Duration(0)
		var granted []uint64
		for id := range rapid.Uint64Range(1, 60).Draw(rt, "requests") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(rt, "pauseMs")) * time.Millisecond
			req := scheduler.Request{
				ID:      id + 1,
				Parts:   prompt(rapid.Uint64Range(10, 13).Draw(rt, "subject"), 1000+id),
				MaxWait: time.Duration(rapid.IntRange(0, 300).Draw(rt, "waitMs")) * time.Millisecond,
			}
			e := explains.Explain(now, req)
			d, decided := explains.Schedule(now, req)
			d2, decided2 := other.Schedule(now, req)
			require.Equal(rt, d2, d)
			require.Equal(rt, decided2, decided)
			require.Equal(rt, d.Server, e.Server)
			require.Equal(rt, d.Refusal, e.Refusal)
			require.Equal(rt, !decided, e.Outcome == scheduler.WouldWait)
			require.Len(rt, e.Candidates, 3)
			if d.Server != "" {
				granted = append(granted, req.ID)
			}
			if len(granted) > 0 && rapid.Bool().Draw(rt, "ends") {
				ends := granted[0]
				granted = granted[1:]
				report := scheduler.Report{
					Event: rapid.SampledFrom([]scheduler.Event{scheduler.Done, scheduler.Broken, scheduler.Rejected, scheduler.Unreachable}).Draw(rt, "event"),
				}
				require.Equal(rt, other.Report(now, ends, report), explains.Report(now, ends, report))
			}
		}
	})
}

// TestExplanationNamesWhatIsLeftOut names the reason for each server that is not chosen.
func TestExplanationNamesWhatIsLeftOut(t *testing.T) {
	s := scheduler.New(scheduler.Service{
		Name:        "s",
		Slots:       2,
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
	})
	var servers []scheduler.Server
	for i := range 5 {
		servers = append(servers, scheduler.Server{
			Name:      fmt.Sprintf("e%d", i),
			Accepting: i > 0,
		})
	}
	s.SetServers(0, servers)
	now := time.Second
	others := func(i int) (out []string) {
		for j := range 5 {
			if j != i {
				out = append(out, fmt.Sprintf("e%d", j))
			}
		}
		return out
	}
	require.Equal(t, "e1", place(t, s, now, 1, others(1)...))
	s.Report(now, 1, scheduler.Report{
		Event: scheduler.Unreachable,
	})
	require.Equal(t, "e2", place(t, s, now, 2, others(2)...))
	s.Report(now, 2, scheduler.Report{
		Event:      scheduler.Rejected,
		RetryAfter: time.Second,
	})
	for id := range uint64(2) {
		require.Equal(t, "e3", place(t, s, now, 3+id, others(3)...))
	}
	e := s.Explain(now+100*time.Millisecond, scheduler.Request{
		ID: 9,
	})
	require.Equal(t, scheduler.WouldGrant, e.Outcome)
	require.Equal(t, "e4", e.Server)
	leftOut := make(map[string][]string)
	for _, c := range e.Candidates {
		leftOut[c.Server] = c.LeftOut
	}
	require.Equal(t, "e4", e.Candidates[0].Server)
	require.Equal(t, map[string][]string{
		"e0": {scheduler.NotAccepting},
		"e1": {scheduler.Ejected},
		"e2": {scheduler.Paused},
		"e3": nil,
		"e4": nil,
	}, leftOut)
}
