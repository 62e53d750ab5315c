package replica

// This file tests groups that are found by seeds: how they form, take replicas
// in, and go on after disks are lost and machines replaced.

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/raftlog"
	"camphorspoke/internal/control/wal"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

// core joins replicas by address in one process.
type core struct {
	t     *testing.T
	seeds []string
	// base holds the data folders; it outlives the replicas.
	base string

	mu       sync.Mutex
	replicas map[string]*Replica
	stops    map[string]func()
	dirs     map[string]string
	// full holds the addresses whose disks refuse every write.
	full map[string]bool
}

var _ control.Transport = (*core)(nil)

func newCore(t *testing.T, seeds ...string) *core {
	c := &core{
		t:        t,
		seeds:    seeds,
		base:     t.TempDir(),
		replicas: make(map[string]*Replica),
		stops:    make(map[string]func()),
		dirs:     make(map[string]string),
		full:     make(map[string]bool),
	}
	t.Cleanup(func() {
		for address := range c.dirs {
			c.stop(address)
		}
	})
	return c
}

func (c *core) at(address string) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas[address]
}

func (c *core) Send(to string, m *pb.RaftMessage) {
	if r := c.at(to); r != nil {
		r.Deliver(m)
	}
}

func (c *core) State(_ context.Context, to string) (*pb.ReplicaStateResponse, error) {
	r := c.at(to)
	if r == nil {
		return nil, fault.New(fault.NoQuorum, to, "away")
	}
	return &pb.ReplicaStateResponse{
		Instance: nameAt(to),
		Empty:    r.Status().Empty,
		Identity: r.Identity(),
	}, nil
}

// nameAt returns the name of the instance at an address.
func nameAt(address string) string { return "name-" + address }

func (c *core) start(address string, firstStart bool) {
	c.t.Helper()
	if c.dirs[address] == "" {
		c.dirs[address] = filepath.Join(c.base, address)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, stop, err := Start(Config{
		Name:       nameAt(address),
		Address:    address,
		Open:       func() (control.Storage, *wal.Contents, func(), error) { return c.open(address) },
		Seeds:      c.seeds,
		FirstStart: firstStart,
		Voters:     3,
		Transport:  c,
		Logger:     log,
		Election:   150 * time.Millisecond,
		Heartbeat:  30 * time.Millisecond,
		Join:       func(ctx context.Context) error { return c.join(ctx, address) },
		Checker: &invariant.Checker{
			Report: func(name, detail string) { c.t.Errorf("invariant %s: %s", name, detail) },
		},
	})
	require.NoError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas[address], c.stops[address] = r, stop
}

// disk is a data folder that may be full.
type disk struct {
	control.Storage

	full func() bool
}

func (d disk) check() error {
	if d.full() {
		return fault.New(fault.BrokenLog, "disk", "no space is left")
	}
	return nil
}

func (d disk) Append(r *pb.WalRecord) error {
	if err := d.check(); err != nil {
		return err
	}
	return d.Storage.Append(r)
}

func (d disk) Rotate(r *pb.WalRecord) error {
	if err := d.check(); err != nil {
		return err
	}
	return d.Storage.Rotate(r)
}

func (c *core) open(address string) (control.Storage, *wal.Contents, func(), error) {
	log, contents, closeLog, err := wal.Open(c.dirs[address])
	if err != nil {
		return nil, nil, nil, err
	}
	return disk{
		Storage: log,
		full: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.full[address]
		},
	}, contents, closeLog, nil
}

func (c *core) setFull(address string, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full[address] = full
}

func (c *core) stop(address string) {
	c.mu.Lock()
	stop := c.stops[address]
	delete(c.replicas, address)
	delete(c.stops, address)
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (c *core) wipe(address string) {
	c.stop(address)
	require.NoError(c.t, os.RemoveAll(c.dirs[address]))
}

// leader returns a replica that leads, or nil.
func (c *core) leader() *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replicas {
		if r.Leads() {
			return r
		}
	}
	return nil
}

// join is what an instance's client of the control group does.
func (c *core) join(ctx context.Context, address string) error {
	l, r := c.leader(), c.at(address)
	if l == nil || r == nil {
		return fault.New(fault.NoQuorum, address, "no leader")
	}
	return l.Change(ctx, func(n *raftlog.Node, now time.Duration) error {
		next := n.Joined(nameAt(address), address, r.Identity())
		if next == nil {
			return nil
		}
		return n.ProposeMembers(now, next)
	})
}

// propose commits a revision through whoever leads.
func (c *core) propose(revision uint64) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
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

// settled waits until the leader lists just these voters, by address, each
// under the identity of the disk that it has now.
func (c *core) settled(voters ...string) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		var got []string
		for _, m := range l.Status().Members {
			r := c.at(m.GetAddress())
			if !m.GetLearner() && r != nil && r.Identity() == m.GetIdentity() {
				got = append(got, m.GetAddress())
			}
		}
		slices.Sort(got)
		return slices.Equal(got, voters)
	}, 20*time.Second, 20*time.Millisecond)
}

func (c *core) holds(revision uint64) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		got, _ := l.Ledger.Source()
		return got == revision
	}, 20*time.Second, 20*time.Millisecond)
}

func TestSeedsFormOneGroup(t *testing.T) {
	c := newCore(t, "a", "b", "c")
	c.start("d", true)
	c.start("c", true)
	c.start("b", true)
	time.Sleep(300 * time.Millisecond)
	require.Nil(t, c.leader(), "no group without every seed")
	c.start("a", true)
	c.settled("a", "b", "c")
	c.propose(5)
}

// TestNoGroupLater: after the first start, an empty disk never forms a group.
func TestNoGroupLater(t *testing.T) {
	c := newCore(t, "a", "b", "c")
	for _, address := range c.seeds {
		c.start(address, false)
	}
	time.Sleep(time.Second)
	require.Nil(t, c.leader())
}

// TestLostDiskThenPowerLoss: a disk is lost right after an acknowledgement,
// then all machines lose power; nothing acknowledged is lost.
func TestLostDiskThenPowerLoss(t *testing.T) {
	c := newCore(t, "a", "b", "c")
	for _, address := range c.seeds {
		c.start(address, true)
	}
	c.propose(7)
	c.wipe("b")
	c.stop("a")
	c.stop("c")
	for _, address := range c.seeds {
		c.start(address, false)
	}
	c.holds(7)
	c.settled("a", "b", "c")
	c.wipe("c")
	c.start("c", false)
	c.settled("a", "b", "c")
	c.holds(7)
}

// TestReplacedTwice: a machine of the group is gone for good and an empty one
// comes at another address, twice in a row, without an operator.
func TestReplacedTwice(t *testing.T) {
	c := newCore(t, "a", "b", "c")
	for _, address := range c.seeds {
		c.start(address, true)
	}
	c.propose(3)
	c.stop("a")
	c.start("x", false)
	c.settled("b", "c", "x")
	c.propose(4)
	c.stop("b")
	c.start("y", false)
	c.settled("c", "x", "y")
	c.propose(5)
	c.stop("c")
	c.propose(6)
	c.holds(6)
}

// TestSnapshotsBySize: large entries are not kept in the log for long.
func TestSnapshotsBySize(t *testing.T) {
	c := newCore(t, "a")
	c.start("a", true)
	c.settled("a")
	content := make([]byte, 256<<10)
	for i := range uint64(80) {
		_, err := c.leader().Propose(t.Context(), &pb.Command{
			Kind: &pb.Command_EditRules{
				EditRules: &pb.EditRules{
					Revision: i + 1,
					Content:  content,
				},
			},
		})
		require.NoError(t, err)
	}
	entries, err := os.ReadDir(c.dirs["a"])
	require.NoError(t, err)
	var size int64
	for _, e := range entries {
		info, err := e.Info()
		require.NoError(t, err)
		size += info.Size()
	}
	require.Less(t, size, int64(20<<20), "20 MB of entries were written in all; the disk of an instance holds 64 MB with room to spare")
}

// TestFullDisksOneAfterTheOther: each disk refuses all writes for a while, one
// after the other. A replica goes on once its disk does, without a restart, so
// the group never lacks more than one.
func TestFullDisksOneAfterTheOther(t *testing.T) {
	c := newCore(t, "a", "b", "c")
	for _, address := range c.seeds {
		c.start(address, true)
	}
	c.propose(1)
	for i, address := range c.seeds {
		c.setFull(address, true)
		c.propose(uint64(10 * (i + 1)))
		require.Eventually(t, func() bool { return c.at(address).Failed() != nil }, 10*time.Second, 10*time.Millisecond)
		time.Sleep(2 * reopenPause)
		require.Error(t, c.at(address).Failed(), "the disk is still full")
		c.setFull(address, false)
		require.Eventually(t, func() bool { return c.at(address).Failed() == nil }, 10*time.Second, 10*time.Millisecond)
	}
	c.propose(40)
	for _, address := range c.seeds {
		require.Eventually(t, func() bool {
			revision, _ := c.at(address).Ledger.Source()
			return revision == 40
		}, 10*time.Second, 10*time.Millisecond)
	}
}
