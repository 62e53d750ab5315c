package manager_test

// This file defines the faults that can be injected into the simulated fleet.

import (
	"context"
	"fmt"
	"time"

	"camphorspoke/internal/control/raftlog"
)

// injectFault injects a fault of the given kind into a random router or replica,
// or into all links. Kind 4 ends all network faults instead.
func (sim *simulation) injectFault(kind int) {
	sim.mu.Lock()
	routerName, replicaName := fmt.Sprintf("n%d", sim.rnd.IntN(routers)), fmt.Sprintf("r%d", sim.rnd.IntN(replicas))
	sim.mu.Unlock()
	switch kind {
	case 0, 1:
		sim.isolate(routerName, kind == 1)
	case 2:
		sim.isolate(replicaName, false)
	case 3:
		sim.isolate(replicaName, true)
	case 4:
		sim.mu.Lock()
		clear(sim.blocked)
		sim.lossRate, sim.slowdown = 0, 0
		sim.mu.Unlock()
	case 5:
		if n := sim.stopNode(replicaName); n != nil {
			sim.startNode(replicaName, n.disk)
		}
	case 6:
		sim.stopRouter(routerName)
		sim.startRouter(routerName)
	case 7:
		sim.stopRouter(routerName)
	case 8:
		sim.mu.Lock()
		sim.lossRate = 0.2
		sim.mu.Unlock()
	case 9:
		sim.transferLeadership(replicaName)
	case 10:
		// A router receives nothing from the replicas, while they receive its
		// messages and the other routers are not affected.
		sim.mu.Lock()
		for i := range replicas {
			sim.blocked[[2]string{fmt.Sprintf("r%d", i), routerName}] = true
		}
		sim.mu.Unlock()
	case 11:
		// A replica, perhaps the leader, is cut off from the other replicas but
		// not from the routers.
		sim.mu.Lock()
		for i := range replicas {
			o := fmt.Sprintf("r%d", i)
			sim.blocked[[2]string{replicaName, o}], sim.blocked[[2]string{o, replicaName}] = true, true
		}
		sim.mu.Unlock()
	case 12:
		// A router is cut off for about the length of its lease, then reconnected.
		sim.isolate(routerName, false)
		for range 5 {
			sim.schedule(time.Duration(2000+500*sim.random())*time.Millisecond, func() { sim.injectFault(4) })
		}
	case 13:
		sim.mu.Lock()
		sim.slowdown = 60
		sim.mu.Unlock()
	case 14:
		// All links slow down, which delays replies, and a second later a router
		// is cut off.
		sim.mu.Lock()
		sim.slowdown = 60
		sim.mu.Unlock()
		sim.schedule(time.Second, func() { sim.isolate(routerName, false) })
	}
}

// schedule calls f after d, unless stopScheduling is called before.
func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.timers = append(sim.timers, time.AfterFunc(d, func() { sim.runScheduled(f) }))
}

// runScheduled calls f unless scheduling has stopped. A timer that has fired can
// still call it at the moment when stopScheduling stops the timers.
func (sim *simulation) runScheduled(f func()) {
	sim.scheduled.Lock()
	defer sim.scheduled.Unlock()
	if !sim.schedulingStopped {
		f()
	}
}

// stopScheduling makes sure that no scheduled fault starts or is in progress when
// it returns.
func (sim *simulation) stopScheduling() {
	sim.mu.Lock()
	for _, timer := range sim.timers {
		timer.Stop()
	}
	sim.mu.Unlock()
	sim.scheduled.Lock()
	defer sim.scheduled.Unlock()
	sim.schedulingStopped = true
}

// isolate cuts one process off from all others. If oneWay is set, it can still
// send but no longer receives.
func (sim *simulation) isolate(name string, oneWay bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i := range max(replicas, routers) {
		for _, o := range []string{fmt.Sprintf("r%d", i), fmt.Sprintf("n%d", i)} {
			sim.blocked[[2]string{o, name}] = true
			if !oneWay {
				sim.blocked[[2]string{name, o}] = true
			}
		}
	}
}

// transferLeadership makes the named replica transfer its leadership, if it leads.
func (sim *simulation) transferLeadership(name string) {
	n := sim.node(name)
	if n == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = n.replica.CallNode(ctx, func(n *raftlog.Node, now time.Duration) error { return n.Transfer(now) })
}
