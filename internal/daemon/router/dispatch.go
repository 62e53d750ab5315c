package router

// This file defines dispatch: admission at an owned engine and following the
// engine's stream, with a resume where its link breaks.

import (
	"context"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/admission"
	"camphorspoke/internal/routing/bounded"
	"camphorspoke/internal/routing/stream"
	"camphorspoke/internal/rules/file"
	"camphorspoke/internal/world/fault"
)

// engineResumes is how often a broken engine stream is resumed at the engine.
const engineResumes = 2

// terms returns what a request at a server is admitted under now.
func (r *Router) terms(ctx context.Context, s *pb.BackendServer, svc file.Service, acc file.Account) admission.Terms {
	v := r.Agent.View()
	others, servers := r.othersLoad(v, s.GetService(), s.GetName())
	t := admission.Terms{
		Bound:      svc.Bound,
		OthersLoad: others,
		Servers:    max(servers, 1),
	}
	if acc.Limit > 0 {
		t.AccountLimit = accountLimit(svc.Bound, acc.Limit, t.Servers)
	}
	if r.Agent.Degraded() {
		t.Cap = degradedCap(svc.Bound, s, len(v.Routers()))
	}
	if d, ok := ctx.Deadline(); ok {
		t.Remaining = max(time.Until(d), 1)
	}
	return t
}

// accountLimit is an account's limit at one of n servers, with the slack that
// the load bound gives.
func accountLimit(bound float64, limit, n int) int {
	return max(1, bounded.Limit(bound, limit-1, n))
}

// degradedCap is the share of a server that a router without a lease takes.
func degradedCap(bound float64, s *pb.BackendServer, routers int) int {
	return max(1, bounded.Limit(bound, int(s.GetSlots())-1, max(routers, 1)))
}

// admit enters the gate of a server and waits for its turn. The owner's lease
// is checked before the gate, and again after a wait: a process that was
// frozen in between must not dispatch as the owner.
func (r *Router) admit(ctx context.Context, s *pb.BackendServer, req routing.Request, svc file.Service, acc file.Account) (leave func(), err error) {
	if !r.mayDispatch(s.GetName()) {
		return nil, fault.New(fault.NotOwner, "", "this router does not own "+s.GetName())
	}
	if r.breaker.Open(r.cfg.Now(), s.GetName()) {
		return nil, fault.New(fault.HeldBack, s.GetName(), "the backend server failed lately")
	}
	t, d := r.gates.Enter(s, req, r.terms(ctx, s, svc, acc))
	if d.Refused != "" {
		return nil, &fault.Fault{
			Kind:       d.Refused,
			Subject:    s.GetName(),
			Advice:     "refused before any dispatch",
			RetryAfter: d.RetryAfter,
		}
	}
	select {
	case <-t.Started():
	case <-ctx.Done():
		t.Leave()
		return nil, fault.Wrap(fault.NotRun, s.GetName(), ctx.Err())
	}
	if !r.mayDispatch(s.GetName()) {
		t.Leave()
		return nil, fault.New(fault.NotOwner, "", "the ownership of "+s.GetName()+" ended while the request waited")
	}
	return t.Leave, nil
}

// mayDispatch reports whether this router may send work to a server now.
func (r *Router) mayDispatch(server string) bool {
	if _, ok := r.Agent.Admits(server); ok {
		return true
	}
	s := r.Agent.View().Servers[server]
	return r.Agent.Degraded() && s != nil && !s.GetGone() && !s.GetLeaving() && !s.GetDrained()
}

// dispatch serves a request at one engine, copying the chat's cache from
// another one first where copyFrom names it.
func (r *Router) dispatch(ctx context.Context, s *pb.BackendServer, req *pb.GenerateRequest, copyFrom string, out sink) error {
	c, class, err := r.checkGenerate(req)
	if err != nil {
		return err
	}
	if s == nil {
		return fault.New(fault.NotOwner, "", "the engine is not listed")
	}
	leave, err := r.admit(ctx, s, routing.Request{
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
	defer leave()
	if copyFrom != "" && copyFrom != s.GetName() {
		r.copyCache(ctx, copyFrom, s, req)
	}
	return r.follow(ctx, s, class, req, out)
}

// follow streams the engine's answer and resumes it where the link breaks.
func (r *Router) follow(ctx context.Context, s *pb.BackendServer, class int, req *pb.GenerateRequest, out sink) error {
	a := &stream.Assembler{
		RequestID: req.GetRequestId(),
		Next:      req.GetResumeFrom(),
	}
	began := r.cfg.Now()
	first := true
	deliver := func(f *pb.GenerateResponse) error {
		if first {
			first = false
			r.cfg.Metrics.FirstToken(ctx, s.GetService(), class, r.cfg.Now()-began)
		}
		if f.GetEnd() {
			r.gates.Served(s, req.GetChat(), req.GetPromptTokens()+uint32(f.GetCount()))
			r.cfg.Metrics.Tokens(ctx, s.GetService(), uint64(req.GetPromptTokens()), uint64(f.GetReusedTokens()))
		}
		return out(f)
	}
	var err error
	for range engineResumes + 1 {
		err = r.followOnce(ctx, s, class, cloneFrom(req, a.Next), a, deliver)
		if err == nil || fault.KindOf(err) != fault.ShortAnswer || ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() != nil {
		r.cancelAtEngine(s, req.GetRequestId())
	}
	if err != nil && a.Next > req.GetResumeFrom() && fault.KindOf(err) == fault.LinkBroken {
		// Part of the answer is out: the caller's router resumes after it.
		return a.Close()
	}
	return err
}

func (r *Router) followOnce(ctx context.Context, s *pb.BackendServer, class int, req *pb.GenerateRequest, a *stream.Assembler, out sink) error {
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

// cancelAtEngine frees the slot of a request whose caller has gone.
func (r *Router) cancelAtEngine(s *pb.BackendServer, id string) {
	r.cfg.Pool.Submit(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if err := r.cfg.Engine.Cancel(ctx, s.GetAddress(), id); err != nil {
			r.cfg.Logger.WithError(err).Debug("router: a cancel has no answer")
		}
	})
}
