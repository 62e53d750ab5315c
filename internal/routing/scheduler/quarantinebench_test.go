package scheduler_test

// This file measures the time of a placement decision while many requests are quarantined.

import (
	"fmt"
	"testing"
	"time"

	"camphorspoke/internal/routing/quarantine"
	"camphorspoke/internal/routing/scheduler"
)

// BenchmarkScheduleQuarantined measures a decision beside quarantined requests, and the end of a
// request while others are queued.
func BenchmarkScheduleQuarantined(b *testing.B) {
	for _, quarantines := range []int{0, 1, 16, 256} {
		for _, queued := range []int{0, 500} {
			b.Run(fmt.Sprintf("quarantines=%d/queued=%d", quarantines, queued), func(b *testing.B) {
				benchmarkScheduleQuarantined(b, quarantines, queued)
			})
		}
	}
}

func benchmarkScheduleQuarantined(b *testing.B, quarantines, queued int) {
	s := scheduler.New(scheduler.Service{
		Name:        "s",
		Slots:       4,
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
	})
	listServers(s, 10, 0)
	var rows []quarantine.Quarantine
	for i := range quarantines {
		rows = append(rows, quarantine.Quarantine{
			ID:           uint64(i + 1),
			Parts:        []uint64{1_000_000 + uint64(i)},
			WholeRequest: true,
		})
	}
	s.SetQuarantines(0, rows)
	now := time.Duration(0)
	var running []uint64
	id := uint64(0)
	send := func() {
		id++
		d, ok := s.Schedule(now, scheduler.Request{
			ID:          id,
			Fingerprint: id,
			MaxWait:     time.Hour,
		})
		if ok && d.Server != "" {
			running = append(running, id)
		}
	}
	for range 80 + queued {
		send()
	}
	for b.Loop() {
		now += time.Microsecond
		for _, d := range reportDone(s, now, running[0]) {
			if d.Server != "" {
				running = append(running, d.ID)
			}
		}
		running = running[1:]
		send()
	}
}
