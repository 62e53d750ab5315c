package server

// This file defines what an entry instance answers the platform: whether it is
// ready, where callers connect, and the configuration.

import (
	"context"
	"net"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

// Ready reports whether this instance takes callers.
func (e *entry) Ready() bool {
	return !e.leaving.Load() && e.in.agent.Fresh() && e.in.agent.View().RuleVersion > 0
}

// Addresses returns where callers in a failure domain connect: the instances
// of that domain, or all of them while it has less than two. An instance that
// is out of touch with the control group knows nothing and names nobody.
func (e *entry) Addresses(failureDomain string) []string {
	if !e.in.agent.Fresh() {
		return nil
	}
	var near, all []string
	for _, i := range e.in.agent.View().Routers() {
		if i.GetName() == e.in.set.Instance && !e.Ready() {
			continue
		}
		if i.GetLeaving() || e.in.agent.Silent(i.GetName()) || !isHostPort(i.GetCallerAddress()) {
			continue
		}
		all = append(all, i.GetCallerAddress())
		if i.GetFailureDomain() == failureDomain {
			near = append(near, i.GetCallerAddress())
		}
	}
	if len(near) >= 2 {
		return near
	}
	return all
}

func isHostPort(a string) bool {
	_, port, err := net.SplitHostPort(a)
	return err == nil && port != ""
}

// Replace puts rules in force under a revision.
func (e *entry) Replace(ctx context.Context, revision uint64, rules, source []byte) error {
	ctx, cancel := context.WithTimeout(ctx, rulebookLimit)
	defer cancel()
	r, err := e.in.control.ApplyRules(ctx, &pb.ApplyRulesRequest{
		Content:  rules,
		Revision: revision,
		Source:   source,
	})
	if err != nil {
		return err
	}
	e.in.log.WithField("revision", revision).WithField("ruleVer", r.GetVersion()).WithField("repeated", r.GetRepeated()).
		Info("operator: a configuration is accepted")
	return nil
}

// Source returns the newest revision and its text.
func (e *entry) Source(ctx context.Context) (revision uint64, source []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, sourceLimit)
	defer cancel()
	q, err := e.in.control.Query(ctx, &pb.QueryRequest{
		Source: true,
	})
	if err != nil {
		return 0, nil, err
	}
	if q.GetRevision() == 0 {
		return 0, nil, fault.New(fault.RulesStale, "configuration", "none was accepted yet")
	}
	return q.GetRevision(), q.GetSource(), nil
}
