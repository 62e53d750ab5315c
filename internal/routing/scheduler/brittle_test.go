package scheduler_test

// This file plays brittle servers against one decider in virtual time.

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/brittle"
	"camphorspoke/internal/routing/scheduler"
)

const (
	brittleServers = 10
	brittleSlots   = 4
	// brittleRoom is how many requests may wait at a server, before and after it lets fewer wait.
	brittleRoomBefore = 24
	brittleRoomAfter  = 2
	// brittleRefusals is how many refusals in a second a server bears.
	brittleRefusals = 3
	brittleWork     = 70 * time.Millisecond
	brittleTransit  = 3 * time.Millisecond
	brittleStep     = time.Millisecond
	// brittleFrom is when the servers say that they are brittle, brittleFewer when fewer may wait.
	brittleFrom  = 3 * time.Second
	brittleFewer = 6 * time.Second
	brittleEnd   = 24 * time.Second
	// fallTime is how long a server that fell over is away.
	fallTime = 4 * time.Second
	// maxFalls is what the rule allows: 2, and a tenth of the servers.
	maxFalls = 2 + brittleServers/10
)

// brittleServer is a server with its requests. Those on their way count as neither.
type brittleServer struct {
	// running holds when each running request ends, and waiting the others.
	running map[uint64]time.Duration
	waiting []uint64
	// refusedAt holds the times of the refusals in the last second.
	refusedAt []time.Duration
	downUntil time.Duration
}

// brittleEvent is something that happens at a time.
type brittleEvent struct {
	at     time.Duration
	action func()
}

// brittleFleet is a service of brittle servers and its decider.
type brittleFleet struct {
	now      time.Duration
	rng      *rand.Rand
	decider  *scheduler.Scheduler
	servers  map[string]*brittleServer
	events   []brittleEvent
	nextID   uint64
	tried    map[uint64][]string
	arrivals int
	served   int
	falls    int
}

func newBrittleFleet(engine bool) *brittleFleet {
	f := &brittleFleet{
		rng:     rand.New(rand.NewPCG(1, 2)),
		servers: make(map[string]*brittleServer),
		tried:   make(map[uint64][]string),
	}
	f.restartDecider(engine)
	return f
}

// restartDecider puts a decider that knows nothing in the place of the one before.
func (f *brittleFleet) restartDecider(engine bool) {
	f.decider = scheduler.New(scheduler.Service{
		Name:        "s",
		Engine:      engine,
		Slots:       brittleSlots,
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
		RetryRatio:  0.2,
		RetrySlack:  100,
		Instances:   7,
	})
	var list []scheduler.Server
	for i := range brittleServers {
		name := fmt.Sprintf("s%d", i)
		list = append(list, scheduler.Server{
			Name:      name,
			Accepting: true,
			JoinedMs:  1,
		})
		if f.servers[name] == nil {
			f.servers[name] = &brittleServer{
				running: make(map[uint64]time.Duration),
			}
		}
	}
	f.decider.SetServers(0, list)
}

func (f *brittleFleet) after(d time.Duration, action func()) {
	f.events = append(f.events, brittleEvent{
		at:     f.now + d,
		action: action,
	})
}

// statement returns what servers say now.
func (f *brittleFleet) statement() brittle.Statement {
	st := brittle.Statement{
		Known: true,
	}
	if f.now >= brittleFrom {
		st.Refusals = brittleRefusals
	}
	return st
}

// request lets a request arrive, or a refused one again.
func (f *brittleFleet) request(tried []string) {
	f.nextID++
	req := scheduler.Request{
		ID:      f.nextID,
		MaxWait: 100 * time.Millisecond,
		Tried:   tried,
		Counted: len(tried) > 0,
		Retry:   len(tried) > 0,
	}
	f.tried[req.ID] = tried
	if d, decided := f.decider.Schedule(f.now, req); decided {
		f.handle(d)
	}
}

func (f *brittleFleet) handle(decisions ...scheduler.Decision) {
	for _, d := range decisions {
		if d.Server != "" {
			f.after(brittleTransit, func() { f.arrive(d.ID, d.Server) })
		}
	}
}

// report reports to the decider that granted a request, unless it is gone.
func (f *brittleFleet) report(decider *scheduler.Scheduler, id uint64, r scheduler.Report) {
	f.after(brittleTransit, func() {
		if decider == f.decider {
			f.handle(decider.Report(f.now, id, r)...)
		}
	})
}

// arrive lets a request reach a server.
func (f *brittleFleet) arrive(id uint64, name string) {
	sv, decider := f.servers[name], f.decider
	room := brittleRoomBefore
	if f.now >= brittleFewer {
		room = brittleRoomAfter
	}
	switch {
	case f.now < sv.downUntil:
		f.report(decider, id, scheduler.Report{
			Event: scheduler.Unreachable,
		})
	case len(sv.running) < brittleSlots:
		sv.running[id] = f.now + brittleWork
	case len(sv.waiting) < room:
		sv.waiting = append(sv.waiting, id)
	default:
		f.refuse(id, name)
	}
}

// refuse lets a server refuse a request, and fall over if that is too much.
func (f *brittleFleet) refuse(id uint64, name string) {
	sv, decider := f.servers[name], f.decider
	f.report(decider, id, scheduler.Report{
		Event:   scheduler.Rejected,
		Brittle: f.statement(),
	})
	if tried := f.tried[id]; len(tried) < 3 {
		f.after(2*brittleTransit, func() { f.request(append(slices.Clone(tried), name)) })
	}
	sv.refusedAt = slices.DeleteFunc(append(sv.refusedAt, f.now), func(at time.Duration) bool { return f.now-at >= time.Second })
	if f.now < brittleFewer || len(sv.refusedAt) <= brittleRefusals {
		return
	}
	f.falls++
	f.fall(name, fallTime)
}

// fall takes a server away for a time.
func (f *brittleFleet) fall(name string, away time.Duration) {
	sv := f.servers[name]
	for id := range sv.running {
		sv.waiting = append(sv.waiting, id)
	}
	slices.Sort(sv.waiting)
	for _, id := range sv.waiting {
		f.report(f.decider, id, scheduler.Report{
			Event: scheduler.Down,
		})
	}
	clear(sv.running)
	sv.waiting, sv.refusedAt, sv.downUntil = nil, nil, f.now+away
}

// step ends the requests that are due and starts waiting ones.
func (f *brittleFleet) step() {
	for i := range brittleServers {
		sv := f.servers[fmt.Sprintf("s%d", i)]
		for _, id := range slices.Sorted(maps.Keys(sv.running)) {
			if f.now < sv.running[id] {
				continue
			}
			delete(sv.running, id)
			f.served++
			f.report(f.decider, id, scheduler.Report{
				Event:   scheduler.Done,
				Brittle: f.statement(),
			})
			if len(sv.waiting) > 0 {
				sv.running[sv.waiting[0]] = f.now + brittleWork
				sv.waiting = sv.waiting[1:]
			}
		}
	}
	due := f.events
	f.events = nil
	for _, e := range due {
		if e.at > f.now {
			f.events = append(f.events, e)
			continue
		}
		e.action()
	}
	f.handle(f.decider.Tick(f.now)...)
}

// run plays the day. load is the arrivals as a multiple of what the servers can do.
func (f *brittleFleet) run(load func(at time.Duration) float64, at map[time.Duration]func()) {
	capacity := brittleServers * brittleSlots / brittleWork.Seconds()
	for ; f.now < brittleEnd; f.now += brittleStep {
		if action := at[f.now]; action != nil {
			action()
		}
		f.step()
		if p := load(f.now) * capacity * brittleStep.Seconds(); f.rng.Float64() < p-float64(int(p)) {
			f.arrivals++
			f.request(nil)
		}
		for range int(load(f.now) * capacity * brittleStep.Seconds()) {
			f.arrivals++
			f.request(nil)
		}
	}
}

// TestBrittleServersDoNotFallOver: servers fall over if they refuse more than three requests in a second.
// Bursts, servers that are away for other reasons, and a decider that is lost and followed by one that
// knows nothing must not drive them over, and what they can do must still be served.
func TestBrittleServersDoNotFallOver(t *testing.T) {
	burst := func(x float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= 8*time.Second && at < 16*time.Second {
				return x
			}
			return 0.5
		}
	}
	for _, c := range []struct {
		name string
		load func(time.Duration) float64
		at   func(f *brittleFleet) map[time.Duration]func()
	}{
		{"threefold load", burst(3), func(*brittleFleet) map[time.Duration]func() { return nil }},
		{"servers away", burst(1.4), func(f *brittleFleet) map[time.Duration]func() {
			return map[time.Duration]func(){10 * time.Second: func() {
				f.fall("s0", 2*time.Second)
				f.fall("s1", 2*time.Second)
			}}
		}},
		{"decider lost", burst(1.4), func(f *brittleFleet) map[time.Duration]func() {
			return map[time.Duration]func(){10 * time.Second: func() { f.restartDecider(false) }}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newBrittleFleet(false)
			f.run(c.load, c.at(f))
			t.Logf("%d falls; %d of %d arrivals served", f.falls, f.served, f.arrivals)
			require.LessOrEqual(t, f.falls, maxFalls)
			possible := 0.0
			for at := time.Duration(0); at < brittleEnd; at += brittleStep {
				possible += min(c.load(at), 1) * brittleServers * brittleSlots / brittleWork.Seconds() * brittleStep.Seconds()
			}
			require.Greater(t, float64(f.served), 0.8*possible)
		})
	}
}
