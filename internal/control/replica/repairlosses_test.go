package replica

// This file tests that what was acknowledged outlives the loss of as many disks as the group
// is to bear, also while the group replaces a voter.

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// newRepairGroup returns a running group of six replicas, of which five vote.
func newRepairGroup(t *testing.T) *seedGroup {
	t.Helper()
	g := newSeedGroup(t, "a", "b", "c")
	g.voters = 5
	for _, address := range g.seeds {
		g.start(address, true)
	}
	g.waitForVoters("a", "b", "c")
	g.start("d", false)
	g.start("e", false)
	g.waitForVoters("a", "b", "c", "d", "e")
	g.start("f", false)
	require.Eventually(t, func() bool {
		l := g.leader()
		return l != nil && len(l.Status().Members) == 6
	}, 20*time.Second, 20*time.Millisecond)
	return g
}

// members returns the members that the leader lists, nil while there is none.
func (g *seedGroup) members() []*pb.RaftMember {
	if l := g.leader(); l != nil {
		return l.Status().Members
	}
	return nil
}

// voterAddresses returns the addresses of the voters that the leader lists.
func (g *seedGroup) voterAddresses() []string {
	var out []string
	for _, m := range g.members() {
		if !m.GetLearner() {
			out = append(out, m.GetAddress())
		}
	}
	return out
}

// roles waits for a leader that lists all voters, and returns its address and those of the others, of one
// status. Without a leader there are none, as after a change of it.
func (g *seedGroup) roles() (leader string, followers []string) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		l := g.leader()
		if l == nil {
			return false
		}
		status := l.Status()
		leader, followers = status.LeaderAddress, nil
		for _, m := range status.Members {
			if !m.GetLearner() && m.GetAddress() != leader {
				followers = append(followers, m.GetAddress())
			}
		}
		return leader != "" && len(followers) == g.voters-1
	}, 20*time.Second, time.Millisecond)
	return leader, followers
}

// losePower ends all replicas at the same time, some of them with their disks, and starts all
// again.
func (g *seedGroup) losePower(disks ...string) {
	all := make([]string, 0, len(g.dirs))
	for address := range g.dirs {
		all = append(all, address)
		g.stop(address)
	}
	for _, address := range disks {
		g.loseDisk(address)
	}
	for _, address := range all {
		g.start(address, false)
	}
}

// TestAcknowledgedChangeOutlivesLossesWhileSilentVoterIsReplaced: a voter is silent, its disk is
// intact, and the group takes the first step to replace it. A change is acknowledged, and then
// the leader and another voter lose their disks and all lose power. It guards against a step
// after which the group has fewer voters than it is to have: two of four are no quorum, and
// nothing is ever read back.
func TestAcknowledgedChangeOutlivesLossesWhileSilentVoterIsReplaced(t *testing.T) {
	t.Parallel()
	g := newRepairGroup(t)
	g.propose(1)
	_, followers := g.roles()
	silent, other := followers[0], followers[1]
	before := g.voterAddresses()
	g.stop(silent)
	require.Eventually(t, func() bool {
		now := g.voterAddresses()
		return now != nil && !slices.Equal(now, before)
	}, 20*time.Second, time.Millisecond)
	g.propose(2)
	g.losePower(g.waitForLeader().Status().LeaderAddress, other)
	g.waitForRevision(2)
}

// TestAcknowledgedChangeOutlivesLossesAfterLostDisks: one or two followers have lost their disks
// and are back with empty ones. A change that is acknowledged from then on outlives the loss of
// two further disks at once. It guards against an acknowledgement by a group that is not
// repaired yet, and against a repair that takes seconds.
func TestAcknowledgedChangeOutlivesLossesAfterLostDisks(t *testing.T) {
	for name, count := range map[string]int{"one": 1, "two": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newRepairGroup(t)
			g.propose(1)
			leader, followers := g.roles()
			lost, other := followers[:count], followers[3]
			for _, address := range lost {
				g.loseDisk(address)
				g.start(address, false)
			}
			require.Eventually(t, func() bool {
				return slices.ContainsFunc(g.members(), func(m *pb.RaftMember) bool {
					r := g.replica(lost[0])
					return m.GetAddress() == lost[0] && r != nil && m.GetIdentity() == r.Identity()
				})
			}, 20*time.Second, time.Millisecond)
			g.propose(2)
			g.losePower(leader, other)
			g.waitForRevision(2)
		})
	}
}

// TestChangesContinueWhileGroupCannotBeRepaired: a group lacks voters and there is no replica to
// repair it with. It guards against an acknowledgement that is held back for good, or each time
// anew, because a machine does not return.
func TestChangesContinueWhileGroupCannotBeRepaired(t *testing.T) {
	t.Parallel()
	g := newSeedGroup(t, "a", "b", "c")
	g.voters = 5
	for _, address := range g.seeds {
		g.start(address, true)
	}
	g.propose(1)
	l := g.waitForLeader()
	require.Equal(t, 1, l.Status().LossesBorne)
	require.GreaterOrEqual(t, l.Now()-l.Status().BelowTargetSince, maxRepairWait)
	start := l.Now()
	g.propose(2)
	require.Less(t, l.Now()-start, maxRepairWait, "a change was held back although the time for a repair had passed")
}
