// Package directory chooses the instances whose addresses a caller is given.
//
// Load patterns that it handles:
//
//   - Little load for the instances of a failure domain: with requests spread over all
//     of them, an instance seldom meets a backend server twice while a connection to it
//     is kept, so most requests open a new one. An answer therefore names a working set
//     that is sized by the load (package workingset), and the same for all callers of
//     the domain.
//   - A working set with more instances than fit into one answer: its instances form a
//     ring in the order of their names, and an answer names those that follow the
//     answering instance on it, so that each is in the answers of equally many others.
package directory

// This file defines Picker.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphorspoke/internal/routing/workingset"
)

// minInDomain is the smallest number of usable instances of a failure domain for which
// its callers get no others: a single one that fails would leave them none.
const minInDomain = 2

// Instance is an instance that accepts callers.
type Instance struct {
	Name          string
	FailureDomain string
	Address       string
	// CPUMilli is its processor share in thousandths of a core; zero if unknown.
	CPUMilli uint32
}

// Picker chooses the addresses in the answers of one instance.
type Picker struct {
	// Instance is the name of the answering instance, which need not be among the
	// instances to choose from.
	Instance string
	// Limit is the maximum number of addresses in an answer; zero means no limit.
	Limit int
	// Wanted is the size of the working set of the failure domain; zero means that it
	// is unknown, and all instances are in the set.
	Wanted int
}

// Addresses returns the addresses for the callers of a failure domain: those of its
// working set, or of all instances if the domain has fewer than two.
func (p Picker) Addresses(instances []Instance, failureDomain string) []string {
	set := p.workingSet(instances, failureDomain)
	slices.SortFunc(set, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	n := len(set)
	if p.Limit > 0 {
		n = min(n, p.Limit)
	}
	first, _ := slices.BinarySearchFunc(set, p.Instance, func(i Instance, name string) int { return cmp.Compare(i.Name, name) })
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, set[(first+i)%len(set)].Address)
	}
	return out
}

// workingSet returns the instances that serve the callers of a failure domain. Those
// with a larger processor share than others are taken last, as they also decide for
// services; among equals the order is by a hash, so that the loss of an instance
// changes the set by one.
func (p Picker) workingSet(instances []Instance, failureDomain string) []Instance {
	var set []Instance
	for _, i := range instances {
		if i.FailureDomain == failureDomain {
			set = append(set, i)
		}
	}
	if len(set) < minInDomain {
		return slices.Clone(instances)
	}
	if p.Wanted == 0 || len(set) <= workingset.MinSize {
		return set
	}
	slices.SortFunc(set, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.CPUMilli, b.CPUMilli), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	return set[:min(len(set), max(p.Wanted, workingset.MinSize))]
}
