package router

// This file defines how an answer is produced: by the router that the caller
// reached, and by the owner of the chat's home engine.

import (
	"context"
	"errors"
	"io"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/retry"
	"camphorspoke/internal/routing/stream"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/world/fault"
)

const (
	// maxHops is how many times a request is forwarded.
	maxHops = 2
	// maxHomes is how many owners are tried as the home of a chat.
	maxHomes = 4
	// maxAttempts bounds the tries of one request, resumes included.
	maxAttempts = 6
	// spillWait is how long a home owner waits for room somewhere.
	spillWait = 2 * time.Second
	// maxWaiting bounds the requests of a router that wait for room.
	maxWaiting = 512
	// coldFor is how long after it joined an engine counts as cold.
	coldFor = 30 * time.Minute
	// askCachedTokens is the prompt above which the second choice is asked
	// whether it still remembers a chat that home does not know.
	askCachedTokens = 512
)

// sink takes the frames of an answer.
type sink func(*pb.GenerateResponse) error

// errSink marks a failure of the receiver, after which nothing is retried.
type errSink struct {
	cause error
}

func (e *errSink) Error() string { return "the caller went away: " + e.cause.Error() }
func (e *errSink) Unwrap() error { return e.cause }

// Generate serves a caller's request and sends it the whole answer in order.
func (r *Router) Generate(ctx context.Context, req *pb.GenerateRequest, send func(*pb.GenerateResponse) error) error {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	began := r.cfg.Now()
	err := r.generate(ctx, req, send)
	r.cfg.Metrics.Request(ctx, req.GetService(), outcomeName(err), r.cfg.Now()-began)
	return err
}

func outcomeName(err error) string {
	if err == nil {
		return "done"
	}
	return fault.KindOf(err)
}

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
				return &errSink{
					cause: err,
				}
			}
		}
		return nil
	}
	r.budget.Earn(req.GetClientAccount(), req.GetService(), c.service.RetryPercent)
	var seen doubt
	for attempt := 0; ; attempt++ {
		next := cloneFrom(req, a.Next)
		err := r.attemptGenerate(ctx, r.Agent.View(), next, deliver)
		if err == nil {
			err = a.Close()
		}
		if err == nil {
			return nil
		}
		err = seen.resolve(err)
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

func cloneFrom(req *pb.GenerateRequest, from uint64) *pb.GenerateRequest {
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

// mayRetry reports whether another try is worth its cost. Answers are
// idempotent, since frames are numbered and a resume starts after the last.
func (r *Router) mayRetry(ctx context.Context, err error, attempt int, req *pb.GenerateRequest) bool {
	var gone *errSink
	if ctx.Err() != nil || errors.As(err, &gone) || attempt+1 >= maxAttempts {
		return false
	}
	switch fault.KindOf(err) {
	case fault.ShortAnswer, fault.LinkBroken, fault.InDoubt, fault.Unreachable, fault.HeldBack, fault.NotOwner, fault.NoEngine:
		r.cfg.Metrics.Retry(ctx, req.GetService())
		return r.budget.Spend(req.GetClientAccount(), req.GetService())
	}
	return false
}

// finalError makes sure that a broken answer is never taken for one not run.
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

// attemptGenerate walks the preference list past homes whose owner can't be
// reached.
func (r *Router) attemptGenerate(ctx context.Context, v *view.View, req *pb.GenerateRequest, out sink) error {
	order := r.cfg.Picker.Order(req.GetChat(), v.Weighted(req.GetService()))
	if len(order) == 0 {
		return fault.New(fault.NoEngine, req.GetService(), "no engine of the service takes new work")
	}
	var last error = fault.New(fault.NoEngine, req.GetService(), "no owner of an engine could be reached")
	var seen doubt
	for _, home := range order[:min(len(order), maxHomes)] {
		err := r.atHome(ctx, v, home, req, out)
		if !tryNext(err) {
			return seen.resolve(err)
		}
		last = seen.resolve(err)
	}
	return last
}

// doubt remembers whether any try of a request may have run it. A refusal
// after such a try is no proof that the request was not run.
type doubt struct {
	cause error
}

// resolve notes err, the failure of one try, and returns the failure of the
// request so far.
func (d *doubt) resolve(err error) error {
	if err == nil {
		return nil
	}
	if fault.MayHaveRun(err) {
		d.cause = err
		return err
	}
	if d.cause == nil {
		return err
	}
	return fault.Wrap(fault.InDoubt, "", errors.Join(err, d.cause))
}

// tryNext reports whether a failure left nothing done and may pass elsewhere.
func tryNext(err error) bool {
	if err == nil {
		return false
	}
	switch fault.KindOf(err) {
	case fault.LinkBroken, fault.Unreachable, fault.HeldBack, fault.NotOwner, fault.NotCached, fault.OverBound, fault.AccountLimit, fault.Leaving, fault.RulesStale:
		return true
	}
	return false
}

// atHome has the owner of a home engine decide, here or elsewhere.
func (r *Router) atHome(ctx context.Context, v *view.View, home string, req *pb.GenerateRequest, out sink) error {
	if _, ok := r.Agent.Admits(home); ok {
		return r.decide(ctx, v, home, req, 0, out)
	}
	if r.Agent.Degraded() {
		return r.dispatch(ctx, v.Servers[home], req, "", out)
	}
	return r.forward(ctx, v, home, &pb.ForwardGenerateRequest{
		Request:       req,
		BackendServer: home,
		Hops:          1,
	}, out)
}

// forward sends a request to the owner of a server. An owner that has just
// handed the server over names the next one, which is tried once.
func (r *Router) forward(ctx context.Context, v *view.View, server string, f *pb.ForwardGenerateRequest, out sink) error {
	owner := v.Owner(server)
	for range 2 {
		if owner == nil || owner.GetName() == r.cfg.Instance {
			return fault.New(fault.NotOwner, server, "the engine has no owner that can be reached")
		}
		err := r.forwardTo(ctx, v, owner, f, out)
		var flt *fault.Fault
		if !errors.As(err, &flt) || flt.Kind != fault.NotOwner || flt.Subject == owner.GetName() {
			return err
		}
		owner = v.Instances[flt.Subject]
	}
	return fault.New(fault.NotOwner, server, "the engine is changing hands")
}

func (r *Router) forwardTo(ctx context.Context, v *view.View, to *pb.Instance, f *pb.ForwardGenerateRequest, out sink) error {
	peer := "router:" + to.GetName()
	if !r.breaker.Allow(r.cfg.Now(), peer) {
		return fault.New(fault.HeldBack, to.GetName(), "this router failed lately")
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
	got := false
	for {
		m, err := s.Recv()
		switch {
		case errors.Is(err, io.EOF):
			r.breaker.Success(r.cfg.Now(), peer)
			return nil
		case err != nil:
			return r.forwardBroke(ctx, to, got, err)
		}
		r.Learn(m.GetLoads())
		if m.GetRefusal() != nil {
			r.breaker.Success(r.cfg.Now(), peer)
			return refusalFault(m.GetRefusal())
		}
		if m.GetFrame() == nil {
			continue
		}
		got = true
		if err := out(m.GetFrame()); err != nil {
			return err
		}
	}
}

func (r *Router) forwardBroke(ctx context.Context, to *pb.Instance, got bool, err error) error {
	var f *fault.Fault
	if errors.As(err, &f) {
		return f
	}
	if ctx.Err() == nil {
		r.breaker.Failure(r.cfg.Now(), "router:"+to.GetName())
	}
	if got {
		return fault.Wrap(fault.ShortAnswer, to.GetName(), err)
	}
	return fault.Wrap(fault.LinkBroken, to.GetName(), err)
}

func refusalFault(f *pb.Refusal) error {
	return &fault.Fault{
		Kind:       f.GetKind(),
		Subject:    f.GetSubject(),
		Advice:     "the owner refused before any dispatch",
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}

// Forwarded serves a request that another router forwarded. The receiver
// checks it against its own rules: those are in force, the sender's may lag.
func (r *Router) Forwarded(ctx context.Context, f *pb.ForwardGenerateRequest, out sink) error {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.Learn(f.GetLoads())
	req := f.GetRequest()
	c, _, err := r.checkGenerate(req)
	if err != nil {
		return err
	}
	server := f.GetBackendServer()
	if err := r.awaitOwnership(ctx, server); err != nil {
		return err
	}
	if f.GetOnlyCached() && r.gates.Cached(server, req.GetChat()) < req.GetPromptTokens()/2 {
		return fault.New(fault.NotCached, server, "the engine does not remember the chat")
	}
	if f.GetDecided() || f.GetHops() >= maxHops {
		return r.dispatch(ctx, c.view.Servers[server], req, f.GetCopyFrom(), out)
	}
	return r.decide(ctx, c.view, server, req, f.GetHops(), out)
}

// awaitOwnership waits a moment for a server that is being handed over here.
func (r *Router) awaitOwnership(ctx context.Context, server string) error {
	for range 20 {
		if _, ok := r.Agent.Admits(server); ok {
			return nil
		}
		if !r.expects(server) {
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
