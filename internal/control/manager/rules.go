package manager

// This file defines how rule edits are accepted and sent to routers.

import (
	"context"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control/lease"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/rules/parse"
)

// maxHeartbeatRuleBytes is the size of an encoded rule change, in bytes, up to which heartbeat replies
// carry it.
const maxHeartbeatRuleBytes = 8 << 10

// inForceTimeout is how long ApplyRules waits for a majority of the routers to
// confirm a committed edit.
const inForceTimeout = 3500 * time.Millisecond

// ApplyRules commits an edit of the rules. It succeeds only once a majority of
// the listed routers has the new version: a router that is cut off from the
// control group, and queries a majority of the other routers instead, then can't
// miss it.
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
	live := m.countRouters(func(lease.Holder, *lease.Row) bool { return true })
	if !m.cfg.WithoutOwnership && !live.majority() {
		return nil, fault.New(fault.NoQuorum, "routers", "the leader has no recent heartbeat from a majority of the listed routers; nothing was changed")
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
			Advice:      "the edit is not based on the current version; show the rules, merge and apply to the current version",
			RuleVersion: r.GetRuleVersion(),
		}
	}
	if m.cfg.WithoutOwnership {
		return &pb.ApplyRulesResponse{
			Version:  r.GetRuleVersion(),
			Repeated: r.GetRepeated(),
		}, nil
	}
	return m.awaitInForce(ctx, r)
}

// awaitInForce waits until a majority of the listed routers has confirmed the
// rule version of r.
func (m *Manager) awaitInForce(ctx context.Context, r *pb.Result) (*pb.ApplyRulesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for {
		t := m.countRouters(func(_ lease.Holder, row *lease.Row) bool { return row.RuleVersion >= r.GetRuleVersion() })
		if t.majority() {
			return &pb.ApplyRulesResponse{
				Version:        r.GetRuleVersion(),
				Repeated:       r.GetRepeated(),
				RoutersInForce: uint32(t.matching),
				RoutersListed:  uint32(t.listed),
			}, nil
		}
		select {
		case <-ctx.Done():
			return nil, &fault.Fault{
				Kind:        fault.NoQuorum,
				Advice:      "the version is committed but a majority of routers has not confirmed it; send the same edit again to get its result",
				RuleVersion: r.GetRuleVersion(),
			}
		case <-poll.C:
		}
	}
}

// addRules adds to a heartbeat reply what the router lacks of the rules. A large change is left out for
// a router that can read it from any replica: the replies to all routers would take the leader's link
// longer than the routers wait for them. The caller holds mu.
func (m *Manager) addRules(req *pb.HeartbeatRequest, resp *pb.HeartbeatResponse) {
	version, change, err := m.ruleChanges.Change(m.cfg.Replica.Ledger, req.GetRuleVersion())
	if err != nil {
		m.cfg.Logger.WithError(err).Errorf("control: can't encode the rule change from version %d to %d", req.GetRuleVersion(), version)
	}
	resp.RuleVersion = version
	if req.GetReadsRules() && len(change) > maxHeartbeatRuleBytes {
		resp.RulesBehind = true
		return
	}
	resp.RuleChange = change
}
