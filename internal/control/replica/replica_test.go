package replica

// This file tests and measures replicas on real files with sync on, joined by
// channels in place of the network.

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/control"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

// group joins replicas in one process.
type group struct {
	mu       sync.Mutex
	replicas map[string]*Replica
	stops    map[string]func()
	peers    map[string]string
	dirs     map[string]string
	every    uint64
}

var _ control.Transport = (*group)(nil)

func (g *group) at(name string) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[name]
}

func (g *group) Send(to string, m *pb.RaftMessage) {
	if r := g.at(to); r != nil {
		r.Deliver(m)
	}
}

func (g *group) State(_ context.Context, to string) (*pb.ReplicaStateResponse, error) {
	r := g.at(to)
	if r == nil {
		return nil, fault.New(fault.NoQuorum, to, "away")
	}
	return &pb.ReplicaStateResponse{
		Instance: to,
		Empty:    r.Status().Empty,
		Identity: r.Identity(),
	}, nil
}

func startGroup(tb testing.TB, n int, every uint64) *group {
	tb.Helper()
	g := &group{
		replicas: make(map[string]*Replica),
		stops:    make(map[string]func()),
		peers:    make(map[string]string),
		dirs:     make(map[string]string),
		every:    every,
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
		SnapshotEvery: g.every,
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

// TestFarBehindReplica: a replica that was away for hundreds of changes, past
// several snapshots, gets a snapshot and has every change.
func TestFarBehindReplica(t *testing.T) {
	g := startGroup(t, 3, 100)
	l := g.leader(t)
	away := "r0"
	if l.cfg.Name == away {
		away = "r1"
	}
	g.stop(away)
	const changes = 1500
	for n := range changes {
		_, err := l.Propose(context.Background(), claim(n))
		require.NoError(t, err)
	}
	g.start(t, away)
	require.Eventually(t, func() bool {
		return len(g.at(away).Ledger.Claims(true)) == changes
	}, 20*time.Second, 20*time.Millisecond)
}

// TestRestartKeepsAll: a group whose replicas all stop has every acknowledged
// change after the restart.
func TestRestartKeepsAll(t *testing.T) {
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

// BenchmarkCommit measures commits with sync on, from 64 askers at once.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		for _, askers := range []int{1, 64} {
			b.Run(fmt.Sprintf("replicas=%d/askers=%d", n, askers), func(b *testing.B) {
				g := startGroup(b, n, 0)
				l := g.leader(b)
				b.ResetTimer()
				var wg sync.WaitGroup
				next := make(chan int, 1024)
				for range askers {
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

// BenchmarkRestart measures the snapshot and the restart after many changes.
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
