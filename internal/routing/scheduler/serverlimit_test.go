package scheduler_test

// This file tests servers that name a limit, with a model of instances and servers in virtual
// time.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/serverlimit"
)

const (
	// limitSpan and limitGrace are the span of the rule, and the time from the first name of a
	// limit until it applies.
	limitSpan  = 4 * time.Second
	limitGrace = 3 * time.Second
	// limitRunTime is how long a request runs, and limitTransit the longest time from a grant
	// to the arrival.
	limitRunTime = 200 * time.Millisecond
	limitTransit = 100 * time.Millisecond
)

// fleetRequest is a request that an instance has received.
type fleetRequest struct {
	id uint64
	// origin and decider are the instances that received it and that decided on it.
	origin, decider int
	server          string
	ends            time.Duration
}

// limitedFleet is a fleet of instances, each with a scheduler, and servers that name limits.
type limitedFleet struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	svc       scheduler.Service
	instances []*scheduler.Scheduler
	// lost holds the instances that are down.
	lost map[int]bool
	// decider is the instance that decides for all; -1 if each decides alone.
	decider int
	servers []scheduler.Server
	// limits holds the limits that servers name. If silent, no response states any.
	limits map[string]float64
	silent bool
	// maxWait is the longest time in a queue.
	maxWait  time.Duration
	lastID   uint64
	queued   map[uint64]fleetRequest
	running  []fleetRequest
	arrivals map[string][]time.Duration
	refused  []scheduler.Decision
}

// newLimitedFleet returns a fleet that has been running for long. The rank of an instance is its
// number.
func newLimitedFleet(t *testing.T, engine bool, instances, servers int) *limitedFleet {
	t.Helper()
	f := &limitedFleet{
		t:        t,
		rng:      rand.New(rand.NewPCG(1, 2)),
		lost:     make(map[int]bool),
		limits:   make(map[string]float64),
		maxWait:  time.Second,
		queued:   make(map[uint64]fleetRequest),
		arrivals: make(map[string][]time.Duration),
		svc: scheduler.Service{
			Name:        "s",
			Engine:      engine,
			Slots:       12,
			LoadBound:   2,
			RetryWindow: 10 * time.Second,
		},
	}
	for i := range servers {
		f.servers = append(f.servers, scheduler.Server{
			Name:      fmt.Sprintf("e%d", i),
			Accepting: true,
			JoinedMs:  1,
		})
	}
	for i := range instances {
		f.instances = append(f.instances, scheduler.New(f.svc))
		f.instances[i].SetServers(f.servers)
		f.setRank(i, i, instances)
		f.instances[i].Tick(0)
	}
	f.now = 10 * time.Second
	return f
}

// setRank gives an instance a position in the order of deciders.
func (f *limitedFleet) setRank(instance, rank, instances int) {
	svc := f.svc
	svc.LimitShare = serverlimit.DeciderShare(rank, instances)
	svc.AloneLimitShare = serverlimit.AloneShare(instances)
	f.instances[instance].SetService(svc)
}

// request lets an instance receive a request.
func (f *limitedFleet) request(origin int, req scheduler.Request) (scheduler.Decision, bool) {
	f.lastID++
	r := fleetRequest{
		id:      f.lastID,
		origin:  origin,
		decider: f.decider,
	}
	req.ID, req.MaxWait, req.Alone = f.lastID, f.maxWait, f.decider < 0
	if req.Alone {
		r.decider = origin
	}
	f.queued[r.id] = r
	d, decided := f.instances[r.decider].Schedule(f.now, req)
	if decided {
		f.handle(d)
	}
	return d, decided
}

// handle lets the servers run the granted requests. The instance that received one takes the
// decision over.
func (f *limitedFleet) handle(decisions ...scheduler.Decision) {
	for _, d := range decisions {
		r := f.queued[d.ID]
		delete(f.queued, d.ID)
		if d.Server == "" {
			f.refused = append(f.refused, d)
			continue
		}
		r.server, r.ends = d.Server, f.now+limitRunTime
		f.running = append(f.running, r)
		f.arrivals[d.Server] = append(f.arrivals[d.Server], f.now+time.Duration(f.rng.Int64N(int64(limitTransit))))
		if r.origin != r.decider {
			f.instances[r.origin].Adopt(f.now, d.ID, d.Server, "", nil)
			f.instances[r.origin].LearnLimit(f.now, d.Server, d.Limit)
		}
	}
}

// statement returns what a server says of its limit.
func (f *limitedFleet) statement(server string) serverlimit.Statement {
	perSecond, named := f.limits[server]
	return serverlimit.Statement{
		Known:     !f.silent,
		Named:     named && !f.silent,
		PerSecond: perSecond,
	}
}

// step lets the requests end that are due, and the schedulers grant queued ones.
func (f *limitedFleet) step() {
	var ended []fleetRequest
	f.running = slices.DeleteFunc(f.running, func(r fleetRequest) bool {
		if f.now >= r.ends {
			ended = append(ended, r)
		}
		return f.now >= r.ends
	})
	for _, r := range ended {
		for _, i := range slices.Compact([]int{r.decider, r.origin}) {
			if !f.lost[i] {
				f.handle(f.instances[i].Report(f.now, r.id, scheduler.Report{
					Event: scheduler.Done,
					Limit: f.statement(r.server),
				})...)
			}
		}
	}
	for i, s := range f.instances {
		if !f.lost[i] {
			f.handle(s.Tick(f.now)...)
		}
	}
}

// run lets requests arrive at all instances in turn for a time.
func (f *limitedFleet) run(perSecond float64, span time.Duration) {
	due := 0.0
	for end := f.now + span; f.now < end; f.now += coldStep {
		f.step()
		for due += perSecond * coldStep.Seconds(); due >= 1; due-- {
			if origin := f.rng.IntN(len(f.instances)); !f.lost[origin] {
				f.request(origin, scheduler.Request{})
			}
		}
	}
}

// mostInASpan returns the largest number of arrivals at a server in a span since a time.
func (f *limitedFleet) mostInASpan(server string, from time.Duration) int {
	most, times := 0, slices.Sorted(slices.Values(f.arrivals[server]))
	for i, at := range times {
		if at >= from {
			n, _ := slices.BinarySearch(times[i:], at+limitSpan)
			most = max(most, n)
		}
	}
	return most
}

// arrivalsSince returns the number of arrivals at a server since a time.
func (f *limitedFleet) arrivalsSince(server string, from time.Duration) int {
	n := 0
	for _, at := range f.arrivals[server] {
		if at >= from {
			n++
		}
	}
	return n
}

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
				s.SetServers(f.servers)
				require.Zero(t, s.LimitedServers())
			}
			for len(f.running) > 0 {
				f.step()
				f.now += coldStep
			}
			require.Zero(t, f.instances[0].LimitedServers(), "these were granted before")
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
// the limit was named. Taken as new, it would lift the limit of a server in need.
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
	s.LearnLimit(f.now, "e0", serverlimit.Statement{
		Known: true,
		Age:   st.Age + time.Millisecond,
	})
	require.Equal(t, 1, s.LimitedServers(), "another instance knows what is older")
	s.LearnLimit(f.now, "e0", serverlimit.Statement{
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

// TestHedgesAvoidLimitedServers: a hedge to a server in need would take the place of a request.
func TestHedgesAvoidLimitedServers(t *testing.T) {
	f := newLimitedFleet(t, false, 1, 2)
	f.svc.HedgeShare, f.svc.RetryRatio = 1, 1
	f.setRank(0, 0, 1)
	for _, limited := range []bool{false, true} {
		f.instances[0].LearnLimit(f.now, "e1", serverlimit.Statement{
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
		s.LearnLimit(f.now, sv.Name, serverlimit.Statement{
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
	s.LearnLimit(freed, "e0", serverlimit.Statement{
		Known: true,
	})
	require.Len(t, s.Tick(freed), 2, "a server takes more again")
}

// TestEqualServersWithoutALimitComeFirst: the few requests that a server in need takes must not be
// spent on those that another one could run as well.
func TestEqualServersWithoutALimitComeFirst(t *testing.T) {
	f := newLimitedFleet(t, false, 1, 2)
	f.instances[0].LearnLimit(f.now, "e0", serverlimit.Statement{
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
