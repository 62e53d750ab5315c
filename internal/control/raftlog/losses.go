package raftlog

// This file defines how many lost disks a group can bear.

import (
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// LossesToBear returns how many lost disks a group of Config.Voters voters bears; zero if that is
// not set.
func (n *Node) LossesToBear() int {
	if n.cfg.Voters == 0 {
		return 0
	}
	return n.cfg.Voters - majority(n.cfg.Voters)
}

// LossesBorne returns how many more voters may lose their disks while the others can still elect a
// leader. Until a change of the members is committed, the members before it may come into force
// again, so the smaller number counts. It is zero unless this replica leads.
func (n *Node) LossesBorne() int {
	if n.role != leader {
		return 0
	}
	borne := n.lossesBorneBy(n.Members())
	if n.log.lastMembersIndex() > n.commit {
		borne = min(borne, n.lossesBorneBy(n.log.membersAt(n.commit)))
	}
	return max(0, borne)
}

// lossesBorneBy returns how many more voters of a membership may lose their disks. A voter that does
// not answer counts, as its disk may be intact; one whose disk is known to be lost does not.
func (n *Node) lossesBorneBy(members *pb.RaftMembers) int {
	voters, lost := 0, 0
	for _, m := range members.GetMembers() {
		if m.GetLearner() {
			continue
		}
		voters++
		if n.lostDisk(m) {
			lost++
		}
	}
	return voters - lost - majority(voters)
}

// lostDisk reports whether a replica has replied under the name of m with another identity.
func (n *Node) lostDisk(m *pb.RaftMember) bool {
	p := n.peers[m.GetName()]
	return p != nil && p.otherIdentity != 0 && p.otherIdentity != m.GetIdentity()
}

// majority returns the smallest number of voters that are more than half of all.
func majority(voters int) int { return voters/2 + 1 }
