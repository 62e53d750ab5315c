package raftlog

// This file defines replication: proposals, appends and snapshots.

import (
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

// Propose appends data to the log of a leader and returns where it stands.
// It is committed when an entry of that index and term is handed out.
func (n *Node) Propose(now time.Duration, data ...[]byte) (first, term uint64, err error) {
	if n.role != leader || n.transferTo != "" {
		return 0, 0, fault.New(fault.NotLeader, n.leaderName, "ask the leader")
	}
	first = n.log.last() + 1
	for _, d := range data {
		n.appendOwn(pb.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND, d)
	}
	n.broadcast(now)
	return first, n.term, nil
}

func (n *Node) appendOwn(kind pb.RaftEntryKind, data []byte) {
	e := &pb.RaftEntry{
		Index: n.log.last() + 1,
		Term:  n.term,
		Kind:  kind,
		Data:  data,
	}
	n.log.append(e)
	n.unsynced = append(n.unsynced, e)
}

// broadcast opens a round: every member gets its missing entries, or none.
func (n *Node) broadcast(now time.Duration) {
	n.heartbeatAt = now + n.cfg.Heartbeat
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

// sendSnapshot sends the whole state, at most once an election timeout; in
// between an empty append keeps the lease of the leader alive.
func (n *Node) sendSnapshot(now time.Duration, m *pb.RaftMember, p *progress) {
	if p.snapshotAt != 0 && now-p.snapshotAt < n.cfg.Election {
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
	p.snapshotAt = now
	n.send(&pb.RaftMessage{
		Kind:       pb.RaftKind_RAFT_KIND_SNAPSHOT,
		To:         m.GetName(),
		ToIdentity: m.GetIdentity(),
		Snapshot:   n.snap,
		Round:      n.round,
	})
}

// Step takes one message.
func (n *Node) Step(now time.Duration, m *pb.RaftMessage) {
	if m.GetToIdentity() != n.cfg.Identity {
		// Meant for a disk that is gone. Saying so lets the leader replace it.
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

func (n *Node) stepFromLeader(now time.Duration, m *pb.RaftMessage) {
	if m.GetTerm() < n.term {
		n.sendReply(m, 0, true)
		return
	}
	n.cfg.Checker.Holds(n.role != leader || m.GetTerm() != n.term, "oneLeaderPerTerm",
		"%s leads term %d and heard %s lead it", n.cfg.Name, n.term, m.GetFrom())
	n.becomeFollower(now, m.GetTerm(), m.GetFrom())
	n.leaderSeen = now
	n.resetElection(now)
	if m.GetKind() == pb.RaftKind_RAFT_KIND_SNAPSHOT {
		n.stepSnapshot(m)
		return
	}
	n.stepAppend(m)
}

func (n *Node) stepAppend(m *pb.RaftMessage) {
	if m.GetLogIndex() < n.log.base {
		// The leader is behind what this replica has compacted: all of it is
		// committed, so the match is at least the base.
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
			n.cfg.Checker.Holds(e.GetIndex() > n.commit, "committedEntriesNeverChange",
				"%s would overwrite %d, committed %d", n.cfg.Name, e.GetIndex(), n.commit)
			n.log.truncate(e.GetIndex())
			n.unsynced = trimFrom(n.unsynced, e.GetIndex())
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

// trimFrom drops the entries at index and after.
func trimFrom(es []*pb.RaftEntry, index uint64) []*pb.RaftEntry {
	for i, e := range es {
		if e.GetIndex() >= index {
			return es[:i:i]
		}
	}
	return es
}

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
	n.snap, n.install = s, s
	n.unsynced = nil
	n.commit, n.applied, n.persisted = s.GetIndex(), s.GetIndex(), s.GetIndex()
	n.sendReply(m, s.GetIndex(), false)
}

func (n *Node) stepAppendReply(now time.Duration, m *pb.RaftMessage) {
	if n.role != leader {
		if m.GetTerm() > n.term && n.known(m) {
			n.becomeFollower(now, m.GetTerm(), "")
		}
		return
	}
	p := n.peers[m.GetFrom()]
	if p == nil {
		return
	}
	if !n.known(m) {
		p.foreign = m.GetIdentity()
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
		p.snapshotAt = 0
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

// advanceCommit commits what a quorum has synced in the leader's own term.
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
		// Removed from the group: the change is committed, so stop leading.
		n.becomeFollower(now, n.term, "")
		return
	}
	// Followers learn the commit index at once, so that a read through a
	// successor does not wait for the next heartbeat.
}
