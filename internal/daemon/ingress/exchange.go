package ingress

// This file defines how a request is sent to backend servers until one has
// answered.

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/rules/file"
	"camphorspoke/internal/world/fault"
)

const (
	// extraSends is how often a request may be sent beyond its attempts to
	// servers that say that they did not run it.
	extraSends = 3
	// maxUnreachable is how often a server that can't be reached is passed over.
	maxUnreachable = 4
	// minLeft is the least time with which a request is still sent.
	minLeft = 10 * time.Millisecond
	// waitShare is the part of the time left that a request waits for a place.
	waitShare = 3
	// objectiveShare is the part of a route's objective that a request waits for
	// a place. A longer queue would serve no more requests, only all of them late.
	objectiveShare = 0.5
	// notRunRetry is when callers should come back after servers have failed
	// that will be passed over then; they are spread over as much again.
	notRunRetry = 200 * time.Millisecond
	// maxUrgency is the last urgency that backend servers know.
	maxUrgency = 9
	// wholeBody is the largest body that is read before its head is passed on.
	wholeBody  = 1 << 20
	copyBuffer = 16 << 10
)

// verdict is what follows one exchange.
type verdict int

const (
	// ended means that the caller has its answer.
	ended verdict = iota
	// rejected means that the request did not run there.
	rejected
	// unreached means that nothing was sent.
	unreached
	// broken means that the request may have run and no whole answer came.
	broken
	// failed means that the server answered with a failure of its own, which
	// was not passed on yet.
	failed
)

// run sends the request until it has ended.
func (c *call) run() {
	unreachable := 0
	for {
		if c.left() < minLeft {
			c.refuse(c.failure(fault.New(fault.DeadlineTooNear, c.service, "no time is left")))
			return
		}
		g, err := c.place()
		if err != nil {
			c.refuse(c.failure(err))
			return
		}
		if c.keyed && !c.h.Member.Fresh() {
			g.Report(scheduler.Report{
				Event: scheduler.Cancelled,
			})
			c.refuse(c.failure(stale("the proof of the rules ran out while the request waited")))
			return
		}
		c.grant = g
		v := c.exchange(g)
		if v == ended {
			return
		}
		c.tried = append(c.tried, g.Server)
		if v == unreached {
			unreachable++
		}
		if !c.again(v, unreachable) {
			c.refuse(c.failure(c.last))
			return
		}
	}
}

// again reports whether the request may be sent once more.
func (c *call) again(v verdict, unreachable int) bool {
	if c.ctx.Err() != nil {
		return false
	}
	switch v {
	case unreached:
		return unreachable < maxUnreachable
	case rejected:
		return c.sends < c.route.Attempts+extraSends
	default:
		return c.route.Repeatable() && c.runs < c.route.Attempts
	}
}

// failure returns what the caller is told: that the request did not run only
// if that is known.
func (c *call) failure(err error) error {
	if c.runs == 0 {
		if c.ctx != nil && c.ctx.Err() != nil {
			return fault.Wrap(fault.DeadlineTooNear, c.service, err)
		}
		return notRun(c.service, err)
	}
	if c.ctx.Err() != nil {
		return fault.Wrap(fault.TimedOut, c.service, err)
	}
	return fault.Wrap(fault.LinkBroken, c.service, err)
}

// notRun keeps a failure that promises that the request did not run, and words
// any other one so.
func notRun(service string, err error) error {
	var f *fault.Fault
	if !errors.As(err, &f) || fault.MayHaveRun(f) {
		f = fault.Wrap(fault.NotRun, service, err)
	}
	if f.RetryAfter > 0 {
		return f
	}
	told := *f
	told.RetryAfter = notRunRetry + rand.N(notRunRetry)
	return &told
}

func (c *call) place() (*placer.Grant, error) {
	wait := c.left() / waitShare
	if o := c.route.Objective; o > 0 {
		wait = min(wait, time.Duration(objectiveShare*float64(o)))
	}
	return c.h.Placer.Place(c.ctx, c.service, scheduler.Ask{
		Account:       c.account,
		Parts:         parts(c.req.Prompt),
		Output:        c.req.Prompt.MaxOutput,
		Urgency:       c.urgency,
		Wait:          wait,
		Tried:         c.tried,
		Again:         c.sends > 0,
		FailureDomain: c.h.FailureDomain,
	})
}

// exchange sends the request to one server and passes its answer on.
func (c *call) exchange(g *placer.Grant) verdict {
	sent := c.h.Now()
	resp, err := c.h.Pool.Send(c.ctx, g.Address, c.message(g))
	if err != nil {
		c.last = err
		if !fault.MayHaveRun(err) {
			g.Report(scheduler.Report{
				Event: c.eventOf(scheduler.Unreachable),
			})
			return unreached
		}
		c.sends++
		c.runs++
		g.Report(scheduler.Report{
			Event: c.eventOf(scheduler.Broken),
		})
		return broken
	}
	defer resp.Close()
	c.sends++
	a := c.h.Dialect.Answer(resp.Status, resp.Header)
	report := scheduler.Report{
		HasLoad: a.HasLoad,
		Running: a.Running,
		Waiting: a.Waiting,
	}
	if a.NotRun {
		_, _ = io.CopyN(io.Discard, resp, copyBuffer)
		report.Event = scheduler.Rejected
		g.Report(report)
		c.last = fault.New(fault.NotRun, g.Server, "the backend server rejected the request")
		return rejected
	}
	c.runs++
	report.Event = scheduler.Started
	report.Elapsed = c.h.Now() - sent
	g.Report(report)
	v, event := c.deliver(resp, a)
	g.Report(scheduler.Report{
		Event:   c.eventOf(event),
		Elapsed: c.h.Now() - sent,
	})
	if v == ended && !c.lost {
		c.logEnd("done", nil)
	}
	return v
}

// eventOf blames the server only while the caller waits and time is left.
func (c *call) eventOf(e scheduler.Event) scheduler.Event {
	if c.ctx.Err() != nil && e != scheduler.Done {
		return scheduler.Cancelled
	}
	return e
}

func (c *call) message(g *placer.Grant) *backend.Message {
	header := c.r.Header.Clone()
	for _, name := range perConnection {
		header.Del(name)
	}
	c.h.Dialect.Forward(header, edge.Forwarding{
		Server:    g.Server,
		Account:   c.account,
		Left:      c.left(),
		LastEvent: c.lastEvent,
		Urgency:   c.engineUrgency(),
		FetchFrom: g.FetchAddress,
	})
	return &backend.Message{
		Method: c.r.Method,
		Target: c.r.RequestURI,
		Host:   c.r.Host,
		Header: header,
		Body:   c.body,
		ID:     c.req.ID,
		EchoOf: func(status int, h http.Header) string { return c.h.Dialect.Answer(status, h).ID },
	}
}

// perConnection are the headers that concern one connection only.
var perConnection = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length", "Expect"}

// engineUrgency returns the urgency told to an engine, below zero for others.
func (c *call) engineUrgency() int {
	if c.route.Kind != file.Stream {
		return -1
	}
	return c.engineRank
}
