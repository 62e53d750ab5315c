package ingress

// This file defines how an instance that reaches no backend server forwards requests to another
// instance, and how it serves those of others.
//
// A request is forwarded as it came, over the address for callers, so that the other instance admits,
// places and repeats it like its own; an isolated instance only relays. It is forwarded once: an
// instance that can't serve it either refuses it. What the other instance states as not run has not
// run there; after any other failure it may have.

import (
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/reachability"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/forwarding"
)

const (
	// forwardedHeader marks a request that another instance has forwarded. Its value is the number
	// of servers that have received the request, and alreadyCounted if a decider has counted it as a
	// request of the service.
	forwardedHeader = "Camphorspoke-Forwarded"
	alreadyCounted  = ",counted"
	// forwardRefusedHeader marks the answer of an instance that takes no forwarded request now.
	forwardRefusedHeader = "Camphorspoke-Forward-Refused"
	// maxForwards is the number of instances to which a request is sent in turn, as long as it has
	// certainly not run.
	maxForwards = 3
	// isolatedRetryAfter is the retry delay given to callers whose request no instance takes. Up
	// to the same time again is added at random.
	isolatedRetryAfter = 300 * time.Millisecond
)

// promises are the statuses that promise that a request has not run and never will.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Forwarding holds what an instance needs to forward requests, and to serve those of others. The
// zero value forwards none.
type Forwarding struct {
	// Monitor finds out whether this instance is isolated.
	Monitor *reachability.Monitor
	// Pool holds the connections to other instances.
	Pool *backend.Pool
	// Instances returns the other instances that serve callers and are not isolated.
	Instances func() []forwarding.Instance
	// CPUMilli is the processor share of this instance, in thousandths of a core; zero if unknown.
	CPUMilli uint32

	// serving is the number of requests in flight that other instances have forwarded.
	serving atomic.Int64

	mu     sync.Mutex
	picker forwarding.Picker
}

// pick chooses an instance. done must be called once the request has ended there.
func (f *Forwarding) pick(now func() time.Duration, domain string) (i forwarding.Instance, done func(forwarding.Outcome), ok bool) {
	instances := f.Instances()
	f.mu.Lock()
	defer f.mu.Unlock()
	if i, ok = f.picker.Pick(now(), instances, domain); !ok {
		return i, nil, false
	}
	return i, func(o forwarding.Outcome) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.picker.Ended(now(), i.Name, o)
	}, true
}

// readForwarded takes from the request whether another instance has forwarded it.
func (c *call) readForwarded() {
	value := c.r.Header.Get(forwardedHeader)
	c.r.Header.Del(forwardedHeader)
	if value == "" {
		return
	}
	c.forwarded = true
	value, c.countedBefore = strings.CutSuffix(value, alreadyCounted)
	if n, err := strconv.Atoi(value); err == nil && n > 0 {
		c.sendsBefore = n
	}
}

// admitForwarded counts a request that another instance has forwarded. It returns the refusal if
// this instance is isolated too, or serves as many as it can.
func (c *call) admitForwarded() error {
	if !c.forwarded {
		return nil
	}
	f := &c.h.Forwarding
	c.endForwarded = func() { f.serving.Add(-1) }
	if f.serving.Add(1) <= int64(forwarding.Capacity(f.CPUMilli)) && !f.Monitor.Isolated() {
		return nil
	}
	return c.refusedForward()
}

// refusedForward returns the refusal of a request that another instance has forwarded, which may forward
// it elsewhere.
func (c *call) refusedForward() error {
	c.w.Header().Set(forwardRefusedHeader, "1")
	return isolatedFault(c.req.ID)
}

// mustReturn reports whether a request that another instance has forwarded has to go back to it: this
// instance has become isolated too, and no server has received the request.
func (c *call) mustReturn() bool {
	return c.forwarded && c.sends == 0 && c.h.Forwarding.Monitor.Isolated()
}

// mustForward reports whether the request has to be served by another instance.
func (c *call) mustForward() bool {
	return !c.forwarded && !c.staysHere && c.h.Forwarding.Pool != nil && c.h.Forwarding.Monitor.Isolated()
}

// forwardAway lets another instance serve the request, or refuses it. It returns false if no
// instance takes it and the servers accept connections: they may be overloaded, which looks like
// isolation at every instance, so that this one has to try them.
func (c *call) forwardAway() (over bool) {
	f := &c.h.Forwarding
	for range maxForwards {
		if c.timeLeft() < minTimeLeft || !c.repeatAllowed() {
			break
		}
		i, done, ok := f.pick(c.h.Now, c.h.FailureDomain)
		if !ok {
			break
		}
		result, answered := c.forwardTo(i)
		done(c.forwardOutcome(result, answered))
		c.h.Meters.Forwarded(c.ctx, c.service, resultNames[result])
		switch result {
		case ended:
			return true
		case broken, failed:
			c.refuse(c.finalFault(c.lastErr))
			return true
		}
	}
	if f.Monitor.Accepted() && c.repeatAllowed() {
		c.staysHere = true
		return false
	}
	c.h.Meters.Forwarded(c.ctx, c.service, metrics.ForwardNoInstance)
	c.refuse(c.finalFault(isolatedFault(c.service)))
	return true
}

// forwardOutcome returns what the result of a forwarded request says of the other instance. What
// breaks once that has begun to answer may be due to a server.
func (c *call) forwardOutcome(result exchangeResult, answered bool) forwarding.Outcome {
	switch {
	case result == rejected || result == notSent:
		return forwarding.Refused
	case !answered && c.ctx.Err() == nil:
		return forwarding.Broken
	default:
		return forwarding.Answered
	}
}

// isolatedFault returns the refusal of a request that no instance serves in the place of an
// isolated one.
func isolatedFault(subject string) error {
	return &fault.Fault{
		Kind:       fault.Isolated,
		Subject:    subject,
		Advice:     "the instance reaches no backend server or serves as many requests of others as it can",
		RetryAfter: isolatedRetryAfter + rand.N(isolatedRetryAfter),
	}
}

// forwardTo sends the request to another instance and relays its response. answered is true if there
// is one.
func (c *call) forwardTo(i forwarding.Instance) (result exchangeResult, answered bool) {
	c.forwardedTo = i.Name
	// What is relayed from now on is not of the server of an earlier attempt.
	c.grant = nil
	resp, err := c.h.Forwarding.Pool.Send(c.ctx, i.Address, c.peerRequest())
	if err != nil {
		c.lastErr = err
		if !fault.MayHaveRun(err) {
			return notSent, false
		}
		c.countForwardedRun()
		return broken, false
	}
	defer resp.Close()
	if resp.Header.Get(forwardRefusedHeader) != "" {
		_, _ = io.CopyN(io.Discard, resp, copyBufferSize)
		resp.Keep()
		c.lastErr = fault.New(fault.NotRun, i.Name, "the instance takes no forwarded requests now")
		return rejected, true
	}
	a := &attempt{
		c:    c,
		resp: resp,
		info: c.h.Dialect.ParseResponse(resp.Status, resp.Header),
		hold: c.h.Responses.Open(i.Name),
	}
	defer a.releaseResponse()
	result = a.relayForwarded()
	if result == ended && !c.mustAbort {
		c.logOutcome("done", nil)
	}
	return result, true
}

// countForwardedRun counts a request that may have run at servers of another instance, as often as
// its route allows.
func (c *call) countForwardedRun() {
	c.sends++
	c.runs += c.route.Attempts
}

// relayForwarded relays the response of another instance. It says itself what is known of the
// request there, but does not know of the servers that received it before.
func (a *attempt) relayForwarded() exchangeResult {
	c, resp := a.c, a.resp
	if c.runs > 0 && slices.Contains(promises, resp.Status) {
		c.lastErr = fault.New(fault.InDoubt, c.service, "the instance to which the request was forwarded refused it after another server may have run it")
		return failed
	}
	if !slices.Contains(promises, resp.Status) {
		c.countForwardedRun()
	}
	if a.streams() {
		result, _ := a.relayStream()
		return result
	}
	if c.headerSent {
		c.lastErr = fault.New(fault.WrongFrame, c.service, "the instance to which the stream was forwarded did not go on with it")
		return broken
	}
	result, _ := a.relayWhole()
	return result
}

// peerRequest builds the request for another instance.
func (c *call) peerRequest() *backend.Request {
	header := c.r.Header.Clone()
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	p := edge.PeerForwarding{
		TimeLeft:    c.timeLeft(),
		LastEventID: c.lastEvent,
	}
	if c.headerSent && c.req.Resumes == "" {
		// The other instance continues the stream that this request has begun.
		p.Resumes = c.req.ID
	}
	c.h.Dialect.SetPeerHeaders(header, p)
	forwarded := strconv.Itoa(c.sends)
	if len(c.tried) > 0 {
		forwarded += alreadyCounted
	}
	header.Set(forwardedHeader, forwarded)
	return &backend.Request{
		Method: c.r.Method,
		Target: c.r.RequestURI,
		Host:   c.r.Host,
		Header: header,
		Body:   c.body,
		ID:     c.req.ID,
		// Another instance answers each request once and in order.
		EchoedID: func(int, http.Header) string { return c.req.ID },
	}
}
