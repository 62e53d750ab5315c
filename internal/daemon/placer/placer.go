// Package placer gives requests places at backend servers: it feeds the
// schedulers of all services with the servers of the present view, and wakes
// the requests that wait.
//
// Lock order: mu is a leaf.
package placer

// This file defines Placer.

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/world/fault"
)

// tickInterval is how often waiting requests are looked at.
const tickInterval = 20 * time.Millisecond

// Config names what a Placer works with.
type Config struct {
	Now func() time.Duration
	// Bound is the multiple of the mean load that a server may carry.
	Bound float64
	// RetryWindow, RetryRatio and RetrySlack bound the repeats of a service.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
}

// Placer holds the schedulers of one process.
type Placer struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*scheduler.Scheduler
	servers  map[string]*pb.BackendServer
	nextID   uint64
	waiting  map[uint64]chan scheduler.Decision
}

// Grant is a place that was given.
type Grant struct {
	scheduler.Decision
	Address string
	Waited  time.Duration

	service string
	p       *Placer
}

// New returns a placer; the clean-up function stops it.
func New(cfg Config) (*Placer, func()) {
	p := &Placer{
		cfg:      cfg,
		services: make(map[string]*scheduler.Scheduler),
		waiting:  make(map[uint64]chan scheduler.Decision),
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { p.ticks(stop) })
	return p, func() {
		close(stop)
		wg.Wait()
	}
}

func (p *Placer) ticks(stop <-chan struct{}) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			p.tick()
		}
	}
}

func (p *Placer) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		return
	}
	now := p.cfg.Now()
	for _, s := range p.services {
		p.deliver(s.Tick(now))
	}
}

// deliver hands decisions to the requests that wait for them.
func (p *Placer) deliver(ds []scheduler.Decision) {
	for _, d := range ds {
		if c := p.waiting[d.ID]; c != nil {
			delete(p.waiting, d.ID)
			c <- d
		}
	}
}

// Update takes a new view.
func (p *Placer) Update(v *view.View) {
	if v.Rules == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = v.Servers
	lists := make(map[string][]scheduler.Server)
	for _, s := range v.Servers {
		if s.GetGone() {
			continue
		}
		lists[s.GetService()] = append(lists[s.GetService()], scheduler.Server{
			Name:          s.GetName(),
			Slots:         int(s.GetSlots()),
			Open:          !s.GetLeaving() && !s.GetDrained(),
			FailureDomain: s.GetFailureDomain(),
		})
	}
	for name, rule := range v.Rules.Services {
		svc := scheduler.Service{
			Name:        name,
			Engine:      !rule.Plain,
			Slots:       rule.Slots,
			CacheTokens: rule.CacheTokens,
			Bound:       p.cfg.Bound,
			RetryWindow: p.cfg.RetryWindow,
			RetryRatio:  p.cfg.RetryRatio,
			RetrySlack:  p.cfg.RetrySlack,
		}
		s := p.services[name]
		if s == nil {
			s = scheduler.New(svc)
			p.services[name] = s
		} else {
			s.SetService(svc)
		}
		list := lists[name]
		slices.SortFunc(list, func(a, b scheduler.Server) int { return strings.Compare(a.Name, b.Name) })
		s.SetServers(list)
	}
}

// Place returns a place for a request of a service, or why there is none.
func (p *Placer) Place(ctx context.Context, service string, a scheduler.Ask) (*Grant, error) {
	since := p.cfg.Now()
	d, answers := p.ask(service, &a)
	if answers != nil {
		select {
		case d = <-answers:
		case <-ctx.Done():
			if d = p.giveUp(service, a.ID, answers); d.Server == "" {
				return nil, fault.Wrap(fault.DeadlineTooNear, service, ctx.Err())
			}
		}
	}
	if d.Server == "" {
		return nil, refusal(service, d)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Grant{
		Decision: d,
		Address:  p.servers[d.Server].GetAddress(),
		Waited:   p.cfg.Now() - since,
		service:  service,
		p:        p,
	}, nil
}

func (p *Placer) ask(service string, a *scheduler.Ask) (scheduler.Decision, chan scheduler.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return scheduler.Decision{
			Refusal: scheduler.NoServer,
		}, nil
	}
	p.nextID++
	a.ID = p.nextID
	d, ok := s.Ask(p.cfg.Now(), *a)
	if ok {
		return d, nil
	}
	answers := make(chan scheduler.Decision, 1)
	p.waiting[a.ID] = answers
	return d, answers
}

// giveUp withdraws a waiting request. A place that was given meanwhile is
// returned.
func (p *Placer) giveUp(service string, id uint64, answers <-chan scheduler.Decision) scheduler.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
	select {
	case d := <-answers:
		return d
	default:
	}
	if s := p.services[service]; s != nil {
		s.Report(p.cfg.Now(), id, scheduler.Report{
			Event: scheduler.Cancelled,
		})
	}
	return scheduler.Decision{}
}

func refusal(service string, d scheduler.Decision) error {
	kind := fault.Overloaded
	switch d.Refusal {
	case scheduler.NoServer:
		kind = fault.NoEngine
	case scheduler.RetryBudget:
		kind = fault.RetryBudget
	}
	return &fault.Fault{
		Kind:       kind,
		Subject:    service,
		RetryAfter: d.RetryAfter,
	}
}

// Report tells what became of the request.
func (g *Grant) Report(r scheduler.Report) {
	g.p.mu.Lock()
	defer g.p.mu.Unlock()
	if s := g.p.services[g.service]; s != nil {
		g.p.deliver(s.Report(g.p.cfg.Now(), g.ID, r))
	}
}
