package manager

// This file defines how a rule edit is taken.

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/control/lease"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/rules/parse"
	"camphorspoke/internal/world/fault"
	"camphorspoke/internal/world/pack"
)

// maxChanges is how many packed changes are kept for other routers.
const maxChanges = 64

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

// ruleChange returns, packed, what brings a router from one version of the rules
// to another, whose text is content. Nearly all routers are behind by the same
// edits, so each change is packed once for all of them. The caller holds mu.
func (m *Manager) ruleChange(from, to uint64, content []byte) []byte {
	if m.changesTo != to || len(m.changes) >= maxChanges {
		m.changes, m.changesTo = make(map[uint64][]byte), to
	}
	if packed, ok := m.changes[from]; ok {
		return packed
	}
	change := &pb.RuleChange{}
	edits, ok := m.cfg.Replica.Ledger.EditsSince(from)
	if ok && edits[len(edits)-1].GetVersion() == to {
		change.Edits = edits
	} else {
		change.Whole = content
	}
	plain, err := proto.Marshal(change)
	if err != nil {
		m.cfg.Logger.WithError(err).Errorf("control: the change of the rules from version %d to %d can't be encoded", from, to)
		return nil
	}
	m.changes[from] = pack.Codec{}.Pack(plain)
	return m.changes[from]
}
