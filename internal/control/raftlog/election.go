package raftlog

// This file defines elections, the leader lease and leadership transfer.

import (
	"time"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Tick does the work that is due at the given time: it starts an election, sends
// heartbeats, or steps down when check-quorum fails.
func (n *Node) Tick(now time.Duration) {
	if n.role == leader {
		n.tickLeader(now)
		return
	}
	if now < n.electionDeadline || !n.isVoter() {
		return
	}
	n.campaign(now, preCandidate, false)
}

// tickLeader steps down if check-quorum fails, ends a transfer that timed out, and
// sends heartbeats.
func (n *Node) tickLeader(now time.Duration) {
	if now-n.quorumAcked(now) > 2*n.cfg.Election && now-n.leaderSince > 2*n.cfg.Election {
		// Check-quorum: a leader that gets no answers from a quorum steps down.
		n.becomeFollower(now, n.term, "")
		return
	}
	if n.transferTo != "" && now >= n.transferDeadline {
		n.transferTo = ""
	}
	if now >= n.nextHeartbeat {
		n.broadcast(now)
	}
}

// campaign requests pre-votes or votes from the other voters. The role to take is
// preCandidate or candidate. If transfer is set, the present leader has requested
// the election, and voters need not wait for its lease to expire.
func (n *Node) campaign(now time.Duration, as role, transfer bool) {
	n.resetElection(now)
	if as == preCandidate && n.cfg.Voters > 0 {
		n.resetPreVote(now)
	}
	n.role = as
	n.leaderName = ""
	n.votes = map[string]bool{n.cfg.Name: true}
	kind, term := pb.RaftKind_RAFT_KIND_PRE_VOTE, n.term+1
	if as == candidate {
		n.term++
		n.vote, n.termLeader = n.cfg.Name, ""
		kind = pb.RaftKind_RAFT_KIND_VOTE
	}
	for _, m := range n.voters() {
		if m.GetName() == n.cfg.Name {
			continue
		}
		n.send(&pb.RaftMessage{
			Kind:       kind,
			To:         m.GetName(),
			ToIdentity: m.GetIdentity(),
			Term:       term,
			LogIndex:   n.log.last(),
			LogTerm:    n.log.lastTerm(),
			Transfer:   transfer,
		})
	}
	n.countVotes(now)
}

// countVotes moves on to the next role if a majority of the voters has granted its
// vote: from preCandidate to candidate, and from candidate to leader.
func (n *Node) countVotes(now time.Duration) {
	granted, total := 0, 0
	for _, m := range n.voters() {
		total++
		if n.votes[m.GetName()] {
			granted++
		}
	}
	if granted*2 <= total {
		return
	}
	switch n.role {
	case preCandidate:
		n.campaign(now, candidate, false)
	case candidate:
		n.becomeLeader(now)
	}
}

// stepVoteRequest answers a request for a vote or a pre-vote.
func (n *Node) stepVoteRequest(now time.Duration, m *pb.RaftMessage) {
	pre := m.GetKind() == pb.RaftKind_RAFT_KIND_PRE_VOTE
	if n.leaseForbidsVote(now, m) {
		// While a leader's lease may hold, no vote is granted and no term adopted.
		return
	}
	if !pre && m.GetTerm() > n.term {
		n.becomeFollower(now, m.GetTerm(), "")
	}
	upToDate := m.GetLogTerm() > n.log.lastTerm() ||
		m.GetLogTerm() == n.log.lastTerm() && m.GetLogIndex() >= n.log.last()
	var grant bool
	if pre {
		grant = upToDate && m.GetTerm() > n.term
	} else {
		grant = upToDate && m.GetTerm() == n.term && (n.vote == "" || n.vote == m.GetFrom())
	}
	kind := pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY
	term := m.GetTerm()
	if !pre {
		kind, term = pb.RaftKind_RAFT_KIND_VOTE_REPLY, n.term
		if grant {
			n.vote = m.GetFrom()
			n.resetElection(now)
		}
	}
	if pre && !grant {
		term = n.term
	}
	n.send(&pb.RaftMessage{
		Kind:       kind,
		To:         m.GetFrom(),
		ToIdentity: m.GetIdentity(),
		Term:       term,
		Reject:     !grant,
	})
}

// leaseForbidsVote reports whether a leader may hold a lease that this replica's
// acknowledgements contributed to, so that no vote may be granted. The leader of
// this replica's own term and the target of a transfer are exempt.
func (n *Node) leaseForbidsVote(now time.Duration, m *pb.RaftMessage) bool {
	if m.GetTransfer() {
		return false
	}
	if n.role == leader {
		return true
	}
	formerLeader := m.GetFrom() == n.termLeader && m.GetTerm() > n.term && n.fromMember(m)
	return !formerLeader && now-n.lastLeaderMessage < n.cfg.Election
}

// stepVoteReply records a granted vote, or adopts a newer term from a rejection.
func (n *Node) stepVoteReply(now time.Duration, m *pb.RaftMessage) {
	if !n.fromMember(m) {
		return
	}
	pre := m.GetKind() == pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY
	if m.GetReject() {
		if m.GetTerm() > n.term {
			n.becomeFollower(now, m.GetTerm(), "")
		}
		return
	}
	switch {
	case pre && n.role == preCandidate && m.GetTerm() == n.term+1:
	case !pre && n.role == candidate && m.GetTerm() == n.term:
	default:
		return
	}
	n.votes[m.GetFrom()] = true
	n.countVotes(now)
}

// becomeFollower takes the role of follower in the given term. An empty leaderName
// means that the leader is unknown.
func (n *Node) becomeFollower(now time.Duration, term uint64, leaderName string) {
	if term > n.term {
		n.term, n.vote, n.termLeader = term, "", ""
	}
	if leaderName != "" {
		n.termLeader = leaderName
	}
	if n.role != follower || n.leaderName != leaderName {
		n.resetElection(now)
	}
	n.role = follower
	n.leaderName = leaderName
	n.peers, n.sentAt, n.transferTo = nil, nil, ""
}

// becomeLeader takes the role of leader and announces it with a first broadcast.
func (n *Node) becomeLeader(now time.Duration) {
	n.role = leader
	n.leaderName, n.termLeader = n.cfg.Name, n.cfg.Name
	n.leaderSince = now
	n.transferTo = ""
	n.sentAt = make(map[uint64]time.Duration)
	n.peers = nil
	n.syncPeers(now)
	// Committing an empty entry of its own term also commits the entries of
	// earlier terms.
	n.appendLocal(pb.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND, nil)
	n.broadcast(now)
}

// quorumAcked returns the latest time t such that a quorum has acknowledged
// messages sent at t or later.
func (n *Node) quorumAcked(now time.Duration) time.Duration {
	var acks []time.Duration
	for _, m := range n.voters() {
		if m.GetName() == n.cfg.Name {
			acks = append(acks, now)
			continue
		}
		if p := n.peers[m.GetName()]; p != nil {
			acks = append(acks, p.ackedSend)
		}
	}
	return quorumOf(acks)
}

// LeaseUntil returns the time until which no other replica can become leader. It
// is zero unless this replica is a leader that has committed an entry of its own
// term, and zero while leadership is transferred.
func (n *Node) LeaseUntil(now time.Duration) time.Duration {
	if n.role != leader || n.transferTo != "" {
		return 0
	}
	if t, _ := n.log.term(n.commit); t != n.term {
		return 0
	}
	span := n.cfg.Election * (100 - MaxDriftPercent) / 100
	return n.quorumAcked(now) + span
}

// LeaseValid reports whether this replica holds the leader lease.
func (n *Node) LeaseValid(now time.Duration) bool { return now < n.LeaseUntil(now) }

// Transfer starts to transfer leadership to the voter whose log is most up to
// date among those that answer. From then on this replica holds no lease and
// accepts no proposals until the transfer times out.
func (n *Node) Transfer(now time.Duration) error {
	if n.role != leader {
		return fault.New(fault.NotLeader, n.leaderName, "only the leader can transfer leadership")
	}
	best := ""
	for _, m := range n.voters() {
		p := n.peers[m.GetName()]
		if m.GetName() == n.cfg.Name || p == nil || now-p.ackedSend > n.cfg.Election {
			continue
		}
		if best == "" || p.match > n.peers[best].match {
			best = m.GetName()
		}
	}
	if best == "" {
		return fault.New(fault.NoQuorum, n.cfg.Name, "no other voter has answered within the election timeout")
	}
	n.transferTo = best
	n.transferDeadline = now + 2*n.cfg.Election
	n.broadcast(now)
	n.maybeFinishTransfer()
	return nil
}

// maybeFinishTransfer makes the target of a transfer campaign at once, by a
// message of kind TIMEOUT_NOW, when it has every entry of the log.
func (n *Node) maybeFinishTransfer() {
	if n.transferTo == "" {
		return
	}
	m, p := n.member(n.transferTo), n.peers[n.transferTo]
	if m == nil || p == nil || p.match != n.log.last() {
		return
	}
	n.send(&pb.RaftMessage{
		Kind:       pb.RaftKind_RAFT_KIND_TIMEOUT_NOW,
		To:         m.GetName(),
		ToIdentity: m.GetIdentity(),
	})
}

// stepTimeoutNow campaigns at once, on request of a leader that transfers its
// leadership.
func (n *Node) stepTimeoutNow(now time.Duration, m *pb.RaftMessage) {
	if m.GetTerm() != n.term || !n.isVoter() || n.role == leader {
		return
	}
	n.campaign(now, candidate, true)
}
