// Package ingress takes the requests of callers and passes them on to backend
// servers.
//
// The steps of a request: its route and its account by the rules in force, a
// place at a backend server, the exchange with it, and the answer. What may
// have run decides what follows a failure: a request is sent once more only
// when it may run more than once, or when the backend server has said that it
// did not run; and the caller is told that it did not run only when every
// server that it was sent to has said so.
package ingress

// This file defines Handler and the steps before a request is sent.

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/durations"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/file"
	"camphorspoke/internal/world/fault"
)

const (
	// prioritySpan is how many priorities of routes are told apart within one
	// priority of accounts, engineSpan how many of them at an engine.
	prioritySpan = 16
	engineSpan   = 3
	// defaultBody bounds a request's body where no rule does, in bytes.
	defaultBody = 4 << 20
	// staleRetry is when callers should come back to an instance that can't
	// prove its rules: about as long as the control group takes to choose a
	// leader. Callers are spread over half of it more.
	staleRetry = 900 * time.Millisecond
	// leavingRetry is when callers should come back, to another instance, after one
	// that ends too soon for their request; they are spread over as much again.
	leavingRetry = 30 * time.Millisecond
	// recentLoss is the time after a start, or after the proof of the rules was
	// lost, in which a new proof is to be expected soon, and proofWait how long a
	// request waits for it then.
	recentLoss = time.Second
	proofWait  = 300 * time.Millisecond
	// proofShare is the part of the caller's patience that it waits at most.
	proofShare = 0.25
)

// Member is what the handler asks of the instance's place in the fleet.
type Member interface {
	View() *view.View
	// Fresh reports whether the rules held are proved to be in force.
	Fresh() bool
	// AwaitFresh waits for that, unless it has not been so for longer than recent.
	AwaitFresh(ctx context.Context, recent, limit time.Duration) bool
}

// Handler serves callers.
type Handler struct {
	Member  Member
	Dialect edge.Dialect
	Placer  *placer.Placer
	Pool    *backend.Pool
	Logger  logrus.FieldLogger
	Meters  *metrics.Meters
	Now     func() time.Duration
	// FailureDomain is the instance's own.
	FailureDomain string
	// Leaving reports whether callers should connect elsewhere, and how much time
	// is left until the instance ends; nil where it never leaves.
	Leaving func() (left time.Duration, leaving bool)

	// took holds how long the requests of each route take.
	took durations.Book
}

// call is one request of a caller under way.
type call struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	req     edge.Request
	route   *file.Route
	version uint64
	account string
	service string
	urgency int
	// engineRank is the urgency told to engines, 0 to maxUrgency.
	engineRank int
	body       []byte
	start      time.Duration
	// limit is when the request must have ended, on the clock of Now.
	limit time.Duration
	keyed bool

	// sends counts the backend servers that the request reached, runs those
	// at which it may have run.
	sends int
	runs  int
	tried []string
	// lastEvent is the last event that the caller has.
	lastEvent string
	// begun is true once the head of the answer has gone to the caller.
	begun bool
	// status is the status of the answer that was passed on, zero for none.
	status int
	// delivered counts the bytes of the body that have.
	delivered int
	last      error
	// grant is the last place that was given.
	grant *placer.Grant
	// lost is true when the caller's connection must be dropped: the caller has
	// left, or its answer broke off and must not look complete.
	lost bool
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		h:     h,
		w:     w,
		r:     r,
		start: h.Now(),
	}
	if _, leaving := h.ending(); leaving {
		w.Header().Set("Connection", "close")
	}
	if err := c.admit(); err != nil {
		c.refuse(err)
		c.dropLost()
		return
	}
	left := c.limit - h.Now()
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	c.ctx = ctx
	c.run()
	if c.begun {
		h.took.Note(c.route.Name, h.Now()-c.start)
	}
	c.dropLost()
}

// ending returns how much time is left until the instance ends, if it leaves.
func (h *Handler) ending() (left time.Duration, leaving bool) {
	if h.Leaving == nil {
		return 0, false
	}
	return h.Leaving()
}

// dropLost closes the caller's connection where nothing more can be said on it.
func (c *call) dropLost() {
	if c.lost {
		panic(http.ErrAbortHandler)
	}
}

// admit finds the route and the account, and reads the body.
func (c *call) admit() error {
	var err error
	if c.req, err = c.h.Dialect.Request(c.r); err != nil {
		return err
	}
	v := c.h.Member.View()
	if !c.h.Member.Fresh() && !c.public(v) {
		c.awaitProof()
		v = c.h.Member.View()
	}
	if v.Rules == nil || v.RuleVersion == 0 {
		return stale("no rules are known yet")
	}
	c.version = v.RuleVersion
	c.route = v.Rules.Match(host(c.r.Host), path(c.r.RequestURI))
	if c.route == nil {
		return c.unless(fault.UnknownRoute, c.r.Host)
	}
	if err := c.identify(v.Rules); err != nil {
		return err
	}
	if left, leaving := c.h.ending(); leaving && !c.h.took.Fits(c.route.Name, c.route.Timeout, left) {
		return &fault.Fault{
			Kind:       fault.Leaving,
			Subject:    c.route.Name,
			Advice:     "the instance ends before the request would",
			RetryAfter: leavingRetry + rand.N(leavingRetry),
		}
	}
	c.limit = c.start + c.route.Timeout
	if c.req.Patience > 0 {
		c.limit = min(c.limit, c.start+c.req.Patience)
	}
	c.service = c.route.Pick(xxhash.Sum64String(c.req.ID))
	c.lastEvent = c.req.LastEvent
	return c.readBody(v.Rules.Ingress.BodyBytes)
}

// public reports whether the request needs no proof that the rules are in force.
func (c *call) public(v *view.View) bool {
	if v.Rules == nil {
		return false
	}
	route := v.Rules.Match(host(c.r.Host), path(c.r.RequestURI))
	return route != nil && route.Public
}

// awaitProof lets a request wait for a moment where the rules can't be proved but
// are likely to be soon: an instance that has just started is refused by nobody,
// and answers in time all the same.
func (c *call) awaitProof() {
	limit := proofWait
	if c.req.Patience > 0 {
		limit = min(limit, time.Duration(proofShare*float64(c.req.Patience)))
	}
	c.h.Member.AwaitFresh(c.r.Context(), recentLoss, limit)
}

// identify finds the account that holds the caller's key.
func (c *call) identify(rules *file.File) error {
	c.rank(file.Account{})
	if len(rules.Accounts) == 0 {
		return nil
	}
	name, ok := rules.KeyHolders[file.KeyDigest(c.req.Key)]
	if !ok && !c.route.Public {
		return c.unless(fault.UnknownKey, c.route.Name)
	}
	if !ok {
		return nil
	}
	c.keyed = !c.route.Public
	c.account = name
	c.rank(rules.Accounts[name])
	if c.keyed && !c.h.Member.Fresh() {
		return stale("the rules held can't be proved to be in force")
	}
	return nil
}

// rank orders the request among those that wait and among those at an engine:
// by the priority of the account first, then by that of the route.
func (c *call) rank(a file.Account) {
	c.urgency = a.Priority*prioritySpan + min(c.route.Priority, prioritySpan-1)
	c.engineRank = min(a.Priority*engineSpan+min(c.route.Priority, engineSpan-1), maxUrgency)
}

// unless returns a failure that follows from the rules, unless newer rules may
// be in force: then only that can be said.
func (c *call) unless(kind fault.Kind, subject string) error {
	if !c.h.Member.Fresh() {
		return stale("the rules held can't be proved to be in force")
	}
	return fault.New(kind, subject, "not in the rules in force")
}

func stale(advice string) error {
	return &fault.Fault{
		Kind:       fault.RulesStale,
		Advice:     advice,
		RetryAfter: staleRetry + rand.N(staleRetry/2),
	}
}

func (c *call) readBody(limit int) error {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	if limit == 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.Wrap(fault.BodyTooLarge, c.route.Name, err)
	case err != nil:
		return fault.Wrap(fault.BadRequest, "body", err)
	}
	c.body = body
	return nil
}

// host returns the host that a request names, without a port.
func host(name string) string {
	if h, _, err := net.SplitHostPort(name); err == nil {
		name = h
	}
	return strings.ToLower(name)
}

// path returns the path of a request's target, as it was written.
func path(target string) string {
	target, _, _ = strings.Cut(target, "?")
	return target
}

// parts returns the prompt in the scheduler's words.
func parts(p edge.Prompt) []prefixcache.Part {
	out := make([]prefixcache.Part, len(p.Parts))
	for i, part := range p.Parts {
		out[i] = prefixcache.Part(part)
	}
	return out
}

// left returns how much time the request still has.
func (c *call) left() time.Duration { return c.limit - c.h.Now() }

// gone reports whether the caller has closed its connection.
func (c *call) gone() bool { return c.r.Context().Err() != nil }

// refuse ends the request with a failure of the system's own.
func (c *call) refuse(err error) {
	var f *fault.Fault
	if !errors.As(err, &f) {
		f = fault.Wrap(fault.Internal, c.service, err)
	}
	c.logEnd(f.Kind, f)
	if c.gone() || c.begun {
		c.lost = true
		return
	}
	c.h.Dialect.Refuse(c.w, f)
}

// logEnd writes the line of a request that has ended.
func (c *call) logEnd(outcome string, err error) {
	fields := logrus.Fields{
		"request":  c.req.ID,
		"outcome":  outcome,
		"ruleVer":  c.version,
		"sends":    c.sends,
		"runs":     c.runs,
		"totalMs":  (c.h.Now() - c.start).Milliseconds(),
		"tried":    strings.Join(c.tried, ","),
		"service":  c.service,
		"account":  c.account,
		"callGone": c.gone(),
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if c.status != 0 {
		fields["status"] = c.status
	}
	if g := c.grant; g != nil {
		fields["server"], fields["decider"] = g.Server, g.Decider
		fields["waitedMs"] = g.Waited.Milliseconds()
		fields["cached"], fields["bestCached"], fields["load"] = g.Cached, g.BestCached, g.Load
		if g.FetchFrom != "" {
			fields["fetchFrom"] = g.FetchFrom
		}
	}
	if err != nil {
		fields["cause"] = err.Error()
	}
	if c.last != nil {
		fields["lastFailure"] = c.last.Error()
	}
	c.h.Logger.WithFields(fields).Info("ingress: request ended")
	if c.h.Meters != nil {
		c.h.Meters.Request(context.Background(), c.service, outcome, c.h.Now()-c.start)
	}
}
