package finder_test

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

	"camphorspoke/internal/daemon/finder"
	"camphorspoke/internal/world/fault"
)

// net joins finders in one process, by peer address.
type net struct {
	mu      sync.Mutex
	finders map[string]*finder.Finder
	// dark are the addresses of machines without power: nobody answers there.
	dark  map[string]bool
	calls int
}

func (n *net) Acquaint(ctx context.Context, address string, control []string, leader string) ([]string, error) {
	n.mu.Lock()
	n.calls++
	f, dark := n.finders[address], n.dark[address]
	n.mu.Unlock()
	if dark {
		<-ctx.Done()
	}
	if f == nil {
		return nil, fault.New(fault.Unreachable, address, "down")
	}
	f.Acquaint(control, leader)
	return f.Known(), nil
}

// instance is one instance with what it has learned.
type instance struct {
	mu      sync.Mutex
	learned []string
	leader  string
	touch   atomic.Bool
}

func (i *instance) learnLeader(leader string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leader = leader
}

func (i *instance) knowsLeader() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leader
}

func (i *instance) learn(control []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.learned = control
}

func (i *instance) knows() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.learned
}

// add starts an instance; one with unheard instances leads.
func (n *net) add(address string, seeds, replica, unheard []string) (*instance, func()) {
	i := &instance{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	list := func(l []string) func() []string { return func() []string { return l } }
	f, stop := finder.New(finder.Config{
		Seeds:   list(seeds),
		InTouch: func() bool { return i.touch.Load() },
		Replica: list(replica),
		Leads: func() (string, []string) {
			if len(unheard) == 0 {
				return "", nil
			}
			return replica[0], unheard
		},
		Learn:       i.learn,
		LearnLeader: i.learnLeader,
		Peers:       n,
		Logger:      log,
	})
	n.mu.Lock()
	n.finders[address] = f
	n.mu.Unlock()
	return i, stop
}

// TestSeedsWithoutReplicas: after a change of seeds and a restart of all, the
// seeds are instances that know nothing; a replica tells them, and they tell
// the rest.
func TestSeedsWithoutReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &net{
			finders: make(map[string]*finder.Finder),
		}
		group := []string{"r1:7340", "r2:7340"}
		seeds := []string{"s1", "s2"}
		s1, stop1 := n.add("s1", seeds, nil, nil)
		other, stop2 := n.add("o", seeds, nil, nil)
		time.Sleep(3 * time.Second)
		require.Empty(t, other.knows())
		_, stop3 := n.add("r1", seeds, group, nil)
		time.Sleep(3 * time.Second)
		require.Equal(t, group, s1.knows())
		require.Equal(t, group, other.knows())
		for _, stop := range []func(){stop1, stop2, stop3} {
			stop()
		}
	})
}

// TestLeaderIsToldAtOnce: after all machines lost power and the seeds were
// exchanged, one seed stays dark and the others know nothing. Who leads is known
// to every instance a fraction of a second after the leader is.
func TestLeaderIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &net{
			finders: make(map[string]*finder.Finder),
			dark:    map[string]bool{"s1": true},
		}
		group := []string{"r1:7340", "r2:7340"}
		seeds := []string{"s1", "s2"}
		s2, stop1 := n.add("s2", seeds, nil, nil)
		other, stop2 := n.add("o", seeds, nil, nil)
		time.Sleep(time.Second)
		r1, stop3 := n.add("r1", seeds, group, []string{"s1", "s2", "o"})
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, group, r1.knows())
		for _, i := range []*instance{s2, other} {
			require.Equal(t, group, i.knows())
			require.Equal(t, group[0], i.knowsLeader())
		}
		for _, stop := range []func(){stop1, stop2, stop3} {
			stop()
		}
	})
}

// TestSeedsAreDown: the leader tells the listed instances that fell silent.
func TestSeedsAreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &net{
			finders: make(map[string]*finder.Finder),
		}
		group := []string{"r1:7340"}
		lost, stop1 := n.add("lost", []string{"down"}, nil, nil)
		_, stop2 := n.add("r1", []string{"down"}, group, []string{"lost"})
		time.Sleep(3 * time.Second)
		require.Equal(t, group, lost.knows())
		stop1()
		stop2()
	})
}

// TestQuietInTouch: an instance in touch asks nobody and takes nobody's word.
func TestQuietInTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &net{
			finders: make(map[string]*finder.Finder),
		}
		i, stop := n.add("i", []string{"s1"}, nil, nil)
		i.touch.Store(true)
		time.Sleep(10 * time.Second)
		n.mu.Lock()
		calls := n.calls
		f := n.finders["i"]
		n.mu.Unlock()
		require.Zero(t, calls)
		f.Confirm([]string{"r1:1"})
		f.Acquaint([]string{"old:1"}, "")
		require.True(t, slices.Equal([]string{"r1:1"}, f.Known()))
		stop()
	})
}
