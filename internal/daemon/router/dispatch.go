package router

// This file defines dispatch: the admission of a request to an engine, and the
// relay of the engine's stream, which is resumed when its connection breaks.

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/admission"
	"camphorspoke/internal/routing/loadbound"
	"camphorspoke/internal/routing/stream"
	"camphorspoke/internal/rules/ruleset"
)

const (
	// maxEngineResumes is how many times a broken stream is resumed at the same engine.
	maxEngineResumes = 2
	// cancelTimeout bounds the cancellation of a request at its engine, and cancelWait how
	// long the request waits for it before another engine gets it.
	cancelTimeout = time.Second
	cancelWait    = 200 * time.Millisecond
)

// admissionParams returns the current limits for the admission of a request to a
// server.
func (r *Router) admissionParams(ctx context.Context, s *pb.BackendServer, svc ruleset.Service, acc ruleset.Account) admission.Params {
	v := r.Agent.View()
	others, servers := r.othersLoad(v, s.GetService(), s.GetName())
	params := admission.Params{
		Bound:      svc.LoadBound,
		OthersLoad: others,
		Servers:    max(servers, 1),
	}
	if acc.MaxInFlight > 0 {
		params.AccountLimit = accountLimit(svc.LoadBound, acc.MaxInFlight, params.Servers)
	}
	if r.Agent.Degraded() {
		params.Cap = degradedCap(svc.LoadBound, s, len(v.Routers()))
	}
	if d, ok := ctx.Deadline(); ok {
		params.Remaining = max(time.Until(d), 1)
	}
	return params
}

// accountLimit returns an account's limit at one of n servers: an equal share of the
// limit, with the same slack as the load bound has.
func accountLimit(bound float64, limit, n int) int {
	return max(1, loadbound.Limit(bound, limit-1, n))
}

// degradedCap returns how many requests a router without a lease may have at a
// server: an equal share of the server's slots, with the same slack as the load bound
// has.
func degradedCap(bound float64, s *pb.BackendServer, routers int) int {
	return max(1, loadbound.Limit(bound, int(s.GetSlots())-1, max(routers, 1)))
}

// admit enqueues a request at a server and waits until it may be dispatched. It
// checks the router's lease before the request is enqueued, and again after the wait,
// because a process that was frozen in between may have lost its ownership. After the wait it checks the
// rules again too, as the account may have been withdrawn.
func (r *Router) admit(ctx context.Context, s *pb.BackendServer, req routing.Request, svc ruleset.Service, acc ruleset.Account) (release func(), err error) {
	if !r.mayDispatch(s.GetName()) {
		return nil, fault.New(fault.NotOwner, "", "this router does not own "+s.GetName())
	}
	if r.breaker.Open(r.cfg.Now(), s.GetName()) {
		return nil, fault.New(fault.CircuitOpen, s.GetName(), "the circuit breaker for this backend server is open after recent failures")
	}
	permit, decision := r.serverStates.Admit(s, req, r.admissionParams(ctx, s, svc, acc))
	if decision.Refused != "" {
		return nil, &fault.Fault{
			Kind:       decision.Refused,
			Subject:    s.GetName(),
			Advice:     "the request was refused before dispatch",
			RetryAfter: decision.RetryAfter,
		}
	}
	select {
	case <-permit.Started():
	case <-ctx.Done():
		permit.Release()
		return nil, fault.Wrap(fault.NotRun, s.GetName(), ctx.Err())
	}
	if !r.mayDispatch(s.GetName()) {
		permit.Release()
		return nil, fault.New(fault.NotOwner, "", "the ownership of "+s.GetName()+" ended while the request waited")
	}
	if err := r.confirmAccount(svc.Name, acc.Name); err != nil {
		permit.Release()
		return nil, err
	}
	return permit.Release, nil
}

// mayDispatch reports whether this router may dispatch to a server now: as its owner,
// or without a lease while the control group is unreachable.
func (r *Router) mayDispatch(server string) bool {
	if _, ok := r.Agent.Admits(server); ok {
		return true
	}
	v := r.Agent.View()
	s := v.Servers[server]
	return r.Agent.Degraded() && s != nil && v.Accepts(s)
}

// dispatch serves a request at one engine. If copyFrom names another engine, the
// chat's cache is first copied from there.
func (r *Router) dispatch(ctx context.Context, s *pb.BackendServer, req *pb.GenerateRequest, copyFrom string, out sink) error {
	c, class, err := r.checkGenerate(req)
	if err != nil {
		return err
	}
	if s == nil {
		return fault.New(fault.NotOwner, "", "the view of this router does not list the engine")
	}
	release, err := r.admit(ctx, s, routing.Request{
		ID:        req.GetRequestId(),
		Account:   req.GetClientAccount(),
		Share:     c.account.Share,
		Class:     class,
		Cost:      int(req.GetPromptTokens()/8 + req.GetMaxTokens()),
		FairSlots: c.view.Rules.FairSlots(c.account, int(s.GetSlots())),
	}, c.service, c.account)
	if err != nil {
		return err
	}
	defer release()
	if copyFrom != "" && copyFrom != s.GetName() {
		r.copyCache(ctx, copyFrom, s, req)
	}
	return r.streamFromEngine(ctx, s, class, req, out)
}

// streamFromEngine relays the engine's response, and resumes the stream when its
// connection breaks. A stream is not resumed at an engine that is evacuated.
func (r *Router) streamFromEngine(ctx context.Context, s *pb.BackendServer, class int, req *pb.GenerateRequest, out sink) error {
	a := &stream.Assembler{
		RequestID: req.GetRequestId(),
		Next:      req.GetResumeFrom(),
	}
	began := r.cfg.Now()
	first := true
	deliver := func(f *pb.GenerateResponse) error {
		if first {
			first = false
			r.cfg.Metrics.TimeToFirstToken(ctx, s.GetService(), class, r.cfg.Now()-began)
		}
		if f.GetEnd() {
			r.serverStates.RecordServed(s, req.GetChat(), req.GetPromptTokens()+uint32(f.GetCount()))
			r.cfg.Metrics.PromptTokens(ctx, s.GetService(), uint64(req.GetPromptTokens()), uint64(f.GetReusedTokens()))
		}
		return out(f)
	}
	var err error
	for range maxEngineResumes + 1 {
		err = r.streamOnce(ctx, s, class, withResumeFrom(req, a.Next), a, deliver)
		if err == nil || fault.KindOf(err) != fault.ShortAnswer || ctx.Err() != nil || r.isEvacuated(s) {
			break
		}
	}
	if err != nil {
		// The engine runs on without its stream, and another one may get the request next.
		r.endAtEngine(ctx, s, req.GetRequestId())
	}
	if err != nil && a.Next > req.GetResumeFrom() && fault.KindOf(err) == fault.LinkBroken {
		// Part of the response was already sent, so the caller's router has to resume
		// after that part.
		return a.Close()
	}
	return err
}

// isEvacuated reports whether the failure domain of s is evacuated.
func (r *Router) isEvacuated(s *pb.BackendServer) bool {
	return r.Agent != nil && r.Agent.View().IsEvacuated(s)
}

// streamOnce relays one stream of the engine until it ends.
func (r *Router) streamOnce(ctx context.Context, s *pb.BackendServer, class int, req *pb.GenerateRequest, a *stream.Assembler, out sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fs, err := r.cfg.Engine.Infer(ctx, s.GetAddress(), &pb.InferRequest{
		RequestId:    req.GetRequestId(),
		Chat:         req.GetChat(),
		PromptTokens: req.GetPromptTokens(),
		MaxTokens:    req.GetMaxTokens(),
		Priority:     uint32(class),
		ResumeFrom:   req.GetResumeFrom(),
		Prompt:       req.GetPrompt(),
	})
	if err != nil {
		r.breaker.Failure(r.cfg.Now(), s.GetName())
		return fault.Wrap(fault.LinkBroken, s.GetName(), err)
	}
	defer fs.Close()
	before := a.Next
	for {
		f, ok := fs.Receive()
		if !ok {
			break
		}
		ready, err := a.Accept(&pb.GenerateResponse{
			RequestId:     f.GetRequestId(),
			Sequence:      f.GetSequence(),
			Text:          f.GetText(),
			End:           f.GetEnd(),
			Count:         f.GetCount(),
			ReusedTokens:  f.GetReusedTokens(),
			BackendServer: s.GetName(),
		})
		if err != nil {
			return err
		}
		for _, g := range ready {
			if err := out(g); err != nil {
				return err
			}
		}
	}
	if a.Done() {
		r.breaker.Success(r.cfg.Now(), s.GetName())
		return nil
	}
	if ctx.Err() == nil {
		r.breaker.Failure(r.cfg.Now(), s.GetName())
	}
	if a.Next == before && a.Next == 0 && fs.Err() != nil {
		return fault.Wrap(fault.LinkBroken, s.GetName(), fs.Err())
	}
	return a.Close()
}

// endAtEngine cancels a request that this router abandons and waits until the engine has
// confirmed that, for cancelWait at most. It does not wait if the caller has disconnected, as
// no other engine gets the request then.
func (r *Router) endAtEngine(ctx context.Context, s *pb.BackendServer, id string) {
	log := r.cfg.Logger.WithFields(logrus.Fields{
		"request": id,
		"server":  s.GetName(),
	})
	confirmed := make(chan struct{})
	submitted := r.cfg.Pool.Submit(func(jobCtx context.Context) {
		defer close(confirmed)
		jobCtx, cancel := context.WithTimeout(jobCtx, cancelTimeout)
		defer cancel()
		if err := r.cfg.Engine.Cancel(jobCtx, s.GetAddress(), id); err != nil {
			log.WithError(err).Info("router: cancelling a request at its engine failed")
		}
	})
	if !submitted {
		log.Warn("router: a request is not cancelled at its engine, as too many jobs are queued")
		return
	}
	select {
	case <-confirmed:
	case <-ctx.Done():
	case <-time.After(cancelWait):
	}
}
