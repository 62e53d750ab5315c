package replica

// This file defines groups that are formed from seed addresses, for the tests of this package.

import (
	"cmp"
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
	return r.State(), nil
}

func (g *seedGroup) Form(ctx context.Context, to string, req *pb.FormRequest) (*pb.FormResponse, error) {
	r := g.replica(to)
	if r == nil {
		return nil, fault.New(fault.NoQuorum, to, "the replica is not running")
	}
	return r.Form(ctx, req)
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

// waitForVoters waits until the voters that the leader lists are exactly those at the
// given addresses, each under the present identity of its disk. One whose replica does not
// run counts as a voter as well, so that a repair that is not complete is waited for.
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
			if !m.GetLearner() && (r == nil || r.Identity() == m.GetIdentity()) {
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
