package raftlog

// This file defines membership: which replicas count towards a quorum, and how
// the members are changed, one at a time.

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// voterReplaceTimeout is how long a voter may leave messages unacknowledged
// before a learner that has caught up replaces it. It is longer than an
// election, and short enough that a machine that is permanently lost is usually
// replaced before another one fails.
const voterReplaceTimeout = 2500 * time.Millisecond

// member returns the current member of that name, or nil.
func (n *Node) member(name string) *pb.RaftMember {
	for _, m := range n.Members().GetMembers() {
		if m.GetName() == name {
			return m
		}
	}
	return nil
}

// isVoter reports whether this replica is listed as a voter under its present
// identity.
func (n *Node) isVoter() bool {
	m := n.member(n.cfg.Name)
	return m != nil && m.GetIdentity() == n.cfg.Identity && !m.GetLearner()
}

func (n *Node) voters() []*pb.RaftMember {
	var vs []*pb.RaftMember
	for _, m := range n.Members().GetMembers() {
		if !m.GetLearner() {
			vs = append(vs, m)
		}
	}
	return vs
}

// fromMember reports whether the sender of msg is a current member, under the
// identity that the membership lists for it.
func (n *Node) fromMember(msg *pb.RaftMessage) bool {
	m := n.member(msg.GetFrom())
	return m != nil && m.GetIdentity() == msg.GetIdentity()
}

// ProposeMembers appends a membership change to the leader's log. It fails while
// an earlier change is not committed, and until the leader has committed an
// entry of its own term: two uncommitted changes could have disjoint quorums.
func (n *Node) ProposeMembers(now time.Duration, next *pb.RaftMembers) error {
	if n.role != leader {
		return fault.New(fault.NotLeader, n.leaderName, "send the request to the leader")
	}
	t, _ := n.log.term(n.commit)
	if n.log.lastMembersIndex() > n.commit || t != n.term {
		return fault.New(fault.NoQuorum, n.cfg.Name, "an earlier membership change or the leader's first entry is not committed yet; try again")
	}
	if votersChanged(n.Members(), next) > 1 {
		return fault.New(fault.BadRequest, n.cfg.Name, "only one voter can be changed at a time")
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil {
		return fault.Wrap(fault.Internal, "members", err)
	}
	n.appendLocal(pb.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS, data)
	n.syncPeers(now)
	n.broadcast(now)
	return nil
}

// votersChanged returns how many voters, by name and identity, are in only one
// of a and b. Learners are left out, as they count towards no quorum.
func votersChanged(a, b *pb.RaftMembers) int {
	type voter struct {
		name     string
		identity uint64
	}
	in := make(map[voter]int)
	for _, m := range a.GetMembers() {
		if !m.GetLearner() {
			in[voter{name: m.GetName(), identity: m.GetIdentity()}]++
		}
	}
	for _, m := range b.GetMembers() {
		if !m.GetLearner() {
			in[voter{name: m.GetName(), identity: m.GetIdentity()}]--
		}
	}
	count := 0
	for _, d := range in {
		if d != 0 {
			count++
		}
	}
	return count
}

// NextRepair returns the membership after the next step towards a group in which
// every voter works, or nil if there is no step to take. The steps, each of
// which changes at most one voter, are in order of precedence:
//
//   - A member that lost its disk is listed as a learner under its new identity.
//   - If the group has more voters than Config.Voters, the one that has been silent
//     for longest becomes a learner.
//   - A learner that has caught up becomes a voter if the group has fewer voters
//     than Config.Voters, or if that is zero, or if a voter has acknowledged
//     nothing for voterReplaceTimeout. The step before then takes that voter out.
//
// A silent voter is taken out only after its successor has been taken in, as its
// disk may be intact: a group with one voter more bears the loss of as many disks, a
// group with one voter less bears the loss of one less. A voter whose disk is lost
// is taken out first, since it counts as lost either way.
func (n *Node) NextRepair(now time.Duration) *pb.RaftMembers {
	if n.role != leader || n.log.lastMembersIndex() > n.commit {
		return nil
	}
	cur := n.Members().GetMembers()
	if i := slices.IndexFunc(cur, n.lostDisk); i >= 0 {
		return replaced(cur, i, asLearner(cur[i], n.peers[cur[i].GetName()].otherIdentity))
	}
	voters := len(n.voters())
	if i := n.longestSilentVoter(); i >= 0 && n.cfg.Voters > 0 && voters > n.cfg.Voters {
		return replaced(cur, i, asLearner(cur[i], cur[i].GetIdentity()))
	}
	learner := n.caughtUpLearner(now)
	if learner < 0 {
		return nil
	}
	if n.cfg.Voters > 0 && voters >= n.cfg.Voters && !n.lacksVoter(now) {
		return nil
	}
	return replaced(cur, learner, &pb.RaftMember{
		Name:     cur[learner].GetName(),
		Address:  cur[learner].GetAddress(),
		Identity: cur[learner].GetIdentity(),
	})
}

// asLearner returns m as a learner under an identity.
func asLearner(m *pb.RaftMember, identity uint64) *pb.RaftMember {
	return &pb.RaftMember{
		Name:     m.GetName(),
		Address:  m.GetAddress(),
		Identity: identity,
		Learner:  true,
	}
}

// lacksVoter reports whether a voter has acknowledged nothing for
// voterReplaceTimeout.
func (n *Node) lacksVoter(now time.Duration) bool {
	i := n.longestSilentVoter()
	return i >= 0 && now-n.lastAck(n.Members().GetMembers()[i]) >= voterReplaceTimeout
}

// longestSilentVoter returns the position, among the members, of the voter besides
// this replica whose last acknowledgement is the oldest, or -1 if there is no other
// voter.
func (n *Node) longestSilentVoter() int {
	oldest := -1
	members := n.Members().GetMembers()
	for i, m := range members {
		if m.GetLearner() || m.GetName() == n.cfg.Name {
			continue
		}
		if oldest < 0 || n.lastAck(m) < n.lastAck(members[oldest]) {
			oldest = i
		}
	}
	return oldest
}

// lastAck returns when the newest message that m has acknowledged was sent, or
// when this replica became the leader if that is later.
func (n *Node) lastAck(m *pb.RaftMember) time.Duration {
	p := n.peers[m.GetName()]
	if p == nil {
		return n.leaderSince
	}
	return max(p.ackedSend, n.leaderSince)
}

// caughtUpLearner returns the position, among the members, of a learner that has
// caught up and answers, or -1.
func (n *Node) caughtUpLearner(now time.Duration) int {
	return slices.IndexFunc(n.Members().GetMembers(), func(m *pb.RaftMember) bool {
		p := n.peers[m.GetName()]
		return m.GetLearner() && p != nil && p.match > 0 && p.match+maxBatch >= n.log.last() && now-p.ackedSend < n.cfg.Election
	})
}

// replaced returns a copy of members in which m replaces the one at position i.
func replaced(members []*pb.RaftMember, i int, m *pb.RaftMember) *pb.RaftMembers {
	next := slices.Clone(members)
	next[i] = m
	return &pb.RaftMembers{
		Members: next,
	}
}

// WithReplica returns the membership after a replica joins, or nil if it is listed
// with this address and identity already. A replica that joins under a listed
// name with another identity has lost its disk: it replaces the listed member as
// a learner.
func (n *Node) WithReplica(name, address string, identity uint64) *pb.RaftMembers {
	cur := n.Members().GetMembers()
	i := slices.IndexFunc(cur, func(m *pb.RaftMember) bool { return m.GetName() == name })
	if i < 0 {
		return n.WithLearner(name, address, identity)
	}
	if cur[i].GetIdentity() == identity && cur[i].GetAddress() == address {
		return nil
	}
	return replaced(cur, i, &pb.RaftMember{
		Name:     name,
		Address:  address,
		Identity: identity,
		Learner:  cur[i].GetLearner() || cur[i].GetIdentity() != identity,
	})
}

// WithLearner returns the current membership with a learner added. An earlier
// learner of that name is removed.
func (n *Node) WithLearner(name, address string, identity uint64) *pb.RaftMembers {
	next := slices.DeleteFunc(slices.Clone(n.Members().GetMembers()), func(m *pb.RaftMember) bool {
		return m.GetName() == name && m.GetLearner()
	})
	return &pb.RaftMembers{
		Members: append(next, &pb.RaftMember{
			Name:     name,
			Address:  address,
			Identity: identity,
			Learner:  true,
		}),
	}
}

// WithoutMember returns the current membership without the member of that name.
func (n *Node) WithoutMember(name string) *pb.RaftMembers {
	return &pb.RaftMembers{
		Members: slices.DeleteFunc(slices.Clone(n.Members().GetMembers()), func(m *pb.RaftMember) bool {
			return m.GetName() == name
		}),
	}
}

// syncPeers makes the leader's progress table match the current membership. A
// new member counts as not having acknowledged anything within Election.
func (n *Node) syncPeers(now time.Duration) {
	old := n.peers
	n.peers = make(map[string]*progress)
	for _, m := range n.Members().GetMembers() {
		if p := old[m.GetName()]; p != nil && p.otherIdentity == 0 {
			n.peers[m.GetName()] = p
			continue
		}
		n.peers[m.GetName()] = &progress{
			next:      n.log.last() + 1,
			ackedSend: now - n.cfg.Election,
		}
	}
}

// quorumOf returns the largest value that is reached or exceeded by a quorum of
// the values, one for each voter. It sorts them in place.
func quorumOf[T int64 | uint64 | time.Duration](values []T) T {
	if len(values) == 0 {
		var zero T
		return zero
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
