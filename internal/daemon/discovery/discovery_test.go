package discovery_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/discovery"
)

// network connects finders within one process, by peer address.
type network struct {
	mu      sync.Mutex
	finders map[string]*discovery.Finder
	// poweredOff holds the addresses of machines without power; calls to them
	// last until their timeout.
	poweredOff map[string]bool
	exchanges  int
}

func (n *network) Acquaint(ctx context.Context, address string, control []string, leader string) ([]string, error) {
	n.mu.Lock()
	n.exchanges++
	f, poweredOff := n.finders[address], n.poweredOff[address]
	n.mu.Unlock()
	if poweredOff {
		<-ctx.Done()
	}
	if f == nil {
		return nil, fault.New(fault.Unreachable, address, "down")
	}
	f.ReceiveAddresses(control, leader)
	return f.ControlAddresses(), nil
}

// instance holds the addresses that one finder has reported.
type instance struct {
	mu               sync.Mutex
	controlAddresses []string
	leader           string
	controlReachable atomic.Bool
}

func (i *instance) setLeader(leader string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leader = leader
}

func (i *instance) lastLeader() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leader
}

func (i *instance) setControlAddresses(control []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.controlAddresses = control
}

func (i *instance) lastControlAddresses() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.controlAddresses
}

// start runs the finder of an instance. An instance with unresponsive instances
// acts as the leader of the control group.
func (n *network) start(address string, seeds, replica, unresponsive []string) (*instance, func()) {
	i := &instance{}
	return i, n.run(i, address, seeds, replica, unresponsive)
}

// run runs the finder of the given instance.
func (n *network) run(i *instance, address string, seeds, replica, unresponsive []string) func() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	fixed := func(l []string) func() []string { return func() []string { return l } }
	f, stop := discovery.New(discovery.Config{
		Seeds:            fixed(seeds),
		ControlReachable: func() bool { return i.controlReachable.Load() },
		ReplicaMembers:   fixed(replica),
		LeaderState: func() (string, []string) {
			if len(unresponsive) == 0 {
				return "", nil
			}
			return replica[0], unresponsive
		},
		OnControlAddresses: i.setControlAddresses,
		OnLeader:           i.setLeader,
		Peers:              n,
		Logger:             log,
	})
	n.mu.Lock()
	n.finders[address] = f
	n.mu.Unlock()
	return stop
}

// TestReplicaAnnouncesGroupToSeeds: when no seed has a replica or any addresses,
// as after a change of the seeds and a restart of all instances, a replica
// announces the group to the seeds, and the other instances get the addresses
// from them.
func TestReplicaAnnouncesGroupToSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{
			finders: make(map[string]*discovery.Finder),
		}
		group := []string{"r1:7340", "r2:7340"}
		seeds := []string{"s1", "s2"}
		s1, stop1 := n.start("s1", seeds, nil, nil)
		other, stop2 := n.start("o", seeds, nil, nil)
		time.Sleep(3 * time.Second)
		require.Empty(t, other.lastControlAddresses())
		_, stop3 := n.start("r1", seeds, group, nil)
		time.Sleep(3 * time.Second)
		require.Equal(t, group, s1.lastControlAddresses())
		require.Equal(t, group, other.lastControlAddresses())
		for _, stop := range []func(){stop1, stop2, stop3} {
			stop()
		}
	})
}

// TestLeaderIsAnnouncedQuickly: when one seed is without power and no other
// instance without a replica has any addresses, as after a power loss of all
// machines and a change of the seeds, each of these receives the leader's address
// within 200 ms of the leader's start.
func TestLeaderIsAnnouncedQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{
			finders:    make(map[string]*discovery.Finder),
			poweredOff: map[string]bool{"s1": true},
		}
		group := []string{"r1:7340", "r2:7340"}
		seeds := []string{"s1", "s2"}
		s2, stop1 := n.start("s2", seeds, nil, nil)
		other, stop2 := n.start("o", seeds, nil, nil)
		time.Sleep(time.Second)
		r1, stop3 := n.start("r1", seeds, group, []string{"s1", "s2", "o"})
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, group, r1.lastControlAddresses())
		for _, i := range []*instance{s2, other} {
			require.Equal(t, group, i.lastControlAddresses())
			require.Equal(t, group[0], i.lastLeader())
		}
		for _, stop := range []func(){stop1, stop2, stop3} {
			stop()
		}
	})
}

// TestLeaderAnnouncesGroupWhileSeedsAreDown: without a reachable seed, a listed
// instance whose heartbeats have stopped gets the addresses from the leader.
func TestLeaderAnnouncesGroupWhileSeedsAreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{
			finders: make(map[string]*discovery.Finder),
		}
		group := []string{"r1:7340"}
		disconnected, stop1 := n.start("lost", []string{"down"}, nil, nil)
		_, stop2 := n.start("r1", []string{"down"}, group, []string{"lost"})
		time.Sleep(3 * time.Second)
		require.Equal(t, group, disconnected.lastControlAddresses())
		stop1()
		stop2()
	})
}

// TestQuietInTouch: an instance in contact with the control group sends no
// queries and ignores addresses that other instances announce.
func TestQuietInTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{
			finders: make(map[string]*discovery.Finder),
		}
		i := &instance{}
		i.controlReachable.Store(true)
		stop := n.run(i, "i", []string{"s1"}, nil, nil)
		time.Sleep(10 * time.Second)
		n.mu.Lock()
		exchanges := n.exchanges
		f := n.finders["i"]
		n.mu.Unlock()
		require.Zero(t, exchanges)
		f.ReplaceAddresses([]string{"r1:1"})
		f.ReceiveAddresses([]string{"old:1"}, "")
		require.True(t, slices.Equal([]string{"r1:1"}, f.ControlAddresses()))
		stop()
	})
}

// TestQueriesBackOff: while the control group does not answer, the queries of an
// instance become rarer. Hundreds of instances that start at once would otherwise keep
// the seeds busy, among which the leader is elected.
func TestQueriesBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{
			finders: make(map[string]*discovery.Finder),
		}
		_, stop := n.start("i", []string{"s1"}, nil, nil)
		count := func() int {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.exchanges
		}
		time.Sleep(200 * time.Millisecond)
		require.Zero(t, count(), "the seeds' replicas are tried first")
		time.Sleep(800 * time.Millisecond)
		require.GreaterOrEqual(t, count(), 3, "the first queries follow one another quickly")
		time.Sleep(9 * time.Second)
		require.LessOrEqual(t, count(), 16)
		stop()
	})
}
