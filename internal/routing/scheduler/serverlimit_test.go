package scheduler_test

// This file tests servers that name a limit.

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/serverlimit"
)

// TestServerGetsNoMoreThanItsNamedLimit: most servers of a service name a limit under load, while
// the decider changes, or is lost so that each instance decides alone for a while. A server
// that gets what the load gives it gets many times what it takes. Up to the limit it still gets
// requests.
func TestServerGetsNoMoreThanItsNamedLimit(t *testing.T) {
	const (
		instances = 5
		limit     = 8.0
		allowed   = 1.5*4*limit + 5
		perSecond = 150
	)
	changes := map[string]func(f *limitedFleet){
		"same decider": func(f *limitedFleet) { f.run(perSecond, 4*time.Second) },
		"other decider": func(f *limitedFleet) {
			f.setRank(0, 1, instances)
			f.decider = 1
			f.run(perSecond, 900*time.Millisecond)
			f.setRank(1, 0, instances)
		},
		"lost decider": func(f *limitedFleet) {
			f.lost[0] = true
			f.decider = -1
			f.run(perSecond, 600*time.Millisecond)
			f.decider = 1
			f.run(perSecond, time.Second)
			for i := 1; i < instances; i++ {
				f.setRank(i, i-1, instances-1)
			}
		},
	}
	for name, change := range changes {
		for _, engine := range []bool{false, true} {
			for _, silent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s,engine=%t,silent=%t", name, engine, silent), func(t *testing.T) {
					f := newLimitedFleet(t, engine, instances, 6)
					f.silent = silent
					f.run(perSecond, 3*time.Second)
					named := f.now
					for _, sv := range f.servers[:4] {
						f.limits[sv.Name] = limit
					}
					f.run(perSecond, 7*time.Second)
					change(f)
					f.run(perSecond, 10*time.Second)
					most := 0
					for _, sv := range f.servers[:4] {
						most = max(most, f.mostInASpan(sv.Name, named+limitGrace))
						got := f.arrivalsSince(sv.Name, f.now-4*time.Second)
						require.Greater(t, float64(got), 0.8*4*limit, "the limit is there to be used")
					}
					if silent {
						require.Greater(t, float64(most), allowed, "the scenario must exceed the limit")
						return
					}
					require.LessOrEqual(t, float64(most), allowed)
					require.Equal(t, 4, f.instances[1].LimitedServers())
				})
			}
		}
	}
}

// TestBurstBeforeALimitCounts: a server names a limit right after a burst. Granted as if nothing
// had been sent, it would get the burst and a window of the limit besides.
func TestBurstBeforeALimitCounts(t *testing.T) {
	f := newLimitedFleet(t, false, 1, 1)
	f.maxWait = 5 * time.Second
	f.limits["e0"] = 8
	for range 20 {
		f.request(0, scheduler.Request{})
	}
	f.run(0, limitRunTime+coldStep)
	require.Equal(t, 1, f.instances[0].LimitedServers())
	_, decided := f.request(0, scheduler.Request{})
	require.False(t, decided, "the window holds more than the limit allows")
	require.Equal(t, []string{scheduler.LimitUsed}, f.instances[0].Explain(f.now, scheduler.Request{}).Candidates[0].LeftOut)
	f.now = 10*time.Second + 2200*time.Millisecond
	_, decided = f.request(0, scheduler.Request{})
	require.False(t, decided, "one is queued")
	f.run(0, coldStep)
	require.Zero(t, f.instances[0].QueueLen(), "the limit applies to what the window counts, and no longer")
}

// TestLimitEnds: servers name a limit for a time. When their responses name none, or the list
// shows other incarnations, they must get as much as the others again. A response of an
// earlier incarnation must not limit the new one.
func TestLimitEnds(t *testing.T) {
	for _, restart := range []bool{false, true} {
		f := newLimitedFleet(t, false, 2, 4)
		for _, sv := range f.servers[:2] {
			f.limits[sv.Name] = 2
		}
		f.run(100, 6*time.Second)
		require.Equal(t, 2, f.instances[0].LimitedServers())
		clear(f.limits)
		if restart {
			for i := range f.servers {
				f.servers[i].JoinedMs++
				f.limits[f.servers[i].Name] = 2
			}
			for _, s := range f.instances {
				s.SetServers(0, f.servers)
			}
			for len(f.running) > 0 {
				f.step()
				f.now += coldStep
			}
			// The process may have lived on: the limit holds until the next incarnation answers.
			require.Equal(t, 2, f.instances[0].LimitedServers())
			clear(f.limits)
		}
		f.run(100, 2*time.Second)
		require.Zero(t, f.instances[0].LimitedServers())
		require.Zero(t, f.instances[1].LimitedServers())
		from := f.now
		f.run(100, 2*time.Second)
		for _, sv := range f.servers {
			require.InDelta(t, 50, f.arrivalsSince(sv.Name, from), 15, sv.Name)
		}
	}
}

// TestLateStatementDoesNotEndALimit: a frozen instance reports a response that it received before
// the limit was named. Taken as new, it would lift the limit of an overloaded server.
func TestLateStatementDoesNotEndALimit(t *testing.T) {
	f := newLimitedFleet(t, false, 1, 1)
	s := f.instances[0]
	f.request(0, scheduler.Request{})
	frozen := f.lastID
	f.running = nil
	f.limits["e0"] = 8
	f.run(2, 3*time.Second)
	require.Equal(t, 1, s.LimitedServers())
	s.Report(f.now, frozen, scheduler.Report{
		Event: scheduler.Done,
		Limit: serverlimit.Statement{
			Known: true,
		},
	})
	require.Equal(t, 1, s.LimitedServers())
	st := s.Limit(f.now, "e0")
	require.True(t, st.Named)
	s.RecordLimit(f.now, "e0", serverlimit.Statement{
		Known: true,
		Age:   st.Age + time.Millisecond,
	})
	require.Equal(t, 1, s.LimitedServers(), "another instance knows what is older")
	s.RecordLimit(f.now, "e0", serverlimit.Statement{
		Known: true,
	})
	require.Zero(t, s.LimitedServers())
}

// TestQueueBehindLimitedServers: all servers name a limit. Requests must wait for it in the order of
// their rank, ahead of those that arrive later, and those that would wait too long must be
// refused at once, with a time after which there is a place.
func TestQueueBehindLimitedServers(t *testing.T) {
	for _, engine := range []bool{false, true} {
		f := newLimitedFleet(t, engine, 1, 2)
		f.maxWait = 3 * time.Second
		for _, sv := range f.servers {
			f.limits[sv.Name] = 4
		}
		f.run(20, 2*time.Second)
		require.Equal(t, 2, f.instances[0].LimitedServers())
		f.run(0, 5*time.Second)
		f.refused = nil
		began := f.now
		urgency := make(map[uint64]int)
		var late []scheduler.Decision
		for i := range 60 {
			req := scheduler.Request{
				Urgency: 2 - i%3,
			}
			d, decided := f.request(0, req)
			urgency[f.lastID] = req.Urgency
			if decided && d.Server == "" {
				late = append(late, d)
			}
		}
		require.NotEmpty(t, late, "the limits allow 16 at once and 16 in the next two windows each")
		for _, d := range late {
			require.Equal(t, scheduler.Overloaded, d.Refusal)
			require.Greater(t, d.RetryAfter, f.maxWait)
			require.Less(t, d.RetryAfter, 10*time.Second)
		}
		last := 0
		for f.instances[0].QueueLen() > 0 {
			before := len(f.running)
			f.step()
			f.now += coldStep
			if len(f.running) <= before {
				continue
			}
			for _, r := range f.running[before:] {
				require.GreaterOrEqual(t, urgency[r.id], last)
				last = urgency[r.id]
			}
		}
		require.Len(t, f.refused, len(late), "those that wait are granted")
		f.run(0, late[0].RetryAfter-(f.now-began))
		d, decided := f.request(0, scheduler.Request{
			Urgency: 2,
		})
		require.True(t, decided)
		require.NotEmpty(t, d.Server)
	}
}

// TestArrivalDoesNotOvertakeTheQueue: a limit allows the next request while others are queued. One
// that arrives at that moment must not get it ahead of those of its rank.
func TestArrivalDoesNotOvertakeTheQueue(t *testing.T) {
	f := newLimitedFleet(t, false, 1, 1)
	f.limits["e0"] = 1
	f.run(20, time.Second)
	f.run(0, 5*time.Second)
	require.Zero(t, f.instances[0].QueueLen())
	f.maxWait = 5 * time.Second
	for range 3 {
		f.request(0, scheduler.Request{
			Urgency: 1,
		})
	}
	waiting := f.lastID
	require.Equal(t, 1, f.instances[0].QueueLen())
	f.now += 2200 * time.Millisecond
	_, decided := f.request(0, scheduler.Request{
		Urgency: 1,
	})
	require.False(t, decided)
	decisions := f.instances[0].Tick(f.now)
	require.NotEmpty(t, decisions)
	require.Equal(t, waiting, decisions[0].ID)
}

// TestHedgesAvoidLimitedServers: a hedge to an overloaded server would take the place of a request.
func TestHedgesAvoidLimitedServers(t *testing.T) {
	f := newLimitedFleet(t, false, 1, 2)
	f.svc.HedgeShare, f.svc.RetryRatio = 1, 1
	f.setRank(0, 0, 1)
	for _, limited := range []bool{false, true} {
		f.instances[0].RecordLimit(f.now, "e1", serverlimit.Statement{
			Known:     true,
			Named:     limited,
			PerSecond: 100,
		})
		f.run(5, 2*time.Second)
		f.run(0, time.Second)
		d, decided := f.request(0, scheduler.Request{
			Hedge: true,
			Tried: []string{"e0"},
		})
		require.True(t, decided)
		f.limits["e1"] = 100
		if limited {
			require.Equal(t, scheduler.Hedge, d.Refusal)
		} else {
			require.Equal(t, "e1", d.Server)
		}
	}
}

// TestLargeServiceFindsPlacesThatALimitFrees: a large service remembers for some milliseconds that
// no server has room, and stops at the first queued request that finds none. Neither may hide
// the places of limited servers: they come with time, and an instance that decides on a request
// alone may have none while it has some as decider.
func TestLargeServiceFindsPlacesThatALimitFrees(t *testing.T) {
	const servers = 300
	f := newLimitedFleet(t, true, 2, servers)
	f.maxWait = 20 * time.Second
	s := f.instances[0]
	for _, sv := range f.servers {
		s.RecordLimit(f.now, sv.Name, serverlimit.Statement{
			Known: true,
			Named: true,
		})
	}
	f.decider = -1
	_, decided := f.request(0, scheduler.Request{})
	require.False(t, decided)
	f.decider = 0
	began := f.now
	for range servers + 1 {
		f.request(0, scheduler.Request{})
	}
	f.handle(s.Tick(f.now)...)
	require.Len(t, f.running, servers)
	freed := began + limitSpan + limitTransit
	require.Empty(t, s.Tick(freed-time.Millisecond))
	require.Len(t, s.Tick(freed), 1)
	f.now = freed
	for range servers {
		f.request(0, scheduler.Request{})
	}
	require.Equal(t, servers-1, len(s.Tick(freed)))
	require.Zero(t, len(s.Tick(freed)))
	s.RecordLimit(freed, "e0", serverlimit.Statement{
		Known: true,
	})
	require.Len(t, s.Tick(freed), 2, "a server takes more again")
}

// TestEqualServersWithoutALimitComeFirst: the few requests that an overloaded server takes must not be
// spent on those that another one could run as well.
func TestEqualServersWithoutALimitComeFirst(t *testing.T) {
	f := newLimitedFleet(t, false, 1, 2)
	f.instances[0].RecordLimit(f.now, "e0", serverlimit.Statement{
		Known:     true,
		Named:     true,
		PerSecond: 100,
	})
	for range 20 {
		d, _ := f.request(0, scheduler.Request{})
		require.Equal(t, "e1", d.Server)
		f.running = nil
		f.instances[0].Report(f.now, d.ID, scheduler.Report{
			Event: scheduler.Done,
		})
	}
}
