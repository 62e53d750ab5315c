package placer

// This file defines Schedulers, the schedulers of one process and what waits there.

import (
	"slices"
	"strings"
	"sync"

	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/view"
)

// Schedulers decides for the requests that are put to it, whoever asks. Lock order:
// mu is a leaf, but for the answers, which must not block.
type Schedulers struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*scheduler.Scheduler
	nextID   uint64
	waiting  map[uint64]func(scheduler.Decision)
	// engines holds the engines of each service, primed the services whose
	// engines were asked for what they keep.
	engines map[string][]engine
	primed  map[string]bool
}

func newSchedulers(cfg Config) *Schedulers {
	return &Schedulers{
		cfg:      cfg,
		services: make(map[string]*scheduler.Scheduler),
		waiting:  make(map[uint64]func(scheduler.Decision)),
		engines:  make(map[string][]engine),
		primed:   make(map[string]bool),
	}
}

// tick decides on what waits.
func (d *Schedulers) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) == 0 {
		return
	}
	now := d.cfg.Now()
	for _, s := range d.services {
		d.deliver(s.Tick(now))
	}
}

// deliver hands decisions to the requests that wait for them.
func (d *Schedulers) deliver(ds []scheduler.Decision) {
	for _, decision := range ds {
		if answer := d.waiting[decision.ID]; answer != nil {
			delete(d.waiting, decision.ID)
			answer(decision)
		}
	}
}

// update takes a new view.
func (d *Schedulers) update(v *view.View) {
	lists := make(map[string][]scheduler.Server)
	engines := make(map[string][]engine)
	for _, s := range v.Servers {
		if s.GetGone() {
			continue
		}
		if rule, ok := v.Rules.Services[s.GetService()]; ok && !rule.Plain {
			engines[s.GetService()] = append(engines[s.GetService()], engine{
				name:    s.GetName(),
				address: s.GetAddress(),
			})
		}
		lists[s.GetService()] = append(lists[s.GetService()], scheduler.Server{
			Name:          s.GetName(),
			Slots:         int(s.GetSlots()),
			Open:          !s.GetLeaving() && !s.GetDrained(),
			FailureDomain: s.GetFailureDomain(),
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines = engines
	for name, rule := range v.Rules.Services {
		svc := scheduler.Service{
			Name:        name,
			Engine:      !rule.Plain,
			Slots:       rule.Slots,
			CacheTokens: rule.CacheTokens,
			Fetches:     rule.Fetches,
			Bound:       d.cfg.Bound,
			RetryWindow: d.cfg.RetryWindow,
			RetryRatio:  d.cfg.RetryRatio,
			RetrySlack:  d.cfg.RetrySlack,
		}
		s := d.services[name]
		if s == nil {
			s = scheduler.New(svc)
			d.services[name] = s
		} else {
			s.SetService(svc)
		}
		list := lists[name]
		slices.SortFunc(list, func(a, b scheduler.Server) int { return strings.Compare(a.Name, b.Name) })
		s.SetServers(list)
	}
}

// ask puts a question. answer is called once, at once or later; id names the
// request in reports. decides is true when this instance decides for all instances.
func (d *Schedulers) ask(service string, decides bool, a scheduler.Ask, answer func(scheduler.Decision)) (id uint64, waits bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	a.ID = d.nextID
	s := d.services[service]
	if s == nil {
		answer(scheduler.Decision{
			ID:      a.ID,
			Refusal: scheduler.NoServer,
		})
		return a.ID, false
	}
	if decides {
		d.primeOnce(service)
	}
	decision, ok := s.Ask(d.cfg.Now(), a)
	if ok {
		answer(decision)
		return a.ID, false
	}
	d.waiting[a.ID] = answer
	return a.ID, true
}

// report tells what became of a request; a waiting one is withdrawn.
func (d *Schedulers) report(service string, id uint64, r scheduler.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Event != scheduler.Started {
		delete(d.waiting, id)
	}
	if s := d.services[service]; s != nil {
		d.deliver(s.Report(d.cfg.Now(), id, r))
	}
}

// adopt counts a request that another instance granted, or notes parts that a
// server keeps when running is false.
func (d *Schedulers) adopt(service, server string, parts []prefixcache.Part, running bool) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if s == nil {
		return 0
	}
	id := uint64(0)
	if running {
		d.nextID++
		id = d.nextID
	}
	s.Adopt(d.cfg.Now(), id, server, parts)
	return id
}

// kept returns what the servers of a service are taken to keep.
func (d *Schedulers) kept(service string) []scheduler.Kept {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		return s.Kept()
	}
	return nil
}

// names returns the services known.
func (d *Schedulers) names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]string, 0, len(d.services))
	for name := range d.services {
		out = append(out, name)
	}
	return out
}
