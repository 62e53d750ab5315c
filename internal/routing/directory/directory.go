// Package directory chooses the instances whose addresses a caller is given.
//
// Load pattern: a failure domain with more instances than fit into one answer, whose
// callers all ask a few of its instances. If each answer named the same instances,
// the others would get no callers. So the instances of the domain form a ring in
// the order of their names, and an answer names those that follow the answering
// instance on it. Each instance is then in the answers of equally many others, and
// an instance gives the same answer until the ring changes, so that callers keep
// their connections.
package directory

// This file defines Picker.

import (
	"cmp"
	"slices"
)

// minInDomain is the smallest number of usable instances of a failure domain for
// which its callers get no others: a single one that fails would leave them none.
const minInDomain = 2

// Instance is an instance that accepts callers.
type Instance struct {
	Name          string
	FailureDomain string
	Address       string
}

// Picker chooses the addresses in the answers of one instance.
type Picker struct {
	// Instance is the name of the answering instance, which need not be among the
	// instances to choose from.
	Instance string
	// Limit is the maximum number of addresses in an answer; zero means no limit.
	Limit int
}

// Addresses returns the addresses for the callers of a failure domain: those of its
// instances, or of all instances if the domain has fewer than two.
func (p Picker) Addresses(instances []Instance, failureDomain string) []string {
	candidates := make([]Instance, 0, len(instances))
	for _, i := range instances {
		if i.FailureDomain == failureDomain {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) < minInDomain {
		candidates = slices.Clone(instances)
	}
	slices.SortFunc(candidates, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	n := len(candidates)
	if p.Limit > 0 {
		n = min(n, p.Limit)
	}
	first, _ := slices.BinarySearchFunc(candidates, p.Instance, func(i Instance, name string) int { return cmp.Compare(i.Name, name) })
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, candidates[(first+i)%len(candidates)].Address)
	}
	return out
}
