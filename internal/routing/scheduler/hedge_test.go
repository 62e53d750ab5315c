package scheduler_test

// This file tests the decision on hedges.

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/scheduler"
)

// hedgeService is a plain service of three servers with hedging.
func hedgeService() scheduler.Service {
	return scheduler.Service{
		Name:        "s",
		Slots:       4,
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
		RetryRatio:  1,
		HedgeShare:  0.5,
	}
}

// newHedgeScheduler returns a scheduler in whose window requests have ended, so that hedges have
// a budget.
func newHedgeScheduler(svc scheduler.Service, ended int) *scheduler.Scheduler {
	s := scheduler.New(svc)
	listServers(s, 3, 0)
	for id := range uint64(ended) {
		s.Schedule(0, scheduler.Request{
			ID: 1000 + id,
		})
		reportDone(s, 0, 1000+id)
	}
	return s
}

// hedgeRequest returns a copy of a request that is in progress at a server.
func hedgeRequest(id uint64, tried ...string) scheduler.Request {
	return scheduler.Request{
		ID:    id,
		Tried: tried,
		Retry: true,
		Hedge: true,
	}
}

// place grants a request and returns its server.
func place(t *testing.T, s *scheduler.Scheduler, now time.Duration, id uint64, tried ...string) string {
	t.Helper()
	d, ok := s.Schedule(now, scheduler.Request{
		ID:      id,
		Tried:   tried,
		MaxWait: time.Second,
	})
	require.True(t, ok)
	require.NotEmpty(t, d.Server)
	return d.Server
}

// TestHedgeGoesToAnotherServer with the least load.
func TestHedgeGoesToAnotherServer(t *testing.T) {
	s := newHedgeScheduler(hedgeService(), 20)
	first := place(t, s, time.Second, 1)
	d, ok := s.Schedule(time.Second, hedgeRequest(2, first))
	require.True(t, ok)
	require.NotEmpty(t, d.Server)
	require.NotEqual(t, first, d.Server)
}

// TestHedgeIsRefused in each situation in which a copy would do harm, and is never queued.
func TestHedgeIsRefused(t *testing.T) {
	now := time.Second
	for name, c := range map[string]struct {
		change  func(svc *scheduler.Service)
		ended   int
		prepare func(t *testing.T, s *scheduler.Scheduler)
		request func(r *scheduler.Request)
	}{
		"no hedging":             {change: func(svc *scheduler.Service) { svc.HedgeShare = 0 }, ended: 20},
		"hedge budget is spent":  {ended: 1},
		"retry budget is spent":  {change: func(svc *scheduler.Service) { svc.RetryRatio = 0 }, ended: 20},
		"the instance is alone":  {ended: 20, request: func(r *scheduler.Request) { r.Alone = true }},
		"all others have failed": {ended: 20, request: func(r *scheduler.Request) { r.Tried = []string{"e1", "e2", "e0"} }},
		"others do not accept": {ended: 20, prepare: func(_ *testing.T, s *scheduler.Scheduler) {
			s.SetServers(0, []scheduler.Server{{Name: "e0", Accepting: true}, {Name: "e1"}, {Name: "e2"}})
		}},
		"others are ejected": {ended: 20, prepare: func(t *testing.T, s *scheduler.Scheduler) {
			for id, tried := range [][]string{{"e0", "e1"}, {"e0", "e2"}} {
				place(t, s, now, uint64(100+id), tried...)
				s.Report(now, uint64(100+id), scheduler.Report{
					Event: scheduler.Unreachable,
				})
			}
		}},
		"others ask for a pause": {ended: 20, prepare: func(t *testing.T, s *scheduler.Scheduler) {
			for id, tried := range [][]string{{"e0", "e1"}, {"e0", "e2"}} {
				place(t, s, now, uint64(100+id), tried...)
				s.Report(now, uint64(100+id), scheduler.Report{
					Event:      scheduler.Rejected,
					RetryAfter: time.Second,
				})
			}
		}},
		"most slots are taken": {ended: 20, prepare: func(t *testing.T, s *scheduler.Scheduler) {
			for id := range uint64(8) {
				place(t, s, now, 100+id)
			}
		}},
		"others have more than the mean load": {ended: 20, prepare: func(t *testing.T, s *scheduler.Scheduler) {
			place(t, s, now, 100, "e0", "e1")
			place(t, s, now, 101, "e0", "e2")
		}},
		"others have silent requests": {ended: 20, prepare: func(t *testing.T, s *scheduler.Scheduler) {
			place(t, s, 0, 100, "e0", "e1")
			place(t, s, 0, 101, "e0", "e2")
			for id := range uint64(2) {
				place(t, s, now, 102+id, "e1", "e2")
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			svc := hedgeService()
			if c.change != nil {
				c.change(&svc)
			}
			s := newHedgeScheduler(svc, c.ended)
			if c.prepare != nil {
				c.prepare(t, s)
			}
			req := hedgeRequest(1, "e0")
			if c.request != nil {
				c.request(&req)
			}
			d, ok := s.Schedule(now, req)
			require.True(t, ok, "a hedge is not queued")
			require.Empty(t, d.Server)
			require.Equal(t, scheduler.Hedge, d.Refusal)
		})
	}
}

// loseToCopies lets the copies of two requests to e0 answer, and reports whether they won.
func loseToCopies(t *testing.T, won bool) *scheduler.Scheduler {
	s := newHedgeScheduler(hedgeService(), 40)
	for i := range uint64(2) {
		now := time.Second + time.Duration(i)*100*time.Millisecond
		require.Equal(t, "e0", place(t, s, now, 1+2*i, "e1", "e2"))
		d, _ := s.Schedule(now, hedgeRequest(2+2*i, "e0"))
		require.NotEmpty(t, d.Server)
		s.Report(now, 1+2*i, scheduler.Report{
			Event: scheduler.Cancelled,
		})
		s.Report(now, 2+2*i, scheduler.Report{
			Event:    scheduler.Started,
			HedgeWon: won,
		})
		reportDone(s, now, 2+2*i)
	}
	return s
}

// TestServerThatLosesToCopiesIsEjected: requests to a server that hangs are answered by their
// copies. As it had the least load, it got further requests, and each cost a copy.
func TestServerThatLosesToCopiesIsEjected(t *testing.T) {
	s := loseToCopies(t, true)
	for id := range uint64(6) {
		require.NotEqual(t, "e0", place(t, s, 1200*time.Millisecond, 100+id))
	}
}

// TestServerWhoseCopiesDoNotWinStays: a copy that fails, or answers after the first server has
// failed, was counted as another failure of that server, so that one request ejected it.
func TestServerWhoseCopiesDoNotWinStays(t *testing.T) {
	s := loseToCopies(t, false)
	require.Equal(t, "e0", place(t, s, 1200*time.Millisecond, 100, "e1", "e2"))
}

// TestHedgesStayWithinTheirShare: in any window that ends with a hedge, the hedges are at most their share of the
// requests; in one that ends with a hedge or a retry, both are at most the retry budget.
func TestHedgesStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		svc := hedgeService()
		svc.Slots = 0
		svc.HedgeShare = rapid.Float64Range(0.01, 0.3).Draw(rt, "share")
		svc.RetryRatio, svc.RetrySlack = 0.2, 1
		s := newHedgeScheduler(svc, 0)
		var requests, hedges, retries []time.Duration
		now := time.Duration(0)
		within := func(list []time.Duration, span time.Duration) float64 {
			n := 0.0
			for _, at := range list {
				if now-at < span {
					n++
				}
			}
			return n
		}
		for id := range rapid.Uint64Range(1, 400).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "pauseMs")) * time.Millisecond
			req := scheduler.Request{
				ID: id + 1,
			}
			kind := rapid.SampledFrom([]string{"request", "request", "request", "hedge", "retry"}).Draw(rt, "kind")
			if kind != "request" {
				req.Retry, req.Hedge = true, kind == "hedge"
				req.Tried = []string{fmt.Sprintf("e%d", id%3)}
			}
			d, _ := s.Schedule(now, req)
			if d.Server != "" {
				reportDone(s, now, req.ID)
			}
			switch {
			case kind == "request":
				requests = append(requests, now)
				continue
			case d.Server == "":
				continue
			}
			// The window of the budget starts up to one bucket late.
			counted := svc.RetryWindow - svc.RetryWindow/20
			if req.Hedge {
				hedges = append(hedges, now)
				require.LessOrEqual(rt, within(hedges, counted), svc.HedgeShare*within(requests, svc.RetryWindow))
			} else {
				retries = append(retries, now)
			}
			require.LessOrEqual(rt, within(hedges, counted)+within(retries, counted), svc.RetryRatio*within(requests, svc.RetryWindow)+svc.RetrySlack)
		}
	})
}
