package raftlog

// This file runs groups of nodes in virtual time under random faults, and checks the invariants of the
// protocol.

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMachineGroup checks that the invariants hold under every fault, and that a
// group whose faults have ended commits new entries again and has kept every
// committed entry.
func TestMachineGroup(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newGroup(rt, rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "size"))
		loss := rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss")
		for range 60 {
			g.step(0)
		}
		g.crashProbability = rapid.SampledFrom([]float64{0, 0.002, 0.01}).Draw(rt, "crash")
		for _, kind := range rapid.SliceOfN(rapid.IntRange(0, 14), 5, 25).Draw(rt, "events") {
			g.applyEvent(kind)
			for range g.rnd.IntN(1 + 40*g.rnd.IntN(2)) {
				g.step(loss)
				if g.rnd.IntN(3) == 0 {
					g.propose()
				}
				if g.rnd.IntN(10) == 0 {
					g.repair()
				}
			}
		}
		g.requireRecovery(rt)
	})
}

// requireRecovery ends all faults and fails the test unless every member becomes
// healthy and new entries are committed within 2*recoverySteps steps.
func (g *group) requireRecovery(t *rapid.T) {
	clear(g.cut)
	g.crashProbability = 0
	for _, name := range g.names {
		if m := g.members[name]; m.node == nil {
			g.start(m)
		}
	}
	before := len(g.committed)
	for i := range recoverySteps * 2 {
		g.step(0)
		if i%20 == 0 {
			g.propose()
			g.repair()
		}
		if g.fullyHealthy() && len(g.committed) > before+3 {
			return
		}
	}
	l := g.leader()
	state := ""
	for _, name := range g.names {
		n := g.members[name].node
		state += fmt.Sprintf("%s %s term %d commit %d last %d first %d voter %t id %d\n", name, n.Role(), n.Term(), n.Commit(), n.LastIndex(), n.FirstIndex(), n.isVoter(), g.members[name].disk.identity)
	}
	if l != nil {
		state += fmt.Sprint(l.node.Members().GetMembers())
	}
	t.Fatalf("the group did not recover: %d entries are committed, %d were before the faults ended\n%s", len(g.committed), before, state)
}

// TestFormerLeaderReelectedAfterRestart checks that, after a restart of every
// process, the former leader leads again and holds a lease within half an
// election timeout. If it had to wait as any other replica does, every restart
// of the whole group would cost at least an election timeout without a leader,
// as it does when the former leader has lost its disk.
func TestFormerLeaderReelectedAfterRestart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newGroup(rt, rapid.SampledFrom([]int{3, 5}).Draw(rt, "size"))
		for range 200 {
			g.step(0)
			g.propose()
		}
		former := g.leader()
		require.NotNil(rt, former)
		for _, name := range g.names {
			g.start(g.members[name])
		}
		for range int(testElection / 2 / stepTime) {
			g.step(0)
		}
		require.Equal(rt, former, g.leader())
		require.True(rt, former.node.LeaseValid(g.clock(former)))
	})
}

// TestNoVoteForOthersAfterRestart checks that a replica which contributed to the
// lease of a leader grants no vote to another replica right after a restart, when
// it has lost the time of the leader's last message. Otherwise a second leader
// could be elected while the first, which is partitioned, still holds its lease.
func TestNoVoteForOthersAfterRestart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newGroup(rt, 3)
		for range 200 {
			g.step(0)
			g.propose()
		}
		former := g.leader()
		require.NotNil(rt, former)
		var challenger *member
		for _, name := range g.names {
			if m := g.members[name]; m != former {
				g.start(m)
				challenger = m
			}
		}
		challenger.node.electionDeadline = 0
		g.isolate(former)
		for range int(testElection*(100-2*MaxDriftPercent)/100/stepTime) - 1 {
			g.step(0)
			require.Equal(rt, former, g.leader())
		}
	})
}
