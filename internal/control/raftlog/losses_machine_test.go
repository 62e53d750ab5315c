package raftlog

// This file loses disks at any moment of a repair, in virtual time.

import (
	"testing"

	"pgregory.net/rapid"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// TestMachineLossesDuringRepair replaces voters that are silent or have lost their disks, and at a
// random moment takes as many further disks as the leader states that the group bears, and the
// power of all. It guards against a step of a repair after which the group bears less than is
// stated, or less than it must while no disk is lost.
func TestMachineLossesDuringRepair(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shape := rapid.SampledFrom([][2]int{{4, 3}, {6, 5}, {7, 5}}).Draw(rt, "members and voters")
		g := newGroupWithStandby(rt, shape[0], shape[1])
		g.run(60)
		diskLost := false
		for _, name := range g.names[:rapid.IntRange(0, 2).Draw(rt, "faults")] {
			m := g.members[name]
			if rapid.Bool().Draw(rt, "lost") {
				diskLost = true
				g.loseDisk(m)
			} else {
				m.node = nil
			}
		}
		last := int(voterReplaceTimeout/stepTime) + 120
		first := rapid.SampledFrom([]int{0, last - 200}).Draw(rt, "first")
		for range rapid.IntRange(first, last).Draw(rt, "steps") {
			g.run(1)
			l := g.leader()
			if l != nil && !diskLost && len(l.node.voters()) < shape[1] {
				rt.Fatalf("%d voters are left although no disk is lost", len(l.node.voters()))
			}
		}
		g.loseBorneDisks(rt)
		g.requireProgress(rt)
	})
}

// run makes steps without faults, in which repairs are proposed and, in some of them, commands.
func (g *group) run(steps int) {
	for range steps {
		g.step(0)
		g.repair()
		if g.rnd.IntN(10) == 0 {
			g.propose()
		}
	}
}

// loseBorneDisks takes the disks of as many voters as the leader states that the group bears, less
// those that are lost and that it does not know of yet, and restarts all members.
func (g *group) loseBorneDisks(t *rapid.T) {
	l := g.leader()
	if l == nil {
		t.Skip("no leader at the moment of the losses")
	}
	borne := l.node.LossesBorne()
	var voters []*pb.RaftMember
	for _, v := range l.node.voters() {
		if g.members[v.GetName()].disk.identity == v.GetIdentity() {
			voters = append(voters, v)
		} else if !l.node.lostDisk(v) {
			borne--
		}
	}
	g.rnd.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	g.inFlight = nil
	for _, name := range g.names {
		g.start(g.members[name])
	}
	for _, v := range voters[:max(borne, 0)] {
		g.loseDisk(g.members[v.GetName()])
	}
}

// requireProgress fails the test unless a leader is elected that has every committed entry and
// commits new ones.
func (g *group) requireProgress(t *rapid.T) {
	before := uint64(len(g.committed))
	for range 2 * recoverySteps {
		g.run(1)
		if l := g.leader(); l != nil && l.node.LeaseValid(g.clock(l)) && l.node.Commit() > before+3 {
			return
		}
	}
	t.Fatalf("no leader commits new entries after the losses; %d entries were committed before", before)
}
