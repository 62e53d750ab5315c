// Package placer chooses the backend server that runs each request of an instance.
//
// For each service one instance, the decider, makes the choice for all instances, so
// that it accounts for every request running at the service and every prompt prefix
// cached there. The decider is the first reachable instance in the order of the
// service; see deciderOrder. Every other instance queries it over one bidirectional stream per
// decider, and then sends the request to the chosen backend server itself, so a
// request in flight does not depend on the decider staying up. The role needs no
// lease: while two instances both act as decider, placement is less accurate, but
// still correct.
//
// A decider that does not answer within Config.AnswerTimeout is skipped for a while. The
// next instance in the order, its standby, is queried instead, and finally the instance
// falls back to its own schedulers. Whoever decides reports to the other one of the first
// two in the order what it has placed, so that the next decider does not start with an
// empty model of the caches.
package placer

// This file defines Placer and the placement of a request.

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/lateness"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/view"
)

const (
	// tickInterval is how often the queues of waiting requests are processed.
	tickInterval = 20 * time.Millisecond
	// defaultAnswerTimeout is how long to wait for the decider's first response.
	defaultAnswerTimeout = 60 * time.Millisecond
	// minSkipPeriod and maxSkipPeriod bound how long a decider that did not answer is
	// skipped. A decider that is only slow for a moment is soon asked again, since
	// two instances that decide at a time place less well than one.
	minSkipPeriod = 200 * time.Millisecond
	maxSkipPeriod = 1600 * time.Millisecond
	// maxPlacements is how often a request is placed, as long as each server chosen has
	// asked this instance for a pause, announced that it leaves, named a limit, is
	// evacuated or has another version, and the decider has not received that.
	maxPlacements = 4
	// withdrawnRetryAfter is the retry delay for a request whose decisions were all
	// withdrawn, if no server has named a time.
	withdrawnRetryAfter = 300 * time.Millisecond
	// maxDeciders is how many instances of the rendezvous order are considered before
	// the instance falls back to its own schedulers.
	maxDeciders = 2
	// maxSkipped is how many deciders are skipped before the instance falls back to its
	// own schedulers. An instance that is slow itself skips one after the other, and each
	// of them would begin to decide without knowing the engines' caches.
	maxSkipped = 4
	// maxLateness is how late this process may be run before other instances may have taken
	// its place as decider.
	maxLateness = time.Second
	// latenessFactor times its own lateness is what this instance waits longer for an
	// answer, maxExtraWait at most: the request and its answer both wait for its processor.
	latenessFactor = 2
	maxExtraWait   = 120 * time.Millisecond
)

// StreamOpener opens the placement stream to another instance.
type StreamOpener interface {
	Place(ctx context.Context, address string) (pb.PeerService_PlaceClient, error)
}

// Config holds the settings and dependencies of a Placer.
type Config struct {
	// Now is a monotonic clock.
	Now func() time.Duration
	// LoadBound limits the load of one server to this multiple of the mean load.
	LoadBound float64
	// RetryWindow, RetryRatio and RetrySlack define the retry budget of a service;
	// see retrybudget.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
	// ColdOverage and ColdSlack limit the requests that a cold server gets from all
	// instances; see ratelimit.Division.
	ColdOverage float64
	ColdSlack   float64
	// HedgePercent limits the hedged requests of a service whose rule sets no limit, as a
	// percentage of its requests; zero is none.
	HedgePercent int
	// Instance is the name of this instance.
	Instance string
	Peers    StreamOpener
	// Explainer asks other instances what they would decide; it may be nil.
	Explainer Explainer
	// Records asks other instances which version began a stream; it may be nil.
	Records RecordReader
	// AnswerTimeout is how long to wait for the decider's first response; zero is 60 ms.
	AnswerTimeout time.Duration
	// Unresponsive reports whether an instance has not answered recently.
	Unresponsive func(instance string) bool
	// Leader returns the instance that leads the control group; it may be nil.
	Leader func() string
	// CacheReader queries engines for the prefixes that they have cached; nil if the
	// engines do not support it.
	CacheReader edge.CacheReader
	// Births queries servers for the time of their start; nil if they do not say it.
	Births edge.BirthReader
	// ListReadAt returns a time by which the platform's list was read that the last view shows, zero if
	// unknown; it may be nil.
	ListReadAt func() time.Duration
	// CheckHealth asks a server of a service, on a new connection, how it is. It returns false if the server
	// does not answer. It may be nil.
	CheckHealth func(service, address string) (edge.Health, bool)
	// OnRestart is called for each new incarnation of a server of a service; it may be nil.
	OnRestart func(service string)
	// OnRecordConflict is called when two versions are recorded to have begun a stream; it may be nil.
	OnRecordConflict func(service string)
	// Record records a change of a quarantine for all instances; it may be nil.
	Record func(ctx context.Context, q *pb.Quarantine) error
	Logger logrus.FieldLogger
}

// Placer chooses backend servers for the requests that enter at one instance.
type Placer struct {
	cfg        Config
	schedulers *Schedulers
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu   sync.Mutex
	view *view.View
	// order holds, by service, the instances that may decide for it, in rendezvous
	// order.
	order map[string][]*pb.Instance
	// streams holds the stream to each decider, by peer address.
	streams map[string]*clientStream
	// skipped holds the deciders that did not answer, by instance name.
	skipped map[string]skip
	// lateness is how late this process is run.
	lateness lateness.Tracker
	// nextStreamFlush is when the records of streams are sent next. Only the ticker uses it.
	nextStreamFlush time.Duration
}

// skip is how a decider that did not answer is skipped.
type skip struct {
	until time.Duration
	// period is how long it is skipped; it doubles with each request in a row that it
	// did not answer.
	period time.Duration
}

// New returns a running placer and a function that stops it.
func New(cfg Config) (*Placer, func()) {
	if cfg.AnswerTimeout == 0 {
		cfg.AnswerTimeout = defaultAnswerTimeout
	}
	p := &Placer{
		cfg:        cfg,
		schedulers: newSchedulers(cfg),
		view:       &view.View{},
		streams:    make(map[string]*clientStream),
		skipped:    make(map[string]skip),
	}
	p.schedulers.entitled = p.isEntitled
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Go(p.runTicker)
	p.wg.Go(p.runRecorder)
	return p, func() {
		p.cancel()
		p.wg.Wait()
	}
}

func (p *Placer) runTicker() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	last := p.cfg.Now()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
			now := p.cfg.Now()
			late := now - last - tickInterval
			p.recordLateness(now, late)
			if late > maxLateness {
				p.schedulers.restartShares()
			}
			last = now
			p.schedulers.recordTick(now)
			p.schedulers.recordListRead()
			p.schedulers.tick()
			p.schedulers.checkHealth()
			p.flushStandbys()
			p.flushStreams()
		}
	}
}

func (p *Placer) recordLateness(now, late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateness.Record(now, late)
}

// answerTimeout returns how long to wait for a decider's first response: longer while this
// process is run late, as the decider is then not the slow one.
func (p *Placer) answerTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := p.lateness.Current(p.cfg.Now())
	return p.cfg.AnswerTimeout + min(latenessFactor*late, maxExtraWait)
}

// Update applies a new view of the servers, instances and rules.
func (p *Placer) Update(v *view.View) {
	if v.Rules == nil {
		return
	}
	order := deciderOrder(v)
	p.mu.Lock()
	p.view, p.order = v, order
	p.mu.Unlock()
	p.schedulers.update(v, order)
	p.schedulers.recordListRead()
	for name := range v.Rules.Services {
		// Open the stream now, so that the first request does not wait for it.
		if order := p.deciders(name); len(order) > 0 && order[0].GetName() != p.cfg.Instance {
			p.streamTo(order[0])
		}
	}
}

// Schedulers returns the instance's own schedulers, which also serve the placement
// streams of other instances.
func (p *Placer) Schedulers() *Schedulers { return p.schedulers }

// Place chooses a backend server for a request of a service, or returns the reason
// for the refusal. The caller must report the outcome of the request to the grant.
func (p *Placer) Place(ctx context.Context, service string, req scheduler.Request) (*Grant, error) {
	start := p.cfg.Now()
	req.Instance = p.cfg.Instance
	req.Brittle = p.schedulers.brittle(service)
	var left time.Duration
	var withdrawn []string
	withdrawnForLimit := 0
	for n := range maxPlacements {
		g := &Grant{
			Withdrawn:         len(withdrawn),
			WithdrawnForLimit: withdrawnForLimit,

			p:           p,
			service:     service,
			fingerprint: req.Fingerprint,
			hasPrompt:   len(req.Parts) > 0,
		}
		req.ExcludedDomains = p.excludedDomains()
		if err := p.decide(ctx, g, req); err != nil {
			return nil, err
		}
		u := p.unavailable(service, g.Server)
		u.otherVersion = p.hasOtherVersion(g, req.Version)
		if withdrawnForLimit == 0 && n < maxPlacements-1 {
			// Once at most, so that a disagreement on a limit refuses no request.
			u.limit = p.unreportedLimit(g)
		}
		if req.Version != "" && !u.any() {
			u.otherVersion = p.hasStartedLately(ctx, g)
		}
		if !u.any() {
			g.Waited = p.cfg.Now() - start
			p.doubtBegun(g, req.Version)
			return g, nil
		}
		if u.limit.Named {
			withdrawnForLimit++
		}
		left = u.pauseLeft
		p.withdraw(g, u)
		req.Counted = true
		switch {
		case slices.Contains(withdrawn, g.Server):
			// A decider of an older build does not read the report.
			req.Tried = append(slices.Clone(req.Tried), g.Server)
		case u.otherVersion:
			// A decider of an older build does not read the version.
			req.Tried = append(slices.Clone(req.Tried), p.otherVersions(service, req.Version)...)
		case u.evacuated && slices.Contains(req.ExcludedDomains, u.domain):
			// A decider of an older build does not read the excluded domains.
			req.Tried = append(slices.Clone(req.Tried), p.serversIn(service, u.domain)...)
		}
		withdrawn = append(withdrawn, g.Server)
	}
	return nil, &fault.Fault{
		Kind:       fault.Overloaded,
		Subject:    service,
		RetryAfter: max(left, withdrawnRetryAfter),
	}
}

// decide queries the deciders in rendezvous order, and falls back to the instance's
// own schedulers when none of them answers or when this instance is next in the
// order.
func (p *Placer) decide(ctx context.Context, g *Grant, req scheduler.Request) error {
	isDecider := false
	for _, i := range p.deciders(g.service) {
		if i.GetName() == p.cfg.Instance {
			isDecider = true
			break
		}
		asked := p.cfg.Now()
		d, answered := p.decideRemotely(ctx, g, i, req)
		req.Counted = true
		if !answered {
			p.skipDecider(i.GetName())
			continue
		}
		p.answeredDecider(i.GetName())
		if d.Server == "" && d.Refusal == scheduler.NoServer && p.listsServers(g.service, req) {
			// The decider has no rules or tables yet.
			g.stream = nil
			continue
		}
		if d.Server == "" {
			return refusalFault(g.service, d)
		}
		if p.completeGrant(g, d, i.GetName()) {
			p.schedulers.recordLimit(g.service, d.Server, d.Limit)
			if d.ServedAgo > 0 {
				p.schedulers.recordServing(g.service, d.Server, g.Address, asked-d.ServedAgo)
			}
			g.localID = p.schedulers.adopt(g.service, d.Server, req, true)
			return nil
		}
		// The decider chose a server that this instance's view does not list yet.
		g.Report(scheduler.Report{
			Event: scheduler.Cancelled,
		})
		g.stream = nil
	}
	d, err := p.decideLocally(ctx, g, isDecider, req)
	if err != nil {
		return err
	}
	if d.Server == "" {
		return refusalFault(g.service, d)
	}
	g.Alone = !isDecider
	if !p.completeGrant(g, d, p.cfg.Instance) {
		g.Report(scheduler.Report{
			Event: scheduler.Cancelled,
		})
		return fault.New(fault.NoEngine, d.Server, "the chosen backend server is no longer listed")
	}
	return nil
}

// listsServers reports whether this instance's view lists a server that may run req.
func (p *Placer) listsServers(service string, req scheduler.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.view.AcceptingServers(service), func(s *pb.BackendServer) bool {
		return !slices.Contains(req.Tried, s.GetName()) && (req.Version == "" || s.GetVersion() == req.Version)
	})
}

// completeGrant fills in the addresses of a grant. It returns false if this
// instance's view does not list the chosen server.
func (p *Placer) completeGrant(g *Grant, d scheduler.Decision, decider string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.view.Servers[d.Server]
	if s == nil || s.GetGone() {
		return false
	}
	g.Decision, g.Address, g.Version, g.Decider = d, s.GetAddress(), s.GetVersion(), decider
	g.joinedMs = s.GetJoinedMs()
	// Where two views differ, either may be the older one.
	differs := d.ListedVersion != "" && d.ListedVersion != s.GetVersion()
	g.VersionUnknown = s.GetVersion() != "" && (differs || d.VersionUnknown || !p.schedulers.versionKnown(g.service, d.Server))
	g.sentAt = p.cfg.Now()
	g.FetchAddress = ""
	if from := p.view.Servers[d.FetchFrom]; from != nil && !from.GetGone() {
		g.FetchAddress = from.GetAddress()
	}
	return true
}

// decideLocally submits the request to the instance's own schedulers and waits for
// the decision.
func (p *Placer) decideLocally(ctx context.Context, g *Grant, isDecider bool, req scheduler.Request) (scheduler.Decision, error) {
	answers := make(chan scheduler.Decision, 1)
	id, waits := p.schedulers.submit(g.service, isDecider, req, func(d scheduler.Decision) { answers <- d })
	g.localID = id
	if !waits {
		return <-answers, nil
	}
	select {
	case d := <-answers:
		return d, nil
	case <-ctx.Done():
		p.schedulers.report(g.service, id, scheduler.Report{
			Event: scheduler.Cancelled,
		})
		return scheduler.Decision{}, fault.Wrap(fault.DeadlineTooNear, g.service, ctx.Err())
	}
}

func toParts(ids []uint64, tokens []uint32) []prefixcache.Part {
	n := min(len(ids), len(tokens))
	out := make([]prefixcache.Part, n)
	for i := range n {
		out[i] = prefixcache.Part{
			ID:     ids[i],
			Tokens: int(tokens[i]),
		}
	}
	return out
}

func fromParts(parts []prefixcache.Part) (ids []uint64, tokens []uint32) {
	for _, part := range parts {
		ids = append(ids, part.ID)
		tokens = append(tokens, uint32(part.Tokens))
	}
	return ids, tokens
}
