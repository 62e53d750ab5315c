package router

// This file defines calls of plain services.
//
// A non-idempotent call is dispatched at most once. Before the dispatch, the
// router claims the request key in the control log and becomes the holder of the
// claim. Afterwards it records the outcome of the key, depending on how far the
// call got:
//
//	claim granted, not dispatched: not run (only the holder may record this)
//	dispatched:                    done, not run or in doubt
//
// If the holder crashes or freezes, the claim stays without an outcome. Retries
// with the same key then fail as in doubt, and no router dispatches the call
// again.
//
// A refusal before the claim only proves that this attempt did not run. The
// caller may have sent the same key earlier to a router that is frozen and may
// still claim it. A key is therefore reported as not run only once the control log
// records it as such: the refusing router claims the key and records it as not
// run. While the control group is unreachable, the key is reported as in doubt,
// and the caller has to retry with the same key.

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/retry"
	"camphorspoke/internal/rules/ruleset"
)

const (
	// claimTimeout limits each proposal to the control log.
	claimTimeout = 2 * time.Second
	// maxKeySkew is how far the time in a request key may be ahead of this instance's
	// clock.
	maxKeySkew = 5 * time.Minute
	// maxRecordedBody is the maximum size of a response body that is stored in the
	// control log with the outcome, in bytes.
	maxRecordedBody = 64 << 10
)

// checkedCall is a validated call.
type checkedCall struct {
	ruleContext
	req *pb.CallRequest
	// nonIdempotent is true if the call must not run more than once.
	nonIdempotent bool
	// keyTime is the time in the request key, in Unix seconds; zero if the call is
	// idempotent.
	keyTime int64
}

// checkCall validates a call.
func (r *Router) checkCall(req *pb.CallRequest) (checkedCall, error) {
	c, err := r.lookupRules(req.GetService(), req.GetClientAccount())
	p := checkedCall{
		ruleContext: c,
		req:         req,
	}
	if err != nil {
		return p, err
	}
	if !c.service.Plain {
		return p, fault.New(fault.BadRequest, req.GetService(), "this service has model engines; use Generate")
	}
	if len(req.GetBody()) > MaxBody {
		return p, fault.New(fault.BodyTooLarge, req.GetCall(), "the body is larger than 1 MiB")
	}
	if req.GetCall() == "" || len(req.GetCall()) > maxIDLength || strings.ContainsAny(req.GetCall(), "/?#% \n\x00") {
		return p, fault.New(fault.BadRequest, req.GetCall(), "the call name must have 1 to 128 bytes and contain no '/', '?', '#', '%', space, newline or NUL")
	}
	p.nonIdempotent = c.service.NonIdempotent[req.GetCall()]
	if !p.nonIdempotent {
		return p, nil
	}
	p.keyTime, err = parseKey(req.GetKey())
	if err != nil {
		return p, err
	}
	return p, checkKeyAge(req.GetKey(), p.keyTime, c.service)
}

// parseKey returns the time in a request key, in Unix seconds.
func parseKey(key string) (int64, error) {
	seconds, random, ok := strings.Cut(key, "-")
	t, err := strconv.ParseInt(seconds, 10, 64)
	if !ok || err != nil || t <= 0 || len(random) < 8 || len(key) > maxIDLength {
		return 0, fault.New(fault.BadKey, key, "a non-idempotent call needs a key \"<unix seconds>-<at least 8 random characters>\"")
	}
	return t, nil
}

// checkKeyAge rejects keys whose outcome may already have been deleted, and keys from
// the future.
func checkKeyAge(key string, t int64, svc ruleset.Service) error {
	age := time.Since(time.Unix(t, 0))
	if age > svc.Retention {
		return fault.New(fault.KeyExpired, key, "the key is older than the retention of outcomes; have an operator check whether the call ran before retrying with a new key")
	}
	if age < -maxKeySkew {
		return fault.New(fault.BadKey, key, "the time in the key is in the future; check the caller's clock")
	}
	return nil
}

// Call serves a call of a plain service that a caller sent to this router.
func (r *Router) Call(ctx context.Context, req *pb.CallRequest) (*pb.CallResponse, error) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	began := r.cfg.Now()
	resp, err := r.call(ctx, req)
	if err != nil {
		resp, err = r.recordNotRun(ctx, req, err)
	}
	r.cfg.Metrics.Request(ctx, req.GetService(), outcomeName(err), r.cfg.Now()-began)
	return resp, err
}

// call attempts a call, and retries it within the retry budget.
func (r *Router) call(ctx context.Context, req *pb.CallRequest) (*pb.CallResponse, error) {
	p, err := r.checkCall(req)
	if err != nil {
		return nil, err
	}
	r.budget.Earn(req.GetClientAccount(), req.GetService(), p.service.RetryPercent)
	var tracker attemptTracker
	for attempt := 0; ; attempt++ {
		resp, err := r.attemptCall(ctx, p)
		retryable := canTryElsewhere(err) || !p.nonIdempotent && fault.KindOf(err) == fault.InDoubt
		err = tracker.combine(err)
		if err == nil || !retryable || attempt+1 >= maxAttempts || !r.budget.Spend(req.GetClientAccount(), req.GetService()) {
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

// recordNotRun replaces the refusal of a non-idempotent call by the outcome of its
// key in the control log. If the key is unclaimed, it claims the key and records it
// as not run. If an earlier attempt has claimed the key, it returns the outcome of
// that attempt. If the control group is unreachable, the key is in doubt.
func (r *Router) recordNotRun(ctx context.Context, req *pb.CallRequest, err error) (*pb.CallResponse, error) {
	if fault.MayHaveRun(err) || !keyOutcomeUnknown(fault.KindOf(err)) || req.GetKey() == "" {
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
	p := checkedCall{
		req:     req,
		keyTime: keyTime,
	}
	attempt := r.attemptIDs.Add(1)
	// Record the outcome even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	result, claimErr := r.claimKey(ctx, p, attempt)
	outcome := r.newOutcome(p, attempt)
	outcome.Outcome = pb.Outcome_OUTCOME_NOT_RUN
	switch {
	case claimErr != nil:
		r.queueOutcome(outcome)
		return nil, &fault.Fault{
			Kind:       fault.InDoubt,
			Subject:    req.GetKey(),
			Advice:     "this attempt did not run, but an earlier one may have; retry with the same key",
			RetryAfter: 500 * time.Millisecond,
			Cause:      errors.Join(err, claimErr),
		}
	case result.GetFailure() != "":
		return nil, fault.New(result.GetFailure(), req.GetKey(), "the control group rejected the claim of the key")
	case !result.GetGranted():
		return recordedOutcome(result.GetClaim())
	}
	r.recordOutcome(outcome)
	f := fault.New(fault.KeyNotRun, req.GetKey(), "the call was refused and the key is recorded as not run; retry with a new key")
	f.Cause = err
	return nil, f
}

// keyOutcomeUnknown reports whether, after a refusal of the given kind, an earlier
// attempt with the same key may have run. This is not possible if the key is recorded
// as not run, or after invalid input, because every attempt with that input is
// rejected.
func keyOutcomeUnknown(k fault.Kind) bool {
	switch k {
	case fault.KeyNotRun, fault.BadKey, fault.BadRequest, fault.BodyTooLarge, fault.UnknownService, fault.UnknownAccount:
		return false
	}
	return true
}

// attemptCall tries the servers of a service in turn until one accepts the call.
func (r *Router) attemptCall(ctx context.Context, p checkedCall) (*pb.CallResponse, error) {
	v := r.Agent.View()
	spreadKey := strconv.FormatUint(r.attemptIDs.Add(1), 10) + r.cfg.Instance
	order := r.cfg.Picker.Order(spreadKey, v.WeightedServers(p.req.GetService()))
	var lastErr error = fault.New(fault.NoEngine, p.req.GetService(), "no backend server of the service accepts new requests")
	for _, server := range order {
		resp, err := r.callServer(ctx, p, server)
		if err == nil {
			return resp, nil
		}
		if k := fault.KindOf(err); k != fault.OverBound && k != fault.NotOwner && k != fault.Leaving && k != fault.CircuitOpen {
			return nil, err
		}
		lastErr = err
	}
	if fault.KindOf(lastErr) == fault.OverBound {
		return nil, &fault.Fault{
			Kind:       fault.OverBound,
			Subject:    p.req.GetService(),
			Advice:     "every backend server of the service is at its load bound; retry later",
			RetryAfter: 100 * time.Millisecond,
		}
	}
	return nil, lastErr
}

// callServer runs a call at one server: directly if this router may dispatch to it,
// otherwise through the server's owner.
func (r *Router) callServer(ctx context.Context, p checkedCall, server string) (*pb.CallResponse, error) {
	if r.mayDispatch(server) {
		return r.callLocally(ctx, p, server)
	}
	v := r.Agent.View()
	owner := v.Owner(server)
	if owner == nil || owner.GetName() == r.cfg.Instance {
		return nil, fault.New(fault.NotOwner, server, "the backend server has no reachable owner")
	}
	peer := "router:" + owner.GetName()
	if !r.breaker.Allow(r.cfg.Now(), peer) {
		return nil, fault.New(fault.CircuitOpen, owner.GetName(), "the circuit breaker for this router is open after recent failures")
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
	r.UpdateLoads(resp.GetLoads())
	if resp.GetRefusal() != nil {
		return nil, refusalFault(resp.GetRefusal())
	}
	return resp.GetResponse(), nil
}

// ServeForwardedCall serves a call that another router forwarded to this one.
func (r *Router) ServeForwardedCall(ctx context.Context, f *pb.ForwardCallRequest) (*pb.ForwardCallResponse, error) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.UpdateLoads(f.GetLoads())
	p, err := r.checkCall(f.GetRequest())
	if err != nil {
		return nil, err
	}
	if err := r.awaitOwnership(ctx, f.GetBackendServer()); err != nil {
		return nil, err
	}
	resp, err := r.callLocally(ctx, p, f.GetBackendServer())
	if err != nil {
		return nil, err
	}
	return &pb.ForwardCallResponse{
		Response: resp,
		Loads:    r.serviceLoads(r.Agent.View(), p.req.GetService()),
	}, nil
}

// callLocally admits a call to a server and dispatches it from this router.
func (r *Router) callLocally(ctx context.Context, p checkedCall, server string) (*pb.CallResponse, error) {
	s := r.Agent.View().Servers[server]
	release, err := r.admit(ctx, s, routing.Request{
		ID:      p.req.GetKey(),
		Account: p.req.GetClientAccount(),
		Share:   p.account.Share,
		Class:   ruleset.Normal,
		Cost:    1,
	}, p.service, p.account)
	if err != nil {
		return nil, err
	}
	defer release()
	if p.nonIdempotent {
		return r.callWithClaim(ctx, p, s)
	}
	body, err := r.callBackend(ctx, p, s)
	if err != nil {
		return nil, err
	}
	return &pb.CallResponse{
		Body:    body,
		Outcome: pb.Outcome_OUTCOME_DONE,
	}, nil
}

// callBackend sends a call to the server and updates its circuit breaker.
func (r *Router) callBackend(ctx context.Context, p checkedCall, s *pb.BackendServer) ([]byte, error) {
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

// callWithClaim claims the request key, dispatches the call once, and records the
// outcome.
func (r *Router) callWithClaim(ctx context.Context, p checkedCall, s *pb.BackendServer) (*pb.CallResponse, error) {
	attempt := r.attemptIDs.Add(1)
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result, err := r.claimKey(claimCtx, p, attempt)
	outcome := r.newOutcome(p, attempt)
	if err != nil {
		// The call was not dispatched and will not be. The claim may still have
		// been committed, so its outcome must be recorded as not run.
		outcome.Outcome = pb.Outcome_OUTCOME_NOT_RUN
		r.queueOutcome(outcome)
		return nil, fault.Wrap(fault.NoQuorum, p.req.GetKey(), err)
	}
	if result.GetFailure() != "" {
		return nil, fault.New(result.GetFailure(), p.req.GetKey(), "the control group rejected the claim of the key")
	}
	if !result.GetGranted() {
		return recordedOutcome(result.GetClaim())
	}
	return r.dispatchClaimed(ctx, p, s, outcome)
}

// claimKey proposes the claim of a request key to the control log.
func (r *Router) claimKey(ctx context.Context, p checkedCall, attempt uint64) (*pb.Result, error) {
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

// newOutcome returns the command that records the outcome of a key; the caller sets
// the outcome.
func (r *Router) newOutcome(p checkedCall, attempt uint64) *pb.SettleKey {
	return &pb.SettleKey{
		ClientAccount: p.req.GetClientAccount(),
		Service:       p.req.GetService(),
		Key:           p.req.GetKey(),
		Holder:        r.cfg.Instance,
		Incarnation:   r.cfg.Incarnation,
		Attempt:       attempt,
	}
}

// dispatchClaimed dispatches a call whose key this router has claimed, and records
// the outcome.
func (r *Router) dispatchClaimed(ctx context.Context, p checkedCall, s *pb.BackendServer, outcome *pb.SettleKey) (*pb.CallResponse, error) {
	withdrawn := r.confirmAccount(p.service.Name, p.account.Name)
	if ctx.Err() != nil || withdrawn != nil || !r.mayDispatch(s.GetName()) {
		outcome.Outcome = pb.Outcome_OUTCOME_NOT_RUN
		r.recordOutcome(outcome)
		return nil, fault.New(fault.KeyNotRun, p.req.GetKey(), "the claim was granted too late to dispatch the call; retry with a new key")
	}
	body, err := r.callBackend(ctx, p, s)
	switch {
	case err == nil:
		outcome.Outcome = pb.Outcome_OUTCOME_DONE
		if len(body) <= maxRecordedBody {
			outcome.Body = body
		}
	case fault.KindOf(err) == fault.NotRun:
		outcome.Outcome = pb.Outcome_OUTCOME_NOT_RUN
		err = fault.Wrap(fault.KeyNotRun, p.req.GetKey(), err)
	default:
		outcome.Outcome = pb.Outcome_OUTCOME_IN_DOUBT
	}
	r.recordOutcome(outcome)
	if err != nil {
		return nil, err
	}
	return &pb.CallResponse{
		Body:    body,
		Outcome: pb.Outcome_OUTCOME_DONE,
	}, nil
}

// recordedOutcome returns the response to a retry, taken from the existing claim of
// its key.
func recordedOutcome(c *pb.Claim) (*pb.CallResponse, error) {
	switch {
	case !c.GetSettled():
		return nil, &fault.Fault{
			Kind:       fault.InDoubt,
			Subject:    c.GetKey(),
			Advice:     "another attempt has claimed the key and has not recorded its outcome; retry with the same key",
			RetryAfter: 500 * time.Millisecond,
		}
	case c.GetOutcome() == pb.Outcome_OUTCOME_DONE:
		return &pb.CallResponse{
			Body:     c.GetBody(),
			Outcome:  pb.Outcome_OUTCOME_DONE,
			Recorded: true,
		}, nil
	case c.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN:
		return nil, fault.New(fault.KeyNotRun, c.GetKey(), "the key is recorded as not run; retry with a new key")
	default:
		return nil, fault.New(fault.InDoubt, c.GetKey(), "the key is recorded as in doubt; an operator has to settle its claim")
	}
}

// recordOutcome records an outcome in the control log. If that fails, it queues the
// outcome for a later attempt.
func (r *Router) recordOutcome(s *pb.SettleKey) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if r.proposeOutcome(ctx, s) != nil {
		r.queueOutcome(s)
	}
}

// proposeOutcome proposes an outcome to the control log.
func (r *Router) proposeOutcome(ctx context.Context, s *pb.SettleKey) error {
	_, err := r.cfg.Control.Propose(ctx, &pb.Command{
		Kind: &pb.Command_SettleKey{
			SettleKey: s,
		},
	})
	return err
}

// queueOutcome queues an outcome for flushOutcomes.
func (r *Router) queueOutcome(s *pb.SettleKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingOutcomes = append(r.pendingOutcomes, s)
}

// flushOutcomes records the queued outcomes, and stops at the first failure.
func (r *Router) flushOutcomes(ctx context.Context) {
	r.mu.Lock()
	pending := r.pendingOutcomes
	r.pendingOutcomes = nil
	r.mu.Unlock()
	for i, s := range pending {
		tryCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		err := r.proposeOutcome(tryCtx, s)
		cancel()
		if err != nil {
			r.mu.Lock()
			r.pendingOutcomes = append(r.pendingOutcomes, pending[i:]...)
			r.mu.Unlock()
			return
		}
	}
}
