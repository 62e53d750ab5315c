package scheduler_test

// This file tests what the requests of others suffer from one that crashes the servers which run it.

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

// TestLongRequestsBesideADeadlyOneAreServed guards against sound requests that are suspected, held off and
// tried at the same times as the one which crashes the servers, so that each of their trials ends
// with its crash.
func TestLongRequestsBesideADeadlyOneAreServed(t *testing.T) {
	for _, servers := range []int{1, 2, 4} {
		for _, soundTime := range []time.Duration{200 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d servers, %v", servers, soundTime), func(t *testing.T) {
				testLongRequestsBesideADeadlyOne(t, servers, soundTime)
			})
		}
	}
}

func testLongRequestsBesideADeadlyOne(t *testing.T, servers int, soundTime time.Duration) {
	const (
		soundCount = 4
		downTime   = 3 * time.Second
		step       = 10 * time.Millisecond
	)
	type run struct {
		fingerprint uint64
		server      string
		endsAt      time.Duration
	}
	s := scheduler.New(scheduler.Service{
		Name:        "s",
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
		RetryRatio:  0.2,
		RetrySlack:  20,
	})
	backAt := make(map[string]time.Duration)
	for i := range servers {
		backAt[fmt.Sprint("s", i)] = 0
	}
	runs := make(map[uint64]run)
	list := func(now time.Duration) {
		var out []scheduler.Server
		for _, name := range slices.Sorted(maps.Keys(backAt)) {
			if now >= backAt[name] {
				out = append(out, scheduler.Server{
					Name:      name,
					Slots:     8,
					Accepting: true,
				})
			}
		}
		s.SetServers(0, out)
	}
	id, crashes := uint64(0), 0
	var lastCrash time.Duration
	inFlight := make(map[uint64]bool)
	servedAt := make(map[uint64]time.Duration)
	refusals := make(map[string]int)
	for now := time.Duration(0); now < 10*time.Minute; now += step {
		for _, r := range slices.Sorted(maps.Keys(runs)) {
			rn, ok := runs[r]
			if !ok || now < rn.endsAt {
				continue
			}
			if rn.fingerprint != deadlyRequest {
				delete(runs, r)
				inFlight[rn.fingerprint] = false
				servedAt[rn.fingerprint] = now
				reportDone(s, now, r)
				continue
			}
			crashes++
			lastCrash = now
			backAt[rn.server] = now + downTime
			for _, other := range slices.Sorted(maps.Keys(runs)) {
				if o := runs[other]; o.server == rn.server {
					delete(runs, other)
					inFlight[o.fingerprint] = false
					s.Report(now, other, scheduler.Report{
						Event: scheduler.Down,
					})
				}
			}
		}
		list(now)
		s.Tick(now)
		if now%(250*time.Millisecond) != 0 {
			continue
		}
		for f := range uint64(soundCount + 1) {
			fingerprint := f + 1
			if f == soundCount {
				fingerprint = deadlyRequest
			}
			if inFlight[fingerprint] || servedAt[fingerprint] > 0 {
				continue
			}
			id++
			d, ok := s.Schedule(now, scheduler.Request{
				ID:          id,
				Fingerprint: fingerprint,
				MayTry:      true,
			})
			require.True(t, ok)
			if d.Server == "" {
				if fingerprint != deadlyRequest {
					refusals[d.Refusal]++
				}
				continue
			}
			inFlight[fingerprint] = true
			length := soundTime
			if fingerprint == deadlyRequest {
				length = crashRunTime
			}
			runs[id] = run{
				fingerprint: fingerprint,
				server:      d.Server,
				endsAt:      now + length,
			}
		}
	}
	t.Logf("%d crashes, the last at %v; refusals of sound requests: %v; served at %v", crashes, lastCrash, refusals, servedAt)
	require.Len(t, servedAt, soundCount)
	require.Zero(t, refusals[scheduler.RequestQuarantined])
}
