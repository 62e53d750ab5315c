package scheduler_test

// This file tests requests that run for long before their server crashes, and servers that only seem to
// have crashed.

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

// TestSlowDeadlyRequestIsNotRepeated guards against repeats that are sent every few seconds while earlier
// ones still run.
func TestSlowDeadlyRequestIsNotRepeated(t *testing.T) {
	for _, runTime := range []time.Duration{4 * time.Second, 8 * time.Second, 15 * time.Second, 30 * time.Second, 50 * time.Second} {
		t.Run(runTime.String(), func(t *testing.T) {
			d := newDeciders(t, 1)
			s := d.schedulers[0]
			crashAt := make(map[uint64]time.Duration)
			for ; d.now < 10*time.Minute; d.now += 100 * time.Millisecond {
				for _, id := range slices.Sorted(maps.Keys(crashAt)) {
					if d.now < crashAt[id] {
						continue
					}
					delete(crashAt, id)
					d.crashes++
					if d.crashes == 3 {
						d.third = d.now
					}
					s.Report(d.now, id, scheduler.Report{
						Event: scheduler.Down,
					})
				}
				// Until the first crash it comes once, as nothing is known of it.
				if d.crashes == 0 && d.nextID > 0 {
					continue
				}
				d.nextID++
				decision, ok := s.Schedule(d.now, scheduler.Request{
					ID:          d.nextID,
					Fingerprint: deadlyRequest,
					MayTry:      true,
				})
				require.True(t, ok)
				if decision.Server == "" {
					continue
				}
				if d.crashes >= 3 && d.now > d.third+crashWindow {
					d.lateSends++
				}
				crashAt[d.nextID] = d.now + runTime
			}
			t.Logf("%d crashes, %d sends later than %v after the third", d.crashes, d.lateSends, crashWindow)
			require.LessOrEqual(t, d.lateSends, crashSends)
		})
	}
}

// TestServerThatAnswersHasNotCrashed guards against a request that is quarantined for all instances because
// one of them, whose connections to the servers are reset, takes them for crashed, while they
// answer the requests of the others that were sent before.
func TestServerThatAnswersHasNotCrashed(t *testing.T) {
	d := newDeciders(t, 1)
	s := d.schedulers[0]
	schedule := func(instance string, fingerprint uint64) (uint64, scheduler.Decision) {
		d.nextID++
		decision, ok := s.Schedule(d.now, scheduler.Request{
			ID:          d.nextID,
			Instance:    instance,
			Fingerprint: fingerprint,
			MayTry:      true,
		})
		require.True(t, ok)
		return d.nextID, decision
	}
	downs := 0
	for range 100 {
		// At each server runs a request of another instance.
		var others []uint64
		for range 12 {
			id, decision := schedule("sound", 1000+d.nextID)
			require.NotEmpty(t, decision.Server)
			others = append(others, id)
		}
		d.now += 20 * time.Millisecond
		id, decision := schedule("reset", 7)
		d.now += 20 * time.Millisecond
		if decision.Server != "" {
			downs++
			s.Report(d.now, id, scheduler.Report{
				Event: scheduler.Down,
			})
		}
		require.NotEqual(t, scheduler.RequestQuarantined, decision.Refusal, "after %v and %d resets", d.now, downs)
		d.now += 20 * time.Millisecond
		for _, id := range others {
			reportDone(s, d.now, id)
		}
		d.now += 200 * time.Millisecond
	}
}
