package placer

// This file defines how an instance finds out what would be decided on a request.

import (
	"context"
	"encoding/json"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
)

// Explainer asks another instance what it would decide on a request.
type Explainer interface {
	// ExplainPlacement returns a scheduler.Explanation as JSON.
	ExplainPlacement(ctx context.Context, address string, ask *pb.PlaceAsk) ([]byte, error)
}

// Explanation is what would be decided on a request.
type Explanation struct {
	// Decider is the instance that would decide. Alone is true if it is this instance and it
	// would decide for its own requests only.
	Decider string `json:"decider"`
	Alone   bool   `json:"alone,omitempty"`
	scheduler.Explanation
}

// Explain returns what would be decided on a request of a service now. Unlike Place it does not
// skip a decider that does not answer, but fails.
func (p *Placer) Explain(ctx context.Context, service string, req scheduler.Request) (*Explanation, error) {
	req.Instance, req.ExcludedDomains = p.cfg.Instance, p.excludedDomains()
	out := &Explanation{
		Decider: p.cfg.Instance,
	}
	deciders := p.deciders(service)
	out.Alone = len(deciders) == 0
	if out.Alone || deciders[0].GetName() == p.cfg.Instance {
		req.Alone = out.Alone
		out.Explanation = p.schedulers.explain(service, req)
		return out, nil
	}
	out.Decider = deciders[0].GetName()
	if p.cfg.Explainer == nil {
		return nil, fault.New(fault.BadRequest, out.Decider, "ask the instance that decides for the service")
	}
	b, err := p.cfg.Explainer.ExplainPlacement(ctx, deciders[0].GetPeerAddress(), toAsk(service, req))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(b, &out.Explanation); err != nil {
		return nil, fault.Wrap(fault.Internal, out.Decider, err)
	}
	return out, nil
}

// ExplainAsk returns what this instance would decide on a request of another one.
func (d *Schedulers) ExplainAsk(ask *pb.PlaceAsk) scheduler.Explanation {
	return d.explain(ask.GetService(), toRequest(ask))
}

func (d *Schedulers) explain(service string, req scheduler.Request) scheduler.Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if s == nil {
		return scheduler.Explanation{
			Outcome: scheduler.WouldRefuse,
			Refusal: scheduler.NoServer,
		}
	}
	// The ID breaks ties between equal servers; it is the one that a request would get.
	req.ID = d.nextID + 1
	return s.Explain(d.cfg.Now(), req)
}
