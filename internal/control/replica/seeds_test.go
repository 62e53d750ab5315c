package replica

// This file tests groups that are formed from seed addresses: how they form, how
// replicas join, and how they recover from lost disks and replaced machines.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// TestSeedsFormOneGroup checks that a seed which starts a little later than the others is waited for,
// and that a replica which is no seed does not become a voter of the group.
func TestSeedsFormOneGroup(t *testing.T) {
	g := newSeedGroup(t, "a", "b", "c")
	g.start("d", true)
	g.start("c", true)
	g.start("b", true)
	time.Sleep(300 * time.Millisecond)
	require.Nil(t, g.leader(), "a group formed before the last seed, which starts 0.3 s later")
	g.start("a", true)
	g.waitForVoters("a", "b", "c")
	g.propose(5)
}

// TestSeedRestartedInTheFirstStart: seeds are killed before the group has formed, and come back
// without the right to form it, on their disks or on new ones. Another seed forms the group,
// and only one group forms.
func TestSeedRestartedInTheFirstStart(t *testing.T) {
	for name, restarted := range map[string][]string{
		"first seed":     {"a"},
		"second seed":    {"b"},
		"first two":      {"a", "b"},
		"first and last": {"a", "c"},
	} {
		for _, newDisk := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, new disk %t", name, newDisk), func(t *testing.T) {
				t.Parallel()
				g := newSeedGroup(t, "a", "b", "c")
				for _, address := range restarted {
					g.start(address, true)
				}
				time.Sleep(100 * time.Millisecond)
				for _, address := range restarted {
					g.stop(address)
					if newDisk {
						g.loseDisk(address)
					}
					g.start(address, false)
				}
				for _, address := range g.seeds {
					if !slices.Contains(restarted, address) {
						g.start(address, true)
					}
				}
				g.waitForVoters("a", "b", "c")
				g.propose(1)
			})
		}
	}
}

// TestSeedThatStaysDownDoesNotKeepTheGroupFromForming: one of three seeds never starts, or is killed while
// the others wait, and these are restarted before a group has formed. They form it, and the
// third one joins when it comes. Before, the system stayed down until all seeds were there,
// and for good once each had been restarted.
func TestSeedThatStaysDownDoesNotKeepTheGroupFromForming(t *testing.T) {
	for name, restarted := range map[string]bool{"never restarted": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newSeedGroup(t, "a", "b", "c")
			for _, address := range []string{"a", "b"} {
				g.start(address, true)
				if restarted {
					time.Sleep(100 * time.Millisecond)
					g.stop(address)
				}
			}
			if restarted {
				g.start("c", true)
				time.Sleep(100 * time.Millisecond)
				g.stop("c")
				g.start("a", false)
				g.start("b", false)
			}
			g.propose(1)
			g.waitForVoters("a", "b")
			g.start("c", !restarted)
			g.waitForVoters("a", "b", "c")
			g.waitForRevision(1)
		})
	}
}

// TestVotesOnTheFormationOutliveTheLogFile: what a seed has promised is on disk, and stays there when a new
// file of the log begins and when the disk is read again after a failure.
func TestVotesOnTheFormationOutliveTheLogFile(t *testing.T) {
	g := newSeedGroup(t, "a", "b", "c")
	g.start("a", true)
	ballot := &pb.FormationBallot{
		Round:    7,
		Proposer: "b",
	}
	resp, err := g.replica("a").Form(t.Context(), &pb.FormRequest{
		Kind: &pb.FormRequest_Prepare{
			Prepare: ballot,
		},
	})
	require.NoError(t, err)
	require.True(t, resp.GetGranted())
	g.setFull("a", true)
	_, err = g.replica("a").Form(t.Context(), &pb.FormRequest{
		Kind: &pb.FormRequest_Prepare{
			Prepare: &pb.FormationBallot{
				Round: 8,
			},
		},
	})
	require.Error(t, err, "a promise that is not on disk")
	require.Eventually(t, func() bool { return g.replica("a").Failed() != nil }, 5*time.Second, time.Millisecond)
	g.setFull("a", false)
	require.Eventually(t, func() bool { return g.replica("a").Failed() == nil }, 5*time.Second, 10*time.Millisecond)
	for range 2 {
		state := g.replica("a").formation.Load()
		require.EqualValues(t, 7, state.GetPromised().GetRound())
		require.True(t, state.GetVoter())
		g.stop("a")
		g.start("a", false)
	}
	resp, err = g.replica("a").Form(t.Context(), &pb.FormRequest{
		Kind: &pb.FormRequest_Prepare{
			Prepare: ballot,
		},
	})
	require.NoError(t, err)
	require.True(t, resp.GetGranted())
}

// TestNoGroupAfterFirstStart checks that replicas with empty disks form no group
// unless FirstStart is set. Otherwise replicas that lost their disks could form a
// second, empty group.
func TestNoGroupAfterFirstStart(t *testing.T) {
	g := newSeedGroup(t, "a", "b", "c")
	for _, address := range g.seeds {
		g.start(address, false)
	}
	time.Sleep(time.Second)
	require.Nil(t, g.leader())
}

// TestLostDiskThenPowerLoss checks that nothing acknowledged is lost if a disk is
// lost right after an acknowledgement and then all machines lose power.
func TestLostDiskThenPowerLoss(t *testing.T) {
	g := newSeedGroup(t, "a", "b", "c")
	for _, address := range g.seeds {
		g.start(address, true)
	}
	g.propose(7)
	g.loseDisk("b")
	g.stop("a")
	g.stop("c")
	for _, address := range g.seeds {
		g.start(address, false)
	}
	g.waitForRevision(7)
	g.waitForVoters("a", "b", "c")
	g.loseDisk("c")
	g.start("c", false)
	g.waitForVoters("a", "b", "c")
	g.waitForRevision(7)
}

// TestTwoMachinesReplacedInTurn checks that the group replaces a voter without an
// operator when its machine is lost for good and an empty one starts at another
// address, twice in a row.
func TestTwoMachinesReplacedInTurn(t *testing.T) {
	g := newSeedGroup(t, "a", "b", "c")
	for _, address := range g.seeds {
		g.start(address, true)
	}
	g.propose(3)
	g.stop("a")
	g.start("x", false)
	g.waitForVoters("b", "c", "x")
	g.propose(4)
	g.stop("b")
	g.start("y", false)
	g.waitForVoters("c", "x", "y")
	g.propose(5)
	g.stop("c")
	g.propose(6)
	g.waitForRevision(6)
}

// TestSnapshotsBySize checks that large entries lead to snapshots before
// SnapshotEvery entries are applied, so that the log does not fill a small disk.
func TestSnapshotsBySize(t *testing.T) {
	g := newSeedGroup(t, "a")
	g.start("a", true)
	g.waitForVoters("a")
	content := make([]byte, 256<<10)
	for i := range uint64(80) {
		_, err := g.waitForLeader().Propose(t.Context(), &pb.Command{
			Kind: &pb.Command_EditRules{
				EditRules: &pb.EditRules{
					Revision: i + 1,
					Content:  content,
				},
			},
		})
		require.NoError(t, err)
	}
	entries, err := os.ReadDir(g.dirs["a"])
	require.NoError(t, err)
	var size int64
	for _, e := range entries {
		info, err := e.Info()
		require.NoError(t, err)
		size += info.Size()
	}
	require.Less(t, size, int64(20<<20), "the data folder must stay smaller than the 20 MB of entries written; the disk of an instance holds 64 MB")
}

// TestDisksFullInTurn makes each disk in turn reject all writes for a while. Each
// replica must recover without a restart once its disk accepts writes again, so
// that the group never lacks more than one replica and commits throughout.
func TestDisksFullInTurn(t *testing.T) {
	g := newSeedGroup(t, "a", "b", "c")
	for _, address := range g.seeds {
		g.start(address, true)
	}
	g.propose(1)
	for i, address := range g.seeds {
		g.setFull(address, true)
		g.propose(uint64(10 * (i + 1)))
		require.Eventually(t, func() bool { return g.replica(address).Failed() != nil }, 10*time.Second, 10*time.Millisecond)
		time.Sleep(2 * reopenRetryInterval)
		require.Error(t, g.replica(address).Failed(), "the replica must report a failure while its disk is full")
		g.setFull(address, false)
		require.Eventually(t, func() bool { return g.replica(address).Failed() == nil }, 10*time.Second, 10*time.Millisecond)
	}
	g.propose(40)
	for _, address := range g.seeds {
		require.Eventually(t, func() bool {
			revision, _ := g.replica(address).Ledger.RuleSource()
			return revision == 40
		}, 10*time.Second, 10*time.Millisecond)
	}
}

// TestDisksFullInSeries makes one disk after another reject all writes, the leader's often,
// also while snapshots and votes are written, and with no pause between two. Never two are
// full at once. Changes must be committed meanwhile and after it.
func TestDisksFullInSeries(t *testing.T) {
	for name, c := range map[string]struct{ seeds, others, voters int }{
		"three disks":                {seeds: 3, voters: 3},
		"four disks":                 {seeds: 3, others: 1, voters: 3},
		"six disks, two may be lost": {seeds: 3, others: 3, voters: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := []string{"a", "b", "c", "d", "e", "f"}[:c.seeds+c.others]
			g := newSeedGroup(t, all[:c.seeds]...)
			g.voters, g.snapshotEvery = c.voters, 5
			for _, address := range all {
				g.start(address, true)
			}
			rng := rand.New(rand.NewPCG(7, uint64(len(all))))
			revision := uint64(0)
			proposeSome := func(n int) {
				for range n {
					revision++
					g.propose(revision)
				}
			}
			proposeSome(3)
			for range 12 {
				address := all[rng.IntN(len(all))]
				if l := g.leader(); l != nil && rng.IntN(2) == 0 {
					address = l.Status().LeaderAddress
				}
				g.setFull(address, true)
				proposeSome(1 + rng.IntN(12))
				time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
				g.setFull(address, false)
			}
			proposeSome(10)
			for _, address := range all {
				require.Eventually(t, func() bool {
					got, _ := g.replica(address).Ledger.RuleSource()
					return g.replica(address).Failed() == nil && got == revision
				}, 15*time.Second, 10*time.Millisecond, "%s lags behind", address)
			}
		})
	}
}
