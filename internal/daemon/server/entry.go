package server

// This file defines how an entry instance is built. Its control group and membership
// work as on every other instance, but it serves callers, the operator and the
// platform over the platform's own HTTP protocol.

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/bodymemory"
	"camphorspoke/internal/daemon/discovery"
	"camphorspoke/internal/daemon/ingress"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/daemon/reachability"
	"camphorspoke/internal/daemon/responsememory"
	"camphorspoke/internal/daemon/settings"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/edge/connguard"
	"camphorspoke/internal/edge/link"
	"camphorspoke/internal/edge/peer"
	"camphorspoke/internal/edge/peerserver"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

const (
	// memoryShare is the fraction of the memory limit that is set as the runtime's
	// soft limit, beyond which the garbage collector runs more often.
	memoryShare = 0.6
	// bodyMemoryShare is the fraction of the memory limit that the bodies of requests may
	// take.
	bodyMemoryShare = 0.4
	// responseMemoryShare is the fraction of the memory limit that unfinished responses may
	// take.
	responseMemoryShare = 0.1
	// ruleFreshnessShare is the fraction of the key revocation time for which a
	// confirmation of the rules is valid. The rest allows for clock differences and
	// requests in progress.
	ruleFreshnessShare = 0.7
	// minListenTime is the minimum time for which a leaving instance still accepts
	// connections, within its grace period. It is longer than the time for which
	// callers may cache a directory response.
	minListenTime = 6 * time.Second
	// exitMargin is the part of the grace period that is reserved for the final
	// clean-up.
	exitMargin = 700 * time.Millisecond
	// flushTimeout is how long after the drain responses may still be written to callers.
	flushTimeout = 200 * time.Millisecond
	// entryStopTimeout limits the wait for calls from other instances at shutdown.
	entryStopTimeout = 50 * time.Millisecond
	// drainPollInterval is the time between checks whether the instance has drained.
	drainPollInterval = 50 * time.Millisecond
	// sweepInterval is the time between sweeps of the connection pool.
	sweepInterval = time.Second
	// reloadInterval is the time between reads of the settings.
	reloadInterval = 2 * time.Second
	// applyRulesTimeout limits the time to apply a configuration.
	applyRulesTimeout = 2500 * time.Millisecond
	// sourceTimeout limits the time to read the configuration.
	sourceTimeout = 800 * time.Millisecond
	// retryBudgetShare is the fraction of the configured retry budget that is used.
	retryBudgetShare = 0.85
	// entryElectionTimeout and entryHeartbeatInterval are the Raft timings of the
	// control group. They are short because only a leader can confirm the rules, and a
	// request that needs a key is refused once the last confirmation has expired. They
	// can be short because the round trip between members is a few milliseconds.
	entryElectionTimeout   = 400 * time.Millisecond
	entryHeartbeatInterval = 80 * time.Millisecond
	// milliPerCore converts a processor share to thousandths of a core.
	milliPerCore = 1000
	// maxContactAge is how old the last contact with the leader may be before the
	// instance searches for the control group again.
	maxContactAge = time.Second
)

// PlatformAdapters holds the adapters to the platform's protocol.
type PlatformAdapters struct {
	Dialect edge.Dialect
	List    edge.Platform
	// Endpoints returns the handlers of the platform's other calls.
	Endpoints func(edge.Directory, edge.RuleStore, edge.Evacuator) edge.Endpoints
	// CacheReader queries engines for the prefixes that they have cached.
	CacheReader edge.CacheReader
	// BirthReader queries servers for the time of their start; it may be nil.
	BirthReader edge.BirthReader
	// Reload signals that the settings may have changed; Settings reads them.
	Reload   <-chan os.Signal
	Settings func() (*settings.Settings, error)
}

// entry holds the components that only an entry instance has.
type entry struct {
	instance *instance
	pool     *backend.Pool
	// peerPool holds the connections over which requests are forwarded to other instances.
	peerPool *backend.Pool
	// reach finds out whether this instance reaches any backend server.
	reach  *reachability.Monitor
	placer *placer.Placer
	// currentSettings holds the entry settings; reload replaces them when the seed
	// addresses have changed.
	currentSettings atomic.Pointer[settings.Entry]
	finder          *discovery.Finder
	leaving         atomic.Bool
	// leaveTime is when the instance began to leave, and exitTime when it will exit, on
	// its clock.
	leaveTime atomic.Int64
	exitTime  atomic.Int64
	// requests counts the callers' requests.
	requests atomic.Uint64
	meters   *metrics.Meters
	// guards protects each listening address, by name.
	guards   map[string]*connguard.Guard
	guardsMu sync.Mutex
	// handler serves the callers' requests, and front is its HTTP server.
	handler *ingress.Handler
	front   *http.Server
	// readyHandler is handler once it is complete, for the operators' calls.
	readyHandler atomic.Pointer[ingress.Handler]
}

var (
	_ edge.Directory = (*entry)(nil)
	_ edge.RuleStore = (*entry)(nil)
	_ edge.Evacuator = (*entry)(nil)
)

// limitProcess applies the configured memory and CPU limits to the Go runtime.
func limitProcess(memoryMB, cores int) {
	if cores > 0 {
		runtime.GOMAXPROCS(cores)
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(memoryMB) * (1 << 20)))
	}
}

// buildEntry creates and starts the components of an entry instance.
func (in *instance) buildEntry() error {
	cfg := in.cfg.Entry
	limitProcess(cfg.MemoryMB, cfg.Cores)
	e := &entry{
		instance: in,
		pool: &backend.Pool{
			Now: in.now,
		},
		peerPool: &backend.Pool{
			Now: in.now,
		},
	}
	e.currentSettings.Store(&cfg)
	in.entry = e
	in.onCleanUp(e.pool.Close)
	in.onCleanUp(e.peerPool.Close)
	if err := in.buildControl(); err != nil {
		return err
	}
	meters, metricsHandler, stopMetrics, err := metrics.New(metrics.Callbacks{
		ControlBytes: in.byteCounter.Bytes,
		Violations:   in.checker.Counts,
		Loads:        in.loads,
		Quarantines:  in.quarantineCounts,
		ColdServers:  in.coldServers,
		Evacuated:    in.evacuatedDomains,
		Connections:  e.connectionCounts,
		LossesBorne:  in.lossesBorne,
		ServerRows:   in.serverRows,
		RemovedRows:  in.removedRows,
		AwaitedSeeds: in.awaitedSeeds,
		Versions:     in.serverVersions,
		RuleBytes:    in.ruleBytes,

		LimitedServers:  in.limitedServers,
		BrittleServices: in.brittleServices,
		Isolated:        in.isolated,
	})
	if err != nil {
		return err
	}
	e.meters = meters
	in.onCleanUp(stopMetrics)
	if err := e.startMembership(); err != nil {
		return err
	}
	if err := in.serveOperators(metricsHandler); err != nil {
		return err
	}
	if cfg.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", metricsHandler)
		if _, err := e.serveHTTP("metrics", cfg.Metrics, mux); err != nil {
			return err
		}
	}
	return e.serve(meters)
}

// startMembership starts the membership agent, the finder and the placer, and serves
// the other instances.
func (e *entry) startMembership() error {
	in := e.instance
	peers, closePeers := peer.New(in.byteCounter.DialOption("peer"))
	in.onCleanUp(closePeers)
	var stopAgent func()
	in.agent, stopAgent = membership.New(membership.Config{
		Instance:           in.cfg.Instance,
		Incarnation:        uint64(time.Now().UnixNano()),
		CallerAddress:      in.cfg.Entry.Front,
		PeerAddress:        in.cfg.PeerListen,
		FailureDomain:      in.cfg.FailureDomain,
		CPUMilli:           uint32(milliPerCore * in.cfg.Entry.CPUShare),
		Requests:           e.requests.Load,
		Control:            in.control,
		Peers:              peers,
		Logger:             in.log,
		Checker:            in.checker,
		Now:                in.now,
		LeaderOnly:         true,
		FreshFor:           time.Duration(ruleFreshnessShare * float64(in.cfg.Entry.RevokeAfter)),
		OnControlAddresses: func(control []string) { e.finder.ReplaceAddresses(control) },
		Loads:              func() []*pb.LoadReport { return nil },
		OnLoads:            func([]*pb.LoadReport) {},
		OnViewChange: func(old, next *view.View) {
			e.placer.Update(next)
			in.logEvacuations(old, next)
			in.logKeyRequirement(old, next)
		},
		OnHandover: func(*pb.Assignment) {},
	})
	in.onCleanUp(stopAgent)
	e.startReachability()
	var stopFinder func()
	e.finder, stopFinder = discovery.New(discovery.Config{
		Seeds:              func() []string { return e.currentSettings.Load().PeerSeeds },
		ControlReachable:   func() bool { return in.agent.SinceLeaderContact() < maxContactAge },
		ReplicaMembers:     in.memberAddresses,
		LeaderState:        e.leadership,
		OnControlAddresses: in.control.SetReplicas,
		OnLeader:           e.setLeader,
		Peers:              peers,
		Logger:             in.log,
	})
	in.onCleanUp(stopFinder)
	var stopPlacer func()
	e.placer, stopPlacer = placer.New(placer.Config{
		Now:          in.now,
		LoadBound:    in.cfg.Entry.LoadBound,
		RetryWindow:  in.cfg.Entry.RetryWindow,
		RetryRatio:   retryBudgetShare * in.cfg.Entry.RetryRatio,
		RetrySlack:   retryBudgetShare * in.cfg.Entry.RetrySlack,
		ColdOverage:  in.cfg.Entry.ColdOverage,
		ColdSlack:    in.cfg.Entry.ColdSlack,
		HedgePercent: in.cfg.Entry.HedgePercent,
		Instance:     in.cfg.Instance,
		Peers:        peers,
		Explainer:    peers,
		Records:      peers,
		Unresponsive: in.agent.Unresponsive,
		Leader:       in.agent.Leader,
		CacheReader:  in.adapters.CacheReader,
		Births:       in.adapters.BirthReader,
		ListReadAt:   in.agent.ListReadAt,
		CheckHealth:  e.checkHealth,
		OnRestart:    func(service string) { e.meters.ServerRestart(context.Background(), service) },
		Record:       in.recordQuarantine,
		Logger:       in.log,

		OnRecordConflict: func(service string) { e.meters.StreamRecordConflict(context.Background(), service) },
	})
	in.onCleanUp(stopPlacer)
	l, err := in.listen(in.cfg.PeerListen)
	if err != nil {
		return err
	}
	s := link.GRPCServer(grpc.MaxRecvMsgSize(16 << 20))
	pb.RegisterPeerServiceServer(s, &peerserver.Server{
		Agent:      in.agent,
		Schedulers: e.placer.Schedulers(),
		Finder:     e.finder,
	})
	in.serveGRPC(s, in.byteCounter.Listener(l, "peerServer"))
	in.agent.Start()
	return nil
}

// recordQuarantine records a change of a quarantine in the log of the control group.
func (in *instance) recordQuarantine(ctx context.Context, q *pb.Quarantine) error {
	r, err := in.control.Propose(ctx, &pb.Command{
		Kind: &pb.Command_Quarantine{
			Quarantine: q,
		},
	})
	if err != nil {
		return err
	}
	if r.GetFailure() != "" && r.GetFailure() != fault.UnknownQuarantine {
		return fault.New(r.GetFailure(), r.GetSubject(), "the quarantine was not recorded")
	}
	// One that is unknown was released already.
	return nil
}

// leadership returns the address of the local replica and the peer addresses of the
// instances whose recent heartbeats are missing, if the local replica is the leader.
func (e *entry) leadership() (leader string, unresponsivePeers []string) {
	if e.instance.manager == nil || !e.instance.manager.Leads() {
		return "", nil
	}
	return e.instance.cfg.ControlListen, e.instance.manager.UnresponsivePeerAddresses()
}

// setLeader records the address that a leader has announced, and sends a heartbeat at
// once.
func (e *entry) setLeader(address string) {
	e.instance.control.SetLeader(address)
	e.instance.agent.HeartbeatNow()
}

// memberAddresses returns the addresses of the control group members according to the
// local replica.
func (in *instance) memberAddresses() []string {
	if in.replica == nil {
		return nil
	}
	var out []string
	for _, m := range in.replica.Status().Members {
		out = append(out, m.GetAddress())
	}
	return out
}

// memoryBytes returns a fraction of the memory limit, in bytes; zero if there is no limit.
func (in *instance) memoryBytes(share float64) int {
	return int(share * float64(in.cfg.Entry.MemoryMB) * (1 << 20))
}

// serve opens the addresses for callers, the platform and the operator.
func (e *entry) serve(meters *metrics.Meters) error {
	in := e.instance
	endpoints := in.adapters.Endpoints(e, e, e)
	e.handler = &ingress.Handler{
		Membership:    in.agent,
		Dialect:       in.adapters.Dialect,
		Placer:        e.placer,
		Pool:          e.pool,
		Logger:        in.log,
		Meters:        meters,
		Now:           in.now,
		FailureDomain: in.cfg.FailureDomain,
		HedgePercent:  in.cfg.Entry.HedgePercent,
		ShutdownState: e.shutdownState,
		Forwarding: ingress.Forwarding{
			Monitor:   e.reach,
			Pool:      e.peerPool,
			Instances: e.forwardTargets,
			CPUMilli:  uint32(milliPerCore * in.cfg.Entry.CPUShare),
		},
		Bodies: &bodymemory.Budget{
			Bytes: in.memoryBytes(bodyMemoryShare),
		},
		Responses: &responsememory.Budget{
			Bytes: in.memoryBytes(responseMemoryShare),
		},
	}
	e.readyHandler.Store(e.handler)
	for _, d := range []struct {
		name    string
		address string
		handler http.Handler
	}{
		{"operator", in.cfg.Entry.Operator, endpoints.Configuration()},
		{"directory", in.cfg.Entry.Directory, endpoints.Resolve()},
		{"ready", in.cfg.Entry.Ready, endpoints.Ready()},
	} {
		if _, err := e.serveHTTP(d.name, d.address, d.handler); err != nil {
			return err
		}
	}
	var err error
	if e.front, err = e.serveHTTP(frontName, in.cfg.Entry.Front, e.countRequests(e.handler)); err != nil {
		return err
	}
	stop := make(chan struct{})
	go e.sweepPool(stop)
	go e.watchSettings(stop)
	in.onCleanUp(func() { close(stop) })
	return nil
}

// countRequests wraps h to count the requests of callers.
func (e *entry) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.requests.Add(1)
		h.ServeHTTP(w, r)
	})
}

// serveHTTP serves h at address until the instance is cleaned up. name is that of the
// address in metrics and the log.
func (e *entry) serveHTTP(name, address string, h http.Handler) (*http.Server, error) {
	l, err := link.Listen(address)
	if err != nil {
		return nil, fault.Wrap(fault.BadSetting, address, err)
	}
	s := &http.Server{
		Handler: h,
	}
	guard := e.newGuard(name)
	guard.Protect(s)
	l = guard.Listener(l)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.instance.serveErrors <- fault.Wrap(fault.Internal, address, err)
		}
	}()
	e.instance.onCleanUp(func() { s.Close() })
	return s, nil
}

// sweepPool sweeps the connection pool periodically.
func (e *entry) sweepPool(stop <-chan struct{}) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			e.pool.Sweep()
			e.peerPool.Sweep()
		}
	}
}

// seedAddresses returns the configured addresses through which the control group is
// found.
func (in *instance) seedAddresses() []string {
	if in.cfg.Entry.Front != "" {
		return in.cfg.Entry.Seeds
	}
	var out []string
	for _, a := range in.cfg.Control {
		out = append(out, a)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}
