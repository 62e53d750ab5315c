package placer

// This file defines which instances are queried as deciders, and which are skipped.

import (
	"slices"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// deciders returns the reachable instances that may decide for a service, in their
// order, at most maxDeciders of them. The leader of the control group is passed over
// while there are others, as neither its answers to heartbeats nor decisions should
// wait for the other.
func (p *Placer) deciders(service string) []*pb.Instance {
	leader := p.cfg.leader()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	var out []*pb.Instance
	var leading *pb.Instance
	skipped := 0
	for _, i := range p.order[service] {
		if !p.responsive(i.GetName()) {
			continue
		}
		if now < p.skipped[i.GetName()].until {
			if skipped++; skipped == maxSkipped {
				break
			}
			continue
		}
		if i.GetName() == leader {
			leading = i
			continue
		}
		out = append(out, i)
		if len(out) == maxDeciders {
			return out
		}
	}
	if leading != nil {
		out = append(out, leading)
	}
	return out
}

// responsive reports whether an instance has answered the control group recently, as far as
// this instance knows. The caller holds mu.
func (p *Placer) responsive(name string) bool {
	return name == p.cfg.Instance || p.cfg.Unresponsive == nil || !p.cfg.Unresponsive(name)
}

// isEntitled reports whether this instance is one of the deciders of a service by its own view.
func (p *Placer) isEntitled(service string) bool {
	return slices.ContainsFunc(p.deciders(service), func(i *pb.Instance) bool { return i.GetName() == p.cfg.Instance })
}

func (p *Placer) skipDecider(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	s := p.skipped[name]
	if now < s.until {
		return
	}
	s.period = min(max(2*s.period, minSkipPeriod), maxSkipPeriod)
	s.until = now + s.period
	p.skipped[name] = s
	p.cfg.Logger.WithField("decider", name).WithField("skipMs", s.period.Milliseconds()).
		Warn("placer: decider did not answer, skipping it for a while")
}

// answeredDecider records that a decider has answered.
func (p *Placer) answeredDecider(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.skipped, name)
}
