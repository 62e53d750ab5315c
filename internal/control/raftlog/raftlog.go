// Package raftlog implements the Raft protocol of a replicated log as a
// deterministic state machine.
//
// A Node takes messages, ticks and proposals together with the current time, and
// collects the resulting work in a Ready: state to sync, messages to send and
// committed entries to apply. It does no I/O and reads no clock, so tests run
// the same code as production in virtual time.
//
// The protocol is Raft with pre-vote, check-quorum, a leader lease,
// leadership transfer, snapshots, and membership changes that are made one at a
// time and promote only learners that have caught up. The invariants:
//
//   - A message is sent only after the Ready that carries it was synced, so a
//     vote or an acknowledgement survives a crash.
//   - A member is identified by its name together with the identity of its
//     disk, and a replica replies under that identity. The replies of a replica
//     whose disk was lost carry a new identity and are not counted, so it can't
//     vote a second time in a term in which the lost disk recorded a vote.
//   - A replica grants no vote within Election of the last message from a
//     leader, or of its own start. If a quorum acknowledged messages that a
//     leader sent at time t, no other leader is elected before t+Election, less
//     the clock drift: this is the leader lease. A leader holds no lease while
//     it transfers leadership.
//   - The only replica exempt from this wait is the leader of the voter's own
//     term. No other replica can hold a lease that the voter has acknowledged,
//     since the leases of earlier terms had expired when that leader was
//     elected, and a replica that requests votes does not lead any more. This
//     lets the former leader return at once after all processes of a group
//     were restarted.
//   - A leader counts acknowledgements only for entries of its own term. These
//     commit the entries before them.
package raftlog

// This file defines Node, its configuration and Ready, the work that its
// driver must carry out.

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// DefaultElection is the shortest election timeout.
	DefaultElection = time.Second
	// DefaultHeartbeat is the interval between a leader's heartbeats.
	DefaultHeartbeat = 200 * time.Millisecond
	// MaxDriftPercent bounds how far two clocks may drift apart over an interval,
	// as a percentage of its length.
	MaxDriftPercent = 2
	// preVotesPerElection is how many times pre-votes are requested within one
	// election timeout.
	preVotesPerElection = 5
	// maxBatch is the largest number of entries in one message. A learner that is
	// at most this many entries behind has caught up.
	maxBatch = 256
)

// Config holds the name, identity, timeouts and group size of a Node.
type Config struct {
	Name string
	// Identity is the identity of the replica's disk.
	Identity uint64
	// Election is the shortest election timeout; the longest is twice as long.
	Election time.Duration
	// Heartbeat is the interval between a leader's heartbeats.
	Heartbeat time.Duration
	// Voters is the target number of voters, an odd number; if it is zero, every
	// member becomes a voter. If it is set, the other members are learners on
	// standby, one of which replaces a voter that has not answered for
	// voterReplaceTimeout, and pre-votes are repeated more often than once per
	// election timeout.
	Voters int
	// Rand randomizes the election timeouts; nil gives the shortest timeout.
	Rand    *rand.Rand
	Checker *invariant.Checker
}

// Stored is the state that a replica had on disk when it started.
type Stored struct {
	HardState *pb.RaftHardState
	Snapshot  *pb.RaftSnapshot
	Entries   []*pb.RaftEntry
}

// Ready is the work that the driver must carry out.
type Ready struct {
	// HardState and Entries must be synced, and Snapshot saved, before Messages
	// are sent and Committed is applied.
	HardState *pb.RaftHardState
	// Snapshot was received from the leader and replaces the whole log.
	Snapshot *pb.RaftSnapshot
	Entries  []*pb.RaftEntry
	Messages []*pb.RaftMessage
	// Committed holds the entries to apply, in the order of their index.
	Committed []*pb.RaftEntry
}

// Empty reports whether there is no work.
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

// progress is the replication state that a leader tracks for one member.
type progress struct {
	// match is the last index at which the member's log is known to equal the
	// leader's.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// ackedSend is when the latest acknowledged message was sent.
	ackedSend time.Duration
	// snapshotSentAt is when a snapshot was last sent; zero if the member's log
	// has advanced since.
	snapshotSentAt time.Duration
	// otherIdentity is an identity under which a replica of the member's name
	// replied, but which is not the listed one: the member lost its disk.
	otherIdentity uint64
}

// Node is one replica of the log.
type Node struct {
	cfg Config
	log entryLog
	// snap is the latest snapshot, which is sent to members that need compacted
	// entries.
	snap *pb.RaftSnapshot

	term uint64
	// vote is the candidate that this replica voted for in term, or empty.
	vote   string
	commit uint64
	// termLeader is the leader of term, or empty until it is known. It is part of
	// the hard state, so it survives a restart.
	termLeader string
	// applied is the index of the last entry that a Ready returned as committed.
	applied uint64
	// persisted is the index of the last entry that is synced on this replica.
	persisted uint64

	role role
	// leaderName is the leader that this replica follows at present, or empty.
	leaderName string
	// lastLeaderMessage is when the last message from a leader arrived, or when
	// this replica started.
	lastLeaderMessage time.Duration
	// electionDeadline is when a follower or candidate campaigns next.
	electionDeadline time.Duration
	// votes holds the voters that granted the present vote or pre-vote.
	votes map[string]bool

	// The following fields are used by a leader only.

	// peers holds the progress of each member by name.
	peers map[string]*progress
	// round numbers the broadcasts. An append reply returns the number, so that
	// sentAt gives the time at which the acknowledged message was sent.
	round         uint64
	sentAt        map[uint64]time.Duration
	nextHeartbeat time.Duration
	leaderSince   time.Duration
	// transferTo is the target of a transfer of leadership that is under way, or
	// empty.
	transferTo       string
	transferDeadline time.Duration

	// The following fields are the work for the next Ready.

	// synced is the hard state that the last Ready returned.
	synced   hardState
	unsynced []*pb.RaftEntry
	// pendingSnapshot is a received snapshot that has still to be saved.
	pendingSnapshot *pb.RaftSnapshot
	messages        []*pb.RaftMessage
}

// hardState is a comparable copy of pb.RaftHardState.
type hardState struct {
	term   uint64
	vote   string
	commit uint64
	leader string
}

// New returns a node that resumes from the stored state.
func New(cfg Config, st Stored, now time.Duration) *Node {
	if cfg.Election == 0 {
		cfg.Election = DefaultElection
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	n := &Node{
		cfg:               cfg,
		term:              st.HardState.GetTerm(),
		vote:              st.HardState.GetVote(),
		commit:            st.HardState.GetCommit(),
		termLeader:        st.HardState.GetLeader(),
		lastLeaderMessage: now,
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
		// This replica led the stored term. The lease that it would otherwise wait
		// out was its own, so it may campaign at once.
		n.electionDeadline = now
	}
	return n
}

// BootstrapEntry returns the first log entry of a new group, which lists its
// members.
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

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the name of the current leader, or an empty string if it is
// unknown.
func (n *Node) Leader() string { return n.leaderName }

// IsLeader reports whether this replica is in the role of leader. Another leader
// may have been elected meanwhile unless LeaseValid is true as well.
func (n *Node) IsLeader() bool { return n.role == leader }

// Role returns the role as text: follower, preCandidate, candidate or leader.
func (n *Node) Role() string { return n.role.String() }

// Commit returns the commit index of this replica.
func (n *Node) Commit() uint64 { return n.commit }

// Applied returns the index of the last entry that a Ready returned as
// committed.
func (n *Node) Applied() uint64 { return n.applied }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// FirstIndex returns the index of the first entry that is not compacted.
func (n *Node) FirstIndex() uint64 { return n.log.base + 1 }

// Members returns the current membership: that of the latest members entry in
// the log, whether it is committed or not.
func (n *Node) Members() *pb.RaftMembers { return n.log.membersAt(n.log.last()) }

// Ready returns the work collected since the last call. The driver must sync
// the state in it, call Synced, and only then send the messages and apply the
// committed entries.
func (n *Node) Ready() Ready {
	r := Ready{
		Snapshot: n.pendingSnapshot,
		Entries:  n.unsynced,
		Messages: n.messages,
	}
	// A commit index that advanced alone need not be synced: the leader's
	// messages repeat it after a restart.
	if hs := n.hardState(); hs.term != n.synced.term || hs.vote != n.synced.vote || hs.leader != n.synced.leader || len(n.unsynced) > 0 || n.pendingSnapshot != nil {
		r.HardState = n.HardState()
		n.synced = hs
	}
	if n.pendingSnapshot == nil && n.commit > n.applied {
		r.Committed = n.log.slice(n.applied+1, int(n.commit-n.applied))
		n.applied = n.commit
	}
	n.pendingSnapshot, n.unsynced, n.messages = nil, nil, nil
	return r
}

// Synced records that all state of the last Ready is on disk. A leader then
// counts its own entries towards the quorum.
func (n *Node) Synced(now time.Duration) {
	n.persisted = n.log.last()
	if n.role == leader {
		n.advanceCommit(now)
	}
}

// Compact discards the log entries that a saved snapshot covers, except the
// latest ones, whose number is keep. These let a replica that is slightly behind
// catch up without a snapshot.
func (n *Node) Compact(snap *pb.RaftSnapshot, keep uint64) {
	if snap.GetIndex() > n.applied {
		return
	}
	n.snap = snap
	if snap.GetIndex() > keep {
		n.log.compact(snap.GetIndex() - keep)
	}
}

// MembersAt returns the membership as of a committed index.
func (n *Node) MembersAt(index uint64) *pb.RaftMembers { return n.log.membersAt(index) }

// TermAt returns the term of the entry at index, or zero if the log does not
// contain it.
func (n *Node) TermAt(index uint64) uint64 {
	t, _ := n.log.term(index)
	return t
}

// HardState returns the state besides the log that must survive a restart.
func (n *Node) HardState() *pb.RaftHardState {
	return &pb.RaftHardState{
		Term:   n.term,
		Vote:   n.vote,
		Commit: n.commit,
		Leader: n.termLeader,
	}
}

// Retained returns the entries after compaction. A new log segment must start
// with them.
func (n *Node) Retained() []*pb.RaftEntry {
	return n.log.slice(n.log.base+1, len(n.log.entries))
}

// send queues a message for the next Ready. It fills in the sender, and the
// current term if the message has none.
func (n *Node) send(m *pb.RaftMessage) {
	m.From = n.cfg.Name
	m.Identity = n.cfg.Identity
	if m.GetTerm() == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// resetElection sets the election deadline to a random time between one and two
// election timeouts from now.
func (n *Node) resetElection(now time.Duration) {
	span := int64(n.cfg.Election)
	extra := int64(0)
	if n.cfg.Rand != nil {
		extra = n.cfg.Rand.Int64N(span)
	}
	n.electionDeadline = now + time.Duration(span+extra)
}

// resetPreVote sets when pre-votes are requested again, which is sooner than the
// next election timeout. This is harmless, as a pre-vote changes no term, and it
// saves time: voters that started slightly later than this replica answer no
// request until Election has passed since their own start.
func (n *Node) resetPreVote(now time.Duration) {
	span := int64(n.cfg.Election / preVotesPerElection)
	extra := int64(0)
	if n.cfg.Rand != nil {
		extra = n.cfg.Rand.Int64N(span)
	}
	n.electionDeadline = now + time.Duration(span+extra)
}
