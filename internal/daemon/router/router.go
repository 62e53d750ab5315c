// Package router serves callers' requests on one instance.
//
// Each backend server has one owner at a time: the router that holds the lease on it
// and admits all its work. A request passes through at most three routers, any two of
// which may be the same process:
//
//   - The router that the caller reached tries the service's engines in the chat's
//     rendezvous order as the preferred engine, skips those whose owner it cannot
//     reach, and reassembles the response.
//   - The owner of the preferred engine chooses the engine that serves the request.
//   - The owner of the chosen engine admits the request, dispatches it and relays the
//     engine's stream.
//
// A router that has not reached the control group for longer than a lease dispatches
// to backend servers directly, and limits itself to its own share of the load bound.
package router

// This file defines Router, the validation of requests, and the directory.

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/chat"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/daemon"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/serverstate"
	"camphorspoke/internal/daemon/workers"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/breaker"
	"camphorspoke/internal/routing/peerload"
	"camphorspoke/internal/routing/retry"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/ruleset"
)

const (
	// DirectoryTTL is how long callers may cache a directory response.
	DirectoryTTL = 2 * time.Second
	// MaxBody is the maximum size of a prompt or a call body, in bytes.
	MaxBody = 1 << 20
	// maxPrompt is the maximum size of a prompt or a response, in tokens.
	maxPrompt = 2_000_000
	// maxLookupAddresses is the maximum number of addresses in a directory response.
	maxLookupAddresses = 3
	// maxIDLength is the maximum length of a request id, a request key or a call
	// name, in bytes.
	maxIDLength = 128
)

// Config holds the settings and dependencies of a Router.
type Config struct {
	Instance      string
	Incarnation   uint64
	FailureDomain string
	Control       control.Client
	Peers         daemon.Peers
	Engine        edge.Engine
	// Probe is the engine client for probes and cache events, whose traffic is
	// counted as control traffic.
	Probe   edge.Engine
	Plain   edge.PlainService
	Picker  routing.Picker
	Pool    *workers.Pool
	Logger  logrus.FieldLogger
	Checker *invariant.Checker
	Metrics *metrics.Meters
	Now     func() time.Duration
}

// Router serves requests. Agent must be set before the first request.
type Router struct {
	Agent *membership.Agent

	cfg          Config
	serverStates serverstate.Table
	loads        peerload.Table
	budget       retry.Budget
	breaker      breaker.Breaker
	// spillWaiters counts the requests that wait because every engine is at its load
	// bound.
	spillWaiters atomic.Int64
	// attemptIDs generates the numbers of dispatch attempts, which key claims contain.
	attemptIDs atomic.Uint64
	// activeCopies counts the cache copies in progress.
	activeCopies atomic.Int64
	// inFlight counts the requests that this process is serving.
	inFlight atomic.Int64

	mu sync.Mutex
	// engineIncarnations holds the incarnation that each owned engine last reported.
	engineIncarnations map[string]uint64
	// expectedUntil holds, for each server whose hand-over to this router was
	// announced, the time until which the hand-over is expected.
	expectedUntil map[string]time.Duration
	// pendingOutcomes holds the outcomes of request keys that are not recorded in the
	// control log yet.
	pendingOutcomes []*pb.SettleKey
	// handingOver holds the servers whose hand-over to another router is in progress.
	handingOver map[string]bool
}

// New returns a router.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg,
		serverStates: serverstate.Table{
			Now:     cfg.Now,
			Checker: cfg.Checker,
		},
		engineIncarnations: make(map[string]uint64),
		handingOver:        make(map[string]bool),
	}
}

// InFlight returns the number of requests that this process is serving.
func (r *Router) InFlight() int64 { return r.inFlight.Load() }

// Loads returns load reports for the servers that are assigned to this router.
func (r *Router) Loads() []*pb.LoadReport {
	if r.Agent == nil {
		return nil
	}
	var out []*pb.LoadReport
	for _, s := range r.Agent.View().Servers {
		if r.Agent.Assigned(s.GetName()) {
			out = append(out, r.serverStates.Report(s))
		}
	}
	return out
}

// UpdateLoads records load reports received from other routers.
func (r *Router) UpdateLoads(reports []*pb.LoadReport) { r.loads.Update(r.cfg.Now(), reports) }

// freshView returns the current view, or a fault if its rules are not confirmed to be
// in force.
func (r *Router) freshView() (*view.View, error) {
	if !r.Agent.Fresh() {
		return nil, &fault.Fault{
			Kind:       fault.RulesStale,
			Subject:    r.cfg.Instance,
			Advice:     "this router could not confirm that its rules are the latest; use another address",
			RetryAfter: membership.DefaultHeartbeatInterval,
		}
	}
	v := r.Agent.View()
	if v.Rules == nil {
		return nil, fault.New(fault.RulesStale, r.cfg.Instance, "no rule file has been applied; apply one with camphor apply")
	}
	return v, nil
}

// ruleContext holds the view and the rules that apply to a request.
type ruleContext struct {
	view    *view.View
	service ruleset.Service
	account ruleset.Account
}

// lookupRules returns the rules for a service and a client account, or a fault if the
// rule file does not define them.
func (r *Router) lookupRules(service, account string) (ruleContext, error) {
	v, err := r.freshView()
	if err != nil {
		return ruleContext{}, err
	}
	s, ok := v.Rules.Services[service]
	if !ok {
		return ruleContext{}, fault.New(fault.UnknownService, service, "use a service that the rule file defines")
	}
	a, ok := v.Rules.Accounts[account]
	if !ok {
		return ruleContext{}, fault.New(fault.UnknownAccount, account, "use a client account that the rule file defines, or have it added")
	}
	return ruleContext{
		view:    v,
		service: s,
		account: a,
	}, nil
}

// confirmAccount returns a fault unless the rules are confirmed to be in force and still define the
// service and the client account of a request that has waited: the process may have been frozen
// meanwhile. The fault is always that the rules are stale; that the account is unknown would state that
// no earlier attempt with the same request key has run.
func (r *Router) confirmAccount(service, account string) error {
	_, err := r.lookupRules(service, account)
	if err == nil {
		return nil
	}
	return &fault.Fault{
		Kind:       fault.RulesStale,
		Subject:    account,
		Advice:     "the rules do not allow the request any more, or could not be confirmed, after it had waited",
		RetryAfter: membership.DefaultHeartbeatInterval,
		Cause:      err,
	}
}

// checkGenerate validates a request and returns its rules and its priority class.
func (r *Router) checkGenerate(req *pb.GenerateRequest) (ruleContext, int, error) {
	c, err := r.lookupRules(req.GetService(), req.GetClientAccount())
	if err != nil {
		return c, 0, err
	}
	if c.service.Plain {
		return c, 0, fault.New(fault.BadRequest, req.GetService(), "this service has no model engines; use Call")
	}
	if _, err := chat.Parse(req.GetChat()); err != nil {
		return c, 0, err
	}
	if err := checkID(req.GetRequestId()); err != nil {
		return c, 0, err
	}
	if len(req.GetPrompt()) > MaxBody {
		return c, 0, fault.New(fault.BodyTooLarge, req.GetRequestId(), "the prompt is larger than 1 MiB")
	}
	if req.GetPromptTokens() > maxPrompt || req.GetMaxTokens() == 0 || req.GetMaxTokens() > maxPrompt {
		return c, 0, fault.New(fault.BadRequest, req.GetRequestId(), "promptTokens must be 0 to 2,000,000 and maxTokens 1 to 2,000,000")
	}
	if req.GetResumeFrom() > uint64(req.GetMaxTokens()) {
		return c, 0, fault.New(fault.BadRequest, req.GetRequestId(), "resumeFrom is greater than maxTokens")
	}
	class, ok := c.view.Rules.Class(req.GetKind())
	if !ok {
		return c, 0, fault.New(fault.UnknownKind, req.GetKind(), "use a kind of work that the rule file defines, or omit it")
	}
	return c, class, nil
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDLength || strings.ContainsAny(id, "#\x00\n") {
		return fault.New(fault.BadRequest, id, "the request id must have 1 to 128 bytes and contain no '#', NUL or newline")
	}
	return nil
}

// Lookup returns the addresses of the instances to use for a chat: the owner of its
// preferred engine first, then instances in other failure domains. It omits instances
// that are leaving or unresponsive. This instance, which the caller has just reached,
// is always included unless it is leaving.
func (r *Router) Lookup(_ context.Context, req *pb.LookupRequest) (*pb.LookupResponse, error) {
	c, err := r.lookupRules(req.GetService(), req.GetClientAccount())
	if err != nil {
		return nil, err
	}
	if _, err := chat.Parse(req.GetChat()); err != nil {
		return nil, err
	}
	resp := &pb.LookupResponse{
		KeepMs:      uint32(DirectoryTTL.Milliseconds()),
		RuleVersion: c.view.RuleVersion,
	}
	order := r.cfg.Picker.Order(req.GetChat(), c.view.WeightedServers(req.GetService()))
	for _, i := range r.directoryOrder(c.view, order, req.GetChat()) {
		resp.Addresses = append(resp.Addresses, i.GetCallerAddress())
	}
	if len(resp.GetAddresses()) == 0 {
		return nil, fault.New(fault.NoEngine, req.GetService(), "no instance accepts new requests")
	}
	return resp, nil
}

// directoryOrder returns up to maxLookupAddresses instances for a chat, in the order
// in which callers should try them.
func (r *Router) directoryOrder(v *view.View, order []string, chat string) []*pb.Instance {
	var out []*pb.Instance
	self := v.Instances[r.cfg.Instance]
	used := make(map[string]bool)
	domains := make(map[string]bool)
	add := func(i *pb.Instance, newDomain bool) {
		if i == nil || i.GetGone() || i.GetLeaving() || used[i.GetName()] || len(out) >= maxLookupAddresses || r.Agent.Unresponsive(i.GetName()) {
			return
		}
		if newDomain && domains[i.GetFailureDomain()] {
			return
		}
		used[i.GetName()], domains[i.GetFailureDomain()] = true, true
		out = append(out, i)
	}
	for _, name := range order {
		if add(v.Owner(name), false); len(out) > 0 {
			break
		}
	}
	routers := v.Routers()
	if n := len(routers); n > 0 {
		offset := spreadOffset(chat, n)
		routers = append(routers[offset:], routers[:offset]...)
	}
	for _, newDomain := range []bool{true, false} {
		for _, i := range routers {
			add(i, newDomain)
		}
	}
	if self != nil && !self.GetLeaving() && !used[self.GetName()] {
		out = append(out[:min(len(out), maxLookupAddresses-1)], self)
	}
	return out
}

// spreadOffset hashes a chat to an index below n (FNV-1a), so that the second choices
// of different chats are spread over the instances.
func spreadOffset(chat string, n int) int {
	h := uint32(2166136261)
	for i := range len(chat) {
		h = (h ^ uint32(chat[i])) * 16777619
	}
	return int(h % uint32(n))
}

// othersLoad returns the total known load of the service's servers except one, and
// the number of its servers, including that one.
func (r *Router) othersLoad(v *view.View, service, except string) (load, servers int) {
	now := r.cfg.Now()
	for _, s := range v.AcceptingServers(service) {
		servers++
		if s.GetName() == except {
			continue
		}
		if r.Agent.Assigned(s.GetName()) {
			load += r.serverStates.Load(s.GetName())
			continue
		}
		load += r.loads.Load(now, s.GetName())
	}
	return load, servers
}

// LoadsOf returns load reports for the servers of a service, as far as this router
// has them.
func (r *Router) LoadsOf(service string) []*pb.LoadReport {
	return r.serviceLoads(r.Agent.View(), service)
}

// serviceLoads returns load reports for the servers of a service, as far as this
// router has them. They are sent along with forwarded requests.
func (r *Router) serviceLoads(v *view.View, service string) []*pb.LoadReport {
	var out []*pb.LoadReport
	var others []string
	for _, s := range v.AcceptingServers(service) {
		if r.Agent.Assigned(s.GetName()) {
			out = append(out, r.serverStates.Report(s))
			continue
		}
		others = append(others, s.GetName())
	}
	return append(out, r.loads.Reports(r.cfg.Now(), others)...)
}
