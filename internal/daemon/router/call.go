package router

// This file defines calls of plain services.
//
// A non-idempotent call is claimed in the control log before its one
// dispatch, by the router that dispatches it. The steps and what each leaves:
//
//	claim granted, not dispatched recorded as not run, by the holder alone
//	dispatched                    recorded as done, or in doubt
//
// A holder that dies or freezes leaves the claim open: repeats are told that
// the call is in doubt and nothing dispatches it again.
//
// A refusal before the claim proves only that this attempt did not run. The
// caller may have sent the key before, to a router that is frozen and will
// claim it yet. So "not run" is said of a key only once the log has it: the
// refusing router claims the key itself and records it as not run. When the
// control group can't be reached, the key is in doubt until it is asked again.

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/retry"
	"camphorspoke/internal/rules/file"
	"camphorspoke/internal/world/fault"
)

const (
	claimLimit = 2 * time.Second
	// maxKeyAhead is how far a key's time may lie ahead of this clock.
	maxKeyAhead = 5 * time.Minute
	// maxRecorded is the largest answer that is recorded with its claim.
	maxRecorded = 64 << 10
)

// callPlan is a checked call.
type callPlan struct {
	checked
	req     *pb.CallRequest
	once    bool
	keyTime int64
}

func (r *Router) checkCall(req *pb.CallRequest) (callPlan, error) {
	c, err := r.check(req.GetService(), req.GetClientAccount())
	p := callPlan{
		checked: c,
		req:     req,
	}
	if err != nil {
		return p, err
	}
	if !c.service.Plain {
		return p, fault.New(fault.BadRequest, req.GetService(), "this service has model engines; use Generate")
	}
	if len(req.GetBody()) > MaxBody {
		return p, fault.New(fault.BodyTooLarge, req.GetCall(), "send a body of at most 1 MiB")
	}
	if req.GetCall() == "" || len(req.GetCall()) > maxIDLength || strings.ContainsAny(req.GetCall(), "/?#% \n\x00") {
		return p, fault.New(fault.BadRequest, req.GetCall(), "use a call name of 1 to 128 bytes without '/', '?', '#', '%' or blanks")
	}
	p.once = c.service.NonIdempotent[req.GetCall()]
	if !p.once {
		return p, nil
	}
	p.keyTime, err = parseKey(req.GetKey())
	if err != nil {
		return p, err
	}
	return p, keyAge(req.GetKey(), p.keyTime, c.service)
}

// parseKey returns the time that a request key carries.
func parseKey(key string) (int64, error) {
	seconds, random, ok := strings.Cut(key, "-")
	t, err := strconv.ParseInt(seconds, 10, 64)
	if !ok || err != nil || t <= 0 || len(random) < 8 || len(key) > maxIDLength {
		return 0, fault.New(fault.BadKey, key, "a non-idempotent call needs a key \"<unix seconds>-<at least 8 random characters>\"")
	}
	return t, nil
}

func keyAge(key string, t int64, svc file.Service) error {
	age := time.Since(time.Unix(t, 0))
	if age > svc.Retention {
		return fault.New(fault.KeyExpired, key, "the key is older than its outcome is kept; ask an operator what became of it before using a new key")
	}
	if age < -maxKeyAhead {
		return fault.New(fault.BadKey, key, "the time of the key lies in the future; check the caller's clock")
	}
	return nil
}

// Call serves a call that a caller sent to this router.
func (r *Router) Call(ctx context.Context, req *pb.CallRequest) (*pb.CallResponse, error) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	began := r.cfg.Now()
	resp, err := r.call(ctx, req)
	if err != nil {
		resp, err = r.prove(ctx, req, err)
	}
	r.cfg.Metrics.Request(ctx, req.GetService(), outcomeName(err), r.cfg.Now()-began)
	return resp, err
}

func (r *Router) call(ctx context.Context, req *pb.CallRequest) (*pb.CallResponse, error) {
	p, err := r.checkCall(req)
	if err != nil {
		return nil, err
	}
	r.budget.Earn(req.GetClientAccount(), req.GetService(), p.service.RetryPercent)
	var seen doubt
	for attempt := 0; ; attempt++ {
		resp, err := r.attemptCall(ctx, p)
		again := tryNext(err) || !p.once && fault.KindOf(err) == fault.InDoubt
		err = seen.resolve(err)
		if err == nil || !again || attempt+1 >= maxAttempts || !r.budget.Spend(req.GetClientAccount(), req.GetService()) {
			return resp, err
		}
		r.cfg.Metrics.Retry(ctx, req.GetService())
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retry.Backoff(attempt)):
		}
	}
}

// prove turns a refusal of a call that may not be repeated into what the log
// knows of its key: recorded as not run from now on, the outcome of an earlier
// attempt, or in doubt while the log can't be asked.
func (r *Router) prove(ctx context.Context, req *pb.CallRequest, err error) (*pb.CallResponse, error) {
	if fault.MayHaveRun(err) || !needsProof(fault.KindOf(err)) || req.GetKey() == "" {
		return nil, err
	}
	v := r.Agent.View()
	if v.Rules != nil && !v.Rules.Services[req.GetService()].NonIdempotent[req.GetCall()] {
		return nil, err
	}
	keyTime, badKey := parseKey(req.GetKey())
	if badKey != nil {
		return nil, err
	}
	p := callPlan{
		req:     req,
		keyTime: keyTime,
	}
	attempt := r.attempt.Add(1)
	// The caller may have gone; the proof is worth having all the same.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimLimit)
	defer cancel()
	result, lost := r.claim(ctx, p, attempt)
	settle := r.settlement(p, attempt)
	settle.Outcome = pb.Outcome_OUTCOME_NOT_RUN
	switch {
	case lost != nil:
		r.settleLater(settle)
		return nil, &fault.Fault{
			Kind:       fault.InDoubt,
			Subject:    req.GetKey(),
			Advice:     "this attempt was not run, but whether an earlier one was can't be told now; ask again with the same key",
			RetryAfter: 500 * time.Millisecond,
			Cause:      errors.Join(err, lost),
		}
	case result.GetFailure() != "":
		return nil, fault.New(result.GetFailure(), req.GetKey(), "the control group refused the key")
	case !result.GetGranted():
		return recorded(result.GetClaim())
	}
	r.settle(settle)
	f := fault.New(fault.KeyNotRun, req.GetKey(), "refused and recorded as not run; use a new key to try again")
	f.Cause = err
	return nil, f
}

// needsProof reports whether a refusal leaves open what became of a key. Bad
// input does not: no attempt with it can have been taken.
func needsProof(k fault.Kind) bool {
	switch k {
	case fault.KeyNotRun, fault.BadKey, fault.BadRequest, fault.BodyTooLarge, fault.UnknownService, fault.UnknownAccount:
		return false
	}
	return true
}

// attemptCall tries the servers of a service until one takes the call.
func (r *Router) attemptCall(ctx context.Context, p callPlan) (*pb.CallResponse, error) {
	v := r.Agent.View()
	spread := strconv.FormatUint(r.attempt.Add(1), 10) + r.cfg.Instance
	order := r.cfg.Picker.Order(spread, v.Weighted(p.req.GetService()))
	var last error = fault.New(fault.NoEngine, p.req.GetService(), "no backend server of the service takes new work")
	for _, server := range order {
		resp, err := r.callAt(ctx, p, server)
		if err == nil {
			return resp, nil
		}
		if k := fault.KindOf(err); k != fault.OverBound && k != fault.NotOwner && k != fault.Leaving && k != fault.HeldBack {
			return nil, err
		}
		last = err
	}
	if fault.KindOf(last) == fault.OverBound {
		return nil, &fault.Fault{
			Kind:       fault.OverBound,
			Subject:    p.req.GetService(),
			Advice:     "every backend server of the service is at its bound; try again later",
			RetryAfter: 100 * time.Millisecond,
		}
	}
	return nil, last
}

func (r *Router) callAt(ctx context.Context, p callPlan, server string) (*pb.CallResponse, error) {
	if r.mayDispatch(server) {
		return r.callHere(ctx, p, server)
	}
	v := r.Agent.View()
	owner := v.Owner(server)
	if owner == nil || owner.GetName() == r.cfg.Instance {
		return nil, fault.New(fault.NotOwner, server, "the backend server has no owner that can be reached")
	}
	peer := "router:" + owner.GetName()
	if !r.breaker.Allow(r.cfg.Now(), peer) {
		return nil, fault.New(fault.HeldBack, owner.GetName(), "this router failed lately")
	}
	resp, err := r.cfg.Peers.ForwardCall(ctx, owner.GetPeerAddress(), &pb.ForwardCallRequest{
		Request:       p.req,
		BackendServer: server,
		Hops:          1,
		Loads:         r.serviceLoads(v, p.req.GetService()),
	})
	var f *fault.Fault
	if errors.As(err, &f) {
		return nil, f
	}
	if err != nil {
		r.breaker.Failure(r.cfg.Now(), peer)
		return nil, fault.Wrap(fault.LinkBroken, owner.GetName(), err)
	}
	r.breaker.Success(r.cfg.Now(), peer)
	r.Learn(resp.GetLoads())
	if resp.GetRefusal() != nil {
		return nil, refusalFault(resp.GetRefusal())
	}
	return resp.GetResponse(), nil
}

// ForwardedCall serves a call that another router forwarded.
func (r *Router) ForwardedCall(ctx context.Context, f *pb.ForwardCallRequest) (*pb.ForwardCallResponse, error) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.Learn(f.GetLoads())
	p, err := r.checkCall(f.GetRequest())
	if err != nil {
		return nil, err
	}
	if err := r.awaitOwnership(ctx, f.GetBackendServer()); err != nil {
		return nil, err
	}
	resp, err := r.callHere(ctx, p, f.GetBackendServer())
	if err != nil {
		return nil, err
	}
	return &pb.ForwardCallResponse{
		Response: resp,
		Loads:    r.serviceLoads(r.Agent.View(), p.req.GetService()),
	}, nil
}

// callHere admits the call at a server of this router and runs it.
func (r *Router) callHere(ctx context.Context, p callPlan, server string) (*pb.CallResponse, error) {
	s := r.Agent.View().Servers[server]
	leave, err := r.admit(ctx, s, routing.Request{
		ID:      p.req.GetKey(),
		Account: p.req.GetClientAccount(),
		Share:   p.account.Share,
		Class:   file.Normal,
		Cost:    1,
	}, p.service, p.account)
	if err != nil {
		return nil, err
	}
	defer leave()
	if p.once {
		return r.runOnce(ctx, p, s)
	}
	body, err := r.run(ctx, p, s)
	if err != nil {
		return nil, err
	}
	return &pb.CallResponse{
		Body:    body,
		Outcome: pb.Outcome_OUTCOME_DONE,
	}, nil
}

func (r *Router) run(ctx context.Context, p callPlan, s *pb.BackendServer) ([]byte, error) {
	body, err := r.cfg.Plain.Call(ctx, s.GetAddress(), edge.Call{
		ClientAccount: p.req.GetClientAccount(),
		Name:          p.req.GetCall(),
		Key:           p.req.GetKey(),
		Body:          p.req.GetBody(),
	})
	if err != nil {
		r.breaker.Failure(r.cfg.Now(), s.GetName())
		return nil, err
	}
	r.breaker.Success(r.cfg.Now(), s.GetName())
	return body, nil
}

// runOnce claims the key, dispatches once, and records the outcome.
func (r *Router) runOnce(ctx context.Context, p callPlan, s *pb.BackendServer) (*pb.CallResponse, error) {
	attempt := r.attempt.Add(1)
	claimCtx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	result, err := r.claim(claimCtx, p, attempt)
	settle := r.settlement(p, attempt)
	if err != nil {
		// Nothing was dispatched and nothing will be. Should the claim have
		// been taken all the same, its holder says so in the log.
		settle.Outcome = pb.Outcome_OUTCOME_NOT_RUN
		r.settleLater(settle)
		return nil, fault.Wrap(fault.NoQuorum, p.req.GetKey(), err)
	}
	if result.GetFailure() != "" {
		return nil, fault.New(result.GetFailure(), p.req.GetKey(), "the control group refused the key")
	}
	if !result.GetGranted() {
		return recorded(result.GetClaim())
	}
	return r.dispatchClaimed(ctx, p, s, settle)
}

func (r *Router) claim(ctx context.Context, p callPlan, attempt uint64) (*pb.Result, error) {
	return r.cfg.Control.Propose(ctx, &pb.Command{
		Kind: &pb.Command_ClaimKey{
			ClaimKey: &pb.ClaimKey{
				ClientAccount: p.req.GetClientAccount(),
				Service:       p.req.GetService(),
				Key:           p.req.GetKey(),
				Holder:        r.cfg.Instance,
				Incarnation:   r.cfg.Incarnation,
				Attempt:       attempt,
				KeyTime:       p.keyTime,
			},
		},
	})
}

func (r *Router) settlement(p callPlan, attempt uint64) *pb.SettleKey {
	return &pb.SettleKey{
		ClientAccount: p.req.GetClientAccount(),
		Service:       p.req.GetService(),
		Key:           p.req.GetKey(),
		Holder:        r.cfg.Instance,
		Incarnation:   r.cfg.Incarnation,
		Attempt:       attempt,
	}
}

func (r *Router) dispatchClaimed(ctx context.Context, p callPlan, s *pb.BackendServer, settle *pb.SettleKey) (*pb.CallResponse, error) {
	if ctx.Err() != nil || !r.mayDispatch(s.GetName()) {
		settle.Outcome = pb.Outcome_OUTCOME_NOT_RUN
		r.settle(settle)
		return nil, fault.New(fault.KeyNotRun, p.req.GetKey(), "the claim came too late to dispatch; use a new key")
	}
	body, err := r.run(ctx, p, s)
	switch {
	case err == nil:
		settle.Outcome = pb.Outcome_OUTCOME_DONE
		if len(body) <= maxRecorded {
			settle.Body = body
		}
	case fault.KindOf(err) == fault.NotRun:
		settle.Outcome = pb.Outcome_OUTCOME_NOT_RUN
		err = fault.Wrap(fault.KeyNotRun, p.req.GetKey(), err)
	default:
		settle.Outcome = pb.Outcome_OUTCOME_IN_DOUBT
	}
	r.settle(settle)
	if err != nil {
		return nil, err
	}
	return &pb.CallResponse{
		Body:    body,
		Outcome: pb.Outcome_OUTCOME_DONE,
	}, nil
}

// recorded answers a repeat of a key from its claim.
func recorded(c *pb.Claim) (*pb.CallResponse, error) {
	switch {
	case !c.GetSettled():
		return nil, &fault.Fault{
			Kind:       fault.InDoubt,
			Subject:    c.GetKey(),
			Advice:     "another attempt holds the key and has not said how it ended; ask again with the same key",
			RetryAfter: 500 * time.Millisecond,
		}
	case c.GetOutcome() == pb.Outcome_OUTCOME_DONE:
		return &pb.CallResponse{
			Body:     c.GetBody(),
			Outcome:  pb.Outcome_OUTCOME_DONE,
			Recorded: true,
		}, nil
	case c.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN:
		return nil, fault.New(fault.KeyNotRun, c.GetKey(), "recorded as not run; use a new key to try again")
	default:
		return nil, fault.New(fault.InDoubt, c.GetKey(), "recorded as in doubt; ask an operator to settle it")
	}
}

// settle records an outcome now, or later when the control group is away.
func (r *Router) settle(s *pb.SettleKey) {
	ctx, cancel := context.WithTimeout(context.Background(), claimLimit)
	defer cancel()
	if r.trySettle(ctx, s) != nil {
		r.settleLater(s)
	}
}

func (r *Router) trySettle(ctx context.Context, s *pb.SettleKey) error {
	_, err := r.cfg.Control.Propose(ctx, &pb.Command{
		Kind: &pb.Command_SettleKey{
			SettleKey: s,
		},
	})
	return err
}

func (r *Router) settleLater(s *pb.SettleKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsettled = append(r.unsettled, s)
}

// flushSettlements records the outcomes that could not be recorded yet.
func (r *Router) flushSettlements(ctx context.Context) {
	r.mu.Lock()
	open := r.unsettled
	r.unsettled = nil
	r.mu.Unlock()
	for i, s := range open {
		tryCtx, cancel := context.WithTimeout(ctx, claimLimit)
		err := r.trySettle(tryCtx, s)
		cancel()
		if err != nil {
			r.mu.Lock()
			r.unsettled = append(r.unsettled, open[i:]...)
			r.mu.Unlock()
			return
		}
	}
}
