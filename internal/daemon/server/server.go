// Package server assembles and runs a daemon.
//
// It starts the control replica, the membership agent and the request path, serves
// their addresses until the process is stopped, and then drains the instance before
// it stops the components, so that no request in flight is cut off within the time
// allowed for it.
//
// An instance runs in one of two modes. An entry instance, which has a front address,
// serves callers, the operator and the platform over the platform's own HTTP protocol
// and places requests with a placer. Every other instance serves the project's own
// protocol with a router.
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

	"camphorspoke/internal/base/boottime"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/raftlog"
	"camphorspoke/internal/control/replica"
	"camphorspoke/internal/control/tables"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/router"
	"camphorspoke/internal/daemon/settings"
	"camphorspoke/internal/daemon/traffic"
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
	"camphorspoke/internal/routing/view"
)

const (
	// maxMessage and maxControlMessage limit the size of messages received from
	// callers and on the control address, in bytes.
	maxMessage        = 4 << 20
	maxControlMessage = 256 << 20
	// stopTimeout limits the shutdown of each server, and the transfer of the
	// leadership.
	stopTimeout = 2 * time.Second
)

// instance holds the running components of a daemon.
type instance struct {
	cfg         *settings.Settings
	log         logrus.FieldLogger
	clock       boottime.Clock
	byteCounter traffic.Counter
	checker     *invariant.Checker

	control   *controlclient.Client
	transport *rafttransport.Transport
	replica   *replica.Replica
	manager   *manager.Manager
	agent     *membership.Agent
	router    *router.Router
	// evacuationTimes holds when the evacuations in the view were applied.
	evacuationTimes evacuationTimes
	// entry and adapters are used only on an entry instance.
	entry    *entry
	adapters PlatformAdapters

	// cleanups holds the functions that stop the components; they run in reverse
	// order.
	cleanups []func()
	// serveErrors receives failures of the servers, which stop the daemon.
	serveErrors chan error
}

// Run serves until ctx ends or a server fails, and then shuts down gracefully. It
// returns nil if it stopped because ctx ended.
func Run(ctx context.Context, cfg *settings.Settings, adapters PlatformAdapters, log logrus.FieldLogger) error {
	in := &instance{
		cfg:         cfg,
		log:         log,
		clock:       boottime.New(),
		serveErrors: make(chan error, 4),
		adapters:    adapters,
	}
	in.checker = &invariant.Checker{
		Report: func(name, detail string) { log.Errorf("invariant: %s violated: %s", name, detail) },
	}
	defer in.cleanUp()
	if err := in.build(); err != nil {
		return err
	}
	log.Infof("daemon: serving on %s", cfg.Listen)
	var err error
	select {
	case <-ctx.Done():
	case err = <-in.serveErrors:
		log.WithError(err).Error("daemon: a server failed; shutting down")
	}
	in.drain()
	return err
}

func (in *instance) now() time.Duration { return in.clock.Now() }

func (in *instance) onCleanUp(f func()) { in.cleanups = append(in.cleanups, f) }

func (in *instance) cleanUp() {
	for _, f := range slices.Backward(in.cleanups) {
		f()
	}
}

// build creates and starts the components.
func (in *instance) build() error {
	if in.cfg.Entry.Front != "" {
		return in.buildEntry()
	}
	if err := in.buildControl(); err != nil {
		return err
	}
	meters, metricsHandler, stopMetrics, err := metrics.New(metrics.Callbacks{
		ControlBytes: in.byteCounter.Bytes,
		Violations:   in.checker.Counts,
		Loads:        in.loads,
		Evacuated:    in.evacuatedDomains,
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

// loads returns the load of each owned server, for the metrics.
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

// buildControl starts the client of the control group and, on an instance with a data
// directory, a replica and its manager.
func (in *instance) buildControl() error {
	client, closeClient := controlclient.New(in.seedAddresses(), in.byteCounter.DialOption("heartbeat"))
	in.control = client
	in.onCleanUp(closeClient)
	if in.cfg.DataDir == "" {
		return nil
	}
	transport, closeTransport := rafttransport.New(in.byteCounter.DialOption("log"))
	in.transport = transport
	in.onCleanUp(closeTransport)
	replicaCfg := replica.Config{
		Name:      in.cfg.Instance,
		DataDir:   in.cfg.DataDir,
		Peers:     in.cfg.Control,
		Address:   in.cfg.ControlListen,
		Transport: transport,
		Logger:    in.log,
		Checker:   in.checker,
		Now:       in.now,
	}
	if in.entry != nil {
		replicaCfg.Seeds = in.cfg.Entry.Seeds
		replicaCfg.FirstStart = in.cfg.Entry.FirstStart
		replicaCfg.Voters = in.cfg.Entry.Voters
		replicaCfg.Join = in.joinGroup
		replicaCfg.Election = entryElectionTimeout
		replicaCfg.Heartbeat = entryHeartbeatInterval
	}
	rep, stop, err := replica.Start(replicaCfg)
	if err != nil {
		return err
	}
	in.replica = rep
	in.onCleanUp(stop)
	var list edge.Platform = platform.Client{
		BaseURL: in.cfg.PlatformURL,
		HTTP:    link.UnpooledHTTPClient(),
	}
	if in.entry != nil {
		list = in.adapters.List
	}
	m, stopManager := manager.Start(manager.Config{
		Replica:          rep,
		Platform:         list,
		WithoutOwnership: in.entry != nil,
		Engine:           &engine.Client{},
		Logger:           in.log,
		Checker:          in.checker,
		OrdersPerSecond:  in.cfg.OrdersPerSecond,
		OperatorAddress:  in.cfg.Entry.Operator,
	})
	in.manager = m
	in.onCleanUp(stopManager)
	return in.serveControl()
}

// joinGroup sends the leader a request to add this instance's replica to the control
// group.
func (in *instance) joinGroup(ctx context.Context) error {
	return in.control.ChangeReplica(ctx, &pb.ChangeReplicaRequest{
		Instance: in.cfg.Instance,
		Address:  in.cfg.ControlListen,
	})
}

func (in *instance) listen(address string) (net.Listener, error) {
	l, err := link.Listen(address)
	if err != nil {
		return nil, fault.Wrap(fault.BadSetting, address, err)
	}
	return l, nil
}

// serveControl serves the control protocol of the local replica.
func (in *instance) serveControl() error {
	l, err := in.listen(in.cfg.ControlListen)
	if err != nil {
		return err
	}
	s := link.GRPCServer(grpc.MaxRecvMsgSize(maxControlMessage), grpc.KeepaliveParams(keepalive.ServerParameters{
		MaxConnectionIdle: time.Minute,
	}))
	pb.RegisterControlServiceServer(s, &controlserver.Server{
		Name:      in.cfg.Instance,
		Replica:   in.replica,
		Manager:   in.manager,
		Transport: in.transport,
		TableSource: &tables.Source{
			Ledger:   in.replica.Ledger,
			Now:      in.now,
			LinkMbps: in.cfg.Entry.LinkMbps,
		},
	})
	in.serveGRPC(s, in.byteCounter.Listener(l, "controlServer"))
	return nil
}

// serveGRPC serves s until the instance is cleaned up, which waits up to
// callsTimeout for calls in progress and then closes all connections: whatever their peers do, the
// server stops.
func (in *instance) serveGRPC(s *grpc.Server, l net.Listener) {
	tracked := &link.TrackedListener{
		Listener: l,
	}
	go func() {
		if err := s.Serve(tracked); err != nil {
			in.serveErrors <- fault.Wrap(fault.Internal, l.Addr().String(), err)
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
		case <-time.After(in.callsTimeout()):
			tracked.CloseConnections()
			s.Stop()
		}
	})
}

// callsTimeout returns how long calls from other instances and operators may take to finish. It
// is short on an entry instance, which has to stop within a fixed time and whose
// peers retry elsewhere.
func (in *instance) callsTimeout() time.Duration {
	if in.entry != nil {
		return entryStopTimeout
	}
	return stopTimeout
}

// buildRouter starts the router and the membership agent.
func (in *instance) buildRouter(meters *metrics.Meters) error {
	peers, closePeers := peer.New(in.byteCounter.DialOption("peer"))
	in.onCleanUp(closePeers)
	pool, stopPool := workers.New(0)
	in.onCleanUp(stopPool)
	incarnation := uint64(time.Now().UnixNano())
	in.router = router.New(router.Config{
		Instance:      in.cfg.Instance,
		Incarnation:   incarnation,
		FailureDomain: in.cfg.FailureDomain,
		Control:       in.control,
		Peers:         peers,
		Engine:        &engine.Client{},
		Probe: &engine.Client{
			HTTP: in.byteCounter.HTTPClient("probe"),
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
		Instance:      in.cfg.Instance,
		Incarnation:   incarnation,
		CallerAddress: in.cfg.Listen,
		PeerAddress:   in.cfg.PeerListen,
		FailureDomain: in.cfg.FailureDomain,
		Control:       in.control,
		Peers:         peers,
		Logger:        in.log,
		Checker:       in.checker,
		Now:           in.now,
		Loads:         in.router.Loads,
		OnLoads:       in.router.UpdateLoads,
		OnViewChange: func(old, next *view.View) {
			in.logEvacuations(old, next)
			in.router.HandleViewChange(old, next)
		},
		OnHandover: in.router.StartHandover,
	})
	in.router.Agent = in.agent
	in.onCleanUp(stopAgent)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		in.router.RunBackground(ctx)
	}()
	in.onCleanUp(func() {
		cancel()
		<-done
	})
	return nil
}

// servePeers serves the other instances and starts the heartbeats.
func (in *instance) servePeers() error {
	l, err := in.listen(in.cfg.PeerListen)
	if err != nil {
		return err
	}
	s := link.GRPCServer(grpc.MaxRecvMsgSize(16 << 20))
	pb.RegisterPeerServiceServer(s, &peerserver.Server{
		Router: in.router,
		Agent:  in.agent,
	})
	in.serveGRPC(s, l)
	in.agent.Start()
	return nil
}

// serveCallers serves callers and operators.
func (in *instance) serveCallers(metricsHandler http.Handler) error {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(maxMessage)
	mux.Handle(camphorspokev1connect.NewCallerServiceHandler(&caller.Handler{
		Router: in.router,
	}, limit))
	return in.serveMux(mux, metricsHandler)
}

// serveOperators serves operators only.
func (in *instance) serveOperators(metricsHandler http.Handler) error {
	return in.serveMux(http.NewServeMux(), metricsHandler)
}

// serveMux adds the operator service, metrics and the health check to mux and serves
// it.
func (in *instance) serveMux(mux *http.ServeMux, metricsHandler http.Handler) error {
	l, err := in.listen(in.cfg.Listen)
	if err != nil {
		return err
	}
	mux.Handle(camphorspokev1connect.NewOperatorServiceHandler(&operator.Handler{
		Control:        in.control,
		DumpState:      in.dump,
		ExplainRequest: in.explainer(),
	}, connect.WithReadMaxBytes(16<<20)))
	mux.Handle("/metrics", metricsHandler)
	mux.HandleFunc("/healthz", in.health)
	s := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			in.serveErrors <- fault.Wrap(fault.Internal, in.cfg.Listen, err)
		}
	}()
	in.onCleanUp(func() {
		ctx, cancel := context.WithTimeout(context.Background(), in.callsTimeout())
		defer cancel()
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	})
	return nil
}

// health responds with 200 while this instance may serve requests, and with 503
// otherwise.
func (in *instance) health(w http.ResponseWriter, _ *http.Request) {
	if !in.agent.Fresh() || in.replica != nil && in.replica.Failed() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// drain prepares the instance for shutdown: it drains the request path and hands over
// the leadership of the control group.
func (in *instance) drain() {
	in.log.Info("daemon: draining before shutdown")
	ctx, cancel := context.WithTimeout(context.Background(), in.cfg.DrainLimit)
	defer cancel()
	if in.entry != nil {
		in.entry.drain(ctx)
	} else {
		in.router.Leave(ctx)
	}
	if in.replica != nil && in.entry == nil {
		in.transferLeadership(ctx)
	}
	in.log.Infof("daemon: draining ended with %d requests in flight; stopping", in.inFlight())
}

func (in *instance) inFlight() int {
	if in.entry != nil {
		return in.entry.handler.Gate.Count()
	}
	return int(in.router.InFlight())
}

// transferLeadership hands the leadership of the control group over to another
// replica, if the local one leads.
func (in *instance) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if !in.replica.Leads() {
		return
	}
	err := in.replica.CallNode(ctx, func(n *raftlog.Node, now time.Duration) error { return n.Transfer(now) })
	if err != nil {
		in.log.WithError(err).Warn("daemon: transferring the leadership failed")
		return
	}
	for in.replica.Status().Role == "leader" && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}
