// Package router serves requests on one instance.
//
// A request passes at most three routers: the one that the caller reached, the
// owner of the chat's home engine, and the owner of the engine that serves it.
// The first walks the preference list past owners that can't be reached and
// puts the answer together; the second decides where the chat is served; the
// third admits, dispatches and follows the engine. Any of them may be the
// same process. A router that has lost the control group for longer than a
// lease dispatches directly, holding its own share of the load bound.
package router

// This file defines Router, the checks of a request, and the directory.

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/daemon"
	"camphorspoke/internal/daemon/gates"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/workers"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/breaker"
	"camphorspoke/internal/routing/loadbook"
	"camphorspoke/internal/routing/retry"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/file"
	"camphorspoke/internal/world/chat"
	"camphorspoke/internal/world/fault"
)

const (
	// DirectoryKeep is how long callers keep an answer of the directory.
	DirectoryKeep = 2 * time.Second
	// MaxBody is the largest prompt or call body, in bytes.
	MaxBody = 1 << 20
	// maxPrompt is the largest prompt, in tokens.
	maxPrompt = 2_000_000
	// lookupAddresses is how many addresses the directory answers.
	lookupAddresses = 3
	maxIDLength     = 128
)

// Config names what a Router works with.
type Config struct {
	Instance      string
	Incarnation   uint64
	FailureDomain string
	Control       control.Client
	Peers         daemon.Peers
	Engine        edge.Engine
	// Probe reaches engines for probes and cache events, counted as control.
	Probe   edge.Engine
	Plain   edge.PlainService
	Picker  routing.Picker
	Pool    *workers.Pool
	Logger  logrus.FieldLogger
	Checker *invariant.Checker
	Metrics *metrics.Meters
	Now     func() time.Duration
}

// Router serves requests. Set Agent before it serves.
type Router struct {
	Agent *membership.Agent

	cfg     Config
	gates   gates.Table
	loads   loadbook.Book
	budget  retry.Budget
	breaker breaker.Breaker
	waiting atomic.Int64
	attempt atomic.Uint64
	// copies counts the caches being copied now.
	copies atomic.Int64
	// inFlight counts requests in this process.
	inFlight atomic.Int64

	mu sync.Mutex
	// lives holds the incarnation last seen of each owned engine.
	lives map[string]uint64
	// expected holds until when a server that was announced is waited for.
	expected map[string]time.Duration
	// unsettled holds outcomes that are still to be recorded.
	unsettled []*pb.SettleKey
	// handing holds the servers being handed over.
	handing map[string]bool
}

// New returns a router.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg,
		gates: gates.Table{
			Now:     cfg.Now,
			Checker: cfg.Checker,
		},
		lives:   make(map[string]uint64),
		handing: make(map[string]bool),
	}
}

// InFlight returns the number of requests in this process.
func (r *Router) InFlight() int64 { return r.inFlight.Load() }

// Loads reports the servers that this router owns or still has work at.
func (r *Router) Loads() []*pb.LoadReport {
	if r.Agent == nil {
		return nil
	}
	var out []*pb.LoadReport
	for _, s := range r.Agent.View().Servers {
		if r.Agent.Assigned(s.GetName()) {
			out = append(out, r.gates.Report(s))
		}
	}
	return out
}

// Learn takes load reports of other routers.
func (r *Router) Learn(reports []*pb.LoadReport) { r.loads.Learn(r.cfg.Now(), reports) }

// ready returns the view, or a fault unless its rules are proved fresh.
func (r *Router) ready() (*view.View, error) {
	if !r.Agent.Fresh() {
		return nil, &fault.Fault{
			Kind:       fault.RulesStale,
			Subject:    r.cfg.Instance,
			Advice:     "this router can't prove that its rules are in force; use another address",
			RetryAfter: membership.Interval,
		}
	}
	v := r.Agent.View()
	if v.Rules == nil {
		return nil, fault.New(fault.RulesStale, r.cfg.Instance, "no rule file was applied yet; apply one with camphor apply")
	}
	return v, nil
}

// checked is a request whose names the rules know.
type checked struct {
	view    *view.View
	service file.Service
	account file.Account
}

func (r *Router) check(service, account string) (checked, error) {
	v, err := r.ready()
	if err != nil {
		return checked{}, err
	}
	s, ok := v.Rules.Services[service]
	if !ok {
		return checked{}, fault.New(fault.UnknownService, service, "use a service that the rule file names")
	}
	a, ok := v.Rules.Accounts[account]
	if !ok {
		return checked{}, fault.New(fault.UnknownAccount, account, "use a client account that the rule file names, or have one added")
	}
	return checked{
		view:    v,
		service: s,
		account: a,
	}, nil
}

func (r *Router) checkGenerate(req *pb.GenerateRequest) (checked, int, error) {
	c, err := r.check(req.GetService(), req.GetClientAccount())
	if err != nil {
		return c, 0, err
	}
	if c.service.Plain {
		return c, 0, fault.New(fault.BadRequest, req.GetService(), "this is a plain service; use Call")
	}
	if _, err := chat.Parse(req.GetChat()); err != nil {
		return c, 0, err
	}
	if err := checkID(req.GetRequestId()); err != nil {
		return c, 0, err
	}
	if len(req.GetPrompt()) > MaxBody {
		return c, 0, fault.New(fault.BodyTooLarge, req.GetRequestId(), "send a prompt of at most 1 MiB")
	}
	if req.GetPromptTokens() > maxPrompt || req.GetMaxTokens() == 0 || req.GetMaxTokens() > maxPrompt {
		return c, 0, fault.New(fault.BadRequest, req.GetRequestId(), "use 0 to 2,000,000 prompt tokens and 1 to 2,000,000 answer tokens")
	}
	if req.GetResumeFrom() > uint64(req.GetMaxTokens()) {
		return c, 0, fault.New(fault.BadRequest, req.GetRequestId(), "resumeFrom is beyond maxTokens")
	}
	class, ok := c.view.Rules.Class(req.GetKind())
	if !ok {
		return c, 0, fault.New(fault.UnknownKind, req.GetKind(), "use a kind of work that the rule file names, or leave it out")
	}
	return c, class, nil
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDLength || strings.ContainsAny(id, "#\x00\n") {
		return fault.New(fault.BadRequest, id, "use a request id of 1 to 128 bytes without '#'")
	}
	return nil
}

// Lookup answers which instances to use for a chat: the owner of its home
// server first, then instances of other failure domains. Instances that are
// leaving or silent are left out, and this one, which the caller has reached,
// is always among them unless it is leaving.
func (r *Router) Lookup(_ context.Context, req *pb.LookupRequest) (*pb.LookupResponse, error) {
	c, err := r.check(req.GetService(), req.GetClientAccount())
	if err != nil {
		return nil, err
	}
	if _, err := chat.Parse(req.GetChat()); err != nil {
		return nil, err
	}
	resp := &pb.LookupResponse{
		KeepMs:      uint32(DirectoryKeep.Milliseconds()),
		RuleVersion: c.view.RuleVersion,
	}
	order := r.cfg.Picker.Order(req.GetChat(), c.view.Weighted(req.GetService()))
	for _, i := range r.directoryOrder(c.view, order, req.GetChat()) {
		resp.Addresses = append(resp.Addresses, i.GetCallerAddress())
	}
	if len(resp.GetAddresses()) == 0 {
		return nil, fault.New(fault.NoEngine, req.GetService(), "no instance takes new work")
	}
	return resp, nil
}

// directoryOrder returns up to lookupAddresses instances for a chat.
func (r *Router) directoryOrder(v *view.View, order []string, chat string) []*pb.Instance {
	var out []*pb.Instance
	self := v.Instances[r.cfg.Instance]
	used := make(map[string]bool)
	domains := make(map[string]bool)
	add := func(i *pb.Instance, newDomain bool) {
		if i == nil || i.GetGone() || i.GetLeaving() || used[i.GetName()] || len(out) >= lookupAddresses || r.Agent.Silent(i.GetName()) {
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
	spread := v.Routers()
	if n := len(spread); n > 0 {
		at := spreadFrom(chat, n)
		spread = append(spread[at:], spread[:at]...)
	}
	for _, newDomain := range []bool{true, false} {
		for _, i := range spread {
			add(i, newDomain)
		}
	}
	if self != nil && !self.GetLeaving() && !used[self.GetName()] {
		out = append(out[:min(len(out), lookupAddresses-1)], self)
	}
	return out
}

// spreadFrom spreads second choices over the instances.
func spreadFrom(chat string, n int) int {
	h := uint32(2166136261)
	for i := range len(chat) {
		h = (h ^ uint32(chat[i])) * 16777619
	}
	return int(h % uint32(n))
}

// othersLoad returns the known load of the service's other servers.
func (r *Router) othersLoad(v *view.View, service, except string) (load, servers int) {
	now := r.cfg.Now()
	for _, s := range v.Open(service) {
		servers++
		if s.GetName() == except {
			continue
		}
		if r.Agent.Assigned(s.GetName()) {
			load += r.gates.Load(s.GetName())
			continue
		}
		load += r.loads.Load(now, s.GetName())
	}
	return load, servers
}

// LoadsOf returns what this router knows of a service's loads.
func (r *Router) LoadsOf(service string) []*pb.LoadReport {
	return r.serviceLoads(r.Agent.View(), service)
}

// serviceLoads returns what this router knows of a service's loads, to send
// along with a forwarded request.
func (r *Router) serviceLoads(v *view.View, service string) []*pb.LoadReport {
	var out []*pb.LoadReport
	var others []string
	for _, s := range v.Open(service) {
		if r.Agent.Assigned(s.GetName()) {
			out = append(out, r.gates.Report(s))
			continue
		}
		others = append(others, s.GetName())
	}
	return append(out, r.loads.Reports(r.cfg.Now(), others)...)
}
