package ingress

// This file defines the attempts of a request: which server gets it, and whether it is sent
// to another one after that.

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/routing/scheduler"
)

const (
	// extraSends is how many times beyond the route's attempts a request may be sent
	// after servers have reported that they did not run it.
	extraSends = 3
	// maxUnreachable is the number of unreachable servers after which a request
	// fails.
	maxUnreachable = 4
	// minTimeLeft is the least time before its deadline at which a request is still
	// sent.
	minTimeLeft = 10 * time.Millisecond
	// waitDivisor limits the wait for a placement: it is at most the time left until
	// the deadline, divided by waitDivisor.
	waitDivisor = 3
	// objectiveShare limits the wait for a placement to this share of the route's
	// latency objective. A longer queue would not raise the throughput, but would
	// make every request miss its objective.
	objectiveShare = 0.5
	// notRunRetryAfter is the retry delay given to callers whose request did not run.
	// By then the servers that failed are left out of placement. Up to the same time
	// again is added at random, to spread the retries.
	notRunRetryAfter = 200 * time.Millisecond
)

// exchangeResult is the outcome of one attempt at a backend server.
type exchangeResult int

const (
	// ended means that the caller has its response, or has disconnected.
	ended exchangeResult = iota
	// rejected means that the server reported that it did not run the request.
	rejected
	// notSent means that no byte of the request was sent.
	notSent
	// broken means that the request may have run, but no complete and valid response
	// was received.
	broken
	// failed means that the server answered with an error status that was not
	// relayed, so that the request can be retried.
	failed
	// lost means that the attempt was ended because another one answered the request.
	lost
)

// resultNames are the names of the results in the log and in the metrics.
var resultNames = map[exchangeResult]string{
	ended:    "ended",
	rejected: "rejected",
	notSent:  "notSent",
	broken:   "broken",
	failed:   "failed",
	lost:     "lost",
}

// run sends the request to one backend server after another until it is answered or
// fails.
func (c *call) run() {
	if err := c.bindVersion(); err != nil {
		c.refuse(c.finalFault(err))
		return
	}
	for {
		if c.timeLeft() < minTimeLeft {
			c.refuse(c.finalFault(fault.New(fault.DeadlineTooNear, c.service, "the deadline is too near to send the request")))
			return
		}
		if c.mustForward() && c.forwardAway() {
			return
		}
		if c.mustReturn() {
			c.refuse(c.refusedForward())
			return
		}
		g, err := c.place()
		if err != nil {
			c.countUnplaced(err)
			c.refuse(c.finalFault(err))
			return
		}
		if err := c.confirmAccount(); err != nil {
			g.Report(scheduler.Report{
				Event: scheduler.Cancelled,
			})
			c.refuse(c.finalFault(err))
			return
		}
		if !c.repeatAllowed() {
			g.Report(scheduler.Report{
				Event: scheduler.Cancelled,
			})
			c.refuse(c.finalFault(c.lastErr))
			return
		}
		c.countGrant(g)
		result := c.exchange(g)
		if result == ended {
			return
		}
		if !c.mayRetry(result, c.unreachable) {
			c.refuse(c.finalFault(c.lastErr))
			return
		}
	}
}

// countGrant counts a placement that is used.
func (c *call) countGrant(g *placer.Grant) {
	c.grant = g
	c.h.Meters.Prompt(c.ctx, c.service, g.Reuse, g.RereadTokens)
	c.h.Meters.Placement(c.ctx, c.service, g.OverLimit, g.Alone)
	c.h.Meters.Pushbacks(c.ctx, c.service, metrics.PushbackWithdrawn, g.Withdrawn-g.WithdrawnForLimit)
	c.h.Meters.Pushbacks(c.ctx, c.service, metrics.PushbackWithdrawnForLimit, g.WithdrawnForLimit)
}

// abandon records an attempt that did not answer the request.
func (c *call) abandon(a *attempt, result exchangeResult) {
	c.logAbandoned(a, result)
	c.tried = append(c.tried, a.grant.Server)
	if result == notSent {
		c.unreachable++
	}
}

// mayRetry reports whether the request may be sent again.
func (c *call) mayRetry(result exchangeResult, unreachable int) bool {
	if c.ctx.Err() != nil || !c.repeatAllowed() || c.versionUnknown {
		return false
	}
	switch result {
	case notSent:
		return unreachable < maxUnreachable
	case rejected:
		return c.sends < c.route.Attempts+extraSends
	default:
		return c.runs < c.route.Attempts
	}
}

// repeatAllowed reports whether the request may run now: it has certainly not run yet, or may
// run more than once.
func (c *call) repeatAllowed() bool { return c.runs == 0 || c.repeatable() }

// repeatable reports whether the request may run more than once, by the rules that admitted
// it and by those in force now.
func (c *call) repeatable() bool {
	if !c.route.Repeatable() {
		return false
	}
	now := c.h.Membership.View().Rules.Match(host(c.r.Host), path(c.r.RequestURI))
	return now == nil || now.Repeatable()
}

// finalFault returns the failure for the caller. It reports the request as not run
// only if that is certain.
func (c *call) finalFault(err error) error {
	if c.runs == 0 {
		if c.ctx != nil && c.ctx.Err() != nil {
			return fault.Wrap(fault.DeadlineTooNear, c.service, err)
		}
		return notRunFault(c.service, err)
	}
	if c.ctx.Err() != nil {
		return fault.Wrap(fault.TimedOut, c.service, err)
	}
	return fault.Wrap(fault.LinkBroken, c.service, err)
}

// notRunFault returns err if it already guarantees that the request did not run, and
// wraps it in such a failure otherwise. It adds a retry delay if there is none.
func notRunFault(service string, err error) error {
	var f *fault.Fault
	if !errors.As(err, &f) || fault.MayHaveRun(f) {
		f = fault.Wrap(fault.NotRun, service, err)
	}
	if f.RetryAfter > 0 {
		return f
	}
	withRetryAfter := *f
	withRetryAfter.RetryAfter = notRunRetryAfter + rand.N(notRunRetryAfter)
	return &withRetryAfter
}

// place gets a backend server for the next attempt.
func (c *call) place() (*placer.Grant, error) {
	req := c.placementRequest()
	req.Tried, req.Retry = c.tried, c.sends+c.sendsBefore > 0
	// Each earlier attempt has had a placement, also one whose request was not sent.
	req.Counted = len(c.tried) > 0 || c.countedBefore
	return c.h.Placer.Place(c.ctx, c.service, req)
}

// placementRequest returns what every placement of the request has in common.
func (c *call) placementRequest() scheduler.Request {
	wait := c.timeLeft() / waitDivisor
	if o := c.route.Objective; o > 0 {
		wait = min(wait, time.Duration(objectiveShare*float64(o)))
	}
	return scheduler.Request{
		MaxWait:         wait,
		Account:         c.account,
		Version:         c.version,
		Parts:           promptParts(c.req.Prompt),
		Fingerprint:     c.fingerprint(),
		PromptTokens:    c.req.Prompt.Tokens,
		MaxOutputTokens: c.req.Prompt.MaxOutputTokens,
		Urgency:         c.urgency,
		FailureDomain:   c.h.FailureDomain,
	}
}

// logAbandoned logs and counts an attempt that did not answer the request.
func (c *call) logAbandoned(a *attempt, result exchangeResult) {
	connection := metrics.ConnectionClosed
	if a.connectionKept {
		connection = metrics.ConnectionKept
	}
	c.h.Meters.Abandoned(c.ctx, c.service, resultNames[result], connection)
	fields := logrus.Fields{
		"request":    c.req.ID,
		"server":     a.grant.Server,
		"version":    a.grant.Version,
		"address":    a.grant.Address,
		"service":    c.service,
		"result":     resultNames[result],
		"connection": connection,
		"elapsedMs":  (c.h.Now() - a.sent).Milliseconds(),
		"sends":      c.sends,
		"runs":       c.runs,
		"lastEvent":  c.lastEvent,
		"cause":      c.lastErr,
	}
	if a.resp != nil {
		fields["status"] = a.resp.Status
		fields["connectionRequests"] = a.resp.Number()
	}
	c.h.Logger.WithFields(fields).Info("ingress: an attempt was abandoned")
}
