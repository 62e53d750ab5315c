package raftlog

// This file defines a group of nodes in virtual time, with random message losses, network partitions,
// crashes, disk losses and leadership transfers.

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/base/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
	stepTime      = 5 * time.Millisecond
	// recoverySteps is half the number of steps within which a group must commit
	// again after its faults have ended.
	recoverySteps = 400
)

// disk holds the synced state of a member, which survives a crash.
type disk struct {
	identity uint64
	stored   Stored
}

// save stores the parts of a Ready that a driver syncs.
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
	// clockRate is the speed of the member's clock; 1 is the speed of group.now.
	clockRate float64
}

type group struct {
	t        *rapid.T
	now      time.Duration
	rnd      *rand.Rand
	members  map[string]*member
	names    []string
	inFlight []*pb.RaftMessage
	// cut holds the links, as sender and receiver, that drop every message.
	cut map[[2]string]bool
	// committed holds the first entry that any member committed at each index.
	committed map[uint64]*pb.RaftEntry
	// leaders holds the leader of each term.
	leaders   map[uint64]string
	checker   *invariant.Checker
	proposals int
	// crashProbability is the probability of a crash before each sync, and again
	// after it.
	crashProbability float64
	// lastIdentity is the disk identity that was assigned last.
	lastIdentity uint64
	// voters is Config.Voters of the members.
	voters int
}

// newGroup starts a group in which only r0 has the bootstrap entry. The clocks of
// the members drift apart by at most MaxDriftPercent.
func newGroup(t *rapid.T, size int) *group { return newGroupWithStandby(t, size, 0) }

// newGroupWithStandby is like newGroup, but if voters is above zero only that many members vote
// at first, and as many are to vote.
func newGroupWithStandby(t *rapid.T, size, voters int) *group {
	g := &group{
		voters:    voters,
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
	initial := &pb.RaftMembers{}
	for i := range size {
		name := fmt.Sprintf("r%d", i)
		g.names = append(g.names, name)
		g.lastIdentity++
		g.members[name] = &member{
			name: name,
			disk: &disk{
				identity: g.lastIdentity,
			},
			clockRate: 1 + float64(g.rnd.IntN(2*MaxDriftPercent+1)-MaxDriftPercent)/200,
		}
		initial.Members = append(initial.Members, &pb.RaftMember{
			Name:     name,
			Identity: g.lastIdentity,
			Learner:  voters > 0 && i >= voters,
		})
	}
	e, err := BootstrapEntry(initial)
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

// clock returns the time by the member's own clock.
func (g *group) clock(m *member) time.Duration { return time.Duration(float64(g.now) * m.clockRate) }

// start starts or restarts a member from its disk.
func (g *group) start(m *member) {
	m.node = New(Config{
		Name:      m.name,
		Identity:  m.disk.identity,
		Election:  testElection,
		Heartbeat: testHeartbeat,
		Voters:    g.voters,
		Rand:      rand.New(rand.NewPCG(g.rnd.Uint64(), 2)),
		Checker:   g.checker,
	}, m.disk.stored, g.clock(m))
}

// processReady carries out a node's Ready until there is no more work, or until
// the node crashes.
func (g *group) processReady(m *member) {
	for m.node != nil {
		r := m.node.Ready()
		if r.Empty() {
			return
		}
		if g.maybeCrash(m) {
			return
		}
		m.disk.save(&r)
		m.node.Synced(g.clock(m))
		if g.maybeCrash(m) {
			return
		}
		g.inFlight = append(g.inFlight, r.Messages...)
		for _, e := range r.Committed {
			g.commit(m, e)
		}
	}
}

// maybeCrash crashes the member with crashProbability. A crash before a sync
// loses what was not synced; one after it prevents the messages from being sent.
func (g *group) maybeCrash(m *member) bool {
	if g.rnd.Float64() >= g.crashProbability {
		return false
	}
	m.node = nil
	return true
}

// commit fails the test if another member committed a different entry at the
// same index.
func (g *group) commit(m *member, e *pb.RaftEntry) {
	old := g.committed[e.GetIndex()]
	if old == nil {
		g.committed[e.GetIndex()] = e
		return
	}
	if old.GetTerm() != e.GetTerm() || string(old.GetData()) != string(e.GetData()) {
		g.t.Fatalf("%s and another member committed different entries at index %d, of terms %d and %d", m.name, e.GetIndex(), e.GetTerm(), old.GetTerm())
	}
}

// step advances the time by stepTime and delivers the messages in flight in
// random order. With a loss above zero, some are lost, delayed or duplicated.
func (g *group) step(loss float64) {
	g.now += stepTime
	for _, name := range g.names {
		m := g.members[name]
		if m.node == nil {
			continue
		}
		m.node.Tick(g.clock(m))
		g.processReady(m)
	}
	arriving := g.inFlight
	g.inFlight = nil
	g.rnd.Shuffle(len(arriving), func(i, j int) { arriving[i], arriving[j] = arriving[j], arriving[i] })
	for _, msg := range arriving {
		switch {
		case g.cut[[2]string{msg.GetFrom(), msg.GetTo()}] || g.rnd.Float64() < loss:
			continue
		case loss > 0 && g.rnd.Float64() < 0.1:
			g.inFlight = append(g.inFlight, msg)
			continue
		case loss > 0 && g.rnd.Float64() < 0.05:
			g.inFlight = append(g.inFlight, msg)
		}
		if m := g.members[msg.GetTo()]; m != nil && m.node != nil {
			m.node.Step(g.clock(m), msg)
			g.processReady(m)
		}
	}
	g.check()
}

// check fails the test if a term has two leaders or two leaders hold a lease at
// the same time.
func (g *group) check() {
	holder := ""
	for _, name := range g.names {
		m := g.members[name]
		if m.node == nil || !m.node.IsLeader() {
			continue
		}
		if other := g.leaders[m.node.Term()]; other != "" && other != name {
			g.t.Fatalf("%s and %s are both leaders of term %d", other, name, m.node.Term())
		}
		g.leaders[m.node.Term()] = name
		if !m.node.LeaseValid(g.clock(m)) {
			continue
		}
		if holder != "" {
			g.t.Fatalf("%s and %s hold a leader lease at the same time", holder, name)
		}
		holder = name
	}
}

// leader returns the running leader of the highest term, or nil.
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

// propose proposes a new command at the leader, if there is one.
func (g *group) propose() {
	if m := g.leader(); m != nil {
		g.proposals++
		_, _, _ = m.node.Propose(g.clock(m), fmt.Appendf(nil, "p%d", g.proposals))
		g.processReady(m)
	}
}

// repair proposes the next step of a membership repair, as a driver does on a
// timer.
func (g *group) repair() {
	m := g.leader()
	if m == nil {
		return
	}
	if next := m.node.NextRepair(g.clock(m)); next != nil {
		_ = m.node.ProposeMembers(g.clock(m), next)
		g.processReady(m)
	}
}

// snapshot compacts the log of a member, as a driver does from time to time.
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

// fullyHealthy reports whether every member runs, is a voter under the present
// identity of its disk, and has the commit index of the leader, so that no
// recovery from a lost disk is in progress.
func (g *group) fullyHealthy() bool {
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

// loseDisk restarts a member with an empty disk.
func (g *group) loseDisk(m *member) {
	g.lastIdentity++
	m.disk = &disk{
		identity: g.lastIdentity,
	}
	g.start(m)
}

// applyEvent applies the fault or other event of the given kind, for most kinds
// to a random member; kinds above 12 do nothing. A disk is lost only while all
// members are healthy, so one at a time: the loss of a quorum of disks loses data
// in any design.
func (g *group) applyEvent(kind int) {
	m := g.members[g.names[g.rnd.IntN(len(g.names))]]
	switch kind {
	case 0:
		m.node = nil
	case 1:
		if m.node == nil {
			g.start(m)
		}
	case 2:
		if g.fullyHealthy() {
			g.loseDisk(m)
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
			g.processReady(m)
		}
	case 6:
		if m.node != nil {
			g.snapshot(m)
		}
	case 7:
		g.isolate(g.leader())
	case 8:
		// An immediate restart, which loses what was not synced.
		g.start(m)
	case 9:
		// A leader transfers leadership and is partitioned before a message from
		// its successor reaches it.
		if l := g.leader(); l != nil && l.node.Transfer(g.clock(l)) == nil {
			g.processReady(l)
			g.step(0)
			g.isolate(l)
		}
	case 10:
		// One follower receives no messages from the leader while the other
		// followers still do; then these restart.
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
		// All processes are killed at the same moment. Most restart at once, the
		// others later.
		for _, name := range g.names {
			g.start(g.members[name])
			if g.rnd.IntN(4) == 0 {
				g.members[name].node = nil
			}
		}
	case 12:
		// The leader restarts, sometimes repeatedly or followed by its successor,
		// while one member receives no messages from it.
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

// isolate partitions a leader from all members in both directions. It remains in
// the role of leader for a while.
func (g *group) isolate(l *member) {
	if l == nil {
		return
	}
	for _, o := range g.names {
		g.cut[[2]string{l.name, o}], g.cut[[2]string{o, l.name}] = true, true
	}
}
