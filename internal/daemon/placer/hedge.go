package placer

// This file defines the placement of hedges.

import (
	"context"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
)

// PlaceHedge chooses a backend server for a copy of a request that is still in progress at
// the servers in req.Tried. Only the decider grants copies, as only it knows the load of all
// servers; if it does not answer, or its choice can't be used, no copy is sent.
func (p *Placer) PlaceHedge(ctx context.Context, service string, req scheduler.Request) (*Grant, error) {
	start := p.cfg.Now()
	req.Instance, req.Hedge, req.Retry, req.MaxWait = p.cfg.Instance, true, true, 0
	req.ExcludedDomains = p.excludedDomains()
	g := &Grant{
		p:         p,
		service:   service,
		hasPrompt: len(req.Parts) > 0,
	}
	d, decider, err := p.decideHedge(ctx, g, req)
	if err != nil {
		return nil, err
	}
	if err := p.completeHedge(ctx, g, d, decider, req.Version); err != nil {
		return nil, err
	}
	if g.stream != nil {
		g.localID = p.schedulers.adopt(service, d.Server, req, true)
	}
	p.doubtBegun(g, req.Version)
	g.Waited = p.cfg.Now() - start
	return g, nil
}

// decideHedge requests a decision from the decider, which may be this instance.
func (p *Placer) decideHedge(ctx context.Context, g *Grant, req scheduler.Request) (d scheduler.Decision, decider string, err error) {
	first := p.firstDecider(g.service)
	if first == nil {
		return d, "", hedgeFault(g.service, "the decider is not reachable")
	}
	decider = first.GetName()
	if decider == p.cfg.Instance {
		d, err = p.decideLocally(ctx, g, true, req)
		return d, decider, err
	}
	d, answered := p.decideRemotely(ctx, g, first, req)
	if !answered {
		return d, decider, hedgeFault(g.service, "the decider did not answer")
	}
	return d, decider, nil
}

// firstDecider returns the instance that decides for a service while all instances are sound,
// or nil if it is not reachable. The instances after it know less of the load.
func (p *Placer) firstDecider(service string) *pb.Instance {
	leader := p.cfg.leader()
	p.mu.Lock()
	defer p.mu.Unlock()
	order := p.order[service]
	if len(order) == 0 {
		return nil
	}
	first := order[0]
	if first.GetName() == leader && len(order) > 1 {
		first = order[1]
	}
	if p.cfg.Now() < p.skipped[first.GetName()].until || !p.responsive(first.GetName()) {
		return nil
	}
	return first
}

// completeHedge fills in a grant of a request that may be bound to a version. If the decision is a refusal or its server can't be used,
// it returns the reason and releases the grant.
func (p *Placer) completeHedge(ctx context.Context, g *Grant, d scheduler.Decision, decider, version string) error {
	if d.Server == "" || !p.completeGrant(g, d, decider) {
		g.Report(scheduler.Report{
			Event: scheduler.Cancelled,
		})
		return hedgeFault(g.service, "the decider refused the copy, or its choice is not listed here")
	}
	if g.stream != nil {
		p.schedulers.recordLimit(g.service, g.Server, d.Limit)
	}
	u := p.unavailable(g.service, g.Server)
	u.limit = p.unreportedLimit(g)
	u.otherVersion = p.hasOtherVersion(g, version)
	if version != "" && !u.any() {
		u.otherVersion = p.hasStartedLately(ctx, g)
	}
	if u.any() {
		p.withdraw(g, u)
		return hedgeFault(g.service, "the chosen backend server has asked for a pause, named a limit, leaves, is evacuated or has another version")
	}
	return nil
}

// hedgeFault returns the reason why no copy of a request is sent.
func hedgeFault(service, advice string) error {
	return fault.New(fault.Overloaded, service, advice)
}
