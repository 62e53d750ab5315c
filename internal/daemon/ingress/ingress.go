// Package ingress is the reverse proxy that forwards the requests of callers to
// backend servers.
//
// A request is matched to its route and its client account by the rules in force,
// gets a backend server from the placer, is sent there, and its response is relayed
// to the caller. What follows a failure depends on whether the request may have run.
// A request is retried only if it may run more than once, or if the backend server
// reported that it did not run. The caller receives a "not run" failure only if every
// backend server that received the request has reported so.
package ingress

// This file defines Handler and the steps before a request is forwarded.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/bodymemory"
	"camphorspoke/internal/daemon/inflight"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/daemon/responsememory"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/abandonment"
	"camphorspoke/internal/routing/durations"
	"camphorspoke/internal/routing/hedge"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/ruleset"
)

const (
	// prioritySpan is how many route priorities are distinguished within one account
	// priority, and enginePrioritySpan how many of them are passed on to engines.
	prioritySpan       = 16
	enginePrioritySpan = 3
	// staleRulesRetryAfter is the retry delay given to callers while the rules cannot
	// be confirmed to be in force: about as long as the control group takes to elect
	// a leader. Up to half of it is added at random, to spread the retries.
	staleRulesRetryAfter = 900 * time.Millisecond
	// leavingRetryAfter is the retry delay given to callers when this instance shuts
	// down before their request would finish; the retry goes to another instance. Up
	// to the same time again is added at random, to spread the retries.
	leavingRetryAfter = 30 * time.Millisecond
	// confirmationWindow is the time after a start, after the last confirmation of the rules
	// expired, or after the first attempt failed to confirm them again, in which a new confirmation is
	// expected soon. Within it, a request waits for the confirmation for up to maxFreshWait.
	confirmationWindow = time.Second
	maxFreshWait       = 300 * time.Millisecond
	// freshWaitShare is the largest share of the caller's timeout that is spent on
	// this wait.
	freshWaitShare = 0.25
)

// Membership gives access to the instance's view of the fleet.
type Membership interface {
	// View returns the current view of the servers, instances and rules.
	View() *view.View
	// Fresh reports whether the rules held are confirmed to be in force.
	Fresh() bool
	// AwaitFresh waits until the rules are fresh, for timeout at most, and reports
	// whether they are. It returns at once if they are stale and the attempts to confirm them
	// have failed for longer than maxFailing.
	AwaitFresh(ctx context.Context, maxFailing, timeout time.Duration) bool
}

// Handler is the HTTP handler for the requests of callers.
type Handler struct {
	Membership Membership
	Dialect    edge.Dialect
	Placer     *placer.Placer
	Pool       *backend.Pool
	Logger     logrus.FieldLogger
	Meters     *metrics.Meters
	Now        func() time.Duration
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// ShutdownState reports whether this instance is shutting down, so that callers
	// should connect to another one, and since when and for how long. If it is nil, the
	// instance never reports a shutdown.
	ShutdownState func() (s durations.Shutdown, leaving bool)
	// Gate counts the requests in flight; once it is closed no other is accepted.
	Gate inflight.Gate
	// Bodies limits the memory for the bodies of requests; nil is no limit.
	Bodies *bodymemory.Budget
	// Responses limits the memory for unfinished responses; nil is no limit.
	Responses *responsememory.Budget

	// HedgePercent limits the hedged requests of services whose rule states no limit; zero
	// is none.
	HedgePercent int
	// Forwarding lets other instances serve the requests of an isolated one.
	Forwarding Forwarding

	// abandonments finds the requests whose callers leave again and again.
	abandonments abandonment.Tracker
	// routeDurations holds how long recent requests of each route took.
	routeDurations durations.Estimator
	// reportedHeaders holds the unreadable headers of servers that have been logged.
	reportedHeaders reportedHeaders
	// responseTimes holds how long servers took to begin their responses to recent requests
	// of each route of a service with hedging.
	responseTimes hedge.Estimator
}

// call is the state of one request in flight.
type call struct {
	h   *Handler
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context
	// req holds what the dialect parsed from r.
	req   edge.Request
	route *ruleset.Route
	// ruleVersion is the version of the rules by which the request was admitted. rulesFresh is true
	// if they were confirmed to be in force then.
	ruleVersion uint64
	rulesFresh  bool
	// account is the account to which the caller's key belonged then; empty if to none.
	account string
	service string
	// urgency ranks the request among waiting requests, 0 first.
	urgency int
	// engineUrgency is the urgency passed on to engines, 0 to maxUrgency, 0 first.
	engineUrgency int
	// body is the request's body; reservations holds, for each part of the memory reserved
	// for it, the function that reduces it.
	body         []byte
	reservations []func(bytes int)
	start        time.Duration
	// hash is the fingerprint of the request, zero until it is needed.
	hash uint64
	// deadline is when the request times out, on the clock of Now.
	deadline time.Duration

	// sends counts the backend servers that received the request, runs those at which
	// it may have run. sendsBefore counts those that received it from the instance that forwarded
	// it, if forwarded is true.
	sends       int
	runs        int
	forwarded   bool
	sendsBefore int
	// countedBefore is true if a decider has counted the request for the instance that forwarded it.
	countedBefore bool
	// endForwarded ends the count of a request that another instance has forwarded; nil for others.
	endForwarded func()
	// staysHere is true if no other instance takes the request, so that this one tries its servers
	// although it counts as isolated.
	staysHere bool
	// forwardedTo is the instance to which the request was forwarded last; empty if to none.
	forwardedTo string
	// tried holds the backend servers at which an attempt failed, and unreachable counts
	// those among them that could not be reached.
	tried       []string
	unreachable int
	// info is what the server of the last response said of itself.
	info edge.ResponseInfo
	// lastEvent is the ID of the last event that the caller has received.
	lastEvent string
	// stream identifies a stream that its caller may take up again; zero for other requests.
	stream uint64
	// version is the version of the server's software that began the stream; empty until its
	// first event, or if servers have none. The stream goes on at this version only, and nowhere while
	// versionUnknown is true.
	version        string
	versionUnknown bool
	// beginUnknown is true if the caller takes the stream up and it is not known that this version has
	// begun it; see placer.Grant.
	beginUnknown bool
	// headerSent is true once the response header was written to the caller.
	headerSent bool
	// status is the status code that was relayed, zero if none was.
	status int
	// bytesRelayed counts the body bytes written to the caller of a stream, and those of
	// another response that were written before it had ended.
	bytesRelayed int
	// lastErr is the failure of the last attempt that failed.
	lastErr error
	// hedge is what became of the copy of the request, one of the results in package
	// metrics; empty if none was considered.
	hedge string
	// grant is the placement of the attempt that was handled last.
	grant *placer.Grant
	// entered is true once the request is counted by the gate.
	entered bool
	// mustAbort is true when the connection to the caller must be aborted: the caller
	// has disconnected, or its response was truncated and must not look complete.
	mustAbort bool
}

// ServeHTTP forwards one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		h:     h,
		w:     w,
		r:     r,
		start: h.Now(),
	}
	if _, leaving := h.shutdownState(); leaving {
		w.Header().Set("Connection", "close")
	}
	c.readForwarded()
	defer c.releaseBody()
	defer c.leave()
	if err := c.admit(); err != nil {
		c.refuse(err)
		c.abortIfRequired()
		return
	}
	left := c.deadline - h.Now()
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	c.ctx = ctx
	c.run()
	if c.headerSent {
		h.routeDurations.Observe(c.route.Name, h.Now()-c.start)
	}
	c.abortIfRequired()
}

// shutdownState returns the state of the shutdown, and whether the instance is shutting
// down at all.
func (h *Handler) shutdownState() (s durations.Shutdown, leaving bool) {
	if h.ShutdownState == nil {
		return durations.Shutdown{}, false
	}
	return h.ShutdownState()
}

// abortIfRequired aborts the connection to the caller if its response cannot be
// completed.
func (c *call) abortIfRequired() {
	if c.mustAbort {
		panic(http.ErrAbortHandler)
	}
}

// admit determines the route, the account and the deadline of the request, and reads
// its body.
func (c *call) admit() error {
	var err error
	if c.req, err = c.h.Dialect.ParseRequest(c.r); err != nil {
		return err
	}
	if !c.h.Gate.Enter() {
		return c.leavingFault("the instance has drained and is about to exit")
	}
	c.entered = true
	if err := c.admitForwarded(); err != nil {
		return err
	}
	if !c.h.Membership.Fresh() && c.needsFreshRules() {
		c.awaitFreshRules()
	}
	v := c.readRules()
	if v.Rules == nil || v.RuleVersion == 0 {
		return staleRulesFault("no rules have been received yet")
	}
	c.route = v.Rules.Match(host(c.r.Host), path(c.r.RequestURI))
	if c.route == nil {
		return c.rulesFault(fault.UnknownRoute, c.r.Host)
	}
	if err := c.authenticate(v.Rules); err != nil {
		return err
	}
	c.setDeadline()
	if err := c.checkShutdown(); err != nil {
		return err
	}
	// A stream goes on at the service that began it.
	c.service = c.route.PickService(xxhash.Sum64String(c.streamID()))
	c.lastEvent = c.req.LastEventID
	if err := c.readBody(v.Rules.Ingress.BodyBytes); err != nil {
		return err
	}
	// A body may take long to arrive, and the shutdown may have begun meanwhile.
	return c.checkShutdown()
}

// setDeadline sets the deadline from the timeouts of the route and of the caller.
func (c *call) setDeadline() {
	timeout := c.route.Timeout
	if c.req.Timeout > 0 {
		timeout = min(timeout, c.req.Timeout)
	}
	c.deadline = c.start + timeout
}

// checkShutdown returns the refusal of a request that may not end before this instance
// stops, nil if it isn't shutting down or the request fits.
func (c *call) checkShutdown() error {
	s, leaving := c.h.shutdownState()
	if !leaving || c.h.routeDurations.Fits(c.route.Name, c.timeLeft(), s) {
		return nil
	}
	return c.leavingFault("the instance shuts down before the request would finish")
}

// leavingFault returns the refusal of a request by an instance that shuts down.
func (c *call) leavingFault(reason string) error {
	return &fault.Fault{
		Kind:       fault.Leaving,
		Subject:    c.req.ID,
		Advice:     reason,
		RetryAfter: leavingRetryAfter + rand.N(leavingRetryAfter),
	}
}

// leave ends the counts of the request.
func (c *call) leave() {
	if c.endForwarded != nil {
		c.endForwarded()
	}
	if c.entered {
		c.h.Gate.Leave()
	}
}

// readRules returns the view by which the request is admitted, and records whether its rules were
// confirmed to be in force. That is asked before the view is read: a process that is frozen in between
// then has rules that are newer than the confirmation, never older ones.
func (c *call) readRules() *view.View {
	c.rulesFresh = c.h.Membership.Fresh()
	v := c.h.Membership.View()
	c.ruleVersion = v.RuleVersion
	return v
}

// hasKey reports whether the request carries a key. On a public route too, the key decides which
// account the backend server is told.
func (c *call) hasKey() bool { return c.req.APIKey != "" }

// needsFreshRules reports whether the request needs rules that are confirmed to be in force. One
// without a key on a public route does not.
func (c *call) needsFreshRules() bool {
	v := c.h.Membership.View()
	if v.Rules == nil || c.hasKey() {
		return true
	}
	route := v.Rules.Match(host(c.r.Host), path(c.r.RequestURI))
	return route == nil || !route.Public
}

// awaitFreshRules delays the request for a short while if the rules are likely to be
// confirmed soon, so that an instance that has just started, or was frozen, does not refuse requests.
// The delay is a fraction of the caller's timeout at most, so that the response is
// still in time.
func (c *call) awaitFreshRules() {
	limit := maxFreshWait
	if c.req.Timeout > 0 {
		limit = min(limit, time.Duration(freshWaitShare*float64(c.req.Timeout)))
	}
	c.h.Membership.AwaitFresh(c.r.Context(), confirmationWindow, limit)
}

// authenticate finds the account to which the caller's key belongs. A key is not
// needed if the route is public or the rules require none. A request with a key is refused while the
// rules are not confirmed, also where it needs none: its key may belong to another account or to none
// by now, and the backend server would be told the wrong one.
func (c *call) authenticate(rules *ruleset.Rules) error {
	c.setUrgency(ruleset.Account{})
	if c.hasKey() && !c.rulesFresh {
		return unconfirmedRulesFault()
	}
	if name := c.holder(rules); name != "" {
		c.account = name
		c.setUrgency(rules.Accounts[name])
		return nil
	}
	if rules.RequiresKeys && !c.route.Public {
		return c.rulesFault(fault.UnknownKey, c.route.Name)
	}
	return nil
}

// holder returns the account to which the caller's key belongs; empty if to none. Nobody holds the
// empty key, whatever the rules list: it is that of callers who send none.
func (c *call) holder(rules *ruleset.Rules) string {
	if !c.hasKey() {
		return ""
	}
	return rules.AccountByKeyDigest[ruleset.KeyDigest(c.req.APIKey)]
}

// confirmAccount checks, right before the request is sent, that the caller's key still belongs to the
// account by which the request was admitted. The request may have waited since, and the process may
// have been frozen meanwhile. It returns the refusal if not.
func (c *call) confirmAccount() error {
	if !c.hasKey() {
		return nil
	}
	if !c.h.Membership.Fresh() {
		return staleRulesFault("the confirmation of the rules expired while the request waited")
	}
	// Read after Fresh, as in readRules.
	v := c.h.Membership.View()
	if v.RuleVersion == c.ruleVersion || c.holder(v.Rules) == c.account {
		return nil
	}
	return staleRulesFault("the caller's key was taken away or moved to another account while the request waited")
}

// setUrgency ranks the request among waiting requests and among those at an engine:
// by the priority of the account first, then by that of the route.
func (c *call) setUrgency(a ruleset.Account) {
	c.urgency = a.Priority*prioritySpan + min(c.route.Priority, prioritySpan-1)
	c.engineUrgency = min(a.Priority*enginePrioritySpan+min(c.route.Priority, enginePrioritySpan-1), maxUrgency)
}

// rulesFault returns a failure that follows from the rules. If newer rules may be in
// force, it returns a stale-rules failure instead, because they might allow the
// request.
func (c *call) rulesFault(kind fault.Kind, subject string) error {
	if !c.rulesFresh {
		return unconfirmedRulesFault()
	}
	return fault.New(kind, subject, "no match in the rules in force")
}

func unconfirmedRulesFault() error {
	return staleRulesFault("the rules of this instance could not be confirmed to be in force")
}

// staleRulesFault returns the failure for a request that needs fresh rules.
func staleRulesFault(advice string) error {
	return &fault.Fault{
		Kind:       fault.RulesStale,
		Advice:     advice,
		RetryAfter: staleRulesRetryAfter + rand.N(staleRulesRetryAfter/2),
	}
}

// host returns the host name in lower case, without a port.
func host(name string) string {
	if h, _, err := net.SplitHostPort(name); err == nil {
		name = h
	}
	return strings.ToLower(name)
}

// path returns the path of a request target, still percent-encoded.
func path(target string) string {
	target, _, _ = strings.Cut(target, "?")
	return target
}

// promptParts converts the parts of a prompt to the scheduler's type.
func promptParts(p edge.Prompt) []prefixcache.Part {
	out := make([]prefixcache.Part, len(p.Parts))
	for i, part := range p.Parts {
		out[i] = prefixcache.Part(part)
	}
	return out
}

// timeLeft returns the time left until the deadline.
func (c *call) timeLeft() time.Duration { return c.deadline - c.h.Now() }

// callerGone reports whether the caller has disconnected.
func (c *call) callerGone() bool { return c.r.Context().Err() != nil }

// refuse ends the request with a failure that this system generates.
func (c *call) refuse(err error) {
	var f *fault.Fault
	if !errors.As(err, &f) {
		f = fault.Wrap(fault.Internal, c.service, err)
	}
	c.logOutcome(f.Kind, f)
	// net/http ends the context also when a body timed out; its caller may still be there.
	if c.callerGone() && f.Kind != fault.BodyTimedOut || c.headerSent {
		c.mustAbort = true
		return
	}
	c.h.Dialect.WriteError(c.w, f)
}
