package ingress

// This file defines the attempts of a request: placement, exchange and retries.

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/rules/ruleset"
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
	// maxUrgency is the highest urgency value that backend servers accept. Higher
	// values are less urgent.
	maxUrgency = 9
	// maxBufferedBody is how much of a response body is read before the response
	// header is relayed.
	maxBufferedBody = 1 << 20
	// minBodyStep is the least of a body that is read at once, in bytes.
	minBodyStep    = 4 << 10
	copyBufferSize = 16 << 10
	// maxEventBytes is the largest event of a stream, in bytes.
	maxEventBytes = 1 << 20
	// minSilence is the least time without any response after which a request that timed
	// out counts against its server.
	minSilence = 500 * time.Millisecond
	// timeoutMargin is how long before the deadline a caller may disconnect because its
	// own time is up.
	timeoutMargin = 100 * time.Millisecond
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
)

// resultNames are the names of the results in the log and in the metrics.
var resultNames = map[exchangeResult]string{
	ended:    "ended",
	rejected: "rejected",
	notSent:  "notSent",
	broken:   "broken",
	failed:   "failed",
}

// run sends the request to one backend server after another until it is answered or
// fails.
func (c *call) run() {
	unreachable := 0
	for {
		if c.timeLeft() < minTimeLeft {
			c.refuse(c.finalFault(fault.New(fault.DeadlineTooNear, c.service, "the deadline is too near to send the request")))
			return
		}
		g, err := c.place()
		if err != nil {
			c.refuse(c.finalFault(err))
			return
		}
		if c.requiresKey && !c.h.Membership.Fresh() {
			g.Report(scheduler.Report{
				Event: scheduler.Cancelled,
			})
			c.refuse(c.finalFault(staleRulesFault("the confirmation of the rules expired while the request waited")))
			return
		}
		c.grant = g
		c.h.Meters.Prompt(c.ctx, c.service, g.Reuse, g.RereadTokens)
		c.h.Meters.Placement(c.ctx, c.service, g.OverLimit, g.Alone)
		c.h.Meters.Pushbacks(c.ctx, c.service, metrics.PushbackWithdrawn, g.Withdrawn)
		result := c.exchange(g)
		if result == ended {
			return
		}
		c.logGivenUp(g, result)
		c.tried = append(c.tried, g.Server)
		if result == notSent {
			unreachable++
		}
		if !c.mayRetry(result, unreachable) {
			c.refuse(c.finalFault(c.lastErr))
			return
		}
	}
}

// mayRetry reports whether the request may be sent again.
func (c *call) mayRetry(result exchangeResult, unreachable int) bool {
	if c.ctx.Err() != nil {
		return false
	}
	switch result {
	case notSent:
		return unreachable < maxUnreachable
	case rejected:
		return c.sends < c.route.Attempts+extraSends
	default:
		return c.runs < c.route.Attempts && c.repeatable()
	}
}

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
	wait := c.timeLeft() / waitDivisor
	if o := c.route.Objective; o > 0 {
		wait = min(wait, time.Duration(objectiveShare*float64(o)))
	}
	return c.h.Placer.Place(c.ctx, c.service, scheduler.Request{
		Account:         c.account,
		Parts:           promptParts(c.req.Prompt),
		MaxOutputTokens: c.req.Prompt.MaxOutputTokens,
		Urgency:         c.urgency,
		MaxWait:         wait,
		Tried:           c.tried,
		Retry:           c.sends > 0,
		FailureDomain:   c.h.FailureDomain,
	})
}

// logGivenUp logs and counts an attempt that did not answer the request.
func (c *call) logGivenUp(g *placer.Grant, result exchangeResult) {
	connection := metrics.ConnectionClosed
	if c.connectionKept {
		connection = metrics.ConnectionKept
	}
	c.h.Meters.GivenUp(c.ctx, c.service, resultNames[result], connection)
	c.h.Logger.WithFields(logrus.Fields{
		"request":    c.req.ID,
		"server":     g.Server,
		"service":    c.service,
		"result":     resultNames[result],
		"connection": connection,
		"sends":      c.sends,
		"runs":       c.runs,
		"lastEvent":  c.lastEvent,
		"cause":      c.lastErr,
	}).Info("ingress: an attempt was given up")
}

// exchange sends the request to one server and relays its response.
func (c *call) exchange(g *placer.Grant) exchangeResult {
	c.connectionKept = false
	sent := c.h.Now()
	resp, err := c.h.Pool.Send(c.ctx, g.Address, c.backendRequest(g))
	if err != nil {
		c.lastErr = err
		if !fault.MayHaveRun(err) {
			g.Report(scheduler.Report{
				Event: c.attributedEvent(scheduler.Unreachable),
			})
			return notSent
		}
		c.sends++
		c.runs++
		event := c.attributedEvent(c.brokenEvent(g, 0))
		if event == scheduler.Cancelled && c.timedOut(sent) {
			event = scheduler.Broken
		}
		g.Report(scheduler.Report{
			Event: event,
		})
		return broken
	}
	defer resp.Close()
	c.hold = c.h.Responses.Open(g.Server)
	defer c.releaseResponse()
	c.sends++
	info := c.h.Dialect.ParseResponse(resp.Status, resp.Header)
	c.info = info
	c.logPushback(g, info)
	report := scheduler.Report{
		HasLoad:    info.HasLoad,
		Running:    info.Running,
		Waiting:    info.Waiting,
		RetryAfter: info.RetryAfter,
		Leaving:    info.Leaving,
	}
	if info.Execution == edge.NotRun {
		_, _ = io.CopyN(io.Discard, resp, copyBufferSize)
		resp.Keep()
		c.connectionKept = resp.Kept()
		report.Event = scheduler.Rejected
		if info.OtherServer {
			// The load is that of the other server.
			report = scheduler.Report{
				Event: scheduler.Unreachable,
			}
		}
		g.Report(report)
		c.lastErr = fault.New(fault.NotRun, g.Server, "the backend server reported that it did not run the request")
		return rejected
	}
	c.runs++
	report.Event = scheduler.Started
	report.Elapsed = c.h.Now() - sent
	g.Report(report)
	relayed := c.bytesRelayed
	result, event := c.relay(resp, info)
	// The server has to stop before another one gets the request.
	resp.Close()
	c.connectionKept = resp.Kept()
	relayed = c.bytesRelayed - relayed
	if event == scheduler.Broken {
		event = c.brokenEvent(g, relayed)
	}
	g.Report(scheduler.Report{
		Event:    c.attributedEvent(event),
		Elapsed:  c.h.Now() - sent,
		Answered: relayed > 0,
	})
	if result == ended && !c.mustAbort {
		c.logOutcome("done", nil)
	}
	return result
}

// logPushback logs and counts a refusal with which the server asks for a pause.
func (c *call) logPushback(g *placer.Grant, info edge.ResponseInfo) {
	log := c.h.Logger.WithFields(logrus.Fields{
		"request": c.req.ID,
		"server":  g.Server,
		"service": c.service,
		"decider": g.Decider,
	})
	if info.BadRetryAfter != "" {
		log.WithField("retryAfter", info.BadRetryAfter).Warn("ingress: the Retry-After of a server is no number of seconds; it is ignored")
	}
	if info.RetryAfter == 0 {
		return
	}
	c.h.Meters.Pushbacks(c.ctx, c.service, metrics.PushbackAsked, 1)
	log.WithField("pauseMs", info.RetryAfter.Milliseconds()).Warn("ingress: a server asked for a pause")
}

// brokenEvent returns the event to report for a broken connection: Down if the server
// accepts no other, which is logged. relayed is the number of bytes of its response that
// the caller has received.
func (c *call) brokenEvent(g *placer.Grant, relayed int) scheduler.Event {
	if c.ctx.Err() != nil || c.h.Pool.Accepts(g.Address) {
		return scheduler.Broken
	}
	c.h.Logger.WithFields(logrus.Fields{
		"request": c.req.ID,
		"server":  g.Server,
		"service": c.service,
		"account": c.account,
		"relayed": relayed,
		"parts":   prefixcache.FormatIDs(partIDs(c.req.Prompt)),
	}).Warn("ingress: a server went down with the request in flight")
	return scheduler.Down
}

// partIDs returns the IDs of the parts of a prompt.
func partIDs(p edge.Prompt) []uint64 {
	out := make([]uint64, len(p.Parts))
	for i, part := range p.Parts {
		out[i] = part.ID
	}
	return out
}

// attributedEvent returns the event to report to the scheduler. A failure counts as
// the server's only if the caller is still connected and the deadline has not passed.
func (c *call) attributedEvent(e scheduler.Event) scheduler.Event {
	if c.ctx.Err() != nil && e != scheduler.Done {
		return scheduler.Cancelled
	}
	return e
}

// timedOut reports whether a request got no response from its server, although it had
// time for one: it ended with its deadline and not because its caller left early.
func (c *call) timedOut(sent time.Duration) bool {
	now := c.h.Now()
	return now-sent >= minSilence && now >= c.deadline-timeoutMargin
}

// backendRequest builds the request for a backend server.
func (c *call) backendRequest(g *placer.Grant) *backend.Request {
	header := c.r.Header.Clone()
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	c.h.Dialect.SetForwardHeaders(header, edge.Forwarding{
		Server:      g.Server,
		Account:     c.account,
		TimeLeft:    c.timeLeft(),
		LastEventID: c.lastEvent,
		Urgency:     c.forwardedUrgency(),
		FetchFrom:   g.FetchAddress,
	})
	return &backend.Request{
		Method:   c.r.Method,
		Target:   c.r.RequestURI,
		Host:     c.r.Host,
		Header:   header,
		Body:     c.body,
		ID:       c.req.ID,
		EchoedID: func(status int, h http.Header) string { return c.h.Dialect.ParseResponse(status, h).ID },
	}
}

// hopByHopHeaders are the headers that apply to one connection only and are not
// forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length", "Expect"}

// forwardedUrgency returns the urgency to forward to an engine, or -1 for other
// servers, which get none.
func (c *call) forwardedUrgency() int {
	if c.route.Kind != ruleset.Stream {
		return -1
	}
	return c.engineUrgency
}
