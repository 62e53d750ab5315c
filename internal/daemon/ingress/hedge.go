package ingress

// This file defines hedged requests: a copy of a request that goes to a second server while
// the first one has not begun its response.
//
// The exchanges with the two servers, up to the response header or the first event of a stream,
// and the placement of the copy run in goroutines of their own. All else is done by the goroutine of the call, so that
// its state needs no lock.

import (
	"context"
	"net/http"
	"slices"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/routing/hedge"
	"camphorspoke/internal/routing/scheduler"
)

// maxInProgress is the number of attempts of one request that may be in progress.
const maxInProgress = 2

// hedgePlan is what applies to the copies of a request.
type hedgePlan struct {
	policy hedge.Policy
	times  hedge.Times
	// delay is when a copy pays. mayCopy is true if one is possible at all.
	delay   time.Duration
	mayCopy bool
}

// planHedge returns the plan for an attempt that is about to be sent, and whether the service
// has hedging.
func (c *call) planHedge() (plan hedgePlan, hedged bool) {
	if !c.route.Repeatable() {
		return hedgePlan{}, false
	}
	plan.policy.Share = c.h.Membership.View().Rules.Services[c.service].HedgeShare(c.h.HedgePercent)
	if !plan.policy.Enabled() {
		return hedgePlan{}, false
	}
	times, known := c.h.responseTimes.Times(c.route.Name, plan.policy.Share)
	if !known || c.hedge != "" {
		return plan, true
	}
	plan.times, plan.delay = times, plan.policy.Delay(times)
	plan.mayCopy = c.hedgeVerdict(plan, 1, c.timeLeft()-plan.delay) == hedge.Send
	return plan, true
}

// hedgeVerdict decides on a copy while a number of attempts is in progress and the request has
// some time left.
func (c *call) hedgeVerdict(plan hedgePlan, inProgress int, left time.Duration) hedge.Verdict {
	return plan.policy.Decide(hedge.Request{
		Repeatable:    c.repeatable(),
		Runs:          c.runs + inProgress,
		Attempts:      c.route.Attempts,
		ResponseBegun: c.headerSent,
		CallerGone:    c.ctx.Err() != nil,
		Left:          left,
	}, plan.times)
}

// observe records the time until the response began. For an attempt that timed out before, or
// was ended because another one answered the request, it is the time for which it was waited
// for. Failures are left out, as they may come sooner than a response.
func (a *attempt) observe(ended bool) {
	c := a.c
	waited := a.bodyErr != nil || a.err != nil && fault.MayHaveRun(a.err)
	if a.answers() || waited && (ended || c.timedOut(a.sent)) {
		c.h.responseTimes.Observe(c.route.Name, c.h.Now()-a.sent)
	}
}

// answers reports whether the attempt has a response that may answer the request.
func (a *attempt) answers() bool {
	return a.err == nil && a.bodyErr == nil && a.info.Execution == edge.Ran && a.resp.Status < http.StatusInternalServerError
}

// race is a request whose attempts are in progress at the same time.
type race struct {
	c    *call
	plan hedgePlan
	// placed receives the placement of the copy, nil if it was refused. stopPlacing ends the
	// placement.
	placed      chan *placer.Grant
	stopPlacing context.CancelFunc
	// settled receives the attempts whose exchange has ended.
	settled chan *attempt
	first   *attempt
	// inProgress holds the attempts that have not settled, with the functions that end them.
	inProgress map[*attempt]context.CancelFunc
	// inDoubt is the last result of an attempt that has failed and may have run; ended if there
	// is none.
	inDoubt exchangeResult
}

// race sends the request to a server, and a copy to another one once the delay has passed. It
// relays the first response that answers the request.
func (c *call) race(g *placer.Grant, plan hedgePlan) exchangeResult {
	r := &race{
		c:          c,
		plan:       plan,
		placed:     make(chan *placer.Grant),
		settled:    make(chan *attempt, maxInProgress),
		inProgress: make(map[*attempt]context.CancelFunc),
	}
	placing, stopPlacing := context.WithCancel(c.ctx)
	defer stopPlacing()
	r.stopPlacing = stopPlacing
	r.first = r.start(g)
	timer := time.NewTimer(plan.delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			r.requestCopy(placing)
		case g := <-r.placed:
			r.startCopy(g)
		case a := <-r.settled:
			if result, over := r.settle(a); over {
				return result
			}
		}
	}
}

// start sends the request to a server.
func (r *race) start(g *placer.Grant) *attempt {
	ctx, cancel := context.WithCancel(r.c.ctx)
	a := r.c.newAttempt(ctx, g)
	a.awaitsEvent = true
	r.inProgress[a] = cancel
	go func() {
		a.send()
		r.settled <- a
	}()
	return a
}

// requestCopy asks the decider for a server for the copy, if it is allowed.
func (r *race) requestCopy(ctx context.Context) {
	if !r.mayCopy() {
		r.endHedge(metrics.HedgeRefused)
		return
	}
	c := r.c
	req := c.placementRequest()
	req.Tried = append(slices.Clone(c.tried), r.first.grant.Server)
	go func() {
		g, err := c.h.Placer.PlaceHedge(ctx, c.service, req)
		if err != nil {
			g = nil
		}
		select {
		case r.placed <- g:
		case <-ctx.Done():
			if g != nil {
				g.Report(scheduler.Report{
					Event: scheduler.Cancelled,
				})
			}
		}
	}()
}

// mayCopy reports whether the copy may be sent now.
func (r *race) mayCopy() bool {
	c := r.c
	if c.confirmAccount() != nil {
		return false
	}
	return c.hedgeVerdict(r.plan, len(r.inProgress), c.timeLeft()) == hedge.Send
}

// startCopy sends the copy to the server that the decider has chosen. The rules may have
// changed and the caller may have left since the request for it.
func (r *race) startCopy(g *placer.Grant) {
	if g == nil {
		r.endHedge(metrics.HedgeRefused)
		return
	}
	if !r.mayCopy() || g.Server == r.first.grant.Server {
		g.Report(scheduler.Report{
			Event: scheduler.Cancelled,
		})
		r.endHedge(metrics.HedgeRefused)
		return
	}
	r.c.countGrant(g)
	r.start(g)
}

// settle handles an attempt whose exchange has ended. The request is over once an attempt
// answers it, or once none is left.
func (r *race) settle(a *attempt) (result exchangeResult, over bool) {
	cancel := r.inProgress[a]
	delete(r.inProgress, a)
	defer cancel()
	if a == r.first {
		a.observe(false)
	}
	if a.answers() {
		a.beatFirst = a != r.first && r.inProgress[r.first] != nil
		r.endLosers()
	}
	a.hasRival = len(r.inProgress) > 0
	if !a.hasRival {
		r.stopPlacing()
	}
	switch {
	case a != r.first && a.answers():
		r.endHedge(metrics.HedgeWon)
	case a != r.first:
		r.endHedge(metrics.HedgeLost)
	}
	result = a.settle()
	if result == broken || result == failed {
		r.inDoubt = result
	}
	if a.hasRival {
		return result, false
	}
	if result != ended && r.inDoubt != ended {
		// An earlier attempt may have run, so its stricter rule for a repeat applies even if this
		// one certainly did not.
		result = r.inDoubt
	}
	return result, true
}

// endLosers ends the attempts in progress, and returns once their connections are closed.
func (r *race) endLosers() {
	for _, cancel := range r.inProgress {
		cancel()
	}
	for len(r.inProgress) > 0 {
		a := <-r.settled
		delete(r.inProgress, a)
		if a == r.first {
			a.observe(true)
		} else {
			r.endHedge(metrics.HedgeLost)
		}
		a.lose()
	}
}

// lose ends an attempt because another one answers the request. The request counts as run at
// its server unless that is certainly not so.
func (a *attempt) lose() {
	c := a.c
	report := scheduler.Report{
		Event: scheduler.Cancelled,
	}
	switch {
	case a.err == nil:
		a.resp.Close()
		c.sends++
		if !a.info.OtherServer {
			report = a.loadReport(scheduler.Cancelled)
		}
		if a.info.Execution != edge.NotRun {
			c.runs++
		}
	case fault.MayHaveRun(a.err):
		c.sends++
		c.runs++
	}
	a.grant.Report(report)
	c.logAbandoned(a, lost)
}

// endHedge records what became of the copy.
func (r *race) endHedge(result string) {
	r.c.hedge = result
	r.c.h.Meters.Hedge(r.c.ctx, r.c.service, result)
}
