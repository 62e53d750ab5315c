// Package replica runs one control replica: it drives the replicated log with
// the disk, the clock and the network, and applies what is committed.
//
// One goroutine owns the log. It collects what has arrived, lets the step
// function take it, syncs, sends and applies, in that order; so one sync
// serves all proposals that arrived while the last one was under way.
package replica

// This file defines Replica and its loop.

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/ledger"
	"camphorspoke/internal/control/raftlog"
	"camphorspoke/internal/control/wal"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/boottime"
)

const (
	// DefaultSnapshotEvery is how many entries are applied between snapshots.
	DefaultSnapshotEvery = 2000
	// snapshotBytes of entries are applied at most between snapshots, so that
	// the log of large rule files stays small on a small disk.
	snapshotBytes = 4 << 20
	// keepEntries stay in the log after a snapshot, for replicas a little behind.
	keepEntries = 500
	// keepLarge is the same where entries are large.
	keepLarge    = 20
	tickInterval = 20 * time.Millisecond
	repairEvery  = 500 * time.Millisecond
	inboxLength  = 4096
)

// Config says who the replica is.
type Config struct {
	Name string
	// DataDir is the data folder; it is not used when Storage is set.
	DataDir string
	// Open replaces the data folder: it opens the storage at the start, and again
	// after a failure.
	Open func() (control.Storage, *wal.Contents, func(), error)
	// Storage and Stored replace the data folder, with a storage that never fails.
	Storage control.Storage
	Stored  *wal.Contents
	// Peers are the addresses of all configured replicas, by name. It is empty
	// where Seeds are set.
	Peers map[string]string
	// Address is where the other replicas reach this one. With Seeds, a replica
	// that is no member asks the leader to be taken in.
	Address string
	// Seeds are the addresses of some replicas, whose names are not known.
	Seeds []string
	// FirstStart allows the seeds to form a new group.
	FirstStart bool
	// Join asks the leader to take this replica in.
	Join func(ctx context.Context) error
	// Voters is how many voters the group wants; zero makes every member one.
	Voters int
	// Now is a clock that counts suspensions; nil takes the system's.
	Now       func() time.Duration
	Transport control.Transport
	Logger    logrus.FieldLogger
	Checker   *invariant.Checker
	// Seed makes election timeouts repeatable; zero draws one.
	Seed          uint64
	SnapshotEvery uint64
	Election      time.Duration
	Heartbeat     time.Duration
}

// Status is what the loop last published.
type Status struct {
	Role          string
	Leader        string
	LeaderAddress string
	Term          uint64
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	FirstIndex    uint64
	Members       []*pb.RaftMember
	// LeaseUntil is on the clock of Now.
	LeaseUntil time.Duration
	Empty      bool
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
	changes   chan *change
	stop      chan struct{}
	done      chan struct{}
	status    atomic.Pointer[Status]
	failed    atomic.Pointer[error]

	waiting map[uint64]*proposal
	// heard holds where the senders of messages are, by name.
	heard        map[string]string
	sinceSnap    uint64
	bytesSince   int
	nextRepair   time.Duration
	bootstrapped chan *pb.RaftMembers
	bootstraps   bool
}

type proposal struct {
	data []byte
	// onlyIn, above zero, is the only term in which it may be proposed.
	onlyIn uint64
	term   uint64
	result chan outcome
}

type outcome struct {
	result *pb.Result
	err    error
}

// change is a request to run f on the log's goroutine.
type change struct {
	f    func(n *raftlog.Node, now time.Duration) error
	done chan error
}

// Start opens the data folder and runs the replica. The clean-up function
// stops it and closes the folder.
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

		now:          cfg.Now,
		inbox:        make(chan *pb.RaftMessage, inboxLength),
		proposals:    make(chan *proposal, inboxLength),
		changes:      make(chan *change),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		waiting:      make(map[uint64]*proposal),
		heard:        make(map[string]string),
		bootstrapped: make(chan *pb.RaftMembers, 1),
	}
	r.identity.Store(contents.Identity)
	if r.now == nil {
		r.now = boottime.New().Now
	}
	if err := r.load(contents); err != nil {
		closeLog()
		return nil, nil, err
	}
	go r.run()
	if cfg.Join != nil {
		go r.joinLoop()
	}
	cleanup := func() {
		close(r.stop)
		<-r.done
		r.closeLog()
	}
	return r, cleanup, nil
}

// opener returns how the storage is opened.
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

func (r *Replica) load(c *wal.Contents) error {
	if c.CutBytes > 0 {
		r.cfg.Logger.Warnf("control: cut a torn tail of %d bytes", c.CutBytes)
	}
	if r.identity.Load() == 0 {
		r.identity.Store(rand.Uint64() | 1)
		if err := r.log.Append(&pb.WalRecord{
			Identity: r.identity.Load(),
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

// Now returns the replica's clock, which counts suspensions.
func (r *Replica) Now() time.Duration { return r.now() }

// Status returns what the loop last published.
func (r *Replica) Status() *Status { return r.status.Load() }

// Identity returns the identity of the replica's disk.
func (r *Replica) Identity() uint64 { return r.identity.Load() }

// Leads reports whether this replica leads and its lease holds.
func (r *Replica) Leads() bool { return r.Now() < r.Status().LeaseUntil }

// Failed returns the failure that stopped the replica, or nil.
func (r *Replica) Failed() error {
	if e := r.failed.Load(); e != nil {
		return *e
	}
	return nil
}

// Deliver hands in a message from another replica; it is dropped when the
// replica is behind, as a network would.
func (r *Replica) Deliver(m *pb.RaftMessage) {
	select {
	case r.inbox <- m:
	default:
	}
}

func (r *Replica) run() {
	defer close(r.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var batch []*proposal
	for {
		select {
		case <-r.stop:
			r.failAll()
			return
		case m := <-r.inbox:
			r.step(m)
		case p := <-r.proposals:
			batch = append(batch, p)
		case c := <-r.changes:
			c.done <- c.f(r.node, r.Now())
		case m := <-r.bootstrapped:
			r.bootstrap(m)
		case <-tick.C:
			r.tick()
		}
		batch = r.drain(batch)
		r.propose(batch)
		batch = batch[:0]
		if err := r.work(); err != nil {
			if !r.reopen(err) {
				return
			}
		}
	}
}

// drain takes what has arrived in the meantime, so that one sync serves it.
func (r *Replica) drain(batch []*proposal) []*proposal {
	for range inboxLength {
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

// step hands a message to the log and remembers where its sender is.
func (r *Replica) step(m *pb.RaftMessage) {
	if a := m.GetFromAddress(); a != "" {
		r.heard[m.GetFrom()] = a
	}
	r.node.Step(r.Now(), m)
}

func (r *Replica) tick() {
	now := r.Now()
	r.node.Tick(now)
	if now < r.nextRepair {
		return
	}
	r.nextRepair = now + repairEvery
	if next := r.node.NextRepair(now); next != nil {
		if err := r.node.ProposeMembers(now, next); err == nil {
			r.cfg.Logger.Info("control: repairing the members")
		}
	}
	r.maybeBootstrap()
}

func (r *Replica) publish() {
	now := r.Now()
	r.status.Store(&Status{
		Role:          r.node.Role(),
		Leader:        r.node.Leader(),
		LeaderAddress: r.address(r.node.Leader()),
		Term:          r.node.Term(),
		Commit:        r.node.Commit(),
		Applied:       r.node.Applied(),
		LastIndex:     r.node.LastIndex(),
		FirstIndex:    r.node.FirstIndex(),
		Members:       r.node.Members().GetMembers(),
		LeaseUntil:    r.node.LeaseUntil(now),
		Empty:         r.node.Term() == 0 && r.node.LastIndex() == 0,
	})
}
