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

// ranks returns the position of an instance in the order of the deciders of each service, in
// which the leader of the control group comes last; see Placer.deciders.
func ranks(order map[string][]*pb.Instance, instance, leader string) map[string]int {
	out := make(map[string]int, len(order))
	for service, list := range order {
		out[service] = rankIn(list, instance, leader)
	}
	return out
}

// rankIn returns the position of an instance in one order; its length if it is not there.
func rankIn(list []*pb.Instance, instance, leader string) int {
	rank := slices.IndexFunc(list, func(i *pb.Instance) bool { return i.GetName() == instance })
	led := slices.IndexFunc(list, func(i *pb.Instance) bool { return i.GetName() == leader })
	switch {
	case rank < 0:
		return len(list)
	case rank == led:
		return len(list) - 1
	case led >= 0 && led < rank:
		return rank - 1
	default:
		return rank
	}
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
