// Package view holds a router's copy of the control plane's state: the tables
// of backend servers and instances as of one log index, and the rule file.
package view

// This file defines View.

import (
	"cmp"
	"maps"
	"slices"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/rules/ruleset"
)

// View is an immutable snapshot of the tables and rules. A change creates a new
// View. A server that left the platform's list and an instance that stopped
// sending heartbeats stay in the tables, marked gone; the server until the control
// group removes its row.
type View struct {
	// Index is the log index up to which the tables include all changes.
	Index       uint64
	RuleVersion uint64
	RuleText    []byte
	Rules       *ruleset.Rules
	Servers     map[string]*pb.BackendServer
	Instances   map[string]*pb.Instance
	// Quarantines holds the quarantines of parts of prompts, by service and ID.
	Quarantines map[string]map[uint64]*pb.Quarantine
	// Evacuated holds the evacuated failure domains, each with its row.
	Evacuated map[string]*pb.Evacuation
	// RemovedIndex is the log index up to which servers that changed last, and are marked gone, have
	// been removed.
	RemovedIndex uint64

	// byService lists the servers of each service not marked gone, sorted by name.
	byService map[string][]*pb.BackendServer
}

// WithTables returns a copy of v at index with the given servers and instances
// added or replaced. If full is set, they replace the tables.
func (v *View) WithTables(index uint64, full bool, servers []*pb.BackendServer, instances []*pb.Instance) *View {
	next := *v
	next.Index = index
	next.Servers, next.Instances = make(map[string]*pb.BackendServer), make(map[string]*pb.Instance)
	if !full {
		maps.Copy(next.Servers, v.Servers)
		maps.Copy(next.Instances, v.Instances)
	}
	for _, s := range servers {
		next.Servers[s.GetName()] = s
	}
	for _, i := range instances {
		next.Instances[i.GetName()] = i
	}
	next.removeGone()
	next.buildServiceIndex()
	return &next
}

// WithIndex returns a copy of v at index, up to which no row has changed.
func (v *View) WithIndex(index uint64) *View {
	next := *v
	next.Index = index
	return &next
}

// WithoutGone returns a copy of v without the servers that are marked gone and changed last at the given
// log index or before. Such rows of later tables are left out too.
func (v *View) WithoutGone(removedIndex uint64) *View {
	next := *v
	next.RemovedIndex = removedIndex
	next.Servers = maps.Clone(v.Servers)
	next.removeGone()
	return &next
}

// removeGone removes the servers that are marked gone and changed last at RemovedIndex or before.
func (v *View) removeGone() {
	if v.RemovedIndex == 0 {
		return
	}
	maps.DeleteFunc(v.Servers, func(_ string, s *pb.BackendServer) bool {
		return s.GetGone() && s.GetChangedIndex() <= v.RemovedIndex
	})
}

// WithQuarantines returns a copy of v with the given quarantines added, replaced or, if
// they are released, removed. If full is set, they replace the table.
func (v *View) WithQuarantines(full bool, quarantines []*pb.Quarantine) *View {
	next := *v
	next.Quarantines = make(map[string]map[uint64]*pb.Quarantine)
	if !full {
		for service, table := range v.Quarantines {
			next.Quarantines[service] = maps.Clone(table)
		}
	}
	for _, q := range quarantines {
		if q.GetReleased() {
			delete(next.Quarantines[q.GetService()], q.GetId())
			continue
		}
		table := next.Quarantines[q.GetService()]
		if table == nil {
			table = make(map[uint64]*pb.Quarantine)
			next.Quarantines[q.GetService()] = table
		}
		table[q.GetId()] = q
	}
	return &next
}

// WithEvacuations returns a copy of v with the given evacuations added or, if they are not
// active, removed. If full is set, they replace the table.
func (v *View) WithEvacuations(full bool, evacuations []*pb.Evacuation) *View {
	next := *v
	next.Evacuated = make(map[string]*pb.Evacuation)
	if !full {
		maps.Copy(next.Evacuated, v.Evacuated)
	}
	for _, e := range evacuations {
		if e.GetActive() {
			next.Evacuated[e.GetFailureDomain()] = e
			continue
		}
		delete(next.Evacuated, e.GetFailureDomain())
	}
	return &next
}

// EvacuatedDomains returns the evacuated failure domains, sorted by name.
func (v *View) EvacuatedDomains() []string { return slices.Sorted(maps.Keys(v.Evacuated)) }

// IsEvacuated reports whether the failure domain of s is evacuated.
func (v *View) IsEvacuated(s *pb.BackendServer) bool {
	return v.Evacuated[s.GetFailureDomain()] != nil
}

// Accepts reports whether s accepts new requests.
func (v *View) Accepts(s *pb.BackendServer) bool {
	return !s.GetGone() && !s.GetLeaving() && !s.GetDrained() && !v.IsEvacuated(s)
}

// WithRules returns a copy of v with another rule file.
func (v *View) WithRules(version uint64, text []byte, rules *ruleset.Rules) *View {
	next := *v
	next.RuleVersion, next.RuleText, next.Rules = version, text, rules
	return &next
}

// buildServiceIndex fills byService from Servers.
func (v *View) buildServiceIndex() {
	v.byService = make(map[string][]*pb.BackendServer)
	for _, s := range v.Servers {
		if !s.GetGone() {
			v.byService[s.GetService()] = append(v.byService[s.GetService()], s)
		}
	}
	for _, ss := range v.byService {
		slices.SortFunc(ss, func(a, b *pb.BackendServer) int { return cmp.Compare(a.GetName(), b.GetName()) })
	}
}

// AcceptingServers returns the servers of a service that accept new requests, sorted
// by name.
func (v *View) AcceptingServers(service string) []*pb.BackendServer {
	var out []*pb.BackendServer
	for _, s := range v.byService[service] {
		if v.Accepts(s) {
			out = append(out, s)
		}
	}
	return out
}

// WeightedServers returns the servers of a service that accept new requests. Each is
// weighted by its number of slots.
func (v *View) WeightedServers(service string) []routing.Server {
	accepting := v.AcceptingServers(service)
	out := make([]routing.Server, len(accepting))
	for i, s := range accepting {
		out[i] = routing.Server{
			Name:   s.GetName(),
			Weight: float64(max(s.GetSlots(), 1)),
		}
	}
	return out
}

// Owner returns the instance that owns a server, nil if there is none. A server
// that is assigned to an instance marked gone, or to an earlier process of an
// instance, has no owner, even if the lease of that process has not expired.
func (v *View) Owner(server string) *pb.Instance {
	s := v.Servers[server]
	i := v.Instances[s.GetOwner()]
	if i == nil || i.GetGone() || i.GetIncarnation() != s.GetOwnerIncarnation() {
		return nil
	}
	return i
}

// Routers returns the instances not marked gone, sorted by name.
func (v *View) Routers() []*pb.Instance {
	var out []*pb.Instance
	for _, i := range v.Instances {
		if !i.GetGone() {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b *pb.Instance) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}
