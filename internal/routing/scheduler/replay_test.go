package scheduler_test

// This file replays servers whose speed changes in steps of a millisecond, and compares
// placement with and without what the servers show of their speed.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
)

// How a replayed service shows the speed of its servers.
const (
	// withheld servers state that their work takes as long as usual.
	withheld = -1
	// unstated servers state nothing.
	unstated = 0
	// stated servers state the percent figure.
	stated = 1
)

const (
	// usualPercent is the percent figure of a server at its usual speed.
	usualPercent = 100
	// transitTicks is how long a request or a report is in transit, in milliseconds.
	transitTicks = 2
	// replaySeeds is the number of replays that are taken together, each of replaySpan.
	replaySeeds = 3
	replaySpan  = 24 * time.Second
	// replayWarmUp is how long requests are replayed before their times count.
	replayWarmUp = 3 * time.Second
)

// replayServer runs the first slots of its requests at a time, each at the server's speed.
type replayServer struct {
	slots int
	// percent is how long work takes, history the value in each millisecond so far.
	percent int
	history []int
	// changeAt is when a plain server changes its speed.
	changeAt time.Duration
	requests []*replayRequest
	cache    prefixcache.Cache
}

type replayRequest struct {
	id      uint64
	arrived time.Duration
	sentAt  time.Duration
	// workLeft is in milliseconds at the usual speed, for an engine that of the prefill.
	workLeft   float64
	decodeLeft float64
	parts      []prefixcache.Part
	server     *replayServer
}

// replay is a service with its scheduler.
type replay struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	scheduler *scheduler.Scheduler
	servers   map[string]*replayServer
	names     []string
	// lag is how old the figures are that the scheduler gets.
	lag     time.Duration
	show    int
	waiting map[uint64]*replayRequest
	// reports are in transit to the scheduler.
	reports []replayReport
	// times are the times to the first event, or to the answer of a plain service.
	times []time.Duration
	next  uint64
}

type replayReport struct {
	at     time.Duration
	id     uint64
	report scheduler.Report
}

func newReplay(t *testing.T, seed uint64, svc scheduler.Service, servers int, show int) *replay {
	t.Helper()
	svc.LoadBound, svc.RetryWindow = 2, 10*time.Second
	r := &replay{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		scheduler: scheduler.New(svc),
		servers:   make(map[string]*replayServer),
		show:      show,
		waiting:   make(map[uint64]*replayRequest),
	}
	for _, sv := range listServers(r.scheduler, servers, svc.Slots) {
		r.names = append(r.names, sv.Name)
		r.servers[sv.Name] = &replayServer{
			slots:   svc.Slots,
			percent: usualPercent,
			cache: prefixcache.Cache{
				Capacity: svc.CacheTokens,
			},
		}
	}
	return r
}

// submit passes a request to the scheduler.
func (r *replay) submit(req *replayRequest) {
	r.next++
	req.id, req.arrived = r.next, r.now
	r.waiting[req.id] = req
	d, ok := r.scheduler.Schedule(r.now, scheduler.Request{
		ID:      req.id,
		Parts:   req.parts,
		MaxWait: time.Second,
	})
	if ok {
		r.grant(d)
	}
}

func (r *replay) grant(d scheduler.Decision) {
	req := r.waiting[d.ID]
	delete(r.waiting, d.ID)
	if d.Server == "" {
		r.record(req, time.Second)
		return
	}
	req.server = r.servers[d.Server]
	req.sentAt = r.now + transitTicks*time.Millisecond
	if len(req.parts) > 0 {
		miss := -req.server.cache.CachedTokens(req.parts)
		for _, p := range req.parts {
			miss += p.Tokens
		}
		req.server.cache.Use(req.parts)
		req.workLeft = float64(miss) / prefillPerTick
	}
	req.server.requests = append(req.server.requests, req)
}

func (r *replay) record(req *replayRequest, elapsed time.Duration) {
	if req.arrived >= replayWarmUp {
		r.times = append(r.times, elapsed)
	}
}

// percentOf returns the figure that a server states.
func (r *replay) percentOf(sv *replayServer) int {
	if r.show <= unstated {
		return -r.show * usualPercent
	}
	return sv.history[max(len(sv.history)-1-int(r.lag/time.Millisecond), 0)]
}

func (r *replay) report(req *replayRequest, event scheduler.Event) {
	r.reports = append(r.reports, replayReport{
		at: r.now + transitTicks*time.Millisecond,
		id: req.id,
		report: scheduler.Report{
			Event:       event,
			WorkPercent: r.percentOf(req.server),
		},
	})
}

// step advances the replay by a millisecond.
func (r *replay) step() {
	for _, name := range r.names {
		sv := r.servers[name]
		sv.history = append(sv.history, sv.percent)
		r.work(sv)
	}
	r.reports = slices.DeleteFunc(r.reports, func(p replayReport) bool {
		if p.at > r.now {
			return false
		}
		for _, d := range r.scheduler.Report(r.now, p.id, p.report) {
			r.grant(d)
		}
		return true
	})
	if r.now%(20*time.Millisecond) == 0 {
		for _, d := range r.scheduler.Tick(r.now) {
			r.grant(d)
		}
	}
	r.now += time.Millisecond
}

// work lets a server run for a millisecond: the requests in its slots at the same time, except
// that one engine prefills one prompt at a time, while the others wait.
func (r *replay) work(sv *replayServer) {
	progress := usualPercent / float64(sv.percent)
	prefilled := false
	slots := sv.requests[:min(len(sv.requests), sv.slots)]
	for _, req := range slots {
		switch {
		case req.sentAt > r.now:
		case len(req.parts) == 0:
			req.workLeft -= progress
			if req.workLeft <= 0 {
				r.record(req, r.now-req.arrived)
				r.report(req, scheduler.Done)
			}
		case req.workLeft > 0 && !prefilled:
			prefilled = true
			req.workLeft -= progress
			if req.workLeft <= 0 {
				r.record(req, r.now-req.arrived)
				r.report(req, scheduler.Started)
			}
		case req.workLeft <= 0 && !prefilled:
			req.decodeLeft -= progress
			if req.decodeLeft <= 0 {
				r.report(req, scheduler.Done)
			}
		}
	}
	sv.requests = slices.DeleteFunc(sv.requests, func(req *replayRequest) bool {
		return req.sentAt <= r.now && req.workLeft <= 0 && (len(req.parts) == 0 || req.decodeLeft <= 0)
	})
}

// arrivals returns how many requests arrive in a millisecond, at a mean rate.
func (r *replay) arrivals(perSecond float64) int {
	n := 0
	for p := perSecond / 1000; r.rng.Float64() < p/(1+p); {
		n++
	}
	return n
}

func (r *replay) mean() time.Duration {
	sum := time.Duration(0)
	for _, d := range r.times {
		sum += d
	}
	return sum / time.Duration(len(r.times))
}

func (r *replay) quantile(q float64) time.Duration {
	slices.Sort(r.times)
	return r.times[int(q*float64(len(r.times)))]
}

// laterThan returns the share of requests that took longer than a time, in hundredths.
func (r *replay) laterThan(d time.Duration) float64 {
	n := 0
	for _, t := range r.times {
		if t > d {
			n++
		}
	}
	return 100 * float64(n) / float64(len(r.times))
}

// evenWork returns the milliseconds of work of requests of one kind.
func evenWork(rng *rand.Rand) float64 { return 20 + 10*rng.Float64() }

// unevenWork returns those of requests of two kinds, one of which takes six times as long.
func unevenWork(rng *rand.Rand) float64 {
	if rng.IntN(4) == 0 {
		return 120
	}
	return 20
}

// replayPlain replays a plain service of three servers. Each is slow for part of the time, in
// stretches of 300 to 600 ms.
func replayPlain(t *testing.T, seed uint64, perSecond float64, slowShare float64, work func(*rand.Rand) float64, show int) *replay {
	t.Helper()
	r := newReplay(t, seed, scheduler.Service{
		Name:  "plain",
		Slots: 6,
	}, 3, show)
	for r.now < replaySpan {
		for _, name := range r.names {
			sv := r.servers[name]
			if r.now < sv.changeAt || slowShare == 0 {
				continue
			}
			stretch := 300 + 300*r.rng.Float64()
			if sv.percent = 250 + usualPercent - sv.percent; r.now == 0 {
				sv.percent = usualPercent
			}
			if sv.percent == usualPercent {
				stretch *= (1 - slowShare) / slowShare * 2 * r.rng.Float64()
			}
			sv.changeAt = r.now + time.Duration(stretch*float64(time.Millisecond))
		}
		for range r.arrivals(perSecond) {
			r.submit(&replayRequest{
				workLeft: work(r.rng),
			})
		}
		r.step()
	}
	return r
}

// replayEngines replays twenty engines, a fifth of which is slow; which ones changes every
// 600 ms.
func replayEngines(t *testing.T, seed uint64, perSecond float64, lag time.Duration, show int) *replay {
	t.Helper()
	r := newReplay(t, seed, scheduler.Service{
		Name:        "llm",
		Engine:      true,
		Slots:       12,
		CacheTokens: 200_000,
	}, 20, show)
	r.lag = lag
	for r.now < replaySpan {
		if r.now%(600*time.Millisecond) == 0 {
			for i, at := range r.rng.Perm(len(r.names)) {
				r.servers[r.names[at]].percent = usualPercent
				if i < len(r.names)/5 {
					r.servers[r.names[at]].percent = 250
				}
			}
		}
		for range r.arrivals(perSecond) {
			r.submit(&replayRequest{
				decodeLeft: 200,
				parts: []prefixcache.Part{
					{ID: 1, Tokens: 2500},
					{ID: 100 + r.rng.Uint64N(60), Tokens: 6000},
					{ID: 1_000_000 + r.next, Tokens: 2000 + r.rng.IntN(2000)},
				},
			})
		}
		r.step()
	}
	return r
}

func (r *replay) String() string {
	return fmt.Sprintf("mean %v, p95 %v, p99 %v; in 100 later than 50 ms %.2f, than 120 ms %.2f; %d requests",
		r.mean(), r.quantile(.95), r.quantile(.99), r.laterThan(50*time.Millisecond), r.laterThan(120*time.Millisecond), len(r.times))
}

// pooled runs a replay with several seeds and returns the times of all of them.
func pooled(t *testing.T, name string, run func(seed uint64) *replay) *replay {
	t.Helper()
	all := &replay{}
	for seed := range uint64(replaySeeds) {
		all.times = append(all.times, run(seed).times...)
	}
	t.Logf("%s: %v", name, all)
	return all
}

// TestSlowPlainServersGetLess: a plain service whose servers state nothing placed requests on a
// server that was slow at the time as on the others. The least that a request takes on a slow
// server is 50 ms.
func TestSlowPlainServersGetLess(t *testing.T) {
	for _, perSecond := range []float64{300, 400} {
		before := pooled(t, "withheld", func(seed uint64) *replay { return replayPlain(t, seed, perSecond, .15, evenWork, withheld) })
		after := pooled(t, "from times", func(seed uint64) *replay { return replayPlain(t, seed, perSecond, .15, evenWork, unstated) })
		require.Less(t, after.laterThan(50*time.Millisecond), .85*before.laterThan(50*time.Millisecond))
		require.Less(t, after.mean(), before.mean())
		require.Less(t, after.quantile(.95), before.quantile(.95))
		require.LessOrEqual(t, after.laterThan(120*time.Millisecond), before.laterThan(120*time.Millisecond)+.02)
	}
}

// TestEqualPlainServersArePlacedAsBefore: the times of requests differ on equally fast servers
// too, by little or by a lot. That must not move load between them.
func TestEqualPlainServersArePlacedAsBefore(t *testing.T) {
	for name, work := range map[string]func(*rand.Rand) float64{"even": evenWork, "uneven": unevenWork} {
		before := pooled(t, name+" withheld", func(seed uint64) *replay { return replayPlain(t, seed, 200, 0, work, withheld) })
		after := pooled(t, name+" from times", func(seed uint64) *replay { return replayPlain(t, seed, 200, 0, work, unstated) })
		require.InEpsilon(t, before.mean(), after.mean(), .01)
		require.InEpsilon(t, before.quantile(.95), after.quantile(.95), .01)
	}
}

// TestStatedSpeedShortensFirstEvents: engines that were slow for the moment got as many
// prompts to read as the others, although their responses state it.
func TestStatedSpeedShortensFirstEvents(t *testing.T) {
	for _, perSecond := range []float64{150, 350} {
		before := pooled(t, "withheld", func(seed uint64) *replay { return replayEngines(t, seed, perSecond, 0, withheld) })
		after := pooled(t, "stated", func(seed uint64) *replay { return replayEngines(t, seed, perSecond, 0, stated) })
		require.Less(t, after.mean(), before.mean()*95/100)
		require.Less(t, after.quantile(.95), before.quantile(.95)*9/10)
	}
}

// TestLateFiguresDoNoHarm: figures that are 2 s old say nothing, and moved load to and fro
// between engines. Requests took up to 14 in 100 longer than without figures.
func TestLateFiguresDoNoHarm(t *testing.T) {
	for _, perSecond := range []float64{150, 350} {
		before := pooled(t, "withheld", func(seed uint64) *replay { return replayEngines(t, seed, perSecond, 0, withheld) })
		after := pooled(t, "2 s late", func(seed uint64) *replay { return replayEngines(t, seed, perSecond, 2*time.Second, stated) })
		require.Less(t, after.mean(), before.mean()*102/100)
		require.Less(t, after.quantile(.95), before.quantile(.95)*102/100)
	}
}
