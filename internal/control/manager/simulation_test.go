package manager_test

// This file defines the simulated fleet: the real replicas, managers and
// membership agents over simulated links and disks.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/check/memorydisk"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/replica"
	"camphorspoke/internal/control/tables"
	"camphorspoke/internal/daemon"
	"camphorspoke/internal/daemon/membership"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// node is a control replica with its manager.
type node struct {
	name    string
	disk    *memorydisk.Disk
	replica *replica.Replica
	manager *manager.Manager
	stop    func()
}

// routerProcess is one process of a router; a restart creates a new one.
type routerProcess struct {
	name        string
	incarnation uint64
	agent       *membership.Agent
	stop        func()
	clockRate   float64 // speed of its clock relative to the virtual time
	lastVersion uint64  // rule version at the previous check
}

// simulation is the simulated fleet.
type simulation struct {
	t       require.TestingT
	fail    func(format string, args ...any)
	rnd     *rand.Rand
	start   time.Time
	checker *invariant.Checker

	mu      sync.Mutex
	nodes   map[string]*node
	routers map[string]*routerProcess
	// blocked holds the links, as sender and receiver, that drop every message.
	blocked  map[[2]string]bool
	lossRate float64
	// slowdown is the extra latency of every link, as a multiple of its normal
	// latency.
	slowdown     float64
	incarnations uint64
	timers       []*time.Timer
	// scheduled serializes the scheduled faults; it guards schedulingStopped, which
	// is set once none may start any more. It is locked before mu.
	scheduled         sync.Mutex
	schedulingStopped bool
	listed            []*pb.ListedServer
	// withoutOwnership starts managers that assign no owners.
	withoutOwnership bool
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (sim *simulation) random() float64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rnd.Float64()
}

// delay returns a random latency for one message.
func (sim *simulation) delay() time.Duration {
	r := sim.random()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Duration((0.5 + 4*r) * (1 + sim.slowdown) * float64(time.Millisecond))
}

// delivers reports whether a message sent now from one process to another
// arrives.
func (sim *simulation) delivers(from, to string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return !sim.blocked[[2]string{from, to}] && sim.rnd.Float64() >= sim.lossRate
}

// transport is the control.Transport of one replica.
type transport struct {
	sim  *simulation
	from string
}

var _ control.Transport = transport{}

func (t transport) Send(to string, m *pb.RaftMessage) {
	if !t.sim.delivers(t.from, to) {
		return
	}
	m = proto.Clone(m).(*pb.RaftMessage)
	time.AfterFunc(t.sim.delay(), func() {
		if n := t.sim.node(to); n != nil {
			n.replica.Deliver(m)
		}
	})
}

func (t transport) State(_ context.Context, to string) (*pb.ReplicaStateResponse, error) {
	time.Sleep(t.sim.delay())
	n := t.sim.node(to)
	if n == nil || !t.sim.delivers(t.from, to) {
		return nil, fault.New(fault.NoQuorum, to, "cut off")
	}
	return &pb.ReplicaStateResponse{
		Instance: to,
		Empty:    n.replica.Status().Empty,
		Identity: n.replica.Identity(),
	}, nil
}

func (t transport) Form(_ context.Context, to string, _ *pb.FormRequest) (*pb.FormResponse, error) {
	return nil, fault.New(fault.NoQuorum, to, "the group is formed from configured peers")
}

func (sim *simulation) node(name string) *node {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.nodes[name]
}

// List returns the platform's server list.
func (sim *simulation) List(context.Context) ([]*pb.ListedServer, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.listed, nil
}

func (sim *simulation) startNode(name string, disk *memorydisk.Disk) {
	seed := uint64(sim.random() * (1 << 53))
	peers := make(map[string]string)
	for i := range replicas {
		p := fmt.Sprintf("r%d", i)
		peers[p] = p
	}
	// In the synctest bubble, time.Since is the monotonic virtual clock.
	started := time.Now()
	r, stopReplica, err := replica.Start(replica.Config{
		Now:   func() time.Duration { return time.Since(started) },
		Name:  name,
		Peers: peers,
		Transport: transport{
			sim:  sim,
			from: name,
		},
		Storage:       disk,
		Stored:        disk.Contents(),
		Logger:        discardLogger(),
		Checker:       sim.checker,
		Seed:          1 + seed,
		SnapshotEvery: 40,
	})
	require.NoError(sim.t, err)
	m, stopManager := manager.Start(manager.Config{
		Replica:  r,
		Platform: sim,
		Logger:   discardLogger(),
		Checker:  sim.checker,

		WithoutOwnership: sim.withoutOwnership,
	})
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.nodes[name] = &node{
		name:    name,
		disk:    disk,
		replica: r,
		manager: m,
		stop: func() {
			stopManager()
			stopReplica()
		},
	}
}

func (sim *simulation) stopNode(name string) *node {
	sim.mu.Lock()
	n := sim.nodes[name]
	delete(sim.nodes, name)
	sim.mu.Unlock()
	if n != nil {
		n.stop()
	}
	return n
}

// client is the control.Client of one process.
type client struct {
	sim  *simulation
	from string
}

var _ control.Client = client{}

// callLeader calls f on each replica in turn until one accepts the request as
// leader. The reply may be lost or delayed.
func callLeader[T any](ctx context.Context, c client, f func(*node) (T, error)) (T, error) {
	var zero T
	noReply := fault.New(fault.NoQuorum, "control", "no replica replied")
	for i := range replicas {
		n := c.sim.node(fmt.Sprintf("r%d", i))
		time.Sleep(c.sim.delay())
		if n == nil || !c.sim.delivers(c.from, n.name) {
			continue
		}
		resp, err := f(n)
		if fault.KindOf(err) == fault.NotLeader && err != nil {
			continue
		}
		time.Sleep(c.sim.delay())
		if c.sim.random() < c.sim.lossRate {
			time.Sleep(time.Duration(3 * c.sim.random() * float64(time.Second)))
		}
		if !c.sim.delivers(n.name, c.from) || ctx.Err() != nil {
			return zero, noReply
		}
		return resp, err
	}
	return zero, noReply
}

func (c client) Propose(ctx context.Context, cmd *pb.Command) (*pb.Result, error) {
	return callLeader(ctx, c, func(n *node) (*pb.Result, error) { return n.manager.Propose(ctx, cmd) })
}

func (c client) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return callLeader(ctx, c, func(n *node) (*pb.HeartbeatResponse, error) { return n.manager.Heartbeat(ctx, r) })
}

func (c client) Query(ctx context.Context, q *pb.QueryRequest) (*pb.QueryResponse, error) {
	return callLeader(ctx, c, func(n *node) (*pb.QueryResponse, error) { return n.manager.Query(q) })
}

func (c client) ApplyRules(ctx context.Context, r *pb.ApplyRulesRequest) (*pb.ApplyRulesResponse, error) {
	return callLeader(ctx, c, func(n *node) (*pb.ApplyRulesResponse, error) { return n.manager.ApplyRules(ctx, r) })
}

// Tables reads the rows of a random replica.
func (c client) Tables(ctx context.Context, r *pb.TablesRequest) (*pb.TablesResponse, error) {
	n := c.sim.node(fmt.Sprintf("r%d", int(c.sim.random()*replicas)))
	time.Sleep(c.sim.delay())
	if n == nil || !c.sim.delivers(c.from, n.name) || !c.sim.delivers(n.name, c.from) {
		return nil, fault.New(fault.NoQuorum, "control", "no replica replied")
	}
	source := tables.Source{
		Ledger: n.replica.Ledger,
		Now:    func() time.Duration { return time.Since(c.sim.start) },
	}
	time.Sleep(c.sim.delay())
	return source.Read(ctx, r)
}

func (c client) ChangeReplica(context.Context, *pb.ChangeReplicaRequest) error { return nil }

// peerClient calls the other routers. Only RuleVersion is implemented; the test
// needs no other call.
type peerClient struct {
	daemon.Peers
	sim  *simulation
	from string
}

func (p peerClient) RuleVersion(_ context.Context, to string, r *pb.RuleVersionRequest) (*pb.RuleVersionResponse, error) {
	time.Sleep(p.sim.delay())
	p.sim.mu.Lock()
	other := p.sim.routers[to]
	p.sim.mu.Unlock()
	if other == nil || !p.sim.delivers(p.from, to) || !p.sim.delivers(to, p.from) {
		return nil, fault.New(fault.Unreachable, to, "cut off")
	}
	return other.agent.RuleVersion(r), nil
}

func (sim *simulation) startRouter(name string) {
	sim.mu.Lock()
	sim.incarnations++
	p := &routerProcess{
		name:        name,
		incarnation: sim.incarnations,
		clockRate:   1 + float64(sim.rnd.IntN(2*maxDriftPercent+1)-maxDriftPercent)/100,
	}
	sim.mu.Unlock()
	p.agent, p.stop = membership.New(membership.Config{
		Instance:      name,
		Incarnation:   p.incarnation,
		PeerAddress:   name,
		CallerAddress: name,
		Control: client{
			sim:  sim,
			from: name,
		},
		Peers: peerClient{
			sim:  sim,
			from: name,
		},
		Logger:       discardLogger(),
		Checker:      sim.checker,
		Now:          func() time.Duration { return time.Duration(float64(time.Since(sim.start)) * p.clockRate) },
		Loads:        func() []*pb.LoadReport { return nil },
		OnLoads:      func([]*pb.LoadReport) {},
		OnViewChange: func(_, _ *view.View) {},
		OnHandover:   func(a *pb.Assignment) { p.agent.Release(a.GetBackendServer()) },
	})
	sim.mu.Lock()
	sim.routers[name] = p
	sim.mu.Unlock()
	p.agent.Start()
}

func (sim *simulation) stopRouter(name string) {
	sim.mu.Lock()
	p := sim.routers[name]
	delete(sim.routers, name)
	sim.mu.Unlock()
	if p != nil {
		p.stop()
	}
}

func (sim *simulation) runningRouters() []*routerProcess {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []*routerProcess
	for _, p := range sim.routers {
		out = append(out, p)
	}
	return out
}
