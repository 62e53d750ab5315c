package placer

// This file defines Schedulers, the schedulers of one instance and the requests that
// wait for their decisions.

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/ruleset"
)

const (
	// firstSlackShare and secondSlackShare are the fractions of the slack of a service's
	// retry budget that the first two instances in the order of its deciders use.
	firstSlackShare  = 0.4
	secondSlackShare = 0.2
	// othersSlackShare is the fraction that the other instances share as deciders, and the
	// one that all instances share for requests on which each decides alone. While deciders
	// do not answer in time, any number of instances may do either.
	othersSlackShare = 0.2
)

// deciderSlackShare returns the fraction of the slack that an instance uses as decider.
func deciderSlackShare(rank, instances int) float64 {
	switch rank {
	case 0:
		return firstSlackShare
	case 1:
		return secondSlackShare
	default:
		return othersSlackShare / float64(instances)
	}
}

// Schedulers holds one scheduler per service and decides on requests from this
// instance and from others. Lock order: ranking, then mu; no other lock is taken while mu is
// held, except inside the answer callbacks, which must not block.
type Schedulers struct {
	cfg Config

	// ranking is held while ranks are determined and applied, so that an older leader does not
	// replace a newer one.
	ranking sync.Mutex

	mu       sync.Mutex
	services map[string]*scheduler.Scheduler
	nextID   uint64
	// waiting holds the answer callbacks of queued requests, by request ID.
	waiting map[uint64]func(scheduler.Decision)
	// view is the view that was applied last, order the order of the deciders of each service
	// in it, and ranks the ranks of this instance in each.
	view  *view.View
	order map[string][]*pb.Instance
	ranks map[string]serviceRanks
	// engines holds the model engines of each service.
	engines map[string][]engine
	// standbys holds what is sent to the standby of each service.
	standbys map[string]*standby
	// decidedAt holds when this instance last decided for a service on behalf of all
	// instances, fedAt when another instance last reported its decisions.
	decidedAt map[string]time.Duration
	fedAt     map[string]time.Duration
	// complete holds the services for which this instance, as their decider, knows
	// what the engines have cached.
	complete map[string]bool
	// streams holds the recorded streams of each service, and streamRetention for how long they
	// are remembered.
	streams         map[string]*streamRecords
	streamRetention time.Duration
	// freezes finds out when this process was not run, and healthAt is when servers are next asked for
	// their health.
	freezes  freezes
	healthAt time.Duration
	// startedAt is when this process has started, and listReadAt a time by which the list was read that was
	// applied last; zero if unknown.
	startedAt  time.Duration
	listReadAt time.Duration
	// oneVersion holds the version of each service of which all servers have had the same, as of the last
	// view.
	oneVersion map[string]string
	// changes holds the changes of quarantines that are not recorded yet.
	changes chan *pb.Quarantine
	// entitled reports whether this instance is one of the deciders of a service by its own
	// view. It is set before the first decision and called without mu.
	entitled func(service string) bool
}

func newSchedulers(cfg Config) *Schedulers {
	return &Schedulers{
		cfg:       cfg,
		startedAt: cfg.Now(),
		view:      &view.View{},
		services:  make(map[string]*scheduler.Scheduler),
		waiting:   make(map[uint64]func(scheduler.Decision)),
		engines:   make(map[string][]engine),
		standbys:  make(map[string]*standby),
		decidedAt: make(map[string]time.Duration),
		fedAt:     make(map[string]time.Duration),
		complete:  make(map[string]bool),
		streams:   make(map[string]*streamRecords),
		changes:   make(chan *pb.Quarantine, maxUnrecorded),
	}
}

// tick lets the schedulers decide on waiting requests.
func (d *Schedulers) tick() {
	d.updateRanks()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range d.services {
		d.updateCold(name, s)
		d.logLimits(name, s)
		d.logBrittle(name, s)
		d.logIncarnations(name, s)
		for _, account := range s.TakeSurges() {
			d.cfg.Logger.WithField("account", account).WithField("service", name).
				Info("placer: an account sends far more requests than it usually does; they wait behind those of others")
		}
	}
	if len(d.waiting) == 0 {
		return
	}
	now := d.cfg.Now()
	for _, s := range d.services {
		d.deliver(s.Tick(now))
	}
}

// deliver passes decisions to the callbacks of the waiting requests. The caller holds
// mu.
func (d *Schedulers) deliver(ds []scheduler.Decision) {
	for _, decision := range ds {
		if answer := d.waiting[decision.ID]; answer != nil {
			delete(d.waiting, decision.ID)
			answer(decision)
		}
	}
}

// leader returns the instance that leads the control group; "" if none is known.
func (c Config) leader() string {
	if c.Leader == nil {
		return ""
	}
	return c.Leader()
}

// updateRanks applies changes of the ranks of this instance: the leader of the control group
// has changed, or instances respond again or no longer.
func (d *Schedulers) updateRanks() {
	d.ranking.Lock()
	defer d.ranking.Unlock()
	d.mu.Lock()
	order := d.order
	d.mu.Unlock()
	ranks := d.rankAll(order)
	d.mu.Lock()
	defer d.mu.Unlock()
	if maps.Equal(ranks, d.ranks) {
		return
	}
	d.ranks = ranks
	for name, rule := range d.view.Rules.Services {
		d.services[name].SetService(d.settings(name, rule))
		d.updateCold(name, d.services[name])
	}
}

// restartShares lets the shares of the rates of servers begin anew. After this process has not run
// for some time, another instance may use the shares that this one had.
func (d *Schedulers) restartShares() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		s.RestartShares()
	}
}

// serviceRanks holds the ranks of an instance in the order of the deciders of a service: all, by
// which the rate of cold servers is divided, and responsive, among those that respond, by which
// limits are. A cold server crashes above its rate, so that the sum of the shares has to hold
// also while instances take one another for lost; a limit is exceeded for a moment.
type serviceRanks struct {
	all        int
	responsive int
}

// rankAll returns the ranks of this instance in the order of the deciders of each service.
func (d *Schedulers) rankAll(order map[string][]*pb.Instance) map[string]serviceRanks {
	leader := d.cfg.leader()
	out := make(map[string]serviceRanks, len(order))
	for service, list := range order {
		out[service] = serviceRanks{
			all:        rank(list, d.cfg.Instance, leader, func(string) bool { return false }),
			responsive: rank(list, d.cfg.Instance, leader, d.cfg.unresponsive),
		}
	}
	return out
}

// unresponsive reports whether an instance has not answered recently, as far as this one has
// been informed.
func (c Config) unresponsive(instance string) bool {
	return c.Unresponsive != nil && c.Unresponsive(instance)
}

// settings returns the settings of a service. The share of the retry budget follows the order of
// the deciders alone: retries are counted over seconds, and a larger share would apply at once.
// The caller holds mu.
func (d *Schedulers) settings(name string, rule ruleset.Service) scheduler.Service {
	instances := max(len(d.view.Routers()), 1)
	svc := scheduler.Service{
		Name:            name,
		Engine:          !rule.Plain,
		Slots:           rule.Slots,
		CacheTokens:     rule.CacheTokens,
		FetchesPrefixes: rule.FetchesPrefixes,
		LoadBound:       d.cfg.LoadBound,
		RetryWindow:     d.cfg.RetryWindow,
		RetryRatio:      d.cfg.RetryRatio,
		RetrySlack:      d.cfg.RetrySlack * deciderSlackShare(listedRank(d.order[name], d.cfg.Instance), instances),
		AloneRetrySlack: d.cfg.RetrySlack * othersSlackShare / float64(instances),
		HedgeShare:      rule.HedgeShare(d.cfg.HedgePercent),
	}
	d.cfg.setCold(&svc, rule, d.ranks[name].all, instances)
	setLimitShares(&svc, d.ranks[name].responsive, instances)
	return svc
}

// update applies a new view, and the order of the deciders of each service in it.
func (d *Schedulers) update(v *view.View, order map[string][]*pb.Instance) {
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
		l := scheduler.Server{
			Name:          s.GetName(),
			Slots:         int(s.GetSlots()),
			Accepting:     v.Accepts(s),
			Evacuated:     v.IsEvacuated(s),
			FailureDomain: s.GetFailureDomain(),
			Leaving:       s.GetLeaving(),
			Address:       s.GetAddress(),
			JoinedMs:      s.GetJoinedMs(),
			Version:       s.GetVersion(),
		}
		setColdListing(&l, s)
		lists[s.GetService()] = append(lists[s.GetService()], l)
	}
	d.ranking.Lock()
	defer d.ranking.Unlock()
	ranks := d.rankAll(order)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines, d.view, d.order, d.ranks = engines, v, order, ranks
	d.streamRetention = v.Rules.LongestResumable() + retentionMargin
	d.oneVersion = commonVersions(v, time.Now().Add(-d.streamRetention))
	for name, rule := range v.Rules.Services {
		svc := d.settings(name, rule)
		s := d.services[name]
		if s == nil {
			s = scheduler.New(svc)
			d.services[name] = s
		} else {
			s.SetService(svc)
		}
		list := lists[name]
		slices.SortFunc(list, func(a, b scheduler.Server) int { return strings.Compare(a.Name, b.Name) })
		s.SetServers(d.cfg.Now(), list)
		d.updateCold(name, s)
		s.SetQuarantines(d.cfg.Now(), quarantines(v.Quarantines[name]))
		d.recordChanges(name, s)
	}
}

// submit requests a decision on a request. It calls answer with the decision: before
// it returns, or later when waits is true. A report for the returned id withdraws a
// request that is still waiting, and answer is then not called. isDecider is true
// when this instance decides on behalf of all instances.
func (d *Schedulers) submit(service string, isDecider bool, req scheduler.Request, answer func(scheduler.Decision)) (id uint64, waits bool) {
	if isDecider {
		d.queryUnlessInformed(service)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	req.ID = d.nextID
	s := d.services[service]
	if s == nil || req.Version != "" && !d.missedNothing(service) {
		// Another instance may know.
		answer(scheduler.Decision{
			ID:      req.ID,
			Refusal: scheduler.NoServer,
		})
		return req.ID, false
	}
	req.MayTry, req.Alone = isDecider, !isDecider
	recorded := func(decision scheduler.Decision) {
		decision.VersionUnknown = decision.VersionUnknown || d.doubtsDecision(service)
		if isDecider {
			d.placed(service, decision.Server, req.Parts)
		}
		answer(decision)
	}
	decision, ok := s.Schedule(d.cfg.Now(), req)
	d.recordChanges(service, s)
	if ok {
		recorded(decision)
		return req.ID, false
	}
	d.waiting[req.ID] = recorded
	return req.ID, true
}

// report records the progress or the outcome of a request. Any event but Started
// withdraws a request that is still waiting.
func (d *Schedulers) report(service string, id uint64, r scheduler.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Event != scheduler.Started {
		delete(d.waiting, id)
	}
	if s := d.services[service]; s != nil {
		d.deliver(s.Report(d.cfg.Now(), id, r))
		d.recordChanges(service, s)
	}
}

// adopt records a decision made by another instance. If running is true, the request
// counts as in flight at the server, and adopt returns its ID; otherwise only the
// prefix is recorded as cached there.
func (d *Schedulers) adopt(service, server string, req scheduler.Request, running bool) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if s == nil {
		return 0
	}
	req.ID, req.Instance = 0, d.cfg.Instance
	if running {
		d.nextID++
		req.ID = d.nextID
	}
	s.Adopt(d.cfg.Now(), server, req)
	return req.ID
}

// Running returns the number of requests that count as running on a server: those of all
// instances where this one decides for the service, otherwise its own.
func (d *Schedulers) Running(service, server string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		return s.RunningAt(server)
	}
	return 0
}
