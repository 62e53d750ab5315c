package manager_test

// This file defines the fake fleet: the real replicas, managers and agents over
// fake links and disks.

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

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/replica"
	"camphorspoke/internal/control/wal"
	"camphorspoke/internal/daemon"
	"camphorspoke/internal/daemon/membership"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/world/fault"
)

// memory is a disk that keeps what was appended.
type memory struct {
	mu       sync.Mutex
	contents wal.Contents
}

func (m *memory) Append(rec *pb.WalRecord) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reason := m.contents.Add(proto.Clone(rec).(*pb.WalRecord)); reason != "" {
		return fault.New(fault.Internal, "disk", reason)
	}
	return nil
}

func (m *memory) Rotate(head *pb.WalRecord) error {
	head.Resets = true
	return m.Append(head)
}

func (m *memory) SaveSnapshot(s *pb.RaftSnapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contents.Snapshot = s
	return nil
}

func (m *memory) stored() *wal.Contents {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.contents
	return &c
}

// node is a control replica and what runs beside it.
type node struct {
	name    string
	disk    *memory
	replica *replica.Replica
	manager *manager.Manager
	stop    func()
}

// routerProcess is one life of a router.
type routerProcess struct {
	name        string
	incarnation uint64
	agent       *membership.Agent
	stop        func()
	rate        float64
	version     uint64
}

// world is the whole fake fleet.
type world struct {
	t       require.TestingT
	fail    func(format string, args ...any)
	rnd     *rand.Rand
	start   time.Time
	checker *invariant.Checker

	mu      sync.Mutex
	nodes   map[string]*node
	routers map[string]*routerProcess
	cut     map[[2]string]bool
	loss    float64
	// slow stretches the latency of every link.
	slow   float64
	lives  uint64
	timers []*time.Timer
	listed []*pb.ListedServer
}

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (w *world) random() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Float64()
}

// delay is a link's latency now.
func (w *world) delay() time.Duration {
	r := w.random()
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration((0.5 + 4*r) * (1 + w.slow) * float64(time.Millisecond))
}

// linked reports whether a message passes from one to another now.
func (w *world) linked(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cut[[2]string{from, to}] && w.rnd.Float64() >= w.loss
}

// transport carries the messages of one replica.
type transport struct {
	w    *world
	from string
}

var _ control.Transport = transport{}

func (t transport) Send(to string, m *pb.RaftMessage) {
	if !t.w.linked(t.from, to) {
		return
	}
	m = proto.Clone(m).(*pb.RaftMessage)
	time.AfterFunc(t.w.delay(), func() {
		if n := t.w.node(to); n != nil {
			n.replica.Deliver(m)
		}
	})
}

func (t transport) State(_ context.Context, to string) (*pb.ReplicaStateResponse, error) {
	time.Sleep(t.w.delay())
	n := t.w.node(to)
	if n == nil || !t.w.linked(t.from, to) {
		return nil, fault.New(fault.NoQuorum, to, "cut off")
	}
	return &pb.ReplicaStateResponse{
		Instance: to,
		Empty:    n.replica.Status().Empty,
		Identity: n.replica.Identity(),
	}, nil
}

func (w *world) node(name string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[name]
}

// List is the platform's list.
func (w *world) List(context.Context) ([]*pb.ListedServer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed, nil
}

func (w *world) startNode(name string, disk *memory) {
	seed := uint64(w.random() * (1 << 53))
	peers := make(map[string]string)
	for i := range replicas {
		p := fmt.Sprintf("r%d", i)
		peers[p] = p
	}
	// The fake clock of the test is the monotonic one.
	started := time.Now()
	r, stopReplica, err := replica.Start(replica.Config{
		Now:   func() time.Duration { return time.Since(started) },
		Name:  name,
		Peers: peers,
		Transport: transport{
			w:    w,
			from: name,
		},
		Storage:       disk,
		Stored:        disk.stored(),
		Logger:        quiet(),
		Checker:       w.checker,
		Seed:          1 + seed,
		SnapshotEvery: 40,
	})
	require.NoError(w.t, err)
	m, stopManager := manager.Start(manager.Config{
		Replica:  r,
		Platform: w,
		Logger:   quiet(),
		Checker:  w.checker,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[name] = &node{
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

func (w *world) stopNode(name string) *node {
	w.mu.Lock()
	n := w.nodes[name]
	delete(w.nodes, name)
	w.mu.Unlock()
	if n != nil {
		n.stop()
	}
	return n
}

// client reaches the control group from one process.
type client struct {
	w    *world
	from string
}

var _ control.Client = client{}

// ask tries each replica in turn. The answer may be lost, or come late.
func ask[T any](ctx context.Context, c client, f func(*node) (T, error)) (T, error) {
	var zero T
	last := fault.New(fault.NoQuorum, "control", "no replica answers")
	for i := range replicas {
		n := c.w.node(fmt.Sprintf("r%d", i))
		time.Sleep(c.w.delay())
		if n == nil || !c.w.linked(c.from, n.name) {
			continue
		}
		resp, err := f(n)
		if fault.KindOf(err) == fault.NotLeader && err != nil {
			continue
		}
		time.Sleep(c.w.delay())
		if c.w.random() < c.w.loss {
			time.Sleep(time.Duration(3 * c.w.random() * float64(time.Second)))
		}
		if !c.w.linked(n.name, c.from) || ctx.Err() != nil {
			return zero, last
		}
		return resp, err
	}
	return zero, last
}

func (c client) Propose(ctx context.Context, cmd *pb.Command) (*pb.Result, error) {
	return ask(ctx, c, func(n *node) (*pb.Result, error) { return n.manager.Propose(ctx, cmd) })
}

func (c client) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return ask(ctx, c, func(n *node) (*pb.HeartbeatResponse, error) { return n.manager.Heartbeat(ctx, r) })
}

func (c client) Query(ctx context.Context, q *pb.QueryRequest) (*pb.QueryResponse, error) {
	return ask(ctx, c, func(n *node) (*pb.QueryResponse, error) { return n.manager.Query(q) })
}

func (c client) ApplyRules(ctx context.Context, r *pb.ApplyRulesRequest) (*pb.ApplyRulesResponse, error) {
	return ask(ctx, c, func(n *node) (*pb.ApplyRulesResponse, error) { return n.manager.ApplyRules(ctx, r) })
}

func (c client) ChangeReplica(context.Context, *pb.ChangeReplicaRequest) error { return nil }

// peers reaches the other routers; only the question about rules is asked.
type peers struct {
	daemon.Peers
	w    *world
	from string
}

func (p peers) RuleVersion(_ context.Context, to string, r *pb.RuleVersionRequest) (*pb.RuleVersionResponse, error) {
	time.Sleep(p.w.delay())
	p.w.mu.Lock()
	other := p.w.routers[to]
	p.w.mu.Unlock()
	if other == nil || !p.w.linked(p.from, to) || !p.w.linked(to, p.from) {
		return nil, fault.New(fault.Unreachable, to, "cut off")
	}
	return other.agent.RuleVersion(r), nil
}

func (w *world) startRouter(name string) {
	w.mu.Lock()
	w.lives++
	p := &routerProcess{
		name:        name,
		incarnation: w.lives,
		rate:        1 + float64(w.rnd.IntN(2*driftPercent+1)-driftPercent)/100,
	}
	w.mu.Unlock()
	p.agent, p.stop = membership.New(membership.Config{
		Instance:      name,
		Incarnation:   p.incarnation,
		PeerAddress:   name,
		CallerAddress: name,
		Control: client{
			w:    w,
			from: name,
		},
		Peers: peers{
			w:    w,
			from: name,
		},
		Logger:  quiet(),
		Checker: w.checker,
		Now:     func() time.Duration { return time.Duration(float64(time.Since(w.start)) * p.rate) },
		Loads:   func() []*pb.LoadReport { return nil },
		Learn:   func([]*pb.LoadReport) {},
		Changed: func(_, _ *view.View) {},
		GiveUp:  func(a *pb.Assignment) { p.agent.Release(a.GetBackendServer()) },
	})
	w.mu.Lock()
	w.routers[name] = p
	w.mu.Unlock()
	p.agent.Start()
}

func (w *world) stopRouter(name string) {
	w.mu.Lock()
	p := w.routers[name]
	delete(w.routers, name)
	w.mu.Unlock()
	if p != nil {
		p.stop()
	}
}

func (w *world) running() []*routerProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*routerProcess
	for _, p := range w.routers {
		out = append(out, p)
	}
	return out
}
