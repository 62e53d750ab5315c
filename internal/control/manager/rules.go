package manager

// This file defines how a rule edit is taken.

import (
	"context"
	"time"

	"camphorspoke/internal/control/lease"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/rules/parse"
	"camphorspoke/internal/world/fault"
)

// inForceLimit is how long an edit waits for a majority of routers.
const inForceLimit = 3500 * time.Millisecond

// ApplyRules takes an edit. It is accepted, that is answered, once a majority
// of the listed routers holds it: a router that is cut off from the control
// group and asks a majority of the others then can't miss it.
func (m *Manager) ApplyRules(ctx context.Context, req *pb.ApplyRulesRequest) (*pb.ApplyRulesResponse, error) {
	if _, err := parse.Rules("rules", req.GetContent()); err != nil {
		return nil, &fault.Fault{
			Kind:   fault.BadRules,
			Advice: err.Error(),
		}
	}
	if !m.Leads() {
		return nil, m.notLeader()
	}
	heard := m.countRouters(func(lease.Holder, *lease.Row) bool { return true })
	if !m.cfg.Direct && !heard.majority() {
		return nil, fault.New(fault.NoQuorum, "routers", "the leader hears from too few routers to take an edit; nothing was changed")
	}
	r, err := m.cfg.Replica.Propose(ctx, &pb.Command{
		Kind: &pb.Command_EditRules{
			EditRules: &pb.EditRules{
				BaseVersion: req.GetBaseVersion(),
				Content:     req.GetContent(),
				Revision:    req.GetRevision(),
				Source:      req.GetSource(),
			},
		},
	})
	if err != nil {
		return nil, err
	}
	if r.GetFailure() != "" {
		return nil, &fault.Fault{
			Kind:        r.GetFailure(),
			Advice:      "another edit won; show the rules, merge and apply on the version in force",
			RuleVersion: r.GetRuleVersion(),
		}
	}
	if m.cfg.Direct {
		return &pb.ApplyRulesResponse{
			Version:  r.GetRuleVersion(),
			Repeated: r.GetRepeated(),
		}, nil
	}
	return m.awaitInForce(ctx, r)
}

func (m *Manager) awaitInForce(ctx context.Context, r *pb.Result) (*pb.ApplyRulesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for {
		t := m.countRouters(func(_ lease.Holder, row *lease.Row) bool { return row.RuleVersion >= r.GetRuleVersion() })
		if t.majority() {
			return &pb.ApplyRulesResponse{
				Version:        r.GetRuleVersion(),
				Repeated:       r.GetRepeated(),
				RoutersInForce: uint32(t.yes),
				RoutersListed:  uint32(t.listed),
			}, nil
		}
		select {
		case <-ctx.Done():
			return nil, &fault.Fault{
				Kind:        fault.NoQuorum,
				Advice:      "the version is committed but a majority of routers has not confirmed it; send the same change again to learn its answer",
				RuleVersion: r.GetRuleVersion(),
			}
		case <-poll.C:
		}
	}
}
