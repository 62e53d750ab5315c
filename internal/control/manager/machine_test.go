package manager_test

// This file drives a control group and routers through random faults in
// virtual time: the real replicas, managers and agents over fake links and
// disks. It checks one owner a server, and rules that hold and never revert.

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

	"camphorspoke/internal/check/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	replicas = 3
	routers  = 5
	servers  = 6
	// inForce is the users' bound on the spread of an accepted rule file.
	inForce = 4 * time.Second
	// driftPercent is how far a router's clock may part from the others.
	driftPercent = 1
)

// checkOwners asserts at most one router admits to each server.
func (w *world) checkOwners() {
	owner := make(map[string]string)
	for _, p := range w.running() {
		for i := range servers {
			s := fmt.Sprintf("s%d", i)
			if _, ok := p.agent.Admits(s); !ok {
				continue
			}
			if owner[s] != "" {
				w.fail("%s and %s both admit to %s", owner[s], p.name, s)
			}
			owner[s] = p.name
		}
	}
}

// checkRules asserts that no serving router lacks an accepted version for
// longer than the bound, and that no router's version falls.
func (w *world) checkRules(accepted map[uint64]time.Time) {
	for _, p := range w.running() {
		fresh := p.agent.Fresh()
		v := p.agent.View().RuleVersion
		if v < p.version {
			w.fail("%s went from version %d to %d", p.name, p.version, v)
		}
		p.version = v
		if !fresh {
			continue
		}
		for version, at := range accepted {
			if v < version && time.Since(at) > inForce {
				w.fail("%s serves version %d, %s after version %d was accepted", p.name, v, time.Since(at), version)
			}
		}
	}
}

func newWorld(t require.TestingT, fail func(string, ...any), seed uint64) *world {
	w := &world{
		t:       t,
		fail:    fail,
		rnd:     rand.New(rand.NewPCG(seed, 7)),
		start:   time.Now(),
		nodes:   make(map[string]*node),
		routers: make(map[string]*routerProcess),
		cut:     make(map[[2]string]bool),
	}
	w.checker = &invariant.Checker{
		Report: func(name, detail string) { fail("invariant %s: %s", name, detail) },
	}
	for i := range servers {
		w.listed = append(w.listed, &pb.ListedServer{
			Name:    fmt.Sprintf("s%d", i),
			Service: "svc",
			Slots:   1,
		})
	}
	for i := range replicas {
		w.startNode(fmt.Sprintf("r%d", i), &memory{})
	}
	for i := range routers {
		w.startRouter(fmt.Sprintf("n%d", i))
	}
	return w
}

func (w *world) close() {
	for _, p := range w.running() {
		w.stopRouter(p.name)
	}
	for i := range replicas {
		w.stopNode(fmt.Sprintf("r%d", i))
	}
	// Messages still on their way find nobody.
	time.Sleep(10 * time.Second)
}

func ruleText(n int) []byte {
	return fmt.Appendf(nil, "service svc type=engine # test: edit %d\n", n)
}

// operator edits the rules from the version it believes in force.
func (w *world) operator(ctx context.Context, name string, note func(version uint64)) {
	c := client{
		w:    w,
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
				note(r.GetVersion())
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(1+w.random()*900) * time.Millisecond):
		}
	}
}

// TestMachineFleet checks one owner a server, and rules in force within the
// bound that never revert, under cuts, kills, loss and drift of clocks.
func TestMachineFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		acts := rapid.SliceOfN(rapid.IntRange(0, 14), 3, 10).Draw(rt, "acts")
		var failure string
		synctest.Test(t, func(*testing.T) {
			failure = runFleet(rt, seed, acts)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func runFleet(t require.TestingT, seed uint64, acts []int) (failure string) {
	var mu sync.Mutex
	w := newWorld(t, func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		if failure == "" {
			failure = fmt.Sprintf(format, args...)
		}
	}, seed)
	defer w.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	accepted := make(map[uint64]time.Time)
	var wg sync.WaitGroup
	for _, name := range []string{"op1", "op2"} {
		wg.Go(func() {
			w.operator(ctx, name, func(v uint64) {
				mu.Lock()
				defer mu.Unlock()
				if _, ok := accepted[v]; !ok {
					accepted[v] = time.Now()
				}
			})
		})
	}
	watch := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			w.checkOwners()
			mu.Lock()
			seen := make(map[uint64]time.Time, len(accepted))
			for v, at := range accepted {
				seen[v] = at
			}
			mu.Unlock()
			w.checkRules(seen)
		}
	}
	watch(5 * time.Second)
	for _, kind := range acts {
		w.act(kind)
		watch(time.Duration(w.random()*3000) * time.Millisecond)
	}
	w.mu.Lock()
	for _, timer := range w.timers {
		timer.Stop()
	}
	w.mu.Unlock()
	w.act(4)
	for i := range routers {
		name := fmt.Sprintf("n%d", i)
		w.mu.Lock()
		away := w.routers[name] == nil
		w.mu.Unlock()
		if away {
			w.startRouter(name)
		}
	}
	watch(7 * time.Second)
	cancel()
	wg.Wait()
	if len(accepted) == 0 {
		w.fail("no edit was ever accepted")
	}
	for _, p := range w.running() {
		if !p.agent.Fresh() {
			w.fail("%s is not fresh after the faults: %+v", p.name, p.agent.State())
		}
	}
	w.checkAllOwned()
	mu.Lock()
	defer mu.Unlock()
	return failure
}

// checkAllOwned asserts that each server has a router that admits to it.
func (w *world) checkAllOwned() {
	for i := range servers {
		owned := false
		for _, p := range w.running() {
			_, ok := p.agent.Admits(fmt.Sprintf("s%d", i))
			owned = owned || ok
		}
		if !owned {
			w.fail("nobody admits to s%d after the faults", i)
		}
	}
}
