package raftlog

// This file defines replication: proposals, appends and snapshots.

import (
	"time"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Propose appends one entry for each element of data to the leader's log. It
// returns the index of the first entry and the term of all. An entry is committed
// when a Ready returns one with that index and term in Committed; an entry of
// another term at the index means that the proposal was lost.
func (n *Node) Propose(now time.Duration, data ...[]byte) (first, term uint64, err error) {
	if n.role != leader || n.transferTo != "" {
		return 0, 0, fault.New(fault.NotLeader, n.leaderName, "send the request to the leader")
	}
	first = n.log.last() + 1
	for _, d := range data {
		n.appendLocal(pb.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND, d)
	}
	n.broadcast(now)
	return first, n.term, nil
}

// appendLocal appends an entry of the current term to the leader's own log.
func (n *Node) appendLocal(kind pb.RaftEntryKind, data []byte) {
	e := &pb.RaftEntry{
		Index: n.log.last() + 1,
		Term:  n.term,
		Kind:  kind,
		Data:  data,
	}
	n.log.append(e)
	n.unsynced = append(n.unsynced, e)
}

// broadcast starts a new round: it sends an append to every other member, with
// the entries that the member lacks, or empty as a heartbeat.
func (n *Node) broadcast(now time.Duration) {
	n.nextHeartbeat = now + n.cfg.Heartbeat
	n.round++
	n.sentAt[n.round] = now
	for r, at := range n.sentAt {
		if now-at > 4*n.cfg.Election {
			delete(n.sentAt, r)
		}
	}
	for _, m := range n.Members().GetMembers() {
		if m.GetName() != n.cfg.Name {
			n.sendAppend(now, m)
		}
	}
}

// sendAppend sends m the entries that it lacks, up to maxBatch, or a snapshot if
// they are compacted.
func (n *Node) sendAppend(now time.Duration, m *pb.RaftMember) {
	p := n.peers[m.GetName()]
	if p == nil {
		return
	}
	prevTerm, held := n.log.term(p.next - 1)
	if !held {
		n.sendSnapshot(now, m, p)
		return
	}
	es := n.log.slice(p.next, maxBatch)
	n.send(&pb.RaftMessage{
		Kind:       pb.RaftKind_RAFT_KIND_APPEND,
		To:         m.GetName(),
		ToIdentity: m.GetIdentity(),
		LogIndex:   p.next - 1,
		LogTerm:    prevTerm,
		Commit:     n.commit,
		Entries:    es,
		Round:      n.round,
	})
	p.next += uint64(len(es))
}

// sendSnapshot sends the latest snapshot, at most once per election timeout. In
// between it sends empty appends, whose replies extend the leader's lease.
func (n *Node) sendSnapshot(now time.Duration, m *pb.RaftMember, p *progress) {
	if p.snapshotSentAt != 0 && now-p.snapshotSentAt < n.cfg.Election {
		n.send(&pb.RaftMessage{
			Kind:       pb.RaftKind_RAFT_KIND_APPEND,
			To:         m.GetName(),
			ToIdentity: m.GetIdentity(),
			LogIndex:   n.log.last(),
			LogTerm:    n.log.lastTerm(),
			Commit:     0,
			Round:      n.round,
		})
		return
	}
	p.snapshotSentAt = now
	n.send(&pb.RaftMessage{
		Kind:       pb.RaftKind_RAFT_KIND_SNAPSHOT,
		To:         m.GetName(),
		ToIdentity: m.GetIdentity(),
		Snapshot:   n.snap,
		Round:      n.round,
	})
}

// Step processes one received message.
func (n *Node) Step(now time.Duration, m *pb.RaftMessage) {
	if m.GetToIdentity() != n.cfg.Identity {
		// The message is addressed to an earlier identity, whose disk was lost. The
		// rejection carries the new identity, so that the leader can replace the
		// member.
		if m.GetKind() == pb.RaftKind_RAFT_KIND_APPEND {
			n.sendReply(m, 0, true)
		}
		return
	}
	switch m.GetKind() {
	case pb.RaftKind_RAFT_KIND_PRE_VOTE, pb.RaftKind_RAFT_KIND_VOTE:
		n.stepVoteRequest(now, m)
	case pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, pb.RaftKind_RAFT_KIND_VOTE_REPLY:
		n.stepVoteReply(now, m)
	case pb.RaftKind_RAFT_KIND_APPEND, pb.RaftKind_RAFT_KIND_SNAPSHOT:
		n.stepFromLeader(now, m)
	case pb.RaftKind_RAFT_KIND_APPEND_REPLY:
		n.stepAppendReply(now, m)
	case pb.RaftKind_RAFT_KIND_TIMEOUT_NOW:
		n.stepTimeoutNow(now, m)
	}
}

// sendReply answers an append or a snapshot. If it is accepted, match is the last
// index at which the log is known to equal the leader's; otherwise it is the index
// after which the leader should retry.
func (n *Node) sendReply(m *pb.RaftMessage, match uint64, reject bool) {
	n.send(&pb.RaftMessage{
		Kind:       pb.RaftKind_RAFT_KIND_APPEND_REPLY,
		To:         m.GetFrom(),
		ToIdentity: m.GetIdentity(),
		LogIndex:   match,
		Reject:     reject,
		Round:      m.GetRound(),
	})
}

// stepFromLeader processes an append or a snapshot, and follows its sender unless
// the term is old.
func (n *Node) stepFromLeader(now time.Duration, m *pb.RaftMessage) {
	if m.GetTerm() < n.term {
		n.sendReply(m, 0, true)
		return
	}
	n.cfg.Checker.Check(n.role != leader || m.GetTerm() != n.term, "oneLeaderPerTerm",
		"%s is the leader of term %d but received a message from %s as leader of the same term", n.cfg.Name, n.term, m.GetFrom())
	n.becomeFollower(now, m.GetTerm(), m.GetFrom())
	n.lastLeaderMessage = now
	n.resetElection(now)
	if m.GetKind() == pb.RaftKind_RAFT_KIND_SNAPSHOT {
		n.stepSnapshot(m)
		return
	}
	n.stepAppend(m)
}

// stepAppend adds the entries of an append to the log. Entries of another term at
// the same indexes are overwritten. It rejects the append if the log does not
// contain the entry before the first one.
func (n *Node) stepAppend(m *pb.RaftMessage) {
	if m.GetLogIndex() < n.log.base {
		// The append starts before this replica's compacted entries. Everything up
		// to the commit index is identical in all logs, so it matches.
		n.sendReply(m, n.commit, false)
		return
	}
	t, held := n.log.term(m.GetLogIndex())
	if !held || t != m.GetLogTerm() {
		n.sendReply(m, min(n.log.last(), m.GetLogIndex()-1, max(n.commit, m.GetLogIndex()/2)), true)
		return
	}
	for i, e := range m.GetEntries() {
		t, held := n.log.term(e.GetIndex())
		if held && t == e.GetTerm() {
			continue
		}
		if held {
			n.cfg.Checker.Check(e.GetIndex() > n.commit, "committedEntriesNeverChange",
				"%s would overwrite entry %d, but its commit index is %d", n.cfg.Name, e.GetIndex(), n.commit)
			n.log.truncate(e.GetIndex())
			n.unsynced = truncateFrom(n.unsynced, e.GetIndex())
			n.persisted = min(n.persisted, e.GetIndex()-1)
		}
		n.log.append(m.GetEntries()[i:]...)
		n.unsynced = append(n.unsynced, m.GetEntries()[i:]...)
		break
	}
	match := m.GetLogIndex() + uint64(len(m.GetEntries()))
	n.commit = max(n.commit, min(m.GetCommit(), match))
	n.sendReply(m, match, false)
}

// truncateFrom returns the entries of es before index.
func truncateFrom(es []*pb.RaftEntry, index uint64) []*pb.RaftEntry {
	for i, e := range es {
		if e.GetIndex() >= index {
			return es[:i:i]
		}
	}
	return es
}

// stepSnapshot replaces the log by a snapshot, unless it is older than the commit
// index.
func (n *Node) stepSnapshot(m *pb.RaftMessage) {
	s := m.GetSnapshot()
	if s.GetIndex() <= n.commit {
		n.sendReply(m, n.commit, false)
		return
	}
	n.log = entryLog{
		base:        s.GetIndex(),
		baseTerm:    s.GetTerm(),
		baseMembers: s.GetMembers(),
	}
	n.snap, n.pendingSnapshot = s, s
	n.unsynced = nil
	n.commit, n.applied, n.persisted = s.GetIndex(), s.GetIndex(), s.GetIndex()
	n.sendReply(m, s.GetIndex(), false)
}

// stepAppendReply updates the progress of a member, which may commit entries or
// complete a transfer, and sends the member the next entries.
func (n *Node) stepAppendReply(now time.Duration, m *pb.RaftMessage) {
	if n.role != leader {
		if m.GetTerm() > n.term && n.fromMember(m) {
			n.becomeFollower(now, m.GetTerm(), "")
		}
		return
	}
	p := n.peers[m.GetFrom()]
	if p == nil {
		return
	}
	if !n.fromMember(m) {
		p.otherIdentity = m.GetIdentity()
		return
	}
	if m.GetTerm() > n.term {
		n.becomeFollower(now, m.GetTerm(), "")
		return
	}
	if m.GetTerm() < n.term {
		return
	}
	if at, ok := n.sentAt[m.GetRound()]; ok {
		p.ackedSend = max(p.ackedSend, at)
	}
	if m.GetReject() {
		p.next = max(p.match+1, min(p.next, m.GetLogIndex()+1))
		return
	}
	if m.GetLogIndex() > p.match {
		p.match = m.GetLogIndex()
		p.snapshotSentAt = 0
	}
	p.next = max(p.next, p.match+1)
	n.advanceCommit(now)
	n.maybeFinishTransfer()
	if p.next <= n.log.last() {
		if mem := n.member(m.GetFrom()); mem != nil {
			n.sendAppend(now, mem)
		}
	}
}

// advanceCommit raises the commit index to the last entry that a quorum has
// synced, if that entry is of the leader's own term.
func (n *Node) advanceCommit(now time.Duration) {
	var matches []uint64
	for _, m := range n.voters() {
		if m.GetName() == n.cfg.Name {
			matches = append(matches, n.persisted)
			continue
		}
		if p := n.peers[m.GetName()]; p != nil {
			matches = append(matches, p.match)
		}
	}
	at := quorumOf(matches)
	if at <= n.commit {
		return
	}
	if t, _ := n.log.term(at); t != n.term {
		return
	}
	n.commit = at
	if m := n.member(n.cfg.Name); m == nil && n.log.lastMembersIndex() <= n.commit {
		// The entry that removes this replica from the group is committed, so it
		// steps down.
		n.becomeFollower(now, n.term, "")
		return
	}
	// The new commit index is sent to the followers with the next append or
	// heartbeat.
}
