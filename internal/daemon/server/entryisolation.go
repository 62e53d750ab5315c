package server

// This file defines how an entry instance finds out that it reaches no backend server, and which
// instances then serve its requests.

import (
	"context"

	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/reachability"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/forwarding"
	"camphorspoke/internal/routing/isolation"
	"camphorspoke/internal/routing/view"
)

// startReachability starts the monitor, to which the pool of connections to backend servers reports.
func (e *entry) startReachability() {
	in := e.instance
	var stop func()
	e.reach, stop = reachability.New(reachability.Config{
		Now:      in.now,
		Answers:  func(s isolation.Server) bool { return e.pool.Probe(s.Address, s.HealthPath) },
		Servers:  e.listedServers,
		OnChange: in.agent.SetIsolated,
		Logger:   in.log,
	})
	e.pool.OnConnection = e.recordConnection
	e.pool.OnSilence = e.reach.Silent
	in.onCleanUp(stop)
}

// recordConnection records what a new connection to a backend server shows, and counts it.
func (e *entry) recordConnection(o backend.Outcome) {
	e.reach.Record(o)
	outcome := metrics.ServerUnopened
	switch {
	case o.Err == nil:
		outcome = metrics.ServerAnswered
	case o.Opened:
		outcome = metrics.ServerUnanswered
	}
	e.meters.ServerConnection(context.Background(), outcome)
}

// listedServers returns the backend servers that this instance lists.
func (e *entry) listedServers() []isolation.Server {
	var out []isolation.Server
	v := e.instance.agent.View()
	for _, s := range v.Servers {
		if s.GetGone() {
			continue
		}
		out = append(out, isolation.Server{
			Address:       s.GetAddress(),
			Service:       s.GetService(),
			FailureDomain: s.GetFailureDomain(),
			HealthPath:    healthPath(v, s.GetService()),
		})
	}
	return out
}

// checkHealth asks a backend server of a service how it is; false if it does not answer, or the service
// has no health check.
func (e *entry) checkHealth(service, address string) (edge.Health, bool) {
	path := healthPath(e.instance.agent.View(), service)
	if path == "" {
		return edge.Health{}, false
	}
	a, answered := e.pool.Ask(address, path)
	if !answered {
		return edge.Health{}, false
	}
	return e.instance.adapters.Dialect.ParseHealth(a.Status, a.Header), true
}

// healthPath returns the path of the health check of a service; empty if it has none or is unknown.
func healthPath(v *view.View, service string) string {
	if v.Rules == nil {
		return ""
	}
	return v.Rules.Services[service].HealthPath
}

// forwardTargets returns the instances that may serve requests in the place of this one.
func (e *entry) forwardTargets() []forwarding.Instance {
	agent := e.instance.agent
	var out []forwarding.Instance
	for _, i := range agent.View().Routers() {
		if i.GetName() == e.instance.cfg.Instance || i.GetLeaving() || agent.Unresponsive(i.GetName()) ||
			agent.Isolated(i.GetName()) || !isHostPort(i.GetCallerAddress()) {
			continue
		}
		out = append(out, forwarding.Instance{
			Name:          i.GetName(),
			FailureDomain: i.GetFailureDomain(),
			Address:       i.GetCallerAddress(),
			CPUMilli:      i.GetCpuMilli(),
		})
	}
	return out
}

// isolated returns 1 by the name of this instance while it reaches no backend server.
func (in *instance) isolated() map[string]int {
	if in.entry == nil || !in.entry.reach.Isolated() {
		return nil
	}
	return map[string]int{in.cfg.Instance: 1}
}
