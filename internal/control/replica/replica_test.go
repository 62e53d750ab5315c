package replica

// This file tests and benchmarks replicas that write to real files with sync
// enabled. Direct calls replace the network.

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// group runs replicas in one process and is their transport; the name of a
// replica is its address.
type group struct {
	mu            sync.Mutex
	replicas      map[string]*Replica
	stops         map[string]func()
	peers         map[string]string
	dirs          map[string]string
	snapshotEvery uint64
}

var _ control.Transport = (*group)(nil)

func (g *group) replica(name string) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[name]
}

func (g *group) Send(to string, m *pb.RaftMessage) {
	if r := g.replica(to); r != nil {
		r.Deliver(m)
	}
}

// State returns what the replica would report about itself over the network.
func (g *group) State(_ context.Context, to string) (*pb.ReplicaStateResponse, error) {
	r := g.replica(to)
	if r == nil {
		return nil, fault.New(fault.NoQuorum, to, "the replica is not running")
	}
	return &pb.ReplicaStateResponse{
		Instance: to,
		Empty:    r.Status().Empty,
		Identity: r.Identity(),
	}, nil
}

func (g *group) Form(_ context.Context, to string, _ *pb.FormRequest) (*pb.FormResponse, error) {
	return nil, fault.New(fault.NoQuorum, to, "the group is formed from configured peers")
}

// startGroup starts n replicas and waits until one of them leads.
func startGroup(tb testing.TB, n int, snapshotEvery uint64) *group {
	tb.Helper()
	g := &group{
		replicas:      make(map[string]*Replica),
		stops:         make(map[string]func()),
		peers:         make(map[string]string),
		dirs:          make(map[string]string),
		snapshotEvery: snapshotEvery,
	}
	for i := range n {
		name := fmt.Sprintf("r%d", i)
		g.peers[name] = name
		g.dirs[name] = tb.TempDir()
	}
	for name := range g.peers {
		g.start(tb, name)
	}
	tb.Cleanup(func() {
		for name := range g.peers {
			g.stop(name)
		}
	})
	g.leader(tb)
	return g
}

func (g *group) start(tb testing.TB, name string) {
	tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, stop, err := Start(Config{
		Name:          name,
		DataDir:       g.dirs[name],
		Peers:         g.peers,
		Transport:     g,
		Logger:        log,
		SnapshotEvery: g.snapshotEvery,
		Checker: &invariant.Checker{
			Report: func(name, detail string) { tb.Errorf("invariant %s: %s", name, detail) },
		},
	})
	require.NoError(tb, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas[name], g.stops[name] = r, stop
}

func (g *group) stop(name string) {
	g.mu.Lock()
	stop := g.stops[name]
	delete(g.replicas, name)
	delete(g.stops, name)
	g.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// leader waits for a replica that leads and returns it.
func (g *group) leader(tb testing.TB) *Replica {
	tb.Helper()
	var found *Replica
	require.Eventually(tb, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, r := range g.replicas {
			if r.Leads() {
				found = r
				return true
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
	return found
}

// claim returns the n-th of a series of different commands.
func claim(n int) *pb.Command {
	return &pb.Command{
		Kind: &pb.Command_ClaimKey{
			ClaimKey: &pb.ClaimKey{
				ClientAccount: "account-7",
				Service:       "dispatch-app",
				Key:           fmt.Sprintf("1796364816-key-%010d", n),
				Holder:        "e4",
				Incarnation:   1,
				Attempt:       uint64(n),
				KeyTime:       1796364816,
			},
		},
	}
}

// TestLaggingReplicaInstallsSnapshot checks that a replica that was stopped while
// the others compacted their logs several times receives a snapshot and then has
// every change.
func TestLaggingReplicaInstallsSnapshot(t *testing.T) {
	g := startGroup(t, 3, 100)
	l := g.leader(t)
	lagging := "r0"
	if l.cfg.Name == lagging {
		lagging = "r1"
	}
	g.stop(lagging)
	const changes = 1500
	for n := range changes {
		_, err := l.Propose(context.Background(), claim(n))
		require.NoError(t, err)
	}
	g.start(t, lagging)
	require.Eventually(t, func() bool {
		return len(g.replica(lagging).Ledger.Claims(true)) == changes
	}, 20*time.Second, 20*time.Millisecond)
}

// TestRestartKeepsAcknowledgedChanges checks that a group whose replicas were all
// stopped has every acknowledged change after the restart.
func TestRestartKeepsAcknowledgedChanges(t *testing.T) {
	g := startGroup(t, 3, 50)
	const changes = 230
	for n := range changes {
		_, err := g.leader(t).Propose(context.Background(), claim(n))
		require.NoError(t, err)
	}
	for name := range g.peers {
		g.stop(name)
	}
	for name := range g.peers {
		g.start(t, name)
	}
	require.Len(t, g.leader(t).Ledger.Claims(true), changes)
}

// BenchmarkCommit measures commits with sync enabled, proposed by one caller and
// by 64 concurrent callers.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("replicas=%d/callers=%d", n, callers), func(b *testing.B) {
				g := startGroup(b, n, 0)
				l := g.leader(b)
				b.ResetTimer()
				var wg sync.WaitGroup
				next := make(chan int, 1024)
				for range callers {
					wg.Go(func() {
						for n := range next {
							_, _ = l.Propose(context.Background(), claim(n))
						}
					})
				}
				for n := range b.N {
					next <- n
				}
				close(next)
				wg.Wait()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			})
		}
	}
}

// BenchmarkRestart measures the size of the snapshot and the duration of a restart
// after many changes.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			g := startGroup(b, 1, 0)
			l := g.leader(b)
			var wg sync.WaitGroup
			for a := range 64 {
				wg.Go(func() {
					for n := a; n < changes; n += 64 {
						_, _ = l.Propose(context.Background(), claim(n))
					}
				})
			}
			wg.Wait()
			data, err := l.Ledger.Encode()
			require.NoError(b, err)
			b.ResetTimer()
			for b.Loop() {
				g.stop("r0")
				g.start(b, "r0")
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
		})
	}
}
