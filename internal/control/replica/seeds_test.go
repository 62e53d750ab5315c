package replica

// This file tests groups that are formed from seed addresses: how they form, how
// replicas join, and how they recover from lost disks and replaced machines.

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/raftlog"
	"camphorspoke/internal/control/wal"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// seedGroup runs replicas in one process and is their transport, by address.
type seedGroup struct {
	t     *testing.T
	seeds []string
	// base is the parent of the data folders, which remain when a replica stops.
	base string

	mu       sync.Mutex
	replicas map[string]*Replica
	stops    map[string]func()
	dirs     map[string]string
	// full holds the addresses of the replicas whose disks reject every write.
	full map[string]bool
	// voters is the number of voters that the group wants, 3 if zero, and snapshotEvery
	// after how many entries a snapshot is taken, the default if zero.
	voters        int
	snapshotEvery uint64
}

var _ control.Transport = (*seedGroup)(nil)

// newSeedGroup returns a group without any running replica.
func newSeedGroup(t *testing.T, seeds ...string) *seedGroup {
	g := &seedGroup{
		t:        t,
		seeds:    seeds,
		base:     t.TempDir(),
		replicas: make(map[string]*Replica),
		stops:    make(map[string]func()),
		dirs:     make(map[string]string),
		full:     make(map[string]bool),
	}
	t.Cleanup(func() {
		for address := range g.dirs {
			g.stop(address)
		}
	})
	return g
}

func (g *seedGroup) replica(address string) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[address]
}

func (g *seedGroup) Send(to string, m *pb.RaftMessage) {
	if r := g.replica(to); r != nil {
		r.Deliver(m)
	}
}

func (g *seedGroup) State(_ context.Context, to string) (*pb.ReplicaStateResponse, error) {
	r := g.replica(to)
	if r == nil {
		return nil, fault.New(fault.NoQuorum, to, "the replica is not running")
	}
	return &pb.ReplicaStateResponse{
		Restarted: !r.FirstStart(),
		Instance:  nameAt(to),
		Empty:     r.Status().Empty,
		Identity:  r.Identity(),
	}, nil
}

// nameAt returns the name of the instance at an address.
func nameAt(address string) string { return "name-" + address }

// start starts a replica on the data folder of its address.
func (g *seedGroup) start(address string, firstStart bool) {
	g.t.Helper()
	if g.dirs[address] == "" {
		g.dirs[address] = filepath.Join(g.base, address)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, stop, err := Start(Config{
		Name:       nameAt(address),
		Address:    address,
		Open:       func() (control.Storage, *wal.Contents, func(), error) { return g.open(address) },
		Seeds:      g.seeds,
		FirstStart: firstStart,
		Voters:     cmp.Or(g.voters, 3),
		Transport:  g,

		SnapshotEvery: g.snapshotEvery,

		Logger:    log,
		Election:  150 * time.Millisecond,
		Heartbeat: 30 * time.Millisecond,
		Join:      func(ctx context.Context) error { return g.join(ctx, address) },
		Checker: &invariant.Checker{
			Report: func(name, detail string) { g.t.Errorf("invariant %s: %s", name, detail) },
		},
	})
	require.NoError(g.t, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas[address], g.stops[address] = r, stop
}

// failingStorage is a storage whose writes fail while full returns true. As on a real
// disk, a part of what did not fit is left in the files.
type failingStorage struct {
	control.Storage

	dir  string
	full func() bool
}

func (d failingStorage) writeError() error {
	if d.full() {
		return fault.New(fault.BrokenLog, "disk", "no space is left")
	}
	return nil
}

// leavePart appends the first bytes of a record to a file of the data folder.
func (d failingStorage) leavePart(name string, flags int) {
	f, err := os.OpenFile(filepath.Join(d.dir, name), os.O_WRONLY|os.O_APPEND|flags, 0o640)
	if err != nil {
		return
	}
	defer f.Close()
	_, _ = f.Write([]byte{0, 0, 0, 40, 1, 2, 3}[:rand.IntN(8)])
}

// lastSegment returns the number of the last log file; zero if there is none.
func (d failingStorage) lastSegment() int {
	names, _ := filepath.Glob(filepath.Join(d.dir, "wal-*.log"))
	n := 0
	if len(names) > 0 {
		_, _ = fmt.Sscanf(filepath.Base(slices.Max(names)), "wal-%d.log", &n)
	}
	return n
}

func (d failingStorage) Append(r *pb.WalRecord) error {
	if err := d.writeError(); err != nil {
		d.leavePart(fmt.Sprintf("wal-%016d.log", d.lastSegment()), 0)
		return err
	}
	return d.Storage.Append(r)
}

func (d failingStorage) Rotate(r *pb.WalRecord) error {
	if err := d.writeError(); err != nil {
		d.leavePart(fmt.Sprintf("wal-%016d.log", d.lastSegment()+1), os.O_CREATE)
		return err
	}
	return d.Storage.Rotate(r)
}

func (d failingStorage) SaveSnapshot(s *pb.RaftSnapshot) error {
	if err := d.writeError(); err != nil {
		d.leavePart(fmt.Sprintf("snap-%016d.snap.tmp", s.GetIndex()), os.O_CREATE)
		return err
	}
	return d.Storage.SaveSnapshot(s)
}

// open opens the storage of a replica. Its writes fail while full is set for the
// address.
func (g *seedGroup) open(address string) (control.Storage, *wal.Contents, func(), error) {
	log, contents, closeLog, err := wal.Open(g.dirs[address])
	if err != nil {
		return nil, nil, nil, err
	}
	return failingStorage{
		Storage: log,
		dir:     g.dirs[address],
		full: func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.full[address]
		},
	}, contents, closeLog, nil
}

func (g *seedGroup) setFull(address string, full bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.full[address] = full
}

func (g *seedGroup) stop(address string) {
	g.mu.Lock()
	stop := g.stops[address]
	delete(g.replicas, address)
	delete(g.stops, address)
	g.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// loseDisk stops a replica and deletes its data folder.
func (g *seedGroup) loseDisk(address string) {
	g.stop(address)
	require.NoError(g.t, os.RemoveAll(g.dirs[address]))
}

// leader returns the replica that leads, or nil.
func (g *seedGroup) leader() *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.replicas {
		if r.Leads() {
			return r
		}
	}
	return nil
}

// waitForLeader waits until a replica leads, and returns it.
func (g *seedGroup) waitForLeader() *Replica {
	g.t.Helper()
	var l *Replica
	require.Eventually(g.t, func() bool {
		l = g.leader()
		return l != nil
	}, 20*time.Second, 5*time.Millisecond)
	return l
}

// join adds the replica at an address through the leader. It replaces the request
// that an instance's client of the control group sends.
func (g *seedGroup) join(ctx context.Context, address string) error {
	l, r := g.leader(), g.replica(address)
	if l == nil || r == nil {
		return fault.New(fault.NoQuorum, address, "no leader")
	}
	return l.CallNode(ctx, func(n *raftlog.Node, now time.Duration) error {
		next := n.WithReplica(nameAt(address), address, r.Identity())
		if next == nil {
			return nil
		}
		return n.ProposeMembers(now, next)
	})
}

// propose commits a revision of the rules, retrying at the current leader.
func (g *seedGroup) propose(revision uint64) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		l := g.leader()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
		defer cancel()
		_, err := l.Propose(ctx, &pb.Command{
			Kind: &pb.Command_EditRules{
				EditRules: &pb.EditRules{
					Revision: revision,
					Content:  fmt.Appendf(nil, "rules %d", revision),
				},
			},
		})
		return err == nil
	}, 20*time.Second, 20*time.Millisecond)
}

// waitForVoters waits until the voters that the leader lists under the present
// identity of their disk are exactly those at the given addresses.
func (g *seedGroup) waitForVoters(voters ...string) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		l := g.leader()
		if l == nil {
			return false
		}
		var got []string
		for _, m := range l.Status().Members {
			r := g.replica(m.GetAddress())
			if !m.GetLearner() && r != nil && r.Identity() == m.GetIdentity() {
				got = append(got, m.GetAddress())
			}
		}
		slices.Sort(got)
		return slices.Equal(got, voters)
	}, 20*time.Second, 20*time.Millisecond)
}

// waitForRevision waits until the leader has applied the revision.
func (g *seedGroup) waitForRevision(revision uint64) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		l := g.leader()
		if l == nil {
			return false
		}
		got, _ := l.Ledger.RuleSource()
		return got == revision
	}, 20*time.Second, 20*time.Millisecond)
}

// TestSeedsFormOneGroup checks that a group forms only once every seed runs, and
// that a replica which is no seed does not become a voter of it.
func TestSeedsFormOneGroup(t *testing.T) {
	g := newSeedGroup(t, "a", "b", "c")
	g.start("d", true)
	g.start("c", true)
	g.start("b", true)
	time.Sleep(300 * time.Millisecond)
	require.Nil(t, g.leader(), "a group formed before every seed was running")
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
