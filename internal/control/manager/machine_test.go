package manager_test

// This file runs a control group and routers through random faults in virtual
// time: the real replicas, managers and membership agents over simulated links
// and disks. It checks that each server has at most one owner, and that accepted
// rules reach every serving router in time and are never reverted.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/check/memorydisk"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	replicas = 3
	routers  = 5
	servers  = 6
	// maxRuleDelay is the specified bound on the time from the acceptance of a
	// rule file until no router serves an older one.
	maxRuleDelay = 4 * time.Second
	// maxDriftPercent is how much faster or slower a router's clock may run.
	maxDriftPercent = 1
)

// checkOwners fails the test if more than one router admits requests to the same
// server.
func (sim *simulation) checkOwners() {
	owner := make(map[string]string)
	for _, p := range sim.runningRouters() {
		for i := range servers {
			s := fmt.Sprintf("s%d", i)
			if _, ok := p.agent.Admits(s); !ok {
				continue
			}
			if owner[s] != "" {
				sim.fail("%s and %s both admit requests to %s", owner[s], p.name, s)
			}
			owner[s] = p.name
		}
	}
}

// checkRules fails the test if a serving router lacks an accepted version for
// longer than maxRuleDelay, or if a router's version decreases.
func (sim *simulation) checkRules(accepted map[uint64]time.Time) {
	for _, p := range sim.runningRouters() {
		fresh := p.agent.Fresh()
		v := p.agent.View().RuleVersion
		if v < p.lastVersion {
			sim.fail("rules of %s reverted from version %d to %d", p.name, p.lastVersion, v)
		}
		p.lastVersion = v
		if !fresh {
			continue
		}
		for version, at := range accepted {
			if v < version && time.Since(at) > maxRuleDelay {
				sim.fail("%s still serves rule version %d, %s after version %d was accepted", p.name, v, time.Since(at), version)
			}
		}
	}
}

// newSimulation starts a fleet of replicas and routers. It calls fail with the
// description of each violation.
func newSimulation(t require.TestingT, fail func(string, ...any), seed uint64) *simulation {
	sim := &simulation{
		t:       t,
		fail:    fail,
		rnd:     rand.New(rand.NewPCG(seed, 7)),
		start:   time.Now(),
		nodes:   make(map[string]*node),
		routers: make(map[string]*routerProcess),
		blocked: make(map[[2]string]bool),
	}
	sim.checker = &invariant.Checker{
		Report: func(name, detail string) { fail("invariant %s: %s", name, detail) },
	}
	for i := range servers {
		sim.listed = append(sim.listed, &pb.ListedServer{
			Name:    fmt.Sprintf("s%d", i),
			Service: "svc",
			Slots:   1,
		})
	}
	for i := range replicas {
		sim.startNode(fmt.Sprintf("r%d", i), &memorydisk.Disk{})
	}
	for i := range routers {
		sim.startRouter(fmt.Sprintf("n%d", i))
	}
	return sim
}

func (sim *simulation) close() {
	for _, p := range sim.runningRouters() {
		sim.stopRouter(p.name)
	}
	for i := range replicas {
		sim.stopNode(fmt.Sprintf("r%d", i))
	}
	// Wait until the timers of delayed messages have fired. The messages are dropped,
	// as their receivers have stopped.
	time.Sleep(10 * time.Second)
}

func ruleText(n int) []byte {
	return fmt.Appendf(nil, "service svc type=engine # test: edit %d\n", n)
}

// runOperator edits the rules repeatedly, based on the version that a query
// returned, and calls onAccepted with each version that was accepted.
func (sim *simulation) runOperator(ctx context.Context, name string, onAccepted func(version uint64)) {
	c := client{
		sim:  sim,
		from: name,
	}
	for n := 0; ctx.Err() == nil; n++ {
		q, err := c.Query(ctx, &pb.QueryRequest{
			Rules: true,
		})
		if err == nil {
			text := fmt.Appendf(ruleText(n), "# %s\n", name)
			r, err := c.ApplyRules(ctx, &pb.ApplyRulesRequest{
				BaseVersion: q.GetRuleVersion(),
				Content:     text,
			})
			if err == nil {
				onAccepted(r.GetVersion())
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(1+sim.random()*900) * time.Millisecond):
		}
	}
}

// TestMachineFleet checks that each server has at most one owner, and that
// accepted rules reach the routers within maxRuleDelay and are never reverted,
// under network partitions, restarts, message loss and clock drift.
func TestMachineFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := rapid.SliceOfN(rapid.IntRange(0, 14), 3, 10).Draw(rt, "faults")
		var failure string
		synctest.Test(t, func(*testing.T) {
			failure = runFleet(rt, seed, faults)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runFleet runs a fleet through the given faults, then ends them and checks that
// it recovers. It returns the first violation, or an empty string.
func runFleet(t require.TestingT, seed uint64, faults []int) (failure string) {
	var mu sync.Mutex
	sim := newSimulation(t, func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		if failure == "" {
			failure = fmt.Sprintf(format, args...)
		}
	}, seed)
	defer sim.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	accepted := make(map[uint64]time.Time)
	var wg sync.WaitGroup
	for _, name := range []string{"op1", "op2"} {
		wg.Go(func() {
			sim.runOperator(ctx, name, func(v uint64) {
				mu.Lock()
				defer mu.Unlock()
				if _, ok := accepted[v]; !ok {
					accepted[v] = time.Now()
				}
			})
		})
	}
	checkFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			sim.checkOwners()
			mu.Lock()
			acceptedSoFar := make(map[uint64]time.Time, len(accepted))
			for v, at := range accepted {
				acceptedSoFar[v] = at
			}
			mu.Unlock()
			sim.checkRules(acceptedSoFar)
		}
	}
	checkFor(5 * time.Second)
	for _, kind := range faults {
		sim.injectFault(kind)
		checkFor(time.Duration(sim.random()*3000) * time.Millisecond)
	}
	sim.stopScheduling()
	sim.injectFault(4)
	for i := range routers {
		name := fmt.Sprintf("n%d", i)
		sim.mu.Lock()
		stopped := sim.routers[name] == nil
		sim.mu.Unlock()
		if stopped {
			sim.startRouter(name)
		}
	}
	checkFor(7 * time.Second)
	cancel()
	wg.Wait()
	if len(accepted) == 0 {
		sim.fail("no rule edit was accepted during the run")
	}
	for _, p := range sim.runningRouters() {
		if !p.agent.Fresh() {
			sim.fail("rules of %s are not confirmed as current after the faults ended: %+v", p.name, p.agent.State())
		}
	}
	sim.checkAllOwned()
	mu.Lock()
	defer mu.Unlock()
	return failure
}

// checkAllOwned fails the test if there is a server to which no router admits
// requests.
func (sim *simulation) checkAllOwned() {
	for i := range servers {
		owned := false
		for _, p := range sim.runningRouters() {
			_, ok := p.agent.Admits(fmt.Sprintf("s%d", i))
			owned = owned || ok
		}
		if !owned {
			sim.fail("no router admits requests to s%d after the faults ended", i)
		}
	}
}
