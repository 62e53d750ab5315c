package scheduler_test

// This file tests accounts that send many times their usual rate.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

// replaySurge plays ten accounts of different sizes at nine servers. From the 20th second on, three of the accounts send six times
// their usual rate. It returns the share of the requests of the other accounts, and of these
// three, that were granted a slot in the last ten seconds.
func replaySurge(engine bool, factor float64, seed uint64) (others, surging float64) {
	const (
		servers = 9
		slots   = 8
		work    = 100 * time.Millisecond
		begin   = 20 * time.Second
		span    = 30 * time.Second
	)
	rng := rand.New(rand.NewPCG(seed, 3))
	s := scheduler.New(scheduler.Service{
		Name:        "svc",
		Engine:      engine,
		Slots:       slots,
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
	})
	listServers(s, servers, 0)
	// At the usual rate four fifths of the slots are in use.
	usual := []float64{160, 100, 80, 60, 50, 40, 30, 20, 20, 16}
	isSurging := map[int]bool{2: true, 4: true, 6: true}
	accounts := make(map[uint64]int)
	arrived, granted := map[bool]int{}, map[bool]int{}
	type end struct {
		at time.Duration
		id uint64
	}
	var ends []end
	id := uint64(0)
	grant := func(now time.Duration, d scheduler.Decision) {
		if d.Server == "" {
			return
		}
		ends = append(ends, end{now + time.Duration(float64(work)*(0.8+0.4*rng.Float64())), d.ID})
		if now >= begin {
			granted[isSurging[accounts[d.ID]]]++
		}
	}
	due := make([]float64, len(usual))
	for now := time.Duration(0); now < span; now += tick {
		for a, rate := range usual {
			if now >= begin && isSurging[a] {
				rate *= factor
			}
			for due[a] += rate / 1000; due[a] >= 1; due[a]-- {
				id++
				accounts[id] = a
				if now >= begin {
					arrived[isSurging[a]]++
				}
				if d, ok := s.Schedule(now, scheduler.Request{
					ID:      id,
					Account: fmt.Sprint(a),
					MaxWait: 150 * time.Millisecond,
				}); ok {
					grant(now, d)
				}
			}
		}
		for i := 0; i < len(ends); {
			if ends[i].at > now {
				i++
				continue
			}
			ended := ends[i].id
			ends = append(ends[:i], ends[i+1:]...)
			for _, d := range s.Report(now, ended, scheduler.Report{
				Event: scheduler.Done,
			}) {
				grant(now, d)
			}
		}
		for _, d := range s.Tick(now) {
			grant(now, d)
		}
	}
	return float64(granted[false]) / float64(arrived[false]), float64(granted[true]) / float64(arrived[true])
}

// TestSurgingAccountsLeaveTheOthersTheirService guards against accounts that send six times
// their usual rate and, in order of arrival, take the slots and the queue from the others: the
// others must be served within 5 in 100 of what they are without, and the surging accounts get
// what is left.
func TestSurgingAccountsLeaveTheOthersTheirService(t *testing.T) {
	for _, engine := range []bool{true, false} {
		for seed := range uint64(3) {
			before, _ := replaySurge(engine, 1, seed)
			others, surging := replaySurge(engine, 6, seed)
			t.Logf("engines %v, seed %d: others %.3f without and %.3f with, surging %.3f", engine, seed, before, others, surging)
			require.GreaterOrEqual(t, others, before-0.05)
			require.Greater(t, surging, 0.2)
		}
	}
}
