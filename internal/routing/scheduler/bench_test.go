package scheduler_test

// This file measures the time of a placement decision at the size of a large site.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/serverlimit"
)

// BenchmarkSchedule places requests with 300 distinct prefixes on 90 engines; 400
// requests run at a time.
// BenchmarkSchedule measures a decision in services of several sizes.
func BenchmarkSchedule(b *testing.B) {
	for _, servers := range []int{90, 163, 256, 1000, 3000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) { benchmarkSchedule(b, servers) })
	}
}

func benchmarkSchedule(b *testing.B, servers int) {
	s := scheduler.New(scheduler.Service{
		Name:            "llm",
		Engine:          true,
		Slots:           16,
		CacheTokens:     243_000,
		FetchesPrefixes: true,
		LoadBound:       2,
		RetryWindow:     10 * time.Second,
	})
	listServers(s, servers, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Duration(0)
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += time.Millisecond
		s.Schedule(now, scheduler.Request{
			ID:      id,
			Parts:   prompt(uint64(100+rng.IntN(300)), 1_000_000+id),
			MaxWait: time.Second,
		})
		if id > 400 {
			reportStarted(s, now, id-400)
			reportDone(s, now, id-400)
		}
	}
}

// BenchmarkScheduleLimited measures a decision while all servers are full, and most of them name a
// limit.
func BenchmarkScheduleLimited(b *testing.B) {
	for _, servers := range []int{13, 90, 256, 1000, 3000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) { benchmarkScheduleLimited(b, servers) })
	}
}

func benchmarkScheduleLimited(b *testing.B, servers int) {
	const slots = 2
	s := scheduler.New(scheduler.Service{
		Name:        "llm",
		Engine:      true,
		Slots:       slots,
		CacheTokens: 243_000,
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
		LimitShare:  serverlimit.DeciderShare(0, 10),
	})
	listed := listServers(s, servers, 0)
	s.Tick(0)
	now := 10 * time.Second
	id := uint64(0)
	request := func() {
		id++
		s.Schedule(now, scheduler.Request{
			ID:    id,
			Parts: prompt(100+id%300, 1_000_000+id),
		})
	}
	for range slots * servers {
		request()
	}
	for _, sv := range listed[:servers*7/10] {
		s.RecordLimit(now, sv.Name, serverlimit.Statement{
			Known:     true,
			Named:     true,
			PerSecond: 0.5,
		})
	}
	for b.Loop() {
		now += time.Microsecond
		request()
	}
}

func reportStarted(s *scheduler.Scheduler, now time.Duration, id uint64) []scheduler.Decision {
	return s.Report(now, id, scheduler.Report{
		Event: scheduler.Started,
	})
}
