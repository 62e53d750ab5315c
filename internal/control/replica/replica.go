// Package replica runs one replica of the control group: it connects the Raft
// node to the disk, the clock and the network, and applies committed entries to
// the ledger.
//
// One goroutine owns the node. In each iteration it collects the messages and
// proposals that have arrived, passes them to the node, syncs, sends messages and
// applies entries, in that order. All proposals that arrive during one sync
// therefore share the next one.
package replica

// This file defines Replica and its event loop.

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/base/boottime"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/ledger"
	"camphorspoke/internal/control/raftlog"
	"camphorspoke/internal/control/wal"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// DefaultSnapshotEvery is the number of entries applied between snapshots.
	DefaultSnapshotEvery = 2000
	// snapshotBytes is the size of the entries applied after which a snapshot is
	// taken regardless of their number, so that a log with large rule files fits
	// on a small disk.
	snapshotBytes = 4 << 20
	// keepEntries is the number of entries that stay in the log after a snapshot,
	// for replicas that are slightly behind.
	keepEntries = 500
	// keepLargeEntries replaces keepEntries when snapshotBytes was reached.
	keepLargeEntries = 20
	tickInterval     = 20 * time.Millisecond
	// bootstrapInterval is how often an empty replica checks whether to bootstrap a
	// group.
	bootstrapInterval = 500 * time.Millisecond
	// queueLength is the capacity of the message queue and of the proposal queue.
	queueLength = 4096
)

// Config configures a Replica.
type Config struct {
	// Name is the instance name of the replica.
	Name string
	// DataDir is the data folder. It is not used if Open or Storage is set.
	DataDir string
	// Open, if set, opens the storage in place of the data folder: at the start,
	// and again after a failure. It returns the storage, what it contains, and a
	// function that closes it.
	Open func() (control.Storage, *wal.Contents, func(), error)
	// Storage and Stored replace the data folder by a storage that never fails.
	Storage control.Storage
	Stored  *wal.Contents
	// Peers holds the addresses of all configured replicas by name. It is empty
	// if Seeds are set.
	Peers map[string]string
	// Address is where the other replicas reach this one.
	Address string
	// Seeds holds the addresses of the replicas that may form a new group. Their
	// names need not be configured.
	Seeds []string
	// FirstStart allows the seeds to form a new group.
	FirstStart bool
	// Join, if set, requests the leader to add this replica to the group. It is
	// called repeatedly while no leader is known.
	Join func(ctx context.Context) error
	// Voters is the target number of voters in the group; if zero, every member
	// becomes a voter.
	Voters int
	// Now is a clock that also advances while the machine is suspended; nil means
	// the system's.
	Now       func() time.Duration
	Transport control.Transport
	Logger    logrus.FieldLogger
	Checker   *invariant.Checker
	// Seed makes the election timeouts repeatable; zero means a random seed.
	Seed uint64
	// SnapshotEvery is the number of entries applied between snapshots; zero
	// means DefaultSnapshotEvery.
	SnapshotEvery uint64
	// Election and Heartbeat are the intervals of raftlog.Config.
	Election  time.Duration
	Heartbeat time.Duration
}

// Status is the state of the replica that its event loop last published.
type Status struct {
	// Role is the role of the Raft node, or "failed" while the disk can't be
	// used.
	Role string
	// Leader is the name of the leader, or empty if it is unknown.
	Leader        string
	LeaderAddress string
	Term          uint64
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	FirstIndex    uint64
	Members       []*pb.RaftMember
	// LossesBorne is how many more voters may lose their disks while the others can still elect
	// a leader. It is known to the leader only, and zero elsewhere.
	LossesBorne int
	// BelowTargetSince is since when LossesBorne is below the number that the group is to bear, by
	// Now; zero while it is not.
	BelowTargetSince time.Duration
	// LeaseUntil is when the leader lease of this replica expires, by Now; zero
	// without a lease.
	LeaseUntil time.Duration
	// Empty reports that the replica has no term and no log entry, so it has
	// never been in a group.
	Empty bool
	// Formed reports that the replica has a log entry, so that a group exists.
	Formed bool
}

// Replica is a running control replica.
type Replica struct {
	Ledger *ledger.Ledger

	cfg      Config
	log      control.Storage
	closeLog func()
	node     *raftlog.Node
	identity atomic.Uint64
	now      func() time.Duration

	inbox     chan *pb.RaftMessage
	proposals chan *proposal
	nodeCalls chan *nodeCall
	// stop is closed to end the event loop, which then closes done.
	stop   chan struct{}
	done   chan struct{}
	status atomic.Pointer[Status]
	// failed is the disk failure that the replica has not recovered from, or nil.
	failed atomic.Pointer[error]

	// The following fields belong to the event loop.

	// pending holds the proposals that are not committed yet by log index.
	pending map[uint64]*proposal
	// senderAddresses holds the address in the last message of each sender by
	// name.
	senderAddresses      map[string]string
	entriesSinceSnapshot uint64
	bytesSinceSnapshot   int
	nextBootstrap        time.Duration
	// newGroupMembers receives the members of a new group that this replica
	// bootstraps.
	newGroupMembers chan *pb.RaftMembers
	// bootstrapping is set once this replica has begun to bootstrap a group.
	bootstrapping bool

	// loggedMembers is the membership, as text, and loggedLosses the number of losses borne, that
	// the leader has logged last.
	loggedMembers string
	loggedLosses  int
	// belowTargetSince is that of Status.
	belowTargetSince time.Duration

	// formation is what this replica must not forget while it forms a group with other seeds. The
	// event loop replaces it; what it points to does not change.
	formation atomic.Pointer[pb.FormationState]
	formCalls chan *formCall
	// waiting is what the formation of a group waits for, nil if for nothing.
	waiting atomic.Pointer[Waiting]
}

// proposal is a command that waits to be committed.
type proposal struct {
	// ctx is the context of the caller. A proposal whose caller has left before it is in
	// the log is dropped.
	ctx  context.Context
	data []byte
	// requiredTerm is the only term in which the command may be proposed; zero
	// allows any.
	requiredTerm uint64
	// term is the term in which the command was proposed.
	term   uint64
	result chan outcome
}

// outcome is the result of a proposal or the error with which it failed.
type outcome struct {
	result *pb.Result
	err    error
}

// nodeCall is a request to call f in the event loop.
type nodeCall struct {
	f    func(n *raftlog.Node, now time.Duration) error
	done chan error
}

// Start opens the storage and runs the replica. The returned function stops it
// and closes the storage.
func Start(cfg Config) (*Replica, func(), error) {
	cfg.Open = opener(cfg)
	log, contents, closeLog, err := cfg.Open()
	if err != nil {
		return nil, nil, err
	}
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = DefaultSnapshotEvery
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	r := &Replica{
		Ledger: &ledger.Ledger{
			Checker: cfg.Checker,
		},
		cfg:      cfg,
		log:      log,
		closeLog: closeLog,

		now:             cfg.Now,
		inbox:           make(chan *pb.RaftMessage, queueLength),
		proposals:       make(chan *proposal, queueLength),
		nodeCalls:       make(chan *nodeCall),
		stop:            make(chan struct{}),
		done:            make(chan struct{}),
		pending:         make(map[uint64]*proposal),
		senderAddresses: make(map[string]string),
		newGroupMembers: make(chan *pb.RaftMembers, 1),
		formCalls:       make(chan *formCall),
	}
	r.identity.Store(contents.Identity)
	if r.now == nil {
		r.now = boottime.New().Now
	}
	if err := r.load(contents, r.firstVote()); err != nil {
		closeLog()
		return nil, nil, err
	}
	go r.run()
	stopForming := func() {}
	if r.isSeed() {
		stopForming = r.startForming()
	}
	if cfg.Join != nil {
		go r.joinLoop()
	}
	cleanup := func() {
		close(r.stop)
		<-r.done
		stopForming()
		r.closeLog()
	}
	return r, cleanup, nil
}

// opener returns the function that opens the storage that cfg selects.
func opener(cfg Config) func() (control.Storage, *wal.Contents, func(), error) {
	switch {
	case cfg.Open != nil:
		return cfg.Open
	case cfg.Storage != nil:
		return func() (control.Storage, *wal.Contents, func(), error) { return cfg.Storage, cfg.Stored, func() {}, nil }
	}
	return func() (control.Storage, *wal.Contents, func(), error) {
		log, contents, closeLog, err := wal.Open(cfg.DataDir)
		if err != nil {
			return nil, nil, nil, err
		}
		return log, contents, closeLog, nil
	}
}

// load restores the ledger and the node from the contents of the storage. For an
// empty storage it draws and stores an identity first, with the state of the formation of a group
// that it begins with, if any.
func (r *Replica) load(c *wal.Contents, begin *pb.FormationState) error {
	if c.TruncatedBytes > 0 {
		r.cfg.Logger.Warnf("control: truncated a torn write of %d bytes at the end of the log", c.TruncatedBytes)
	}
	r.formation.Store(c.Formation)
	if r.identity.Load() == 0 {
		r.identity.Store(rand.Uint64() | 1)
		r.formation.Store(begin)
		if err := r.log.Append(&pb.WalRecord{
			Identity:  r.identity.Load(),
			Formation: begin,
		}); err != nil {
			return err
		}
	}
	if c.Snapshot != nil {
		if err := r.Ledger.Restore(c.Snapshot.GetData()); err != nil {
			return err
		}
	}
	r.node = r.newNode(raftlog.Stored{
		HardState: c.HardState,
		Snapshot:  c.Snapshot,
		Entries:   c.Entries,
	})
	r.publish()
	return nil
}

// newNode returns a node that resumes from the stored state under the present
// identity.
func (r *Replica) newNode(st raftlog.Stored) *raftlog.Node {
	return raftlog.New(raftlog.Config{
		Name:      r.cfg.Name,
		Identity:  r.identity.Load(),
		Election:  r.cfg.Election,
		Heartbeat: r.cfg.Heartbeat,
		Voters:    r.cfg.Voters,
		Rand:      rand.New(rand.NewPCG(r.cfg.Seed, r.identity.Load())),
		Checker:   r.cfg.Checker,
	}, st, r.Now())
}

// Now returns the time of the replica's clock, which also advances while the
// machine is suspended.
func (r *Replica) Now() time.Duration { return r.now() }

// Status returns the state that the event loop last published.
func (r *Replica) Status() *Status { return r.status.Load() }

// Identity returns the identity of the replica's disk.
func (r *Replica) Identity() uint64 { return r.identity.Load() }

// Leads reports whether this replica is the leader and its lease is valid.
func (r *Replica) Leads() bool { return r.Now() < r.Status().LeaseUntil }

// Failed returns the disk failure that the replica has not recovered from, or
// nil.
func (r *Replica) Failed() error {
	if e := r.failed.Load(); e != nil {
		return *e
	}
	return nil
}

// Deliver queues a message from another replica. If the queue is full, it drops
// the message, which the protocol tolerates as a loss on the network.
func (r *Replica) Deliver(m *pb.RaftMessage) {
	select {
	case r.inbox <- m:
	default:
	}
}

// run is the event loop.
func (r *Replica) run() {
	defer close(r.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var batch []*proposal
	for {
		var err error
		select {
		case <-r.stop:
			r.failPending()
			return
		case m := <-r.inbox:
			r.step(m)
		case p := <-r.proposals:
			batch = append(batch, p)
		case c := <-r.nodeCalls:
			c.done <- c.f(r.node, r.Now())
		case c := <-r.formCalls:
			err = r.handleForm(c)
		case m := <-r.newGroupMembers:
			if r.node.Term() == 0 {
				err = r.bootstrap(m)
			}
		case <-tick.C:
			r.tick()
		}
		batch = r.collectArrived(batch)
		r.propose(batch)
		batch = batch[:0]
		if err == nil {
			err = r.processReady()
		}
		if err != nil && !r.reopen(err) {
			return
		}
	}
}

// collectArrived processes the queued messages and adds the queued proposals to
// the batch, so that one sync serves them all.
func (r *Replica) collectArrived(batch []*proposal) []*proposal {
	for range queueLength {
		select {
		case m := <-r.inbox:
			r.step(m)
		case p := <-r.proposals:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// step passes a message to the node and records the address of its sender.
func (r *Replica) step(m *pb.RaftMessage) {
	if a := m.GetFromAddress(); a != "" {
		r.senderAddresses[m.GetFrom()] = a
	}
	r.node.Step(r.Now(), m)
}

// tick advances the node's time, proposes a due repair of the membership, and once
// per bootstrapInterval checks whether to bootstrap a group.
func (r *Replica) tick() {
	now := r.Now()
	r.node.Tick(now)
	r.repair(now)
	if now >= r.nextBootstrap {
		r.nextBootstrap = now + bootstrapInterval
		r.maybeBootstrap()
	}
}

// repair proposes the next step of a repair of the membership, if there is one. Between
// the steps the group may bear the loss of fewer voters, so that a step follows as soon as
// the one before it is committed.
func (r *Replica) repair(now time.Duration) {
	if next := r.node.NextRepair(now); next != nil {
		if err := r.node.ProposeMembers(now, next); err == nil {
			r.cfg.Logger.WithField("members", formatMembers(next.GetMembers())).Info("control: proposed a membership change to repair the group")
		}
	}
}

// publish updates the status.
func (r *Replica) publish() {
	now := r.Now()
	st := &Status{
		Role:          r.node.Role(),
		Leader:        r.node.Leader(),
		LeaderAddress: r.address(r.node.Leader()),
		Term:          r.node.Term(),
		Commit:        r.node.Commit(),
		Applied:       r.node.Applied(),
		LastIndex:     r.node.LastIndex(),
		FirstIndex:    r.node.FirstIndex(),
		Members:       r.node.Members().GetMembers(),
		LossesBorne:   r.node.LossesBorne(),
		LeaseUntil:    r.node.LeaseUntil(now),
		Empty:         r.node.Term() == 0 && r.node.LastIndex() == 0,
		Formed:        r.node.LastIndex() > 0,
	}
	r.updateBelowTarget(st.LossesBorne, now)
	st.BelowTargetSince = r.belowTargetSince
	r.status.Store(st)
	r.logMembers(st)
}
