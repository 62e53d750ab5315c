package ingress

// This file defines the exchange of a request with one server.

import (
	"io"
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
	// maxUrgency is the highest urgency value that backend servers accept. Higher
	// values are less urgent.
	maxUrgency = 9
	// minSilence is the least time without any response after which a request that timed
	// out counts against its server.
	minSilence = 500 * time.Millisecond
	// timeoutMargin is how long before the deadline a caller may disconnect because its
	// own time is up.
	timeoutMargin = 100 * time.Millisecond
)

// exchange sends the request to one server and relays its response.
func (c *call) exchange(g *placer.Grant) exchangeResult {
	c.connectionKept = false
	sent := c.h.Now()
	resp, err := c.h.Pool.Send(c.ctx, g.Address, c.backendRequest(g))
	if err != nil {
		return c.reportNoResponse(g, sent, err)
	}
	defer resp.Close()
	c.hold = c.h.Responses.Open(g.Server)
	defer c.releaseResponse()
	c.sends++
	c.info = c.h.Dialect.ParseResponse(resp.Status, resp.Header)
	c.logPushback(g, c.info)
	c.reportUnreadable(g, resp.Header)
	report := scheduler.Report{
		HasLoad:     c.info.HasLoad,
		Running:     c.info.Running,
		Waiting:     c.info.Waiting,
		WorkPercent: c.info.WorkPercent,
		RetryAfter:  c.info.RetryAfter,
		Leaving:     c.info.Leaving,
		ColdFor:     c.info.ColdFor,
	}
	if c.info.Execution == edge.NotRun {
		return c.reportRejection(g, resp, report)
	}
	c.runs++
	report.Event = scheduler.Started
	report.Elapsed = c.h.Now() - sent
	g.Report(report)
	return c.relayAndReport(g, resp, sent)
}

// reportNoResponse ends an attempt that got no response, because the request was not sent or
// the exchange broke off before it.
func (c *call) reportNoResponse(g *placer.Grant, sent time.Duration, err error) exchangeResult {
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

// reportRejection ends an attempt whose server stated that it did not run the request.
func (c *call) reportRejection(g *placer.Grant, resp *backend.Response, report scheduler.Report) exchangeResult {
	_, _ = io.CopyN(io.Discard, resp, copyBufferSize)
	resp.Keep()
	c.connectionKept = resp.Kept()
	report.Event = scheduler.Rejected
	if c.info.OtherServer {
		// The load is that of the other server.
		report = scheduler.Report{
			Event: scheduler.Unreachable,
		}
	}
	g.Report(report)
	c.lastErr = fault.New(fault.NotRun, g.Server, "the backend server reported that it did not run the request")
	return rejected
}

// relayAndReport relays a response and reports the end of its attempt.
func (c *call) relayAndReport(g *placer.Grant, resp *backend.Response, sent time.Duration) exchangeResult {
	relayed := c.bytesRelayed
	result, event := c.relay(resp, c.info)
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
