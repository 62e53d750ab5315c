package scheduler_test

// This file tests that no server holds more than a multiple of the mean load of its
// service while servers fail in ways that leave them up. The load is judged by what the
// servers hold, not by what the scheduler counts.

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

const (
	// boundMultiple and boundExtra are the operators' bound: a server should not hold
	// more than boundMultiple times the mean load and boundExtra requests.
	boundMultiple = 2
	boundExtra    = 3
	// boundWindow is the span over which the requests above the bound are counted; up to
	// boundAllowed of them, or boundShare of all requests of the span, are allowed.
	boundWindow  = 5 * time.Second
	boundAllowed = 20
	boundShare   = 0.03
	// callerPatience is how long a caller waits for the next event of a stream.
	callerPatience = 2 * time.Second
	// connectTimeout is how long a connection to a dark server is attempted.
	connectTimeout = 450 * time.Millisecond
)

// faultyService is a service whose servers run requests for a time that depends on the
// kind of request, and whose answers may be lost. Its clock advances in milliseconds.
type faultyService struct {
	rng *rand.Rand
	// deciders holds the schedulers that decide, each for a part of the requests.
	deciders []*scheduler.Scheduler
	now      time.Duration
	nextID   uint64
	requests map[uint64]scheduler.Request
	holds    map[string]int
	names    []string
	events   []serviceEvent
	// lost is the probability that the answer to a request is lost after it has run,
	// and silent that it is and the connection stays open, until the caller leaves.
	lost   float64
	silent float64
	// spared is the number of servers that lose no answers.
	spared int
	// down holds the servers that refuse connections, and inFlight the requests that
	// each server runs, with what happens to them if it crashes.
	down     map[string]bool
	inFlight map[string]map[uint64]scheduler.Decision
	// dark holds the servers at which connections time out, with the number of requests
	// that wait for one.
	dark map[string]int
	// mostDark is the largest number that waited at one server.
	mostDark int
	// full holds the servers that reject requests.
	full map[string]bool
	// sends holds the requests that reached a server.
	sends []send
}

// serviceEvent is something that happens at a time.
type serviceEvent struct {
	at  time.Duration
	run func()
}

// send is a request that reached a server.
type send struct {
	at   time.Duration
	over bool
}

func newFaultyService(seed uint64, servers int) *faultyService {
	f := &faultyService{
		rng:      rand.New(rand.NewPCG(seed, 7)),
		requests: make(map[uint64]scheduler.Request),
		holds:    make(map[string]int),
		down:     make(map[string]bool),
		inFlight: make(map[string]map[uint64]scheduler.Decision),
		dark:     make(map[string]int),
		full:     make(map[string]bool),
	}
	for i := range servers {
		name := fmt.Sprintf("e%d", i)
		f.names = append(f.names, name)
		f.inFlight[name] = make(map[uint64]scheduler.Decision)
	}
	f.deciders = []*scheduler.Scheduler{f.newDecider()}
	return f
}

// newDecider returns a scheduler that knows nothing but the list of servers.
func (f *faultyService) newDecider() *scheduler.Scheduler {
	s := scheduler.New(scheduler.Service{
		Name:        "llm",
		Engine:      true,
		Slots:       48,
		CacheTokens: 530_000,
		LoadBound:   boundMultiple,
		RetryWindow: 10 * time.Second,
		RetryRatio:  0.2,
		RetrySlack:  58,
	})
	listServers(s, len(f.names), 0)
	return s
}

// decider returns the scheduler that decides on a request.
func (f *faultyService) decider(id uint64) *scheduler.Scheduler {
	return f.deciders[id%uint64(len(f.deciders))]
}

// after schedules run at a later time.
func (f *faultyService) after(d time.Duration, run func()) {
	f.events = append(f.events, serviceEvent{
		at:  f.now + d,
		run: run,
	})
}

// run offers perSecond requests a second for a span.
func (f *faultyService) run(perSecond int, span time.Duration) {
	for end := f.now + span; f.now < end; f.now += time.Millisecond {
		f.runEvents()
		if f.rng.Float64() < float64(perSecond)/1000 {
			f.request()
		}
		for _, d := range f.deciders {
			f.grant(d.Tick(f.now))
		}
	}
}

func (f *faultyService) runEvents() {
	var due []serviceEvent
	f.events = slices.DeleteFunc(f.events, func(e serviceEvent) bool {
		if e.at > f.now {
			return false
		}
		due = append(due, e)
		return true
	})
	for _, e := range due {
		e.run()
	}
}

// request offers a request about one of 58 subjects, some of which are asked for more
// often than others.
func (f *faultyService) request() {
	f.nextID++
	subject := uint64(100 + int(58*f.rng.Float64()*f.rng.Float64()))
	req := scheduler.Request{
		ID:      f.nextID,
		Parts:   prompt(subject, 10_000+f.nextID),
		MaxWait: 200 * time.Millisecond,
	}
	f.schedule(req)
}

func (f *faultyService) schedule(req scheduler.Request) {
	f.requests[req.ID] = req
	if d, ok := f.decider(req.ID).Schedule(f.now, req); ok {
		f.grant([]scheduler.Decision{d})
	}
}

// grant sends the granted requests to their servers.
func (f *faultyService) grant(decisions []scheduler.Decision) {
	for _, d := range decisions {
		if d.Server != "" {
			f.after(time.Millisecond, func() { f.arrive(d) })
		}
	}
}

// arrive is the arrival of a request at its server.
func (f *faultyService) arrive(d scheduler.Decision) {
	if f.down[d.Server] {
		f.report(d, scheduler.Unreachable)
		f.retry(d)
		return
	}
	if _, dark := f.dark[d.Server]; dark {
		f.dark[d.Server]++
		f.mostDark = max(f.mostDark, f.dark[d.Server])
		f.after(connectTimeout, func() {
			f.dark[d.Server]--
			f.report(d, scheduler.Unreachable)
			f.retry(d)
		})
		return
	}
	f.judge(d.Server)
	if f.full[d.Server] {
		f.report(d, scheduler.Rejected)
		f.retry(d)
		return
	}
	f.holds[d.Server]++
	f.inFlight[d.Server][d.ID] = d
	// A seventh of the requests generate for two seconds, the others for a quarter.
	span := 250 * time.Millisecond
	if f.rng.Float64() < 1.0/7 {
		span = 2 * time.Second
	}
	release := func() { f.release(d) }
	lossy := !slices.Contains(f.names[:f.spared], d.Server)
	switch p := f.rng.Float64(); {
	case lossy && p < f.silent:
		f.after(50*time.Millisecond, release)
		f.after(callerPatience, func() { f.report(d, scheduler.Cancelled) })
	case lossy && p < f.silent+f.lost:
		f.after(span, release)
		f.after(span, func() { f.report(d, scheduler.Broken) })
	default:
		f.after(50*time.Millisecond, func() { f.report(d, scheduler.Started) })
		f.after(span, release)
		f.after(span, func() { f.report(d, scheduler.Done) })
	}
}

// release ends a request at its server.
func (f *faultyService) release(d scheduler.Decision) {
	if _, running := f.inFlight[d.Server][d.ID]; running {
		delete(f.inFlight[d.Server], d.ID)
		f.holds[d.Server]--
	}
}

// crash stops a server, which breaks the connections of the requests that it runs.
func (f *faultyService) crash(server string) {
	f.down[server] = true
	for _, id := range slices.Sorted(maps.Keys(f.inFlight[server])) {
		d := f.inFlight[server][id]
		f.release(d)
		f.report(d, scheduler.Broken)
	}
}

// report reports an event of a request. A response names the load of its server.
func (f *faultyService) report(d scheduler.Decision, e scheduler.Event) {
	f.grant(f.decider(d.ID).Report(f.now, d.ID, scheduler.Report{
		Event:   e,
		HasLoad: e == scheduler.Started,
		Running: f.holds[d.Server],
	}))
}

// retry schedules a request that did not run once more.
func (f *faultyService) retry(d scheduler.Decision) {
	req := f.requests[d.ID]
	f.nextID++
	req.ID = f.nextID
	req.Tried = append(slices.Clone(req.Tried), d.Server)
	if len(req.Tried) < 4 {
		f.schedule(req)
	}
}

// judge records a request that reached a server.
func (f *faultyService) judge(server string) {
	sum, up := 1, 0
	for _, name := range f.names {
		sum += f.holds[name]
		if !f.down[name] {
			up++
		}
	}
	bound := boundMultiple*float64(sum)/float64(up) + boundExtra
	f.sends = append(f.sends, send{
		at:   f.now,
		over: float64(f.holds[server]+1) > bound,
	})
}

// requireBound checks each window since a time.
func (f *faultyService) requireBound(t *testing.T, since time.Duration) {
	t.Helper()
	for from := since; from+boundWindow <= f.now; from += time.Second {
		over, all := 0, 0
		for _, s := range f.sends {
			if s.at < from || s.at >= from+boundWindow {
				continue
			}
			all++
			if s.over {
				over++
			}
		}
		if over >= boundAllowed {
			require.LessOrEqual(t, float64(over), boundShare*float64(all), "from %v: %d of %d requests reached a server above the bound", from, over, all)
		}
	}
}

// TestLostAnswersKeepTheBound: all servers are up, but the answers to a part of the
// requests are lost. Each server seems to fail now and then, and as many as do at a
// time must not leave their load to the few others.
func TestLostAnswersKeepTheBound(t *testing.T) {
	for _, lost := range []float64{0.1, 0.2, 0.4, 0.6} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("lost=%v,seed=%d", lost, seed), func(t *testing.T) {
				f := newFaultyService(seed, 9)
				f.spared = int(seed % 2)
				f.run(130, 4*time.Second)
				f.lost = lost
				f.run(130, 10*time.Second)
				f.lost = 0
				f.run(130, 6*time.Second)
				f.requireBound(t, 0)
			})
		}
	}
}

// TestSilentServersKeepTheBound: all servers are up, but at all of them, or all but one, a
// part of the requests ends without an answer, and the connection stays open. Such a
// request is no load of its server, although its caller waits on.
func TestSilentServersKeepTheBound(t *testing.T) {
	for _, silent := range []float64{0.1, 0.2, 0.4} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("silent=%v,seed=%d", silent, seed), func(t *testing.T) {
				f := newFaultyService(seed, 9)
				f.run(130, 4*time.Second)
				f.silent, f.lost = silent/2, silent/2
				f.spared = int(seed % 2)
				f.run(130, 10*time.Second)
				f.silent, f.lost = 0, 0
				f.run(130, 6*time.Second)
				f.requireBound(t, 0)
			})
		}
	}
}

// TestReturnedServersKeepTheBound: five of nine servers are down for four seconds and
// come back under their names. As soon as they are up, the load is judged by the mean
// over all nine, so they must be in use again quickly.
func TestReturnedServersKeepTheBound(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			f := newFaultyService(seed, 9)
			f.run(130, 4*time.Second)
			for _, name := range f.names[:5] {
				f.crash(name)
			}
			f.run(130, 4*time.Second)
			clear(f.down)
			returned := f.now
			f.run(130, 8*time.Second)
			f.requireBound(t, returned)
		})
	}
}

// TestRejectingServersKeepTheBound: some of nine servers reject all requests for some
// seconds. The others must share the load, rather than the one that has the prompts
// cached taking all that it has slots for.
func TestRejectingServersKeepTheBound(t *testing.T) {
	for _, rejecting := range []int{3, 4, 5} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("rejecting=%d,seed=%d", rejecting, seed), func(t *testing.T) {
				f := newFaultyService(seed, 9)
				f.run(130, 4*time.Second)
				for _, name := range f.names[:rejecting] {
					f.full[name] = true
				}
				f.run(130, 6*time.Second)
				clear(f.full)
				f.run(130, 6*time.Second)
				f.requireBound(t, 0)
			})
		}
	}
}

// TestEjectedServerGetsOneRequestAtATime: connections to three of nine servers time out
// for many seconds. Whenever an ejection has passed, the server looks idle; it must not
// attract a burst of requests, each of which waits for the time-out.
func TestEjectedServerGetsOneRequestAtATime(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			f := newFaultyService(seed, 9)
			f.run(130, 4*time.Second)
			for _, name := range f.names[:3] {
				f.crash(name)
				delete(f.down, name)
				f.dark[name] = 0
			}
			f.run(130, 2*time.Second)
			f.mostDark = 0
			f.run(130, 10*time.Second)
			require.LessOrEqual(t, f.mostDark, 1)
		})
	}
}

// TestDeciderChangesKeepTheBound: for some seconds two instances decide, each for half of
// the requests, and know the others only from the load that the servers report; then
// one decides alone that has just started and knows none of the requests in flight.
func TestDeciderChangesKeepTheBound(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			f := newFaultyService(seed, 9)
			f.run(130, 4*time.Second)
			f.deciders = append(f.deciders, f.newDecider())
			f.run(130, 6*time.Second)
			f.deciders = []*scheduler.Scheduler{f.newDecider()}
			f.run(130, 6*time.Second)
			f.requireBound(t, 0)
		})
	}
}

// TestSilentProbeDoesNotKeepAServerOut: the first request to a server after its ejection gets
// no answer, and its caller waits on. The server gets another one soon, rather than none until
// that caller leaves.
func TestSilentProbeDoesNotKeepAServerOut(t *testing.T) {
	const (
		ejected   = time.Second
		perMoment = 6
	)
	s, _ := newEngineScheduler(2)
	id := uint64(0)
	// requests returns how many of some requests, which have not ended, went to a server.
	requests := func(now time.Duration, server string) int {
		n := 0
		for range perMoment {
			id++
			d, ok := s.Schedule(now, scheduler.Request{
				ID:    id,
				Parts: prompt(id, 1000+id),
			})
			if ok && d.Server == server {
				n++
			}
		}
		return n
	}
	s.Schedule(0, scheduler.Request{
		ID:    1000,
		Parts: prompt(1000, 2000),
	})
	s.Report(0, 1000, scheduler.Report{
		Event: scheduler.Unreachable,
	})
	failed := "e0"
	if requests(time.Millisecond, failed) > 0 {
		failed = "e1"
	}
	require.Zero(t, requests(2*time.Millisecond, failed), "the server is ejected")
	require.Equal(t, 1, requests(ejected, failed), "one request after the ejection")
	require.Zero(t, requests(ejected+400*time.Millisecond, failed), "as long as a connection may be attempted")
	require.Equal(t, 1, requests(ejected+600*time.Millisecond, failed), "another one while the first gets no answer")
}
