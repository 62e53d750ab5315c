package placer_test

// This file joins placers over gRPC: one instance decides for all, and the
// others go on when it is silent or gone.

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/peer"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/rendezvous"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/parse"
	"camphorspoke/internal/world/boottime"
	"camphorspoke/internal/world/fault"
)

const service = "llm"

// instance serves its schedulers, unless it is silent.
type instance struct {
	pb.UnimplementedPeerServiceServer

	placer *placer.Placer
	silent atomic.Bool
	// streams counts the askers that have opened a stream.
	streams atomic.Int32
	stop    func()
}

func (i *instance) Place(s grpc.BidiStreamingServer[pb.PlaceRequest, pb.PlaceResponse]) error {
	i.streams.Add(1)
	if i.silent.Load() {
		<-s.Context().Done()
		return s.Context().Err()
	}
	return i.placer.Schedulers().Serve(s)
}

// caches answers for all engines.
type caches struct {
	asked atomic.Int32
}

func (c *caches) Kept(_ context.Context, address string) ([]edge.Part, error) {
	c.asked.Add(1)
	if address == "e2:1" {
		return []edge.Part{{ID: 1, Tokens: 2500}, {ID: 100, Tokens: 6000}}, nil
	}
	return nil, fault.New(fault.Unreachable, address, "down")
}

// fleet starts instances that list one another and three engines.
func fleet(t *testing.T, n int, c edge.CacheReader) (map[string]*instance, []string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f, err := parse.Rules("r", []byte("service llm type=engine slots=8 cache-tokens=100000 # t: t\n"))
	require.NoError(t, err)
	fleet := make(map[string]*instance)
	var rows []*pb.Instance
	var names []routing.Server
	for i := range n {
		name := fmt.Sprintf("i%d", i)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		peers, closePeers := peer.New(nil)
		in := &instance{}
		var stopPlacer func()
		in.placer, stopPlacer = placer.New(placer.Config{
			Now:         boottime.New().Now,
			Bound:       2,
			RetryWindow: 10 * time.Second,
			RetryRatio:  0.2,
			RetrySlack:  5,
			Instance:    name,
			Peers:       peers,
			Caches:      c,
			Logger:      log,
		})
		s := grpc.NewServer()
		pb.RegisterPeerServiceServer(s, in)
		go s.Serve(l)
		stopped := false
		in.stop = func() {
			if !stopped {
				stopped = true
				s.Stop()
				stopPlacer()
				closePeers()
			}
		}
		t.Cleanup(in.stop)
		fleet[name] = in
		rows = append(rows, &pb.Instance{
			Name:        name,
			PeerAddress: l.Addr().String(),
		})
		names = append(names, routing.Server{
			Name: name,
		})
	}
	var servers []*pb.BackendServer
	for i := range 3 {
		servers = append(servers, &pb.BackendServer{
			Name:    fmt.Sprintf("e%d", i),
			Service: service,
			Address: fmt.Sprintf("e%d:1", i),
		})
	}
	v := (&view.View{}).WithTables(1, true, servers, rows).WithRules(1, nil, f)
	for _, in := range fleet {
		in.placer.Update(v)
	}
	return fleet, (rendezvous.Picker{}).Order(service, names)
}

func ask(subject, own uint64) scheduler.Ask {
	return scheduler.Ask{
		Parts: []prefixcache.Part{
			{ID: 1, Tokens: 2500},
			{ID: subject, Tokens: 6000},
			{ID: own, Tokens: 500},
		},
		Wait: time.Second,
	}
}

// TestOneInstanceDecides: requests on a subject enter at all instances and go
// to the one engine that keeps its prefix.
func TestOneInstanceDecides(t *testing.T) {
	fleet, order := fleet(t, 4, nil)
	first := ""
	own := uint64(1000)
	for range 5 {
		for _, in := range fleet {
			own++
			g, err := in.placer.Place(t.Context(), service, ask(100, own))
			require.NoError(t, err)
			require.Equal(t, order[0], g.Decider)
			if first == "" {
				first = g.Server
			}
			require.Equal(t, first, g.Server)
			require.Equal(t, first+":1", g.Address)
			g.Report(scheduler.Report{
				Event: scheduler.Done,
			})
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// TestSilentDecider: a frozen instance is passed over in a fraction of the time
// that a request has, and not asked again for a while.
func TestSilentDecider(t *testing.T) {
	fleet, order := fleet(t, 4, nil)
	fleet[order[0]].silent.Store(true)
	asker := fleet[order[2]].placer
	start := time.Now()
	g, err := asker.Place(t.Context(), service, ask(100, 1))
	require.NoError(t, err)
	require.Equal(t, order[1], g.Decider)
	require.Less(t, time.Since(start), 400*time.Millisecond)
	start = time.Now()
	_, err = asker.Place(t.Context(), service, ask(100, 2))
	require.NoError(t, err)
	require.Less(t, time.Since(start), 50*time.Millisecond)
}

// TestNobodyElse: with every other instance gone, the own schedulers decide.
func TestNobodyElse(t *testing.T) {
	fleet, order := fleet(t, 3, nil)
	for _, name := range order[:2] {
		fleet[name].stop()
	}
	g, err := fleet[order[2]].placer.Place(t.Context(), service, ask(100, 1))
	require.NoError(t, err)
	require.Equal(t, order[2], g.Decider)
}

// TestNextDeciderKnows: the decider dies; the next one is told by the askers
// which engine keeps what.
func TestNextDeciderKnows(t *testing.T) {
	fleet, order := fleet(t, 4, nil)
	asker := fleet[order[3]].placer
	home := make(map[uint64]string)
	for subject := uint64(100); subject < 112; subject++ {
		g, err := asker.Place(t.Context(), service, ask(subject, 10_000+subject))
		require.NoError(t, err)
		home[subject] = g.Server
		g.Report(scheduler.Report{
			Event: scheduler.Done,
		})
	}
	fleet[order[0]].stop()
	moved := 0
	for subject, server := range home {
		g, err := asker.Place(t.Context(), service, ask(subject, 20_000+subject))
		require.NoError(t, err)
		if g.Decider == order[1] && g.Server != server {
			moved++
		}
		g.Report(scheduler.Report{
			Event: scheduler.Done,
		})
	}
	require.Zero(t, moved)
}

// TestLostAskersPlacesAreFree: an instance dies with requests running; the
// decider does not count them any longer.
func TestLostAskersPlacesAreFree(t *testing.T) {
	fleet, order := fleet(t, 3, nil)
	dying, asker := fleet[order[1]], fleet[order[2]].placer
	for i := range uint64(24) {
		_, err := dying.placer.Place(t.Context(), service, ask(100+i, 1000+i))
		require.NoError(t, err)
	}
	dying.stop()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		a := ask(200, 2000)
		a.Wait = time.Millisecond
		g, err := asker.Place(ctx, service, a)
		return err == nil && g.Decider == order[0] && g.Load == 1
	}, 5*time.Second, 20*time.Millisecond)
}

// TestReadsWhatEnginesKeep: an instance that has just started asks each engine once.
func TestReadsWhatEnginesKeep(t *testing.T) {
	c := &caches{}
	fleet, order := fleet(t, 1, c)
	p := fleet[order[0]].placer
	_, err := p.Place(t.Context(), service, ask(500, 1))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.asked.Load() == 3 }, 5*time.Second, 10*time.Millisecond)
	// The answers are taken in a moment after they were given.
	time.Sleep(100 * time.Millisecond)
	g, err := p.Place(t.Context(), service, ask(100, 2))
	require.NoError(t, err)
	require.Equal(t, "e2", g.Server)
	require.Equal(t, 8500, g.Cached)
	require.EqualValues(t, 3, c.asked.Load())
}

// TestToldDeciderReadsNothing: the decider dies; the next one is told by the
// askers what was placed, and does not ask the engines for it.
func TestToldDeciderReadsNothing(t *testing.T) {
	c := &caches{}
	fleet, order := fleet(t, 4, c)
	asker := fleet[order[3]].placer
	g, err := asker.Place(t.Context(), service, ask(100, 1))
	require.NoError(t, err)
	require.Equal(t, order[0], g.Decider)
	require.Eventually(t, func() bool { return c.asked.Load() == 3 }, 5*time.Second, 10*time.Millisecond)
	fleet[order[0]].stop()
	require.Eventually(t, func() bool {
		next, err := asker.Place(t.Context(), service, ask(100, 2))
		return err == nil && next.Decider == order[1] && next.Server == g.Server
	}, 5*time.Second, 50*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.EqualValues(t, 3, c.asked.Load())
}

// TestWaitingAskerGivesUp: the caller of a waiting request leaves; its place in
// the queue is free.
func TestWaitingAskerGivesUp(t *testing.T) {
	fleet, order := fleet(t, 2, nil)
	asker := fleet[order[1]].placer
	var grants []*placer.Grant
	for i := range uint64(24) {
		g, err := asker.Place(t.Context(), service, ask(100+i, 1000+i))
		require.NoError(t, err)
		grants = append(grants, g)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := asker.Place(ctx, service, ask(300, 1))
	require.Error(t, err)
	grants[0].Report(scheduler.Report{
		Event: scheduler.Done,
	})
	time.Sleep(50 * time.Millisecond)
	g, err := asker.Place(t.Context(), service, ask(301, 2))
	require.NoError(t, err)
	require.Equal(t, order[0], g.Decider)
}

// TestAskersReadNothing: an instance that falls back to its own schedulers, because
// the deciders are silent, does not ask all engines for what they keep.
func TestAskersReadNothing(t *testing.T) {
	c := &caches{}
	fleet, order := fleet(t, 4, c)
	fleet[order[0]].silent.Store(true)
	fleet[order[1]].silent.Store(true)
	g, err := fleet[order[3]].placer.Place(t.Context(), service, ask(100, 1))
	require.NoError(t, err)
	require.Equal(t, order[3], g.Decider)
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, c.asked.Load())
}

// TestStreamsAreOpenBeforeTheFirstRequest: the first request of an instance
// does not wait for a connection to the decider.
func TestStreamsAreOpenBeforeTheFirstRequest(t *testing.T) {
	fleet, order := fleet(t, 4, nil)
	require.Eventually(t, func() bool { return fleet[order[0]].streams.Load() == 3 }, 5*time.Second, 10*time.Millisecond)
	require.Zero(t, fleet[order[1]].streams.Load())
}
