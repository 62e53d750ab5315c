// Package server runs a daemon: it wires the parts together, serves, and stops
// them in the order that cuts off no request.
package server

// This file defines Run.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/raftlog"
	"camphorspoke/internal/control/replica"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/router"
	"camphorspoke/internal/daemon/settings"
	"camphorspoke/internal/daemon/wire"
	"camphorspoke/internal/daemon/workers"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/caller"
	"camphorspoke/internal/edge/controlclient"
	"camphorspoke/internal/edge/controlserver"
	"camphorspoke/internal/edge/engine"
	"camphorspoke/internal/edge/link"
	"camphorspoke/internal/edge/operator"
	"camphorspoke/internal/edge/peer"
	"camphorspoke/internal/edge/peerserver"
	"camphorspoke/internal/edge/plainservice"
	"camphorspoke/internal/edge/platform"
	"camphorspoke/internal/edge/rafttransport"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
	"camphorspoke/internal/routing/rendezvous"
	"camphorspoke/internal/world/boottime"
	"camphorspoke/internal/world/fault"
)

const (
	maxMessage     = 4 << 20
	controlMessage = 256 << 20
	stopLimit      = 2 * time.Second
)

// instance holds the running parts of a daemon.
type instance struct {
	set     *settings.Settings
	log     logrus.FieldLogger
	clock   boottime.Clock
	wire    wire.Counter
	checker *invariant.Checker

	control   *controlclient.Client
	transport *rafttransport.Transport
	replica   *replica.Replica
	manager   *manager.Manager
	agent     *membership.Agent
	router    *router.Router
	// entry and outside are set on an entry instance of the users' platform.
	entry   *entry
	outside Outside

	// cleanups run last to first.
	cleanups []func()
	failed   chan error
}

// Run serves until ctx ends, then stops gracefully. It returns nil after a
// graceful stop.
func Run(ctx context.Context, set *settings.Settings, outside Outside, log logrus.FieldLogger) error {
	in := &instance{
		set:     set,
		log:     log,
		clock:   boottime.New(),
		failed:  make(chan error, 4),
		outside: outside,
	}
	in.checker = &invariant.Checker{
		Report: func(name, detail string) { log.Errorf("invariant: %s violated: %s", name, detail) },
	}
	defer in.cleanUp()
	if err := in.build(); err != nil {
		return err
	}
	log.Infof("daemon: serving on %s", set.Listen)
	var err error
	select {
	case <-ctx.Done():
	case err = <-in.failed:
		log.WithError(err).Error("daemon: stopping after a failure")
	}
	in.leave()
	return err
}

func (in *instance) now() time.Duration { return in.clock.Now() }

func (in *instance) onCleanUp(f func()) { in.cleanups = append(in.cleanups, f) }

func (in *instance) cleanUp() {
	for _, f := range slices.Backward(in.cleanups) {
		f()
	}
}

func (in *instance) build() error {
	if in.set.Entry.Front != "" {
		return in.buildEntry()
	}
	if err := in.buildControl(); err != nil {
		return err
	}
	meters, metricsHandler, stopMetrics, err := metrics.New(metrics.Observed{
		ControlBytes: in.wire.Bytes,
		Violations:   in.checker.Counts,
		Loads:        in.loads,
	})
	if err != nil {
		return err
	}
	in.onCleanUp(stopMetrics)
	if err := in.buildRouter(meters); err != nil {
		return err
	}
	if err := in.servePeers(); err != nil {
		return err
	}
	return in.serveCallers(metricsHandler)
}

func (in *instance) loads() map[string]int {
	out := make(map[string]int)
	if in.router == nil {
		return out
	}
	for _, r := range in.router.Loads() {
		out[r.GetBackendServer()] = int(r.GetLoad())
	}
	return out
}

// buildControl starts the client of the control group and, on an instance
// with a data folder, a replica of it.
func (in *instance) buildControl() error {
	client, closeClient := controlclient.New(in.seedAddresses(), in.wire.GRPC("heartbeat"))
	in.control = client
	in.onCleanUp(closeClient)
	if in.set.DataDir == "" {
		return nil
	}
	transport, closeTransport := rafttransport.New(in.wire.GRPC("log"))
	in.transport = transport
	in.onCleanUp(closeTransport)
	cfg := replica.Config{
		Name:      in.set.Instance,
		DataDir:   in.set.DataDir,
		Peers:     in.set.Control,
		Address:   in.set.ControlListen,
		Transport: transport,
		Logger:    in.log,
		Checker:   in.checker,
		Now:       in.now,
	}
	if in.entry != nil {
		cfg.Seeds = in.set.Entry.Seeds
		cfg.FirstStart = in.set.Entry.FirstStart
		cfg.Voters = in.set.Entry.Voters
		cfg.Join = in.joinGroup
		cfg.Election = entryElection
		cfg.Heartbeat = entryHeartbeat
	}
	rep, stop, err := replica.Start(cfg)
	if err != nil {
		return err
	}
	in.replica = rep
	in.onCleanUp(stop)
	var list edge.Platform = platform.Client{
		BaseURL: in.set.PlatformURL,
	}
	if in.entry != nil {
		list = in.outside.List
	}
	m, stopManager := manager.Start(manager.Config{
		Replica:         rep,
		Platform:        list,
		Direct:          in.entry != nil,
		Engine:          &engine.Client{},
		Logger:          in.log,
		Checker:         in.checker,
		OrdersPerSecond: in.set.OrdersPerSecond,
	})
	in.manager = m
	in.onCleanUp(stopManager)
	return in.serveControl()
}

// joinGroup asks the leader to take this instance's replica in.
func (in *instance) joinGroup(ctx context.Context) error {
	return in.control.ChangeReplica(ctx, &pb.ChangeReplicaRequest{
		Instance: in.set.Instance,
		Address:  in.set.ControlListen,
	})
}

func (in *instance) listen(address string) (net.Listener, error) {
	l, err := link.Listen(address)
	if err != nil {
		return nil, fault.Wrap(fault.BadSetting, address, err)
	}
	return l, nil
}

func (in *instance) serveControl() error {
	l, err := in.listen(in.set.ControlListen)
	if err != nil {
		return err
	}
	s := grpc.NewServer(grpc.MaxRecvMsgSize(controlMessage), grpc.KeepaliveParams(keepalive.ServerParameters{
		MaxConnectionIdle: time.Minute,
	}))
	pb.RegisterControlServiceServer(s, &controlserver.Server{
		Name:      in.set.Instance,
		Replica:   in.replica,
		Manager:   in.manager,
		Transport: in.transport,
	})
	in.serveGRPC(s, in.wire.Listener(l, "controlServer"))
	return nil
}

func (in *instance) serveGRPC(s *grpc.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); err != nil {
			in.failed <- fault.Wrap(fault.Internal, l.Addr().String(), err)
		}
	}()
	in.onCleanUp(func() {
		stopped := make(chan struct{})
		go func() {
			s.GracefulStop()
			close(stopped)
		}()
		select {
		case <-stopped:
		case <-time.After(in.grpcStopLimit()):
			s.Stop()
		}
	})
}

// grpcStopLimit returns how long the calls of other instances may take to end:
// an entry instance has a fixed time to stop, and its peers ask elsewhere.
func (in *instance) grpcStopLimit() time.Duration {
	if in.entry != nil {
		return entryStopLimit
	}
	return stopLimit
}

func (in *instance) buildRouter(meters *metrics.Meters) error {
	peers, closePeers := peer.New(in.wire.GRPC("peer"))
	in.onCleanUp(closePeers)
	pool, stopPool := workers.New(0)
	in.onCleanUp(stopPool)
	incarnation := uint64(time.Now().UnixNano())
	in.router = router.New(router.Config{
		Instance:      in.set.Instance,
		Incarnation:   incarnation,
		FailureDomain: in.set.FailureDomain,
		Control:       in.control,
		Peers:         peers,
		Engine:        &engine.Client{},
		Probe: &engine.Client{
			HTTP: in.wire.HTTP("probe"),
		},
		Plain:   plainservice.New(),
		Picker:  rendezvous.Picker{},
		Pool:    pool,
		Logger:  in.log,
		Checker: in.checker,
		Metrics: meters,
		Now:     in.now,
	})
	var stopAgent func()
	in.agent, stopAgent = membership.New(membership.Config{
		Instance:      in.set.Instance,
		Incarnation:   incarnation,
		CallerAddress: in.set.Listen,
		PeerAddress:   in.set.PeerListen,
		FailureDomain: in.set.FailureDomain,
		Control:       in.control,
		Peers:         peers,
		Logger:        in.log,
		Checker:       in.checker,
		Now:           in.now,
		Loads:         in.router.Loads,
		Learn:         in.router.Learn,
		Changed:       in.router.Changed,
		GiveUp:        in.router.GiveUp,
	})
	in.router.Agent = in.agent
	in.onCleanUp(stopAgent)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		in.router.Background(ctx)
	}()
	in.onCleanUp(func() {
		cancel()
		<-done
	})
	return nil
}

func (in *instance) servePeers() error {
	l, err := in.listen(in.set.PeerListen)
	if err != nil {
		return err
	}
	s := grpc.NewServer(grpc.MaxRecvMsgSize(16 << 20))
	pb.RegisterPeerServiceServer(s, &peerserver.Server{
		Router: in.router,
		Agent:  in.agent,
	})
	in.serveGRPC(s, l)
	in.agent.Start()
	return nil
}

func (in *instance) serveCallers(metricsHandler http.Handler) error {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(maxMessage)
	mux.Handle(camphorspokev1connect.NewCallerServiceHandler(&caller.Handler{
		Router: in.router,
	}, limit))
	return in.serveMux(mux, metricsHandler)
}

// serveOperators serves the operators' client alone.
func (in *instance) serveOperators(metricsHandler http.Handler) error {
	return in.serveMux(http.NewServeMux(), metricsHandler)
}

// serveMux adds the operators' calls to mux and serves it.
func (in *instance) serveMux(mux *http.ServeMux, metricsHandler http.Handler) error {
	l, err := in.listen(in.set.Listen)
	if err != nil {
		return err
	}
	mux.Handle(camphorspokev1connect.NewOperatorServiceHandler(&operator.Handler{
		Control: in.control,
		Dumped:  in.dump,
	}, connect.WithReadMaxBytes(16<<20)))
	mux.Handle("/metrics", metricsHandler)
	mux.HandleFunc("/healthz", in.health)
	s := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			in.failed <- fault.Wrap(fault.Internal, in.set.Listen, err)
		}
	}()
	in.onCleanUp(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
		defer cancel()
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	})
	return nil
}

// health answers 200 while this router may serve.
func (in *instance) health(w http.ResponseWriter, _ *http.Request) {
	if !in.agent.Fresh() || in.replica != nil && in.replica.Failed() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// leave empties the instance before its parts are stopped: the router first,
// then leadership of the control group.
func (in *instance) leave() {
	in.log.Info("daemon: leaving")
	ctx, cancel := context.WithTimeout(context.Background(), in.set.DrainLimit)
	defer cancel()
	if in.entry != nil {
		in.entry.leave(ctx)
	} else {
		in.router.Leave(ctx)
	}
	if in.replica != nil && in.entry == nil {
		in.transferLeadership(ctx)
	}
	in.log.Infof("daemon: stopped with %d requests in flight", in.inFlight())
}

func (in *instance) inFlight() int {
	if in.entry != nil {
		return int(in.entry.inFlight.Load())
	}
	return int(in.router.InFlight())
}

func (in *instance) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	if !in.replica.Leads() {
		return
	}
	err := in.replica.Change(ctx, func(n *raftlog.Node, now time.Duration) error { return n.Transfer(now) })
	if err != nil {
		in.log.WithError(err).Warn("daemon: leadership was not transferred")
		return
	}
	for in.replica.Status().Role == "leader" && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}
