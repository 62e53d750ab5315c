package raftlog

// This file drives a group of nodes through random losses, cuts, kills, lost
// disks and transfers in virtual time, and checks what must always hold.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/check/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
	stepTime      = 5 * time.Millisecond
	// recoverSteps is how long a whole group may take to commit again.
	recoverSteps = 400
)

// disk is what survives a kill: only what was synced.
type disk struct {
	identity uint64
	stored   Stored
}

func (d *disk) save(r *Ready) {
	if r.HardState != nil {
		d.stored.HardState = r.HardState
	}
	if r.Snapshot != nil {
		d.stored.Snapshot, d.stored.Entries = r.Snapshot, nil
	}
	for _, e := range r.Entries {
		for i, old := range d.stored.Entries {
			if old.GetIndex() >= e.GetIndex() {
				d.stored.Entries = d.stored.Entries[:i:i]
				break
			}
		}
		d.stored.Entries = append(d.stored.Entries, e)
	}
}

type member struct {
	name string
	node *Node
	disk *disk
	// rate makes the member's clock drift against the others.
	rate float64
}

type group struct {
	t         *rapid.T
	now       time.Duration
	rnd       *rand.Rand
	members   map[string]*member
	names     []string
	wire      []*pb.RaftMessage
	cut       map[[2]string]bool
	committed map[uint64]*pb.RaftEntry
	leaders   map[uint64]string
	checker   *invariant.Checker
	proposals int
	// crash is the chance of a kill around a sync.
	crash float64
	next  uint64
}

func newGroup(t *rapid.T, size int) *group {
	g := &group{
		t:         t,
		rnd:       rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		members:   make(map[string]*member),
		cut:       make(map[[2]string]bool),
		committed: make(map[uint64]*pb.RaftEntry),
		leaders:   make(map[uint64]string),
	}
	g.checker = &invariant.Checker{
		Report: func(name, detail string) { t.Fatalf("invariant %s: %s", name, detail) },
	}
	first := &pb.RaftMembers{}
	for i := range size {
		name := fmt.Sprintf("r%d", i)
		g.names = append(g.names, name)
		g.next++
		g.members[name] = &member{
			name: name,
			disk: &disk{
				identity: g.next,
			},
			rate: 1 + float64(g.rnd.IntN(2*MaxDriftPercent+1)-MaxDriftPercent)/200,
		}
		first.Members = append(first.Members, &pb.RaftMember{
			Name:     name,
			Identity: g.next,
		})
	}
	e, err := BootstrapEntry(first)
	require.NoError(t, err)
	g.members["r0"].disk.stored = Stored{
		HardState: &pb.RaftHardState{
			Term: 1,
		},
		Entries: []*pb.RaftEntry{e},
	}
	for _, name := range g.names {
		g.start(g.members[name])
	}
	return g
}

func (g *group) clock(m *member) time.Duration { return time.Duration(float64(g.now) * m.rate) }

func (g *group) start(m *member) {
	m.node = New(Config{
		Name:      m.name,
		Identity:  m.disk.identity,
		Election:  testElection,
		Heartbeat: testHeartbeat,
		Rand:      rand.New(rand.NewPCG(g.rnd.Uint64(), 2)),
		Checker:   g.checker,
	}, m.disk.stored, g.clock(m))
}

// work carries out a node's Ready. A kill may fall before or after the sync.
func (g *group) work(m *member) {
	for m.node != nil {
		r := m.node.Ready()
		if r.Empty() {
			return
		}
		if g.crashes(m) {
			return
		}
		m.disk.save(&r)
		m.node.Synced(g.clock(m))
		if g.crashes(m) {
			return
		}
		g.wire = append(g.wire, r.Messages...)
		for _, e := range r.Committed {
			g.commit(m, e)
		}
	}
}

// crashes kills a member now and then: before a sync, which loses what was not
// synced, or after it, before anything was sent.
func (g *group) crashes(m *member) bool {
	if g.rnd.Float64() >= g.crash {
		return false
	}
	m.node = nil
	return true
}

func (g *group) commit(m *member, e *pb.RaftEntry) {
	old := g.committed[e.GetIndex()]
	if old == nil {
		g.committed[e.GetIndex()] = e
		return
	}
	if old.GetTerm() != e.GetTerm() || string(old.GetData()) != string(e.GetData()) {
		g.t.Fatalf("%s committed another entry at %d: term %d after term %d", m.name, e.GetIndex(), e.GetTerm(), old.GetTerm())
	}
}

// step lets a moment pass: some messages arrive, some are lost or repeated.
func (g *group) step(loss float64) {
	g.now += stepTime
	for _, name := range g.names {
		m := g.members[name]
		if m.node == nil {
			continue
		}
		m.node.Tick(g.clock(m))
		g.work(m)
	}
	arriving := g.wire
	g.wire = nil
	g.rnd.Shuffle(len(arriving), func(i, j int) { arriving[i], arriving[j] = arriving[j], arriving[i] })
	for _, msg := range arriving {
		switch {
		case g.cut[[2]string{msg.GetFrom(), msg.GetTo()}] || g.rnd.Float64() < loss:
			continue
		case loss > 0 && g.rnd.Float64() < 0.1:
			g.wire = append(g.wire, msg)
			continue
		case loss > 0 && g.rnd.Float64() < 0.05:
			g.wire = append(g.wire, msg)
		}
		if m := g.members[msg.GetTo()]; m != nil && m.node != nil {
			m.node.Step(g.clock(m), msg)
			g.work(m)
		}
	}
	g.check()
}

// check asserts one leader a term and one lease at a time.
func (g *group) check() {
	holder := ""
	for _, name := range g.names {
		m := g.members[name]
		if m.node == nil || !m.node.IsLeader() {
			continue
		}
		if other := g.leaders[m.node.Term()]; other != "" && other != name {
			g.t.Fatalf("%s and %s lead term %d", other, name, m.node.Term())
		}
		g.leaders[m.node.Term()] = name
		if !m.node.LeaseValid(g.clock(m)) {
			continue
		}
		if holder != "" {
			g.t.Fatalf("%s and %s hold a leader lease at once", holder, name)
		}
		holder = name
	}
}

func (g *group) leader() *member {
	var best *member
	for _, name := range g.names {
		m := g.members[name]
		if m.node != nil && m.node.IsLeader() && (best == nil || m.node.Term() > best.node.Term()) {
			best = m
		}
	}
	return best
}

func (g *group) propose() {
	if m := g.leader(); m != nil {
		g.proposals++
		_, _, _ = m.node.Propose(g.clock(m), fmt.Appendf(nil, "p%d", g.proposals))
		g.work(m)
	}
}

// repair does what a driver does on a timer, and snapshots now and then.
func (g *group) repair() {
	m := g.leader()
	if m == nil {
		return
	}
	if next := m.node.NextRepair(g.clock(m)); next != nil {
		_ = m.node.ProposeMembers(g.clock(m), next)
		g.work(m)
	}
}

func (g *group) snapshot(m *member) {
	index := m.node.Applied()
	if index == 0 || m.node.TermAt(index) == 0 {
		return
	}
	s := &pb.RaftSnapshot{
		Index:   index,
		Term:    m.node.TermAt(index),
		Members: m.node.MembersAt(index),
	}
	m.node.Compact(s, 2)
	m.disk.stored.Snapshot = s
	m.disk.stored.Entries = m.node.Retained()
}

// whole reports whether every member runs, votes under its present identity,
// and nothing that a lost disk needs is still under way.
func (g *group) whole() bool {
	l := g.leader()
	if l == nil || len(l.node.voters()) != len(g.names) {
		return false
	}
	for _, name := range g.names {
		m := g.members[name]
		if m.node == nil || m.node.Commit() < l.node.Commit() || !m.node.isVoter() {
			return false
		}
		if v := l.node.member(name); v.GetIdentity() != m.disk.identity {
			return false
		}
	}
	return true
}

// act does one random thing. Disks are lost one at a time, and only from a
// whole group: losing a quorum of disks loses data in any design.
func (g *group) act(kind int) {
	m := g.members[g.names[g.rnd.IntN(len(g.names))]]
	switch kind {
	case 0:
		m.node = nil
	case 1:
		if m.node == nil {
			g.start(m)
		}
	case 2:
		if g.whole() {
			g.next++
			m.disk = &disk{
				identity: g.next,
			}
			g.start(m)
		}
	case 3:
		other := g.names[g.rnd.IntN(len(g.names))]
		g.cut[[2]string{m.name, other}] = true
		if g.rnd.IntN(2) == 0 {
			g.cut[[2]string{other, m.name}] = true
		}
	case 4:
		clear(g.cut)
	case 5:
		if m.node != nil && m.node.IsLeader() {
			_ = m.node.Transfer(g.clock(m))
			g.work(m)
		}
	case 6:
		if m.node != nil {
			g.snapshot(m)
		}
	case 7:
		g.isolate(g.leader())
	case 8:
		// A restart that takes no time forgets what was not synced.
		g.start(m)
	case 9:
		// A leader hands over and is cut off before it hears of its successor.
		if l := g.leader(); l != nil && l.node.Transfer(g.clock(l)) == nil {
			g.work(l)
			g.step(0)
			g.isolate(l)
		}
	case 10:
		// A follower hears the leader no more while another still does, and
		// the other restarts.
		if l := g.leader(); l != nil && m != l {
			g.cut[[2]string{l.name, m.name}] = true
			for range 15 + g.rnd.IntN(25) {
				g.step(0)
			}
			for _, o := range g.members {
				if o != l && o != m && o.node != nil {
					g.start(o)
				}
			}
		}
	case 11:
		// All processes are killed at the same moment and are back at once, a few
		// of them later.
		for _, name := range g.names {
			g.start(g.members[name])
			if g.rnd.IntN(4) == 0 {
				g.members[name].node = nil
			}
		}
	case 12:
		// The leader restarts, and at times its successor too, while one member
		// still hears nothing of it.
		for range 1 + g.rnd.IntN(3) {
			if l := g.leader(); l != nil {
				g.cut[[2]string{l.name, m.name}] = true
				g.start(l)
			}
			for range g.rnd.IntN(30) {
				g.step(0)
			}
		}
	}
}

// isolate cuts a leader off in both directions; it goes on believing.
func (g *group) isolate(l *member) {
	if l == nil {
		return
	}
	for _, o := range g.names {
		g.cut[[2]string{l.name, o}], g.cut[[2]string{o, l.name}] = true, true
	}
}

// TestMachineGroup checks safety under every fault, and that a group whose
// faults have ended commits again with every committed entry kept.
func TestMachineGroup(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newGroup(rt, rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "size"))
		loss := rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss")
		for range 60 {
			g.step(0)
		}
		g.crash = rapid.SampledFrom([]float64{0, 0.002, 0.01}).Draw(rt, "crash")
		for _, kind := range rapid.SliceOfN(rapid.IntRange(0, 14), 5, 25).Draw(rt, "acts") {
			g.act(kind)
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
		g.heal(rt)
	})
}

// heal ends all faults and requires progress.
func (g *group) heal(t *rapid.T) {
	clear(g.cut)
	g.crash = 0
	for _, name := range g.names {
		if m := g.members[name]; m.node == nil {
			g.start(m)
		}
	}
	before := len(g.committed)
	for i := range recoverSteps * 2 {
		g.step(0)
		if i%20 == 0 {
			g.propose()
			g.repair()
		}
		if g.whole() && len(g.committed) > before+3 {
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
	t.Fatalf("the group does not recover: %d committed, %d before\n%s", len(g.committed), before, state)
}

// TestFormerLeaderIsBackAtOnce: after a restart of every process the former
// leader leads again in a fraction of an election timeout; without its disk the
// others take their time.
func TestFormerLeaderIsBackAtOnce(t *testing.T) {
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

// TestOthersStaySilent: a replica that has backed the lease of one leader grants
// no vote to another one right after a restart.
func TestOthersStaySilent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newGroup(rt, 3)
		for range 200 {
			g.step(0)
			g.propose()
		}
		former := g.leader()
		require.NotNil(rt, former)
		var first *member
		for _, name := range g.names {
			if m := g.members[name]; m != former {
				g.start(m)
				first = m
			}
		}
		first.node.electionAt = 0
		g.isolate(former)
		for range int(testElection*(100-2*MaxDriftPercent)/100/stepTime) - 1 {
			g.step(0)
			require.Equal(rt, former, g.leader())
		}
	})
}
