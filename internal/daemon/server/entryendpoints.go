package server

// This file defines the readiness check, the directory and the configuration calls
// that an entry instance serves to the platform.

import (
	"context"
	"net"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/directory"
)

// maxIsolatedPerUsable is the number of isolated instances for each other one up to which
// callers are directed to the others only. Beyond it, the few others would get more connections than they
// take; isolated instances then spread the requests.
const maxIsolatedPerUsable = 3

// Ready reports whether this instance accepts callers: it has the rules, confirmed to
// be in force, and the tables of backend servers.
func (e *entry) Ready() bool {
	v := e.instance.agent.View()
	return !e.leaving.Load() && e.instance.agent.Fresh() && v.RuleVersion > 0 && v.Index > 0
}

// Addresses returns the addresses that callers in a failure domain should use, at
// most limit. An instance that is not in contact with the control group returns none,
// because its view may be outdated.
func (e *entry) Addresses(failureDomain string, limit int) []string {
	if !e.instance.agent.Fresh() {
		return nil
	}
	var usable, isolated []directory.Instance
	for _, i := range e.instance.agent.View().Routers() {
		if i.GetName() == e.instance.cfg.Instance && !e.Ready() {
			continue
		}
		if i.GetLeaving() || e.instance.agent.Unresponsive(i.GetName()) || !isHostPort(i.GetCallerAddress()) {
			continue
		}
		listed := directory.Instance{
			Name:          i.GetName(),
			FailureDomain: i.GetFailureDomain(),
			Address:       i.GetCallerAddress(),
			CPUMilli:      i.GetCpuMilli(),
		}
		if e.instance.agent.Isolated(i.GetName()) {
			isolated = append(isolated, listed)
			continue
		}
		usable = append(usable, listed)
	}
	if maxIsolatedPerUsable*len(usable) < len(isolated) {
		usable = append(usable, isolated...)
	}
	picker := directory.Picker{
		Instance: e.instance.cfg.Instance,
		Limit:    limit,
		Wanted:   e.instance.agent.WorkingSet(failureDomain),
	}
	return picker.Addresses(usable, failureDomain)
}

// isHostPort reports whether a has the form host:port with a non-empty port.
func isHostPort(a string) bool {
	_, port, err := net.SplitHostPort(a)
	return err == nil && port != ""
}

// Replace applies a configuration under the given revision.
func (e *entry) Replace(ctx context.Context, revision uint64, rules, source []byte) error {
	ctx, cancel := context.WithTimeout(ctx, applyRulesTimeout)
	defer cancel()
	r, err := e.instance.control.ApplyRules(ctx, &pb.ApplyRulesRequest{
		Content:  rules,
		Revision: revision,
		Source:   source,
	})
	if err != nil {
		return err
	}
	e.instance.log.WithField("revision", revision).WithField("ruleVer", r.GetVersion()).WithField("repeated", r.GetRepeated()).
		Info("operator: configuration accepted")
	return nil
}

// largeRules is the size of a rule file in bytes from which on operators are directed to the leader.
// It holds the file, while a small instance would load its link with all of it twice.
const largeRules = 128 << 10

// Elsewhere returns the operator address of the leader, if a rule file is large and this instance is
// another one and in contact with the leader.
func (e *entry) Elsewhere(bytes int) string {
	agent := e.instance.agent
	if max(bytes, len(agent.View().RuleText)) < largeRules || agent.SinceLeaderContact() > maxContactAge {
		return ""
	}
	address := agent.LeaderOperatorAddress()
	if address == e.instance.cfg.Entry.Operator || !isHostPort(address) {
		return ""
	}
	return address
}

// Source returns the latest configuration revision and its text.
func (e *entry) Source(ctx context.Context) (revision uint64, source []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	q, err := e.instance.control.Query(ctx, &pb.QueryRequest{
		Source: true,
	})
	if err != nil {
		return 0, nil, err
	}
	if q.GetRevision() == 0 {
		return 0, nil, fault.New(fault.RulesStale, "configuration", "no configuration has been accepted")
	}
	return q.GetRevision(), q.GetSource(), nil
}
