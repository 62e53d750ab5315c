package placer

// This file defines the order in which instances act as decider of a service.

import (
	"cmp"
	"maps"
	"slices"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/rendezvous"
	"camphorspoke/internal/routing/view"
)

// rank returns the position of an instance among those that decide in turn: the responsive
// ones of an order, and the leader of the control group last; see Placer.deciders. It returns
// maxDeciders for all positions from there on.
func rank(order []*pb.Instance, instance, leader string, unresponsive func(string) bool) int {
	n := 0
	for _, i := range order {
		name := i.GetName()
		if name == leader || name != instance && unresponsive(name) {
			continue
		}
		if name == instance || n == maxDeciders {
			return n
		}
		n++
	}
	return min(n, maxDeciders)
}

// listedRank returns the position of an instance in an order, whoever responds; its length if it
// is not there.
func listedRank(order []*pb.Instance, instance string) int {
	i := slices.IndexFunc(order, func(i *pb.Instance) bool { return i.GetName() == instance })
	if i < 0 {
		return len(order)
	}
	return i
}

// deciderOrder returns, for each service, the instances that may decide for it, the
// first choice in front. Instances with a larger processor share come first, as all
// requests of the service pass through its decider, and instances with equal shares
// are in rendezvous order. Services are taken in the order of their names, and
// the first choice of one comes last among its equals for those after it, so that no
// instance decides for two services while others are as good.
func deciderOrder(v *view.View) map[string][]*pb.Instance {
	byName := make(map[string]*pb.Instance)
	var names []routing.Server
	for _, i := range v.Routers() {
		if i.GetLeaving() {
			continue
		}
		byName[i.GetName()] = i
		names = append(names, routing.Server{
			Name: i.GetName(),
		})
	}
	order := make(map[string][]*pb.Instance)
	services := make(map[string]int)
	for _, service := range slices.Sorted(maps.Keys(v.Rules.Services)) {
		var list []*pb.Instance
		for _, name := range (rendezvous.Picker{}).Order(service, names) {
			list = append(list, byName[name])
		}
		slices.SortStableFunc(list, func(a, b *pb.Instance) int {
			return cmp.Or(cmp.Compare(b.GetCpuMilli(), a.GetCpuMilli()), cmp.Compare(services[a.GetName()], services[b.GetName()]))
		})
		if len(list) > 0 {
			services[list[0].GetName()]++
		}
		order[service] = list
	}
	return order
}
