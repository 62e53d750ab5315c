package manager_test

// This file tests the start of a large fleet over links of limited bandwidth.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/check/memorydisk"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/tables"
	"camphorspoke/internal/daemon/membership"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

const (
	manyRouters = 300
	manyServers = 3000
	// replicaMbps and routerMbps are the bandwidths of the links, in Mbit/s.
	replicaMbps = 100
	routerMbps  = 10
	// framingBytes is added to each message for its headers.
	framingBytes = 250
	// attemptTimeout bounds one attempt of a heartbeat, as in controlclient.
	attemptTimeout = 300 * time.Millisecond
	// startTime is how long a fleet may take to have every table everywhere.
	startTime = 3 * time.Second
	// restartTime is how long a fleet may take after a restart of all its routers.
	restartTime = 1500 * time.Millisecond
)

// bandwidthLink delays messages by the time that they and those before them take.
type bandwidthLink struct {
	mbps float64

	mu        sync.Mutex
	busyUntil time.Time
}

// transfer returns once the link has carried the given number of bytes.
func (l *bandwidthLink) transfer(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) * 8 / l.mbps * float64(time.Microsecond)))
	done := l.busyUntil
	l.mu.Unlock()
	time.Sleep(time.Until(done))
}

// linkedClient is the control.Client of one router, over links of limited bandwidth.
type linkedClient struct {
	control.Client

	sim      *simulation
	replicas map[string]*bandwidthLink
	sources  map[string]*tables.Source
	own      *bandwidthLink
}

// Heartbeat sends a heartbeat to the leader until it is answered in time. The answer
// to an attempt that has timed out takes bandwidth all the same.
func (c *linkedClient) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	for ctx.Err() == nil {
		for name, link := range c.replicas {
			n := c.sim.node(name)
			answered := make(chan *pb.HeartbeatResponse, 1)
			go func() {
				time.Sleep(c.sim.delay())
				resp, err := n.manager.Heartbeat(ctx, r)
				if err != nil {
					answered <- nil
					return
				}
				size := proto.Size(resp) + framingBytes
				link.transfer(size)
				c.own.transfer(size)
				answered <- resp
			}()
			select {
			case resp := <-answered:
				if resp != nil {
					return resp, nil
				}
			case <-time.After(attemptTimeout):
			case <-ctx.Done():
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fault.New(fault.NoQuorum, "control", "no answer in time")
}

// Tables reads the rows of a random replica that does not lead.
func (c *linkedClient) Tables(ctx context.Context, r *pb.TablesRequest) (*pb.TablesResponse, error) {
	var names []string
	for name := range c.replicas {
		if !c.sim.node(name).manager.Leads() {
			names = append(names, name)
		}
	}
	name := names[rand.IntN(len(names))]
	time.Sleep(c.sim.delay())
	resp, err := c.sources[name].Read(ctx, r)
	if err != nil {
		return nil, err
	}
	size := proto.Size(resp) + framingBytes
	c.replicas[name].transfer(size)
	c.own.transfer(size)
	return resp, nil
}

// linkedFleet is a control group and the links and table sources of its replicas.
type linkedFleet struct {
	sim *simulation
	// routers is the number of routers.
	routers  int
	replicas map[string]*bandwidthLink
	sources  map[string]*tables.Source
	agents   []*membership.Agent
	stops    []func()
}

func newLinkedFleet(sim *simulation) *linkedFleet {
	f := &linkedFleet{
		sim:      sim,
		routers:  manyRouters,
		replicas: make(map[string]*bandwidthLink),
		sources:  make(map[string]*tables.Source),
	}
	for name, n := range sim.nodes {
		f.replicas[name] = &bandwidthLink{
			mbps: replicaMbps,
		}
		f.sources[name] = &tables.Source{
			Ledger:   n.replica.Ledger,
			Now:      func() time.Duration { return time.Since(sim.start) },
			LinkMbps: replicaMbps,
		}
	}
	return f
}

// start starts all routers at once, in the place of those that run.
func (f *linkedFleet) start(incarnation uint64) {
	f.stop()
	for i := range f.routers {
		agent, stop := startLinkedRouter(f.sim, i, incarnation, &linkedClient{
			sim:      f.sim,
			replicas: f.replicas,
			sources:  f.sources,
			own: &bandwidthLink{
				mbps: routerMbps,
			},
		})
		f.agents = append(f.agents, agent)
		f.stops = append(f.stops, stop)
	}
}

func (f *linkedFleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.agents, f.stops = nil, nil
}

// complete returns how many routers have confirmed rules and every row.
func (f *linkedFleet) complete() int {
	n := 0
	for _, a := range f.agents {
		v := a.View()
		if a.Fresh() && len(v.Servers) == manyServers && len(v.Instances) == f.routers {
			n++
		}
	}
	return n
}

// awaitComplete waits until every router is complete, for limit at most, and returns
// how long that took.
func (f *linkedFleet) awaitComplete(limit time.Duration) time.Duration {
	began := time.Now()
	for f.complete() < f.routers && time.Since(began) < limit {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// TestManyRoutersStart: 300 routers start at once in a fleet with 3000 backend
// servers. Whole tables in the heartbeat replies would take the leader's link longer
// than the routers wait, who would ask again and again and never get an answer. All
// of them must have confirmed rules and every row within startTime, and lose no
// heartbeat afterwards. When all of them restart, no row changes and nothing is written
// to the log, so that service resumes sooner.
func TestManyRoutersStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, stop := newLargeSimulation(t)
		defer stop()
		fleet := newLinkedFleet(sim)
		defer fleet.stop()
		fleet.start(1)
		took := fleet.awaitComplete(10 * startTime)
		t.Logf("%d routers complete after %s", fleet.complete(), took)
		require.Equal(t, manyRouters, fleet.complete())
		require.Less(t, took, startTime)
		time.Sleep(3 * time.Second)
		for _, a := range fleet.agents {
			require.Empty(t, a.State().LastError)
		}

		applied := sim.node("r0").replica.Ledger.Changes(0).Index
		fleet.start(2)
		took = fleet.awaitComplete(10 * startTime)
		t.Logf("after a restart, %d routers complete after %s", fleet.complete(), took)
		require.Equal(t, manyRouters, fleet.complete())
		require.Less(t, took, restartTime)
		require.Equal(t, applied, sim.node("r0").replica.Ledger.Changes(0).Index, "a restart writes nothing to the log")
	})
}

// newLargeSimulation starts a control group without ownership whose leader has rules
// and has read a list of manyServers servers.
func newLargeSimulation(t *testing.T) (*simulation, func()) {
	sim := &simulation{
		t:                t,
		fail:             t.Errorf,
		rnd:              rand.New(rand.NewPCG(1, 7)),
		start:            time.Now(),
		nodes:            make(map[string]*node),
		routers:          make(map[string]*routerProcess),
		blocked:          make(map[[2]string]bool),
		withoutOwnership: true,
	}
	sim.checker = &invariant.Checker{
		Report: func(name, detail string) { t.Errorf("invariant %s: %s", name, detail) },
	}
	for i := range manyServers {
		sim.listed = append(sim.listed, &pb.ListedServer{
			Name:          fmt.Sprintf("i-%08x", sim.rnd.Uint32()),
			Service:       "svc",
			Address:       fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250+1),
			FailureDomain: []string{"a", "b", "c"}[i%3],
			Slots:         12,
		})
	}
	for i := range replicas {
		sim.startNode(fmt.Sprintf("r%d", i), &memorydisk.Disk{})
	}
	operator := client{
		sim:  sim,
		from: "op",
	}
	require.Eventually(t, func() bool {
		_, err := operator.ApplyRules(t.Context(), &pb.ApplyRulesRequest{
			Content:  ruleText(1),
			Revision: 1,
		})
		return err == nil
	}, 10*time.Second, 100*time.Millisecond)
	require.Eventually(t, func() bool {
		for i := range replicas {
			if len(sim.node(fmt.Sprintf("r%d", i)).replica.Ledger.Changes(0).Servers) < manyServers {
				return false
			}
		}
		return true
	}, 10*time.Second, 100*time.Millisecond)
	return sim, func() {
		for i := range replicas {
			sim.stopNode(fmt.Sprintf("r%d", i))
		}
		time.Sleep(10 * time.Second)
	}
}

func startLinkedRouter(sim *simulation, i int, incarnation uint64, c control.Client) (*membership.Agent, func()) {
	name := fmt.Sprintf("front-terrace-%d", i)
	agent, stop := membership.New(membership.Config{
		Instance:      name,
		Incarnation:   incarnation,
		PeerAddress:   fmt.Sprintf("10.1.%d.%d:7341", i/250, i%250+1),
		CallerAddress: fmt.Sprintf("10.1.%d.%d:8227", i/250, i%250+1),
		FailureDomain: "terrace",
		Control:       c,
		LeaderOnly:    true,
		Logger:        discardLogger(),
		Checker:       sim.checker,
		Now:           func() time.Duration { return time.Since(sim.start) },
		Loads:         func() []*pb.LoadReport { return nil },
		OnLoads:       func([]*pb.LoadReport) {},
		OnViewChange:  func(_, _ *view.View) {},
		OnHandover:    func(*pb.Assignment) {},
	})
	agent.Start()
	return agent, stop
}
