// Package raftlog is the step function of a replicated log.
//
// A Node takes messages, ticks and proposals together with the time, and
// collects what must be done in a Ready: state to sync, messages to send and
// committed entries to apply. It does no I/O and reads no clock, so tests
// drive the very code that runs.
//
// The protocol is Raft with pre-vote, check-quorum, a leader lease,
// leadership transfer, snapshots and one-at-a-time membership changes through
// a caught-up learner. The invariants:
//
//   - A message leaves only after the Ready that carries it was synced, so a
//     vote or an acknowledgement is never forgotten.
//   - A replica answers under the identity of its disk. A member is a name and
//     an identity together: answers of a replica whose disk was lost carry
//     another identity and are not counted, so it never votes as its old self.
//   - A replica grants no vote within Election of hearing from a leader, or
//     of its own start. A leader whose messages sent at time t were
//     acknowledged by a quorum therefore has no successor before
//     t+Election, less the drift of clocks: this is the leader lease. A
//     transfer of leadership gives the lease up first.
//   - The one replica to which a vote is granted earlier is the leader of the
//     voter's own term. Only that replica can hold a lease which the voter has
//     backed, since leases of earlier terms had run out when it was elected, and
//     it leads no longer when it asks for votes. So a group whose processes were
//     all restarted has its former leader back at once.
//   - Only entries of the leader's own term are committed by counting.
package raftlog

// This file defines Node, its configuration and what it asks of its driver.

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/check/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// DefaultElection is the shortest election timeout.
	DefaultElection = time.Second
	// DefaultHeartbeat is the interval between a leader's messages.
	DefaultHeartbeat = 200 * time.Millisecond
	// MaxDriftPercent bounds how far two clocks may part over an interval.
	MaxDriftPercent = 2
	// preVotesPerElection is how often pre-votes are asked for in the time of
	// one election.
	preVotesPerElection = 5
	// maxBatch is the most entries in one message.
	maxBatch = 256
)

// Config says who a Node is and how it keeps time.
type Config struct {
	Name     string
	Identity uint64
	// Election is the shortest election timeout; the longest is twice it.
	Election  time.Duration
	Heartbeat time.Duration
	// Voters is how many voters the group wants, an odd number. The other
	// members stand by as learners, and one of them takes the place of a voter
	// that has been silent for long, and pre-votes are asked for again sooner
	// than an election. Zero makes every member a voter.
	Voters  int
	Rand    *rand.Rand
	Checker *invariant.Checker
}

// Stored is what a replica had on disk when it started.
type Stored struct {
	HardState *pb.RaftHardState
	Snapshot  *pb.RaftSnapshot
	Entries   []*pb.RaftEntry
}

// Ready is what the driver must do, in the order of the fields.
type Ready struct {
	// HardState and Entries must be synced, and Snapshot saved, before the rest.
	HardState *pb.RaftHardState
	Snapshot  *pb.RaftSnapshot
	Entries   []*pb.RaftEntry
	Messages  []*pb.RaftMessage
	Committed []*pb.RaftEntry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

func (r role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// progress is what a leader knows of one member.
type progress struct {
	match uint64
	next  uint64
	// ackedSend is when the latest acknowledged message was sent.
	ackedSend time.Duration
	// snapshotAt is when a snapshot was last sent; zero when none is due.
	snapshotAt time.Duration
	// foreign is another identity seen under the member's name.
	foreign uint64
}

// Node is one replica of the log.
type Node struct {
	cfg  Config
	log  entryLog
	snap *pb.RaftSnapshot

	term   uint64
	vote   string
	commit uint64
	// termLeader is the leader of term, once it is known. It outlives a restart.
	termLeader string
	// applied is the last index handed out as committed.
	applied uint64
	// persisted is the last index known to be synced here.
	persisted uint64

	role       role
	leaderName string
	leaderSeen time.Duration
	electionAt time.Duration
	votes      map[string]bool

	peers       map[string]*progress
	round       uint64
	sentAt      map[uint64]time.Duration
	heartbeatAt time.Duration
	leaderSince time.Duration
	transferTo  string
	transferEnd time.Duration

	synced   hardState
	unsynced []*pb.RaftEntry
	install  *pb.RaftSnapshot
	messages []*pb.RaftMessage
}

// hardState is a comparable copy of pb.RaftHardState.
type hardState struct {
	term   uint64
	vote   string
	commit uint64
	leader string
}

// New returns a node that resumes from what was stored.
func New(cfg Config, st Stored, now time.Duration) *Node {
	if cfg.Election == 0 {
		cfg.Election = DefaultElection
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	n := &Node{
		cfg:        cfg,
		term:       st.HardState.GetTerm(),
		vote:       st.HardState.GetVote(),
		commit:     st.HardState.GetCommit(),
		termLeader: st.HardState.GetLeader(),
		leaderSeen: now,
	}
	if st.Snapshot != nil {
		n.snap = st.Snapshot
		n.log.base = st.Snapshot.GetIndex()
		n.log.baseTerm = st.Snapshot.GetTerm()
		n.log.baseMembers = st.Snapshot.GetMembers()
		n.applied = n.log.base
		n.commit = max(n.commit, n.log.base)
	}
	for _, e := range st.Entries {
		if e.GetIndex() == n.log.last()+1 {
			n.log.append(e)
		}
	}
	n.commit = min(n.commit, n.log.last())
	n.persisted = n.log.last()
	n.synced = n.hardState()
	n.resetElection(now)
	if n.termLeader == cfg.Name {
		// The former leader need not be silent first: the lease was its own.
		n.electionAt = now
	}
	return n
}

// BootstrapEntry returns the first entry of a new group.
func BootstrapEntry(members *pb.RaftMembers) (*pb.RaftEntry, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(members)
	if err != nil {
		return nil, err
	}
	return &pb.RaftEntry{
		Index: 1,
		Term:  1,
		Kind:  pb.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS,
		Data:  data,
	}, nil
}

func (n *Node) hardState() hardState {
	return hardState{
		term:   n.term,
		vote:   n.vote,
		commit: n.commit,
		leader: n.termLeader,
	}
}

// Term returns the present term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the name of the leader as far as it is known.
func (n *Node) Leader() string { return n.leaderName }

// IsLeader reports whether this replica believes that it leads.
func (n *Node) IsLeader() bool { return n.role == leader }

// Role returns follower, preCandidate, candidate or leader.
func (n *Node) Role() string { return n.role.String() }

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Applied returns the index of the last entry handed out as committed.
func (n *Node) Applied() uint64 { return n.applied }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// FirstIndex returns the index of the first entry that is still held.
func (n *Node) FirstIndex() uint64 { return n.log.base + 1 }

// Members returns the members in force.
func (n *Node) Members() *pb.RaftMembers { return n.log.membersAt(n.log.last()) }

// Ready returns the work collected since the last call. The driver must sync
// it, call Synced, and only then send the messages and apply the entries.
func (n *Node) Ready() Ready {
	r := Ready{
		Snapshot: n.install,
		Entries:  n.unsynced,
		Messages: n.messages,
	}
	// A commit index alone need not be synced: it is learned again.
	if hs := n.hardState(); hs.term != n.synced.term || hs.vote != n.synced.vote || hs.leader != n.synced.leader || len(n.unsynced) > 0 || n.install != nil {
		r.HardState = n.HardState()
		n.synced = hs
	}
	if n.install == nil && n.commit > n.applied {
		r.Committed = n.log.slice(n.applied+1, int(n.commit-n.applied))
		n.applied = n.commit
	}
	n.install, n.unsynced, n.messages = nil, nil, nil
	return r
}

// Synced tells the node that all of the last Ready is on disk.
func (n *Node) Synced(now time.Duration) {
	n.persisted = n.log.last()
	if n.role == leader {
		n.advanceCommit(now)
	}
}

// Compact drops log entries up to index, which a saved snapshot holds,
// keeping the last keep entries for replicas that are a little behind.
func (n *Node) Compact(snap *pb.RaftSnapshot, keep uint64) {
	if snap.GetIndex() > n.applied {
		return
	}
	n.snap = snap
	if snap.GetIndex() > keep {
		n.log.compact(snap.GetIndex() - keep)
	}
}

// MembersAt returns the members in force at a committed index.
func (n *Node) MembersAt(index uint64) *pb.RaftMembers { return n.log.membersAt(index) }

// TermAt returns the term of the entry at index, zero when it is not held.
func (n *Node) TermAt(index uint64) uint64 {
	t, _ := n.log.term(index)
	return t
}

// HardState returns what must be kept of votes and terms.
func (n *Node) HardState() *pb.RaftHardState {
	return &pb.RaftHardState{
		Term:   n.term,
		Vote:   n.vote,
		Commit: n.commit,
		Leader: n.termLeader,
	}
}

// Retained returns the entries a new log segment must hold.
func (n *Node) Retained() []*pb.RaftEntry {
	return n.log.slice(n.log.base+1, len(n.log.entries))
}

func (n *Node) send(m *pb.RaftMessage) {
	m.From = n.cfg.Name
	m.Identity = n.cfg.Identity
	if m.GetTerm() == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) resetElection(now time.Duration) {
	span := int64(n.cfg.Election)
	extra := int64(0)
	if n.cfg.Rand != nil {
		extra = n.cfg.Rand.Int64N(span)
	}
	n.electionAt = now + time.Duration(span+extra)
}

// resetPreVote sets when pre-votes are asked for again. That is sooner than an
// election: a pre-vote changes no term, and voters that started a little later
// than this replica answer none until they have been silent for long enough.
func (n *Node) resetPreVote(now time.Duration) {
	span := int64(n.cfg.Election / preVotesPerElection)
	extra := int64(0)
	if n.cfg.Rand != nil {
		extra = n.cfg.Rand.Int64N(span)
	}
	n.electionAt = now + time.Duration(span+extra)
}
