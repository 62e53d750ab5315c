package router

// This file defines how Generate requests are served by the router that the caller
// reached, forwarded to other routers, and received there.

import (
	"context"
	"errors"
	"io"
	"time"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/retry"
	"camphorspoke/internal/routing/stream"
	"camphorspoke/internal/routing/view"
)

const (
	// maxHops is the maximum number of times that a request is forwarded.
	maxHops = 2
	// maxPreferredEngines is how many engines are tried as the preferred engine of a
	// chat.
	maxPreferredEngines = 4
	// maxAttempts is the maximum number of attempts per request, including resumes.
	maxAttempts = 6
	// maxSpillWait is how long the owner of the preferred engine retries while every
	// engine is at its load bound.
	maxSpillWait = 2 * time.Second
	// maxSpillWaiters is the maximum number of requests on this router that wait
	// because every engine is at its load bound.
	maxSpillWaiters = 512
	// coldPeriod is the time after an engine has joined in which a chat that it does
	// not have cached may still be cached at the engine that served the chat before.
	coldPeriod = 30 * time.Minute
	// minUnverifiedTokens is the minimum prompt length for which a second engine is
	// tried that may have the chat cached, when the preferred engine has nothing of it
	// cached.
	minUnverifiedTokens = 512
)

// sink receives the frames of a response.
type sink func(*pb.GenerateResponse) error

// sendError marks a failure to send to the caller, after which the request is not
// retried.
type sendError struct {
	cause error
}

func (e *sendError) Error() string { return "sending to the caller failed: " + e.cause.Error() }
func (e *sendError) Unwrap() error { return e.cause }

// Generate serves a caller's request and sends it the complete response in order.
func (r *Router) Generate(ctx context.Context, req *pb.GenerateRequest, send func(*pb.GenerateResponse) error) error {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	began := r.cfg.Now()
	err := r.generate(ctx, req, send)
	r.cfg.Metrics.Request(ctx, req.GetService(), outcomeName(err), r.cfg.Now()-began)
	return err
}

// outcomeName returns the value of the outcome label in the request metrics.
func outcomeName(err error) string {
	if err == nil {
		return "done"
	}
	return fault.KindOf(err)
}

// generate serves a request, and retries it within the retry budget.
func (r *Router) generate(ctx context.Context, req *pb.GenerateRequest, send sink) error {
	c, _, err := r.checkGenerate(req)
	if err != nil {
		return err
	}
	a := &stream.Assembler{
		RequestID: req.GetRequestId(),
		Next:      req.GetResumeFrom(),
	}
	deliver := func(f *pb.GenerateResponse) error {
		ready, err := a.Accept(f)
		if err != nil {
			return err
		}
		for _, f := range ready {
			if err := send(f); err != nil {
				return &sendError{
					cause: err,
				}
			}
		}
		return nil
	}
	r.budget.Earn(req.GetClientAccount(), req.GetService(), c.service.RetryPercent)
	var tracker attemptTracker
	for attempt := 0; ; attempt++ {
		next := withResumeFrom(req, a.Next)
		err := r.attemptGenerate(ctx, r.Agent.View(), next, deliver)
		if err == nil {
			err = a.Close()
		}
		if err == nil {
			return nil
		}
		err = tracker.combine(err)
		if !r.mayRetry(ctx, err, attempt, req) {
			return finalError(err, a)
		}
		select {
		case <-ctx.Done():
			return finalError(err, a)
		case <-time.After(retry.Backoff(attempt)):
		}
	}
}

// withResumeFrom returns a copy of req that resumes at frame from.
func withResumeFrom(req *pb.GenerateRequest, from uint64) *pb.GenerateRequest {
	return &pb.GenerateRequest{
		Service:       req.GetService(),
		Chat:          req.GetChat(),
		ClientAccount: req.GetClientAccount(),
		RequestId:     req.GetRequestId(),
		Kind:          req.GetKind(),
		PromptTokens:  req.GetPromptTokens(),
		MaxTokens:     req.GetMaxTokens(),
		ResumeFrom:    from,
		Prompt:        req.GetPrompt(),
	}
}

// mayRetry reports whether to retry after err, and if so spends from the retry
// budget. A retry is safe because frames are numbered and it resumes after the last
// frame delivered.
func (r *Router) mayRetry(ctx context.Context, err error, attempt int, req *pb.GenerateRequest) bool {
	var sendErr *sendError
	if ctx.Err() != nil || errors.As(err, &sendErr) || attempt+1 >= maxAttempts {
		return false
	}
	switch fault.KindOf(err) {
	case fault.ShortAnswer, fault.LinkBroken, fault.InDoubt, fault.Unreachable, fault.CircuitOpen, fault.NotOwner, fault.NoEngine:
		r.cfg.Metrics.Retry(ctx, req.GetService())
		return r.budget.Spend(req.GetClientAccount(), req.GetService())
	}
	return false
}

// finalError converts a not-run failure into a short-answer one if frames were
// already delivered, so that the caller does not conclude that the request did not
// run.
func finalError(err error, a *stream.Assembler) error {
	var f *fault.Fault
	if a.Next > 0 && errors.As(err, &f) && f.Outcome() == pb.Outcome_OUTCOME_NOT_RUN {
		short := a.Close()
		var s *fault.Fault
		if errors.As(short, &s) {
			s.Cause = err
			return s
		}
	}
	return err
}

// attemptGenerate tries engines in rendezvous order as the preferred engine, and
// skips those whose owner cannot be reached.
func (r *Router) attemptGenerate(ctx context.Context, v *view.View, req *pb.GenerateRequest, out sink) error {
	order := r.cfg.Picker.Order(req.GetChat(), v.WeightedServers(req.GetService()))
	if len(order) == 0 {
		return fault.New(fault.NoEngine, req.GetService(), "no engine of the service accepts new requests")
	}
	var lastErr error = fault.New(fault.NoEngine, req.GetService(), "no owner of an engine of the service is reachable")
	var tracker attemptTracker
	for _, preferred := range order[:min(len(order), maxPreferredEngines)] {
		err := r.routeToPreferred(ctx, v, preferred, req, out)
		if !canTryElsewhere(err) {
			return tracker.combine(err)
		}
		lastErr = tracker.combine(err)
	}
	return lastErr
}

// attemptTracker records whether any attempt of a request may have run. Once one may
// have, a later refusal does not prove that the request did not run.
type attemptTracker struct {
	// inDoubt is the latest failure of an attempt that may have run; nil if there is
	// none.
	inDoubt error
}

// combine records the failure of one attempt and returns the failure of the request
// so far.
func (t *attemptTracker) combine(err error) error {
	if err == nil {
		return nil
	}
	if fault.MayHaveRun(err) {
		t.inDoubt = err
		return err
	}
	if t.inDoubt == nil {
		return err
	}
	return fault.Wrap(fault.InDoubt, "", errors.Join(err, t.inDoubt))
}

// canTryElsewhere reports whether another server may be tried after err: the request
// was refused, or its connection broke before any part of the response arrived. Calls
// that must not run twice are protected by the claim of their key.
func canTryElsewhere(err error) bool {
	if err == nil {
		return false
	}
	switch fault.KindOf(err) {
	case fault.LinkBroken, fault.Unreachable, fault.CircuitOpen, fault.NotOwner, fault.NotCached, fault.OverBound, fault.AccountLimit, fault.Leaving, fault.RulesStale:
		return true
	}
	return false
}

// routeToPreferred passes a request to the owner of its preferred engine, which may
// be this router. A router without a lease dispatches it directly.
func (r *Router) routeToPreferred(ctx context.Context, v *view.View, preferred string, req *pb.GenerateRequest, out sink) error {
	if _, ok := r.Agent.Admits(preferred); ok {
		return r.decide(ctx, v, preferred, req, 0, out)
	}
	if r.Agent.Degraded() {
		return r.dispatch(ctx, v.Servers[preferred], req, "", out)
	}
	return r.forward(ctx, v, preferred, &pb.ForwardGenerateRequest{
		Request:       req,
		BackendServer: preferred,
		Hops:          1,
	}, out)
}

// forward sends a request to the owner of a server. An owner that has just handed the
// server over returns the name of the next owner, which is tried once.
func (r *Router) forward(ctx context.Context, v *view.View, server string, f *pb.ForwardGenerateRequest, out sink) error {
	owner := v.Owner(server)
	for range 2 {
		if owner == nil || owner.GetName() == r.cfg.Instance {
			return fault.New(fault.NotOwner, server, "the engine has no reachable owner")
		}
		err := r.forwardTo(ctx, v, owner, f, out)
		var flt *fault.Fault
		if !errors.As(err, &flt) || flt.Kind != fault.NotOwner || flt.Subject == owner.GetName() {
			return err
		}
		owner = v.Instances[flt.Subject]
	}
	return fault.New(fault.NotOwner, server, "the ownership of the engine is being handed over")
}

// forwardTo sends a request to another router and relays the frames of its response.
func (r *Router) forwardTo(ctx context.Context, v *view.View, to *pb.Instance, f *pb.ForwardGenerateRequest, out sink) error {
	peer := "router:" + to.GetName()
	if !r.breaker.Allow(r.cfg.Now(), peer) {
		return fault.New(fault.CircuitOpen, to.GetName(), "the circuit breaker for this router is open after recent failures")
	}
	f.Loads = r.serviceLoads(v, f.GetRequest().GetService())
	f.From = r.cfg.Instance
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := r.cfg.Peers.ForwardGenerate(ctx, to.GetPeerAddress(), f)
	if err != nil {
		r.breaker.Failure(r.cfg.Now(), peer)
		return fault.Wrap(fault.LinkBroken, to.GetName(), err)
	}
	receivedFrame := false
	for {
		m, err := s.Recv()
		switch {
		case errors.Is(err, io.EOF):
			r.breaker.Success(r.cfg.Now(), peer)
			return nil
		case err != nil:
			return r.forwardError(ctx, to, receivedFrame, err)
		}
		r.UpdateLoads(m.GetLoads())
		if m.GetRefusal() != nil {
			r.breaker.Success(r.cfg.Now(), peer)
			return refusalFault(m.GetRefusal())
		}
		if m.GetFrame() == nil {
			continue
		}
		receivedFrame = true
		if err := out(m.GetFrame()); err != nil {
			return err
		}
	}
}

// forwardError returns the failure of a request whose stream from another router
// broke.
func (r *Router) forwardError(ctx context.Context, to *pb.Instance, receivedFrame bool, err error) error {
	var f *fault.Fault
	if errors.As(err, &f) {
		return f
	}
	if ctx.Err() == nil {
		r.breaker.Failure(r.cfg.Now(), "router:"+to.GetName())
	}
	if receivedFrame {
		return fault.Wrap(fault.ShortAnswer, to.GetName(), err)
	}
	return fault.Wrap(fault.LinkBroken, to.GetName(), err)
}

// refusalFault converts a refusal by another router into a fault.
func refusalFault(f *pb.Refusal) error {
	return &fault.Fault{
		Kind:       f.GetKind(),
		Subject:    f.GetSubject(),
		Advice:     "the owner of the backend server refused the request before dispatch",
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}

// ServeForwarded serves a request that another router forwarded to this one. It
// validates the request against this router's own rules, which are confirmed to be in
// force, while the sender's may be outdated.
func (r *Router) ServeForwarded(ctx context.Context, f *pb.ForwardGenerateRequest, out sink) error {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.UpdateLoads(f.GetLoads())
	req := f.GetRequest()
	c, _, err := r.checkGenerate(req)
	if err != nil {
		return err
	}
	server := f.GetBackendServer()
	if err := r.awaitOwnership(ctx, server); err != nil {
		return err
	}
	if f.GetOnlyCached() && r.serverStates.CachedTokens(server, req.GetChat()) < req.GetPromptTokens()/2 {
		return fault.New(fault.NotCached, server, "the engine does not have enough of the chat cached")
	}
	if f.GetDecided() || f.GetHops() >= maxHops {
		return r.dispatch(ctx, c.view.Servers[server], req, f.GetCopyFrom(), out)
	}
	return r.decide(ctx, c.view, server, req, f.GetHops(), out)
}

// awaitOwnership waits up to 500 ms for a server whose hand-over to this router was
// announced.
func (r *Router) awaitOwnership(ctx context.Context, server string) error {
	for range 20 {
		if _, ok := r.Agent.Admits(server); ok {
			return nil
		}
		if !r.expectsHandover(server) {
			break
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(fault.NotRun, server, ctx.Err())
		case <-time.After(25 * time.Millisecond):
		}
	}
	owner := r.Agent.View().Servers[server].GetOwner()
	if owner == r.cfg.Instance {
		owner = ""
	}
	return fault.New(fault.NotOwner, owner, "this router does not own "+server)
}
