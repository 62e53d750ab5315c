package ingress

// This file defines the exchange of a request with one server.

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/brittle"
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
	// crashCheckDelay is how long after a caller has left its server is asked whether it is up.
	crashCheckDelay = 200 * time.Millisecond
)

// attempt is the state of one exchange of a request with a server. Only send may run beside
// the goroutine of the call; all else is done there.
type attempt struct {
	c       *call
	grant   *placer.Grant
	ctx     context.Context
	request *backend.Request
	sent    time.Duration
	// resp is the response, or nil with err. info is what its server said of itself.
	resp *backend.Response
	err  error
	info edge.ResponseInfo
	// awaitsEvent is true if a stream has not begun before its first event. bodyErr is the
	// failure that came in its place.
	awaitsEvent bool
	bodyErr     error
	// hold reserves the memory that the response takes; with zero it releases it.
	hold func(bytes int) error
	// connectionKept is true if the connection returned to the pool.
	connectionKept bool
	// beatFirst is true if the attempt is a copy whose response answers the request, while the
	// first attempt was in progress.
	beatFirst bool
	// hasRival is true if another attempt is still in progress. An error status of this one is
	// then not relayed, and its body is not waited for.
	hasRival bool
}

// exchange sends the request to one server and relays its response. While it has none, a
// copy may be sent to another server.
func (c *call) exchange(g *placer.Grant) exchangeResult {
	plan, hedged := c.planHedge()
	if hedged && plan.mayCopy {
		return c.race(g, plan)
	}
	a := c.newAttempt(c.ctx, g)
	a.awaitsEvent = hedged
	a.send()
	if hedged {
		a.observe(false)
	}
	return a.settle()
}

// newAttempt returns an attempt that is ready to be sent.
func (c *call) newAttempt(ctx context.Context, g *placer.Grant) *attempt {
	g.Stream, g.BeginUnknown = c.stream, c.beginUnknown
	return &attempt{
		c:       c,
		grant:   g,
		ctx:     ctx,
		request: c.backendRequest(g),
		sent:    c.h.Now(),
	}
}

// send sends the request and waits for the response header, and the begin of a stream.
func (a *attempt) send() {
	h := a.c.h
	a.resp, a.err = h.Pool.Send(a.ctx, a.grant.Address, a.request)
	if a.err == nil {
		a.info = h.Dialect.ParseResponse(a.resp.Status, a.resp.Header)
		if a.awaitsEvent && a.streams() {
			a.bodyErr = a.resp.AwaitBody()
		}
	}
}

// streams reports whether the response is an event stream.
func (a *attempt) streams() bool {
	return a.c.route.Kind == ruleset.Stream && a.resp.Status == http.StatusOK && a.info.Signed
}

// settle handles the outcome of an attempt that was sent: it relays the response, or records
// that the attempt is abandoned.
func (a *attempt) settle() exchangeResult {
	a.c.grant = a.grant
	result := a.handle()
	if result != ended {
		a.c.abandon(a, result)
	}
	return result
}

// handle reports the outcome of an attempt to the scheduler and relays its response.
func (a *attempt) handle() exchangeResult {
	c, resp := a.c, a.resp
	if a.err != nil {
		return a.reportNoResponse()
	}
	defer resp.Close()
	a.hold = c.h.Responses.Open(a.grant.Server)
	defer a.releaseResponse()
	c.sends++
	c.info = a.info
	c.logPushback(a.grant, a.info)
	c.reportUnreadable(a.grant, resp.Header)
	if a.info.Execution == edge.NotRun {
		return a.reportRejection()
	}
	c.runs++
	c.h.abandonments.Answered(c.fingerprint())
	report := a.loadReport(scheduler.Started)
	report.Elapsed = c.h.Now() - a.sent
	report.HedgeWon = a.beatFirst
	a.grant.Report(report)
	return a.relayAndReport()
}

// loadReport returns a report of an event with what the response says of its server.
func (a *attempt) loadReport(e scheduler.Event) scheduler.Report {
	return scheduler.Report{
		Event:       e,
		HasLoad:     a.info.HasLoad,
		Running:     a.info.Running,
		Waiting:     a.info.Waiting,
		WorkPercent: a.info.WorkPercent,
		RetryAfter:  a.info.RetryAfter,
		Leaving:     a.info.Leaving,
		Opened:      a.opened(),
		ColdFor:     a.info.ColdFor,
		Limit:       a.info.Limit,
		Brittle:     a.brittle(),
	}
}

// opened returns when the connection was opened on which the server has run the request and has not
// announced that it leaves; zero if it has not run it, or has announced that.
func (a *attempt) opened() time.Duration {
	if a.info.Execution != edge.Ran || !a.info.Signed || a.info.Leaving {
		return 0
	}
	return a.resp.Opened()
}

// brittle returns what the response says of whether its server is brittle.
func (a *attempt) brittle() brittle.Statement {
	return brittle.Statement{
		Known:    a.info.BrittleKnown,
		Refusals: a.info.Brittle,
	}
}

// reportNoResponse ends an attempt that got no response, because the request was not sent or
// the exchange broke off before it.
func (a *attempt) reportNoResponse() exchangeResult {
	c := a.c
	c.lastErr = a.err
	if !fault.MayHaveRun(a.err) {
		a.grant.Report(scheduler.Report{
			Event: c.serversEvent(scheduler.Unreachable, a.grant, a.sent),
		})
		return notSent
	}
	c.sends++
	c.runs++
	event := c.attributedEvent(c.brokenEvent(a.grant, 0))
	if event == scheduler.Cancelled && c.timedOut(a.sent) {
		go c.reportSilent(a.grant)
		return broken
	}
	if event == scheduler.Cancelled && c.h.abandonments.Left(c.fingerprint()) {
		go c.reportAbandoned(a.grant)
		return broken
	}
	a.grant.Report(scheduler.Report{
		Event: event,
	})
	return broken
}

// reportSilent reports a request that got no response until its deadline.
func (c *call) reportSilent(g *placer.Grant) {
	event := scheduler.Cancelled
	if c.h.Forwarding.Monitor.ServerFailed(g.Address, c.h.Now()) {
		event = scheduler.Broken
	}
	g.Report(scheduler.Report{
		Event: event,
	})
}

// reportAbandoned reports the end of a request whose caller has left, like others with the same request
// before it, once its server has had the time to crash under it.
func (c *call) reportAbandoned(g *placer.Grant) {
	time.Sleep(crashCheckDelay)
	event := scheduler.Cancelled
	now := c.h.Now()
	if !c.h.Pool.Accepts(g.Address) && c.h.Forwarding.Monitor.ServerFailed(g.Address, now) {
		c.logCrash(g, 0)
		event = scheduler.Down
	}
	g.Report(scheduler.Report{
		Event: event,
	})
}

// reportRejection ends an attempt whose server stated that it did not run the request.
func (a *attempt) reportRejection() exchangeResult {
	if !a.hasRival {
		_, _ = io.CopyN(io.Discard, a.resp, copyBufferSize)
	}
	a.resp.Keep()
	a.connectionKept = a.resp.Kept()
	report := a.loadReport(scheduler.Rejected)
	if a.info.OtherServer {
		// The load is that of the other server.
		report = scheduler.Report{
			Event:       scheduler.Unreachable,
			OtherServer: true,
		}
	}
	a.grant.Report(report)
	a.c.lastErr = fault.New(fault.NotRun, a.grant.Server, "the backend server reported that it did not run the request")
	return rejected
}

// relayAndReport relays a response and reports the end of its attempt.
func (a *attempt) relayAndReport() exchangeResult {
	c := a.c
	relayed := c.bytesRelayed
	result, event := a.relay()
	// The server has to stop before another one gets the request.
	a.resp.Close()
	a.connectionKept = a.resp.Kept()
	relayed = c.bytesRelayed - relayed
	if event == scheduler.Broken {
		event = c.brokenEvent(a.grant, relayed)
	}
	a.grant.Report(scheduler.Report{
		Event:    c.attributedEvent(event),
		Elapsed:  c.h.Now() - a.sent,
		Answered: relayed > 0,
		Opened:   a.opened(),
		Brittle:  a.brittle(),
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

// brokenEvent returns the event to report for a broken connection, unless this instance reaches no
// server at all: Down if the server accepts no other, which is logged. relayed is the number of
// bytes of its response that the caller has received.
func (c *call) brokenEvent(g *placer.Grant, relayed int) scheduler.Event {
	now := c.h.Now()
	if c.ctx.Err() != nil {
		return scheduler.Broken
	}
	accepts := c.h.Pool.Accepts(g.Address)
	if !c.h.Forwarding.Monitor.ServerFailed(g.Address, now) {
		return scheduler.Cancelled
	}
	if accepts {
		return scheduler.Broken
	}
	c.logCrash(g, relayed)
	return scheduler.Down
}

// logCrash logs and counts a request that was in flight at a server which went down.
func (c *call) logCrash(g *placer.Grant, relayed int) {
	c.h.Meters.CrashedRequest(c.ctx, c.service)
	c.h.Logger.WithFields(logrus.Fields{
		"request":     c.req.ID,
		"server":      g.Server,
		"service":     c.service,
		"account":     c.account,
		"route":       c.route.Name,
		"fingerprint": formatFingerprint(c.fingerprint()),
		"relayed":     relayed,
		"parts":       prefixcache.FormatIDs(partIDs(c.req.Prompt)),
	}).Warn("ingress: a server went down with the request in flight")
}

// partIDs returns the IDs of the parts of a prompt.
func partIDs(p edge.Prompt) []uint64 {
	out := make([]uint64, len(p.Parts))
	for i, part := range p.Parts {
		out[i] = part.ID
	}
	return out
}

// serversEvent returns the event to report for a failure in an exchange that was begun at a time. It
// counts as the server's only if this instance reaches any server.
func (c *call) serversEvent(e scheduler.Event, g *placer.Grant, begun time.Duration) scheduler.Event {
	if e = c.attributedEvent(e); e == scheduler.Cancelled || c.h.Forwarding.Monitor.ServerFailed(g.Address, begun) {
		return e
	}
	return scheduler.Cancelled
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
