package hedge_test

// This file replays loads in virtual time against the estimator, the policy and the
// scheduler: requests of a plain service, each sent to one server or two.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/hedge"
	"camphorspoke/internal/routing/scheduler"
)

const (
	replayServers = 10
	replaySlots   = 6
	replaySpan    = 30 * time.Second
	// workTime is the mean time of work on a request, and replayTimeout the time after which
	// its caller gives up.
	workTime      = 40 * time.Millisecond
	replayTimeout = 2 * time.Second
)

// load is what a replay varies.
type load struct {
	perSecond int
	share     float64
	// callerGoneAfter is the time after which callers leave; zero is never.
	callerGoneAfter time.Duration
	// work returns how long a server works on a request.
	work func(rng *rand.Rand, now time.Duration, server string) time.Duration
}

// usual varies a little.
func usual(rng *rand.Rand) time.Duration {
	return time.Duration((0.7 + 0.6*rng.Float64()) * float64(workTime))
}

// outcome is the result of a replay.
type outcome struct {
	times            []time.Duration
	requests, copies int
	// copiesToGone counts the copies sent after their caller had left.
	copiesToGone int
	bySecond     map[int]int
}

func (o *outcome) quantile(q float64) time.Duration {
	slices.Sort(o.times)
	return o.times[int(q*float64(len(o.times)-1))]
}

// event is something that happens in a replay at a time.
type event struct {
	at time.Duration
	do func(now time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return cmp.Less(e[i].at, e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay runs a load. An attempt that loses is ended when the other one has responded.
type replay struct {
	load
	rng       *rand.Rand
	events    events
	scheduler *scheduler.Scheduler
	estimator hedge.Estimator
	policy    hedge.Policy
	nextID    uint64
	waiting   map[uint64]func(now time.Duration, d scheduler.Decision)
	out       outcome
}

// request is one request in a replay, with its attempts that are in progress.
type request struct {
	began    time.Duration
	ended    bool
	first    string
	firstAt  time.Duration
	attempts map[uint64]time.Duration
}

func (r *replay) at(at time.Duration, do func(time.Duration)) {
	heap.Push(&r.events, event{at, do})
}

// report passes a report to the scheduler and what it decides to the waiting requests.
func (r *replay) report(now time.Duration, id uint64, rep scheduler.Report) {
	for _, d := range r.scheduler.Report(now, id, rep) {
		r.decided(now, d)
	}
}

func (r *replay) decided(now time.Duration, d scheduler.Decision) {
	if do := r.waiting[d.ID]; do != nil {
		delete(r.waiting, d.ID)
		do(now, d)
	}
}

func (r *replay) schedule(now time.Duration, req scheduler.Request, do func(time.Duration, scheduler.Decision)) {
	r.nextID++
	req.ID = r.nextID
	d, decided := r.scheduler.Schedule(now, req)
	if decided {
		do(now, d)
		return
	}
	r.waiting[req.ID] = do
}

func (r *replay) arrive(now time.Duration) {
	q := &request{
		began:    now,
		attempts: make(map[uint64]time.Duration),
	}
	r.out.requests++
	r.schedule(now, scheduler.Request{
		MaxWait: 500 * time.Millisecond,
	}, func(now time.Duration, d scheduler.Decision) {
		if d.Server == "" {
			return
		}
		q.first, q.firstAt = d.Server, now
		r.send(now, q, d)
		if times, ok := r.estimator.Times("r", r.policy.Share); ok && r.policy.Enabled() {
			r.at(now+r.policy.Delay(times), func(now time.Duration) { r.copy(now, q, times) })
		}
	})
	r.at(now+cmp.Or(r.callerGoneAfter, replayTimeout), func(now time.Duration) { r.giveUp(now, q) })
}

func (r *replay) send(now time.Duration, q *request, d scheduler.Decision) {
	q.attempts[d.ID] = now
	r.at(now+r.work(r.rng, now, d.Server), func(now time.Duration) { r.respond(now, q, d.ID) })
}

// copy sends a copy if the policy and the scheduler allow it.
func (r *replay) copy(now time.Duration, q *request, times hedge.Times) {
	if q.ended && r.callerGoneAfter == 0 {
		return
	}
	if r.policy.Decide(hedge.Request{
		Repeatable: true,
		Runs:       1,
		Attempts:   2,
		CallerGone: q.ended,
		Left:       q.began + replayTimeout - now,
	}, times) != hedge.Send {
		return
	}
	r.schedule(now, scheduler.Request{
		Tried: []string{q.first},
		Retry: true,
		Hedge: true,
	}, func(now time.Duration, d scheduler.Decision) {
		if d.Server == "" {
			return
		}
		r.out.copies++
		r.out.bySecond[int(now/time.Second)]++
		if q.ended {
			r.out.copiesToGone++
		}
		r.send(now, q, d)
	})
}

// respond ends the request with the first response.
func (r *replay) respond(now time.Duration, q *request, id uint64) {
	if q.ended {
		return
	}
	r.estimator.Observe("r", now-q.firstAt)
	r.end(now, q, id, false)
}

func (r *replay) giveUp(now time.Duration, q *request) {
	if q.ended {
		return
	}
	if r.callerGoneAfter == 0 && len(q.attempts) > 0 {
		r.estimator.Observe("r", now-q.firstAt)
	}
	r.end(now, q, 0, r.callerGoneAfter == 0)
}

// end ends all attempts. The one with the ID has responded; the others count as broken if the
// request has timed out.
func (r *replay) end(now time.Duration, q *request, responded uint64, timedOut bool) {
	q.ended = true
	if r.callerGoneAfter == 0 || responded != 0 {
		r.out.times = append(r.out.times, now-q.began)
	}
	for id := range q.attempts {
		event := scheduler.Cancelled
		switch {
		case id == responded:
			event = scheduler.Done
		case timedOut:
			event = scheduler.Broken
		}
		r.report(now, id, scheduler.Report{
			Event: event,
		})
	}
}

// run replays a load from a fixed seed.
func (l load) run() *outcome {
	r := &replay{
		load:    l,
		rng:     rand.New(rand.NewPCG(1, 2)),
		waiting: make(map[uint64]func(time.Duration, scheduler.Decision)),
		policy: hedge.Policy{
			Share: l.share,
		},
		out: outcome{
			bySecond: make(map[int]int),
		},
		scheduler: scheduler.New(scheduler.Service{
			Name:        "s",
			Slots:       replaySlots,
			LoadBound:   2,
			RetryWindow: 10 * time.Second,
			RetryRatio:  0.2,
			RetrySlack:  20,
			HedgeShare:  l.share,
		}),
	}
	var servers []scheduler.Server
	for i := range replayServers {
		servers = append(servers, scheduler.Server{
			Name:      fmt.Sprintf("s%d", i),
			Accepting: true,
		})
	}
	r.scheduler.SetServers(0, servers)
	gap := time.Second / time.Duration(l.perSecond)
	for at := time.Duration(0); at < replaySpan; at += time.Duration((0.5 + r.rng.Float64()) * float64(gap)) {
		r.at(at, r.arrive)
	}
	for at := time.Duration(0); at < replaySpan; at += 20 * time.Millisecond {
		r.at(at, func(now time.Duration) {
			for _, d := range r.scheduler.Tick(now) {
				r.decided(now, d)
			}
		})
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		e.do(e.at)
	}
	return &r.out
}

// TestLoads compares each load without and with hedging. Copies stay within their share of
// the requests.
func TestLoads(t *testing.T) {
	const share = 0.05
	sound := func(rng *rand.Rand, _ time.Duration, _ string) time.Duration { return usual(rng) }
	for name, c := range map[string]struct {
		load load
		// check compares the outcomes without and with hedging.
		check func(t *testing.T, without, with *outcome)
	}{
		"noise: 15 in 100 take 2.5 times as long": {
			load: load{
				perSecond: 400,
				work: func(rng *rand.Rand, _ time.Duration, _ string) time.Duration {
					if rng.Float64() < 0.15 {
						return usual(rng) * 5 / 2
					}
					return usual(rng)
				},
			},
			check: func(t *testing.T, without, with *outcome) {
				require.Less(t, float64(with.quantile(0.99)), 1.05*float64(without.quantile(0.99)), "no worse")
			},
		},
		"rare long pauses": {
			load: load{
				perSecond: 400,
				work: func(rng *rand.Rand, _ time.Duration, _ string) time.Duration {
					if rng.Float64() < 0.02 {
						return 10 * workTime
					}
					return usual(rng)
				},
			},
			check: func(t *testing.T, without, with *outcome) {
				require.Less(t, with.quantile(0.99), without.quantile(0.99)/2)
			},
		},
		"a grey server hangs on half its requests": {
			load: load{
				perSecond: 400,
				work: func(rng *rand.Rand, _ time.Duration, server string) time.Duration {
					if server == "s3" && rng.Float64() < 0.5 {
						return time.Hour
					}
					return usual(rng)
				},
			},
			check: func(t *testing.T, without, with *outcome) {
				require.Less(t, with.quantile(0.999), without.quantile(0.999)/2)
			},
		},
		"a server stalls for half a second in each five": {
			load: load{
				perSecond: 400,
				work: func(rng *rand.Rand, now time.Duration, server string) time.Duration {
					phase := now % (5 * time.Second)
					if server == "s3" && phase > 4500*time.Millisecond {
						return 5*time.Second - phase + usual(rng)
					}
					return usual(rng)
				},
			},
			check: func(t *testing.T, without, with *outcome) {
				require.Less(t, with.quantile(0.999), without.quantile(0.999)/2)
			},
		},
		"overload from the 10th second on": {
			load: load{
				perSecond: 400,
				work: func(rng *rand.Rand, now time.Duration, _ string) time.Duration {
					if now > 10*time.Second {
						return 6 * usual(rng)
					}
					return usual(rng)
				},
			},
			check: func(t *testing.T, _, with *outcome) {
				for second := 12; second < 30; second++ {
					require.Zero(t, with.bySecond[second], "copies in second %d", second)
				}
			},
		},
		"callers leave, and more requests are late than the budget covers": {
			load: load{
				perSecond:       400,
				callerGoneAfter: 2 * workTime,
				work: func(rng *rand.Rand, _ time.Duration, _ string) time.Duration {
					if rng.Float64() < 0.1 {
						return 10 * workTime
					}
					return usual(rng)
				},
			},
			check: func(t *testing.T, _, with *outcome) {
				require.Greater(t, float64(with.copies), 0.9*share*float64(with.requests), "the budget is spent")
				require.Zero(t, with.copiesToGone)
			},
		},
		"sound": {
			load: load{
				perSecond: 400,
				work:      sound,
			},
			check: func(t *testing.T, _, with *outcome) {
				require.Less(t, float64(with.copies), 0.01*float64(with.requests))
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			without := c.load.run()
			c.load.share = share
			with := c.load.run()
			for _, q := range []float64{0.95, 0.99, 0.999} {
				t.Logf("quantile %v: %v without, %v with", q, without.quantile(q).Round(time.Millisecond), with.quantile(q).Round(time.Millisecond))
			}
			t.Logf("%d copies of %d requests", with.copies, with.requests)
			require.Zero(t, without.copies)
			require.LessOrEqual(t, float64(with.copies), share*float64(with.requests))
			c.check(t, without, with)
		})
	}
}
