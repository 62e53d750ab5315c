package server

// This file defines the values that an entry instance reports when its metrics are read.

// quarantineCounts returns the number of quarantines by service, without those of requests that no
// trial has proved guilty.
func (in *instance) quarantineCounts() map[string]int {
	out := make(map[string]int)
	if in.agent == nil {
		return out
	}
	for service, table := range in.agent.View().Quarantines {
		for _, q := range table {
			if !q.GetWholeRequest() || q.GetFailedTrials() > 0 {
				out[service]++
			}
		}
	}
	return out
}

// coldServers returns the number of cold servers by service.
func (in *instance) coldServers() map[string]int {
	if in.entry == nil || in.entry.placer == nil {
		return nil
	}
	return in.entry.placer.Schedulers().ColdServers()
}

// limitedServers returns the number of servers that name a limit, by service.
func (in *instance) limitedServers() map[string]int {
	if in.entry == nil || in.entry.placer == nil {
		return nil
	}
	return in.entry.placer.Schedulers().LimitedServers()
}

// brittleServices returns 1 for each service whose servers are brittle.
func (in *instance) brittleServices() map[string]int {
	if in.entry == nil || in.entry.placer == nil {
		return nil
	}
	return in.entry.placer.Schedulers().BrittleServices()
}

// serverVersions returns the number of listed backend servers by service and version.
func (in *instance) serverVersions() map[string]int {
	out := make(map[string]int)
	if in.agent == nil {
		return out
	}
	for _, s := range in.agent.View().Servers {
		if !s.GetGone() {
			out[s.GetService()+"/"+s.GetVersion()]++
		}
	}
	return out
}

// serverRows returns the number of rows of backend servers by their state.
func (in *instance) serverRows() map[string]int {
	if in.agent == nil {
		return nil
	}
	out := map[string]int{"listed": 0, "gone": 0}
	for _, s := range in.agent.View().Servers {
		if s.GetGone() {
			out["gone"]++
			continue
		}
		out["listed"]++
	}
	return out
}

// removedRows returns the number of rows of backend servers that the replica of this instance has removed,
// by the name of the instance.
func (in *instance) removedRows() map[string]uint64 {
	if in.replica == nil {
		return nil
	}
	return map[string]uint64{in.cfg.Instance: in.replica.Ledger.RemovedServers()}
}

// ruleBytes returns the size of the rules in force by the name of this instance.
func (in *instance) ruleBytes() map[string]int {
	if in.agent == nil {
		return nil
	}
	return map[string]int{in.cfg.Instance: len(in.agent.View().RuleText)}
}

// awaitedSeeds returns 1 by the address of the seed that the formation of the control group waits for.
func (in *instance) awaitedSeeds() map[string]int {
	if in.replica == nil {
		return nil
	}
	w := in.replica.Waiting()
	if w == nil {
		return nil
	}
	return map[string]int{w.Seed: 1}
}

// lossesBorne returns how many more voters may lose their disks, by the name of this instance, if it
// leads the control group.
func (in *instance) lossesBorne() map[string]int {
	if in.replica == nil || !in.replica.Leads() {
		return nil
	}
	return map[string]int{in.cfg.Instance: in.replica.Status().LossesBorne}
}
