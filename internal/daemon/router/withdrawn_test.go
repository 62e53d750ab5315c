package router

// This file tests requests whose client account is withdrawn while they wait for their server.

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/compress"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/rendezvous"
	"camphorspoke/internal/routing/view"
)

const (
	rulesBefore = "service s type=plain # t: t\naccount acme share=1 # t: t\naccount bold share=1 # t: t\n"
	rulesAfter  = "service s type=plain # t: t\naccount bold share=1 # t: t\n"
	// frozenFor is how far the clock of a frozen process jumps.
	frozenFor = 20 * time.Second
)

// group stands in for the control group. It answers heartbeats with the rules, unless it is unreachable.
type group struct {
	control.Client
	unreachable atomic.Bool
	changed     atomic.Bool
}

func (g *group) Heartbeat(_ context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	if g.unreachable.Load() {
		return nil, fault.New(fault.NoQuorum, "control", "no leader elected")
	}
	version, text := uint64(1), rulesBefore
	if g.changed.Load() {
		version, text = 2, rulesAfter
	}
	change, err := proto.Marshal(&pb.RuleChange{
		Whole: []byte(text),
	})
	return &pb.HeartbeatResponse{
		Index:       1,
		RuleVersion: version,
		RuleChange:  compress.Codec{}.Compress(change),
		LeaseMs:     1000,
		Servers: []*pb.BackendServer{{
			Name:             "b",
			Service:          "s",
			Slots:            1,
			Owner:            r.GetInstance(),
			OwnerIncarnation: r.GetIncarnation(),
			Epoch:            1,
		}},
	}, err
}

func (g *group) Tables(context.Context, *pb.TablesRequest) (*pb.TablesResponse, error) {
	return nil, fault.New(fault.NoQuorum, "control", "no replica has rows")
}

// heldService runs its first call until it is released, and all others at once.
type heldService struct {
	edge.PlainService
	entered, release chan struct{}

	mu       sync.Mutex
	accounts []string
}

func (s *heldService) Call(_ context.Context, _ string, c edge.Call) ([]byte, error) {
	s.mu.Lock()
	s.accounts = append(s.accounts, c.ClientAccount)
	first := len(s.accounts) == 1
	s.mu.Unlock()
	if first {
		close(s.entered)
		<-s.release
	}
	return nil, nil
}

// TestWithdrawnAccountEndsTheWait guards against a process that is frozen while a request waits for a slot,
// and dispatches it under an account that was withdrawn meanwhile, or may have been.
func TestWithdrawnAccountEndsTheWait(t *testing.T) {
	for name, c := range map[string]struct{ unreachable, changed, runs bool }{
		"withdrawn":             {changed: true},
		"rules not confirmed":   {unreachable: true},
		"confirmed and as ever": {runs: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := &group{}
			service := &heldService{
				entered: make(chan struct{}),
				release: make(chan struct{}),
			}
			r, jump := newOwner(t, g, service)
			call := func(account string) error {
				_, err := r.call(t.Context(), &pb.CallRequest{
					Service:       "s",
					ClientAccount: account,
					Call:          "c",
				})
				return err
			}
			first, second := make(chan error, 1), make(chan error, 1)
			go func() { first <- call("bold") }()
			<-service.entered
			go func() { second <- call("acme") }()
			require.Eventually(t, func() bool { return r.serverStates.Load("b") == 2 }, 5*time.Second, time.Millisecond)
			g.unreachable.Store(c.unreachable)
			g.changed.Store(c.changed)
			jump()
			if !c.unreachable {
				require.Eventually(t, func() bool {
					_, owned := r.Agent.Admits("b")
					return owned && r.Agent.Fresh() && (r.Agent.View().RuleVersion == 2) == c.changed
				}, 5*time.Second, time.Millisecond)
			}
			close(service.release)
			require.NoError(t, <-first)
			err := <-second
			if c.runs {
				require.NoError(t, err)
				require.Equal(t, []string{"bold", "acme"}, service.accounts)
				return
			}
			require.Error(t, err)
			require.Equal(t, []string{"bold"}, service.accounts)
		})
	}
}

// newOwner returns a router that owns the server b, and a function that lets its clock jump.
func newOwner(t *testing.T, g *group, service edge.PlainService) (r *Router, jump func()) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	start := time.Now()
	var frozen atomic.Int64
	now := func() time.Duration { return time.Since(start) + time.Duration(frozen.Load()) }
	checker := &invariant.Checker{}
	r = New(Config{
		Instance:    "i",
		Incarnation: 1,
		Control:     g,
		Plain:       service,
		Picker:      rendezvous.Picker{},
		Logger:      log,
		Checker:     checker,
		Now:         now,
	})
	agent, stop := membership.New(membership.Config{
		Instance:     "i",
		Incarnation:  1,
		Control:      g,
		Logger:       log,
		Checker:      checker,
		Now:          now,
		Loads:        func() []*pb.LoadReport { return nil },
		OnLoads:      func([]*pb.LoadReport) {},
		OnViewChange: func(_, _ *view.View) {},
		OnHandover:   func(*pb.Assignment) {},
		LeaderOnly:   true,
	})
	t.Cleanup(stop)
	r.Agent = agent
	agent.Start()
	require.Eventually(t, func() bool {
		_, owned := agent.Admits("b")
		return owned && agent.Fresh()
	}, 5*time.Second, time.Millisecond)
	return r, func() { frozen.Store(int64(frozenFor)) }
}
