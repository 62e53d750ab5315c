package scheduler_test

// This file tests waits behind servers that name a limit, and limits of servers that the list
// shows as other incarnations.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/serverlimit"
)

// TestRetryAfterOfAloneRequests: an instance that has skipped its deciders for 0.2 to 1.6 s decides
// alone, and its share allows nothing. The callers are told to wait much longer than the skip.
func TestRetryAfterOfAloneRequests(t *testing.T) {
	f := newLimitedFleet(t, false, 70, 6)
	for _, sv := range f.servers {
		f.limits[sv.Name] = 8
		f.instances[3].RecordLimit(f.now, sv.Name, f.statement(sv.Name))
	}
	f.decider = -1
	f.request(3, scheduler.Request{})
	require.Len(t, f.refused, 1)
	require.LessOrEqual(t, f.refused[0].RetryAfter, 1600*time.Millisecond)
}

// TestQueuedRequestThatCannotUseALimitedServerBlocksNone: the queue holds a request that the limited server
// with free places may not get. An arrival that may use it must get it at once, and must not be
// refused.
func TestQueuedRequestThatCannotUseALimitedServerBlocksNone(t *testing.T) {
	f := newLimitedFleet(t, false, 1, 2)
	f.svc.Slots = 1
	f.setRank(0, 0, 1)
	f.run(0, 5*time.Second)
	s := f.instances[0]
	st := serverlimit.Statement{Known: true, Named: true, PerSecond: 100}
	s.RecordLimit(f.now, "e1", st)
	// e0 is full.
	for id := uint64(1000); ; id++ {
		d, ok := s.Schedule(f.now, scheduler.Request{ID: id, Tried: []string{"e1"}, MaxWait: time.Second})
		if !ok {
			break
		}
		require.Equal(t, "e0", d.Server)
	}
	require.Equal(t, 1, s.QueueLen())
	// e1 has free slots and places.
	d, ok := s.Schedule(f.now, scheduler.Request{ID: 2000, MaxWait: 50 * time.Millisecond})
	t.Logf("decided %t: %+v", ok, d)
	require.True(t, ok)
	require.Equal(t, "e1", d.Server)
}

// TestNextIncarnationKeepsTheLimitUntilItAnswers: the process of a server that names a limit lives on, and the
// list shows it as another incarnation at its address. A burst that comes before its next answer
// must stay within the limit that it goes on naming.
func TestNextIncarnationKeepsTheLimitUntilItAnswers(t *testing.T) {
	for _, name := range []string{"e0", "renamed"} {
		t.Run(name, func(t *testing.T) {
			f := newLimitedFleet(t, false, 1, 2)
			f.servers[0].Address = "e0:1"
			f.svc.Slots = 100
			f.setRank(0, 0, 1)
			f.instances[0].SetServers(0, f.servers)
			f.run(10, time.Second)
			f.limits["e0"], f.limits[name] = 8, 8
			f.run(60, 6*time.Second)
			require.Equal(t, 1, f.instances[0].LimitedServers())
			f.servers[0].Name, f.servers[0].JoinedMs = name, 2
			f.instances[0].SetServers(0, f.servers)
			from := f.now
			for range 200 {
				f.request(0, scheduler.Request{Tried: []string{"e1"}})
			}
			f.run(0, 150*time.Millisecond)
			got := f.arrivalsSince(name, from)
			if name != "e0" {
				got += f.arrivalsSince("e0", from-3500*time.Millisecond)
			} else {
				got = f.arrivalsSince("e0", from-3500*time.Millisecond)
			}
			require.LessOrEqual(t, got, 53)
		})
	}
}
