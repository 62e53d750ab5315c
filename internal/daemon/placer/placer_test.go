package placer_test

// This file connects placers over gRPC and checks that one instance decides for
// all, and that the others fail over when it is unresponsive or stopped.

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"camphorspoke/internal/base/boottime"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/peer"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/rendezvous"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/streamversion"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/parse"
)

const service = "llm"

// instance serves placement streams. It answers nothing on a stream that is opened
// while unresponsive is true.
type instance struct {
	pb.UnimplementedPeerServiceServer

	placer       *placer.Placer
	unresponsive atomic.Bool
	// ignoresExclusions makes it decide like a build that does not read the excluded
	// domains of a request.
	ignoresExclusions atomic.Bool
	// ignoresLimits makes it decide like a build that does not read the limits of servers.
	ignoresLimits atomic.Bool
	// ignoresVersions makes it decide like a build that does not read the version of a request.
	ignoresVersions atomic.Bool
	// record is what it answers when it is asked for the record of a stream; nil for its own records.
	record atomic.Pointer[streamversion.Record]
	// streams counts the placement streams that other instances have opened.
	streams atomic.Int32
	// now is the clock of the instance. frozenFor is added to it, as after a freeze.
	now       func() time.Duration
	frozenFor atomic.Int64
	// listReadAt is a time by which the list was read, on the clock of the instance.
	listReadAt atomic.Int64
	// serving makes all servers answer its health checks that they serve; healthChecks counts these.
	serving      atomic.Bool
	healthChecks atomic.Int32
	stop         func()
}

// readList records a time by which the list was read, which only rises.
func (i *instance) readList(at time.Duration) {
	i.listReadAt.Store(max(i.listReadAt.Load(), int64(at)))
}

// checkHealth asks a server for its health; they all know their names by their addresses.
func (i *instance) checkHealth(_, address string) (edge.Health, bool) {
	i.healthChecks.Add(1)
	name, _, _ := strings.Cut(address, ":")
	return edge.Health{
		Server: name,
		Serves: i.serving.Load(),
	}, true
}

func (i *instance) Place(s grpc.BidiStreamingServer[pb.PlaceRequest, pb.PlaceResponse]) error {
	i.streams.Add(1)
	if i.unresponsive.Load() {
		<-s.Context().Done()
		return s.Context().Err()
	}
	return i.placer.Schedulers().Serve(requests{
		BidiStreamingServer: s,
		instance:            i,
	})
}

// requests is the placement stream of another instance as its instance reads it.
type requests struct {
	grpc.BidiStreamingServer[pb.PlaceRequest, pb.PlaceResponse]

	instance *instance
}

func (r requests) Recv() (*pb.PlaceRequest, error) {
	m, err := r.BidiStreamingServer.Recv()
	if ask := m.GetAsk(); ask != nil && r.instance.ignoresExclusions.Load() {
		ask.ExcludedDomains = nil
	}
	if ask := m.GetAsk(); ask != nil && r.instance.ignoresVersions.Load() {
		ask.Version = ""
	}
	if report := m.GetReport(); report != nil && r.instance.ignoresLimits.Load() {
		report.Limit = nil
	}
	return m, err
}

// caches is a CacheReader for three engines: e2 has a cached prefix, the others are
// unreachable.
type caches struct {
	queries atomic.Int32
}

func (c *caches) ReadCache(_ context.Context, address string) (edge.Cache, error) {
	c.queries.Add(1)
	if address == "e2:1" {
		return edge.Cache{
			Parts: []edge.Part{{ID: 1, Tokens: 2500}, {ID: 100, Tokens: 6000}},
		}, nil
	}
	return edge.Cache{}, fault.New(fault.Unreachable, address, "down")
}

// newFleet starts n instances whose views list all instances and three engines. It also
// returns the rendezvous order of the instances for the service.
func newFleet(t *testing.T, n int, c edge.CacheReader) (map[string]*instance, []string) {
	t.Helper()
	return newFleetUnresponsive(t, n, 0, c)
}

// newRecordingFleet starts a fleet whose instances record quarantines with record. It also
// returns their view.
func newRecordingFleet(t *testing.T, n int, record func(context.Context, *pb.Quarantine) error) (map[string]*instance, []string, *view.View) {
	t.Helper()
	return startFleet(t, n, 0, nil, record)
}

// newFleetUnresponsive starts a fleet like newFleet in which the first unresponsive
// instances in the order of deciders answer on no stream from the start.
func newFleetUnresponsive(t *testing.T, n, unresponsive int, c edge.CacheReader) (map[string]*instance, []string) {
	t.Helper()
	fleet, order, _ := startFleet(t, n, unresponsive, c, nil)
	return fleet, order
}

func startFleet(t *testing.T, n, unresponsive int, c edge.CacheReader, record func(context.Context, *pb.Quarantine) error) (map[string]*instance, []string, *view.View) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f, err := parse.Rules("r", []byte("service llm type=engine slots=8 cache-tokens=100000 # t: t\n"))
	require.NoError(t, err)
	// A decider counts as unresponsive by its answers only in tests that have one. A busy
	// machine keeps sound ones from answering within the default.
	answerTimeout := 5 * time.Second
	if unresponsive > 0 {
		answerTimeout = 0
	}
	clock := boottime.New()
	fleet := make(map[string]*instance)
	var rows []*pb.Instance
	var names []routing.Server
	for i := range n {
		name := fmt.Sprintf("i%d", i)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		peers, closePeers := peer.New(nil)
		in := &instance{}
		in.now = func() time.Duration { return clock.Now() + time.Duration(in.frozenFor.Load()) }
		var stopPlacer func()
		in.placer, stopPlacer = placer.New(placer.Config{
			Now:         in.now,
			LoadBound:   2,
			RetryWindow: 10 * time.Second,
			RetryRatio:  0.2,
			RetrySlack:  5,
			Instance:    name,
			Peers:       peers,
			Records:     peers,
			CacheReader: c,
			ListReadAt:  func() time.Duration { return time.Duration(in.listReadAt.Load()) },
			CheckHealth: in.checkHealth,
			Record:      record,
			Logger:      log,

			AnswerTimeout: answerTimeout,
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
	order := (rendezvous.Picker{}).Order(service, names)
	for _, name := range order[:unresponsive] {
		fleet[name].unresponsive.Store(true)
	}
	for _, in := range fleet {
		in.placer.Update(v)
	}
	return fleet, order, v
}

func newRequest(prefix, last uint64) scheduler.Request {
	return scheduler.Request{
		Parts: []prefixcache.Part{
			{ID: 1, Tokens: 2500},
			{ID: prefix, Tokens: 6000},
			{ID: last, Tokens: 500},
		},
		MaxWait: time.Second,
	}
}

// TestOneInstanceDecides: requests with a common prefix enter at all instances, and
// all are sent to the one engine that has it cached.
func TestOneInstanceDecides(t *testing.T) {
	fleet, order := newFleet(t, 4, nil)
	first := ""
	last := uint64(1000)
	for range 5 {
		for _, in := range fleet {
			last++
			g, err := in.placer.Place(t.Context(), service, newRequest(100, last))
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

// TestUnresponsiveDecider: a decider that accepts the stream but never answers is
// skipped well within a request's timeout, and the next request does not query it
// again.
func TestUnresponsiveDecider(t *testing.T) {
	fleet, order := newFleetUnresponsive(t, 4, 1, nil)
	requester := fleet[order[2]].placer
	start := time.Now()
	g, err := requester.Place(t.Context(), service, newRequest(100, 1))
	require.NoError(t, err)
	require.Equal(t, order[1], g.Decider)
	require.Less(t, time.Since(start), 400*time.Millisecond)
	start = time.Now()
	_, err = requester.Place(t.Context(), service, newRequest(100, 2))
	require.NoError(t, err)
	require.Less(t, time.Since(start), 50*time.Millisecond)
}

// TestFallsBackToOwnSchedulers: when both instances ahead of it in the order have
// stopped, an instance decides by its own schedulers.
func TestFallsBackToOwnSchedulers(t *testing.T) {
	fleet, order := newFleet(t, 3, nil)
	for _, name := range order[:2] {
		fleet[name].stop()
	}
	g, err := fleet[order[2]].placer.Place(t.Context(), service, newRequest(100, 1))
	require.NoError(t, err)
	require.Equal(t, order[2], g.Decider)
}

// TestNextDeciderReceivesCachedPrefixes: after the decider has stopped, the next one
// sends each prefix to the engine that has it cached, because the former decider has
// kept it informed.
func TestNextDeciderReceivesCachedPrefixes(t *testing.T) {
	fleet, order := newFleet(t, 4, nil)
	requester := fleet[order[3]].placer
	placedAt := make(map[uint64]string)
	for prefix := uint64(100); prefix < 112; prefix++ {
		g, err := requester.Place(t.Context(), service, newRequest(prefix, 10_000+prefix))
		require.NoError(t, err)
		placedAt[prefix] = g.Server
		g.Report(scheduler.Report{
			Event: scheduler.Done,
		})
	}
	waitForStandby()
	fleet[order[0]].stop()
	moved := 0
	for prefix, server := range placedAt {
		g, err := requester.Place(t.Context(), service, newRequest(prefix, 20_000+prefix))
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

// waitForStandby waits until the decider has told its standby of all placements, which
// it does every few milliseconds.
func waitForStandby() { time.Sleep(300 * time.Millisecond) }

// TestStoppedInstanceReleasesSlots: after an instance has stopped with 24 requests in
// flight, the decider no longer counts them in the load of the engines.
func TestStoppedInstanceReleasesSlots(t *testing.T) {
	fleet, order := newFleet(t, 3, nil)
	stopping, requester := fleet[order[1]], fleet[order[2]].placer
	for i := range uint64(24) {
		_, err := stopping.placer.Place(t.Context(), service, newRequest(100+i, 1000+i))
		require.NoError(t, err)
	}
	stopping.stop()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		req := newRequest(200, 2000)
		req.MaxWait = time.Millisecond
		g, err := requester.Place(ctx, service, req)
		return err == nil && g.Decider == order[0] && g.Load == 1
	}, 5*time.Second, 20*time.Millisecond)
}

// TestNewDeciderQueriesEngines: a decider that has just started queries each engine
// once for its cached prefixes, and places requests accordingly.
func TestNewDeciderQueriesEngines(t *testing.T) {
	c := &caches{}
	fleet, order := newFleet(t, 1, c)
	p := fleet[order[0]].placer
	_, err := p.Place(t.Context(), service, newRequest(500, 1))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.queries.Load() == 3 }, 5*time.Second, 10*time.Millisecond)
	// The counter rises before the answers are recorded in the scheduler.
	time.Sleep(100 * time.Millisecond)
	g, err := p.Place(t.Context(), service, newRequest(100, 2))
	require.NoError(t, err)
	require.Equal(t, "e2", g.Server)
	require.Equal(t, 8500, g.CachedTokens)
	require.EqualValues(t, 3, c.queries.Load())
}

// TestInformedDeciderSkipsEngineQueries: the decider stops, and the next one does not
// query the engines, because the former decider has kept it informed.
func TestInformedDeciderSkipsEngineQueries(t *testing.T) {
	c := &caches{}
	fleet, order := newFleet(t, 4, c)
	requester := fleet[order[3]].placer
	g, err := requester.Place(t.Context(), service, newRequest(100, 1))
	require.NoError(t, err)
	require.Equal(t, order[0], g.Decider)
	require.Eventually(t, func() bool { return c.queries.Load() == 3 }, 5*time.Second, 10*time.Millisecond)
	waitForStandby()
	fleet[order[0]].stop()
	require.Eventually(t, func() bool {
		next, err := requester.Place(t.Context(), service, newRequest(100, 2))
		return err == nil && next.Decider == order[1] && next.Server == g.Server
	}, 5*time.Second, 50*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.EqualValues(t, 3, c.queries.Load())
}

// TestCancelledRequestLeavesQueue: a waiting request whose context has ended does not
// hold back the next one in the queue.
func TestCancelledRequestLeavesQueue(t *testing.T) {
	fleet, order := newFleet(t, 2, nil)
	requester := fleet[order[1]].placer
	var grants []*placer.Grant
	for i := range uint64(24) {
		g, err := requester.Place(t.Context(), service, newRequest(100+i, 1000+i))
		require.NoError(t, err)
		grants = append(grants, g)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := requester.Place(ctx, service, newRequest(300, 1))
	require.Error(t, err)
	grants[0].Report(scheduler.Report{
		Event: scheduler.Done,
	})
	time.Sleep(50 * time.Millisecond)
	g, err := requester.Place(t.Context(), service, newRequest(301, 2))
	require.NoError(t, err)
	require.Equal(t, order[0], g.Decider)
}

// TestFallbackSkipsEngineQueries: an instance that falls back to its own schedulers,
// because the deciders do not answer, does not query the engines for their cached
// prefixes. Otherwise every instance would query every engine at once.
func TestFallbackSkipsEngineQueries(t *testing.T) {
	c := &caches{}
	fleet, order := newFleetUnresponsive(t, 4, 2, c)
	g, err := fleet[order[3]].placer.Place(t.Context(), service, newRequest(100, 1))
	require.NoError(t, err)
	require.Equal(t, order[3], g.Decider)
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, c.queries.Load())
}

// TestDeciderWithoutTablesIsPassedOver guards against a decider that has just started: it has no
// tables yet, and its answer that there is no server made all instances refuse their requests.
func TestDeciderWithoutTablesIsPassedOver(t *testing.T) {
	fleet, order, v := newRecordingFleet(t, 3, nil)
	fleet[order[0]].placer.Update(v.WithTables(v.Index+1, true, nil, slices.Collect(maps.Values(v.Instances))))
	g, err := fleet[order[2]].placer.Place(t.Context(), service, newRequest(100, 1))
	require.NoError(t, err)
	require.Equal(t, order[1], g.Decider)
	// Where this instance lists no server either, the request is refused at once.
	fleet[order[2]].placer.Update(v.WithTables(v.Index+1, true, nil, slices.Collect(maps.Values(v.Instances))))
	_, err = fleet[order[2]].placer.Place(t.Context(), service, newRequest(100, 2))
	require.Equal(t, fault.NoEngine, fault.KindOf(err))
}

// TestSkippedDecidersCauseNoEngineQueries guards against an instance that gets no timely
// answers, as it is slow itself, and makes one instance after the other query every engine:
// an instance that is no decider by its own view decides without.
func TestSkippedDecidersCauseNoEngineQueries(t *testing.T) {
	c := &caches{}
	fleet, order := newFleetUnresponsive(t, 5, 2, c)
	requester := fleet[order[4]].placer
	require.Eventually(t, func() bool {
		g, err := requester.Place(t.Context(), service, newRequest(100, 1))
		return err == nil && g.Decider == order[2]
	}, 5*time.Second, 10*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, c.queries.Load())
}

// TestStreamsAreOpenBeforeTheFirstRequest: each instance opens its stream to the
// decider when it receives the view, so that its first request does not wait for a
// connection.
func TestStreamsAreOpenBeforeTheFirstRequest(t *testing.T) {
	fleet, order := newFleet(t, 4, nil)
	require.Eventually(t, func() bool { return fleet[order[0]].streams.Load() == 3 }, 5*time.Second, 10*time.Millisecond)
	require.Zero(t, fleet[order[1]].streams.Load())
}
