package scheduler_test

// This file defines a model of instances and servers that name limits, in virtual time.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

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
		f.instances[i].SetServers(0, f.servers)
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
			f.instances[r.origin].Adopt(f.now, d.Server, scheduler.Request{
				ID: d.ID,
			})
			f.instances[r.origin].RecordLimit(f.now, d.Server, d.Limit)
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
