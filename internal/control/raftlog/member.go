package raftlog

// This file defines membership: who counts towards a quorum, and the changes
// of membership, one at a time.

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

// silentAfter is the silence after which a standby takes a voter's place. It is
// longer than an election, and short enough that a machine that is gone for
// good is replaced before the next one may be lost.
const silentAfter = 2500 * time.Millisecond

// member returns the member called name in the members in force, or nil.
func (n *Node) member(name string) *pb.RaftMember {
	for _, m := range n.Members().GetMembers() {
		if m.GetName() == name {
			return m
		}
	}
	return nil
}

// isVoter reports whether this replica, under its identity, may vote.
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

// known reports whether msg comes from a member under its listed identity.
func (n *Node) known(msg *pb.RaftMessage) bool {
	m := n.member(msg.GetFrom())
	return m != nil && m.GetIdentity() == msg.GetIdentity()
}

// ProposeMembers appends a change of membership. It refuses while an earlier
// change is open, or before the leader has committed in its own term: two
// open changes could give disjoint quorums.
func (n *Node) ProposeMembers(now time.Duration, next *pb.RaftMembers) error {
	if n.role != leader {
		return fault.New(fault.NotLeader, n.leaderName, "ask the leader")
	}
	t, _ := n.log.term(n.commit)
	if n.log.lastMembersIndex() > n.commit || t != n.term {
		return fault.New(fault.NoQuorum, n.cfg.Name, "a change of members is open; try again")
	}
	if votersChanged(n.Members(), next) > 1 {
		return fault.New(fault.BadRequest, n.cfg.Name, "change one member at a time")
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil {
		return fault.Wrap(fault.Internal, "members", err)
	}
	n.appendOwn(pb.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS, data)
	n.syncPeers(now)
	n.broadcast(now)
	return nil
}

// votersChanged counts the voters, by name and identity, in which a and b
// differ. Learners count towards no quorum.
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

// NextRepair returns the members after the next step that replaces a replica
// whose disk was lost or promotes a learner that has caught up, or nil. The
// first step drops the old identity from the voters and lists the new one as a
// learner; the second promotes it.
func (n *Node) NextRepair(now time.Duration) *pb.RaftMembers {
	if n.role != leader || n.log.lastMembersIndex() > n.commit {
		return nil
	}
	cur := n.Members().GetMembers()
	for i, m := range cur {
		p := n.peers[m.GetName()]
		if p == nil {
			continue
		}
		if p.foreign != 0 && p.foreign != m.GetIdentity() {
			return replaced(cur, i, &pb.RaftMember{
				Name:     m.GetName(),
				Address:  m.GetAddress(),
				Identity: p.foreign,
				Learner:  true,
			})
		}
	}
	standby := n.standby(now)
	if standby < 0 {
		return nil
	}
	if n.cfg.Voters == 0 || len(n.voters()) < n.cfg.Voters {
		return replaced(cur, standby, &pb.RaftMember{
			Name:     cur[standby].GetName(),
			Address:  cur[standby].GetAddress(),
			Identity: cur[standby].GetIdentity(),
		})
	}
	for i, m := range cur {
		if m.GetLearner() || m.GetName() == n.cfg.Name || now-n.lastHeard(m) < silentAfter {
			continue
		}
		return replaced(cur, i, &pb.RaftMember{
			Name:     m.GetName(),
			Address:  m.GetAddress(),
			Identity: m.GetIdentity(),
			Learner:  true,
		})
	}
	return nil
}

// lastHeard returns when the newest acknowledged message to m was sent, or when
// this replica began to lead, if that is later.
func (n *Node) lastHeard(m *pb.RaftMember) time.Duration {
	p := n.peers[m.GetName()]
	if p == nil {
		return n.leaderSince
	}
	return max(p.ackedSend, n.leaderSince)
}

// standby returns the place of a learner that has caught up, or -1.
func (n *Node) standby(now time.Duration) int {
	return slices.IndexFunc(n.Members().GetMembers(), func(m *pb.RaftMember) bool {
		p := n.peers[m.GetName()]
		return m.GetLearner() && p != nil && p.match > 0 && p.match+maxBatch >= n.log.last() && now-p.ackedSend < n.cfg.Election
	})
}

// replaced returns the members with the i-th one replaced.
func replaced(members []*pb.RaftMember, i int, m *pb.RaftMember) *pb.RaftMembers {
	next := slices.Clone(members)
	next[i] = m
	return &pb.RaftMembers{
		Members: next,
	}
}

// Joined returns the members after a replica has asked to join, or nil when it
// is listed already. Under a listed name with another identity, whose disk was
// lost, it takes the place of the old one as a learner.
func (n *Node) Joined(name, address string, identity uint64) *pb.RaftMembers {
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

// WithLearner returns the members in force with a learner added, and without
// an earlier learner of that name.
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

// Without returns the members in force without the one called name.
func (n *Node) Without(name string) *pb.RaftMembers {
	return &pb.RaftMembers{
		Members: slices.DeleteFunc(slices.Clone(n.Members().GetMembers()), func(m *pb.RaftMember) bool {
			return m.GetName() == name
		}),
	}
}

// syncPeers makes the leader's progress table match the members in force.
func (n *Node) syncPeers(now time.Duration) {
	old := n.peers
	n.peers = make(map[string]*progress)
	for _, m := range n.Members().GetMembers() {
		if p := old[m.GetName()]; p != nil && p.foreign == 0 {
			n.peers[m.GetName()] = p
			continue
		}
		n.peers[m.GetName()] = &progress{
			next:      n.log.last() + 1,
			ackedSend: now - n.cfg.Election,
		}
	}
}

// quorumOf returns the largest value that a quorum of voters reaches.
func quorumOf[T int64 | uint64 | time.Duration](values []T) T {
	if len(values) == 0 {
		var zero T
		return zero
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
