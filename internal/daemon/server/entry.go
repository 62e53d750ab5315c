package server

// This file defines how an entry instance of the users' platform is built: the
// control group and the membership are those of every daemon; callers, the
// operator and the platform are served in the platform's own dialect.

import (
	"errors"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"camphorspoke/internal/daemon/finder"
	"camphorspoke/internal/daemon/ingress"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/daemon/metrics"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/daemon/settings"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/edge/link"
	"camphorspoke/internal/edge/peer"
	"camphorspoke/internal/edge/peerserver"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/world/fault"
)

const (
	// memoryShare is the part of the memory limit that the heap may reach
	// before the collector works harder.
	memoryShare = 0.6
	// freshShare is the part of the time to revoke a key for which a proof of
	// the rules counts; the rest is for clocks and requests under way.
	freshShare = 0.7
	// keepListening is how long a leaving instance takes new connections: for
	// that long callers may keep the directory's answer.
	keepListening = 6 * time.Second
	// exitMargin is left of the grace period for the last clean-up.
	exitMargin = 700 * time.Millisecond
	// entryStopLimit bounds the end of calls of other instances.
	entryStopLimit = 50 * time.Millisecond
	idlePoll       = 50 * time.Millisecond
	sweepInterval  = time.Second
	// reloadInterval is the pause between readings of the settings.
	reloadInterval = 2 * time.Second
	// headerLimit bounds how long a caller may take for the head of a request.
	headerLimit = 10 * time.Second
	// idleLimit is how long an idle connection of a caller is kept.
	idleLimit   = 2 * time.Minute
	headerBytes = 64 << 10
	// rulebookLimit bounds one call of the operator.
	rulebookLimit = 2500 * time.Millisecond
	// sourceLimit bounds one reading of the configuration.
	sourceLimit = 800 * time.Millisecond
	// retryMargin is the part of the budget of repeats that is used.
	retryMargin = 0.85
	// entryElection and entryHeartbeat pace the control group: nobody is served
	// while it has no leader, and its members are milliseconds apart.
	entryElection  = 400 * time.Millisecond
	entryHeartbeat = 80 * time.Millisecond
	// touchLimit is the age of the last answer from which on the control group
	// is looked for anew.
	touchLimit = time.Second
)

// Outside is what meets the users' platform.
type Outside struct {
	Dialect   edge.Dialect
	List      edge.Platform
	Endpoints func(edge.Directory, edge.Rulebook) edge.Endpoints
	// Caches reads what engines keep.
	Caches edge.CacheReader
	// Reload tells that the settings may have changed; Settings reads them.
	Reload   <-chan os.Signal
	Settings func() (*settings.Settings, error)
}

// entry holds the parts that only an entry instance has.
type entry struct {
	in      *instance
	pool    *backend.Pool
	placer  *placer.Placer
	seeds   atomic.Pointer[settings.Entry]
	finder  *finder.Finder
	leaving atomic.Bool
	// ends is when a leaving instance ends, on the clock of the instance.
	ends atomic.Int64
	// inFlight counts the callers' requests under way.
	inFlight atomic.Int64
}

var (
	_ edge.Directory = (*entry)(nil)
	_ edge.Rulebook  = (*entry)(nil)
)

// limitProcess keeps the process within its machine.
func limitProcess(memoryMB, cores int) {
	if cores > 0 {
		runtime.GOMAXPROCS(cores)
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(memoryMB) * (1 << 20)))
	}
}

func (in *instance) buildEntry() error {
	set := in.set.Entry
	limitProcess(set.MemoryMB, set.Cores)
	e := &entry{
		in: in,
		pool: &backend.Pool{
			Now: in.now,
		},
	}
	e.seeds.Store(&set)
	in.entry = e
	in.onCleanUp(e.pool.Close)
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
	if err := e.join(); err != nil {
		return err
	}
	if err := in.serveOperators(metricsHandler); err != nil {
		return err
	}
	if set.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", metricsHandler)
		if err := e.open(set.Metrics, mux); err != nil {
			return err
		}
	}
	return e.serve(meters)
}

// join starts the heartbeats and serves the other instances.
func (e *entry) join() error {
	in := e.in
	peers, closePeers := peer.New(in.wire.GRPC("peer"))
	in.onCleanUp(closePeers)
	var stopAgent func()
	in.agent, stopAgent = membership.New(membership.Config{
		Instance:      in.set.Instance,
		Incarnation:   uint64(time.Now().UnixNano()),
		CallerAddress: in.set.Entry.Front,
		PeerAddress:   in.set.PeerListen,
		FailureDomain: in.set.FailureDomain,
		Control:       in.control,
		Peers:         peers,
		Logger:        in.log,
		Checker:       in.checker,
		Now:           in.now,
		LeaderOnly:    true,
		FreshFor:      time.Duration(freshShare * float64(in.set.Entry.RevokeAfter)),
		Replicas:      func(control []string) { e.finder.Confirm(control) },
		Loads:         func() []*pb.LoadReport { return nil },
		Learn:         func([]*pb.LoadReport) {},
		Changed:       func(_, next *view.View) { e.placer.Update(next) },
		GiveUp:        func(*pb.Assignment) {},
	})
	in.onCleanUp(stopAgent)
	var stopFinder func()
	e.finder, stopFinder = finder.New(finder.Config{
		Seeds:       func() []string { return e.seeds.Load().PeerSeeds },
		InTouch:     func() bool { return in.agent.Contact() < touchLimit },
		Replica:     in.memberAddresses,
		Leads:       e.leads,
		Learn:       in.control.Learn,
		LearnLeader: e.learnLeader,
		Peers:       peers,
		Logger:      in.log,
	})
	in.onCleanUp(stopFinder)
	var stopPlacer func()
	e.placer, stopPlacer = placer.New(placer.Config{
		Now:         in.now,
		Bound:       in.set.Entry.Bound,
		RetryWindow: in.set.Entry.RetryWindow,
		RetryRatio:  retryMargin * in.set.Entry.RetryRatio,
		RetrySlack:  retryMargin * in.set.Entry.RetrySlack,
		Instance:    in.set.Instance,
		Peers:       peers,
		Silent:      in.agent.Silent,
		Caches:      in.outside.Caches,
		Logger:      in.log,
	})
	in.onCleanUp(stopPlacer)
	l, err := in.listen(in.set.PeerListen)
	if err != nil {
		return err
	}
	s := grpc.NewServer(grpc.MaxRecvMsgSize(16 << 20))
	pb.RegisterPeerServiceServer(s, &peerserver.Server{
		Agent:      in.agent,
		Schedulers: e.placer.Schedulers(),
		Finder:     e.finder,
	})
	in.serveGRPC(s, in.wire.Listener(l, "peerServer"))
	in.agent.Start()
	return nil
}

// leads returns the address of the own replica while it leads, and the peer
// addresses of the listed instances that it does not hear.
func (e *entry) leads() (leader string, unheard []string) {
	if e.in.manager == nil || !e.in.manager.Leads() {
		return "", nil
	}
	return e.in.set.ControlListen, e.in.manager.UnheardPeers()
}

// learnLeader takes a leader's word that it leads, and asks it at once.
func (e *entry) learnLeader(address string) {
	e.in.control.LearnLeader(address)
	e.in.agent.Kick()
}

// memberAddresses returns the members that the own replica knows.
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

// serve opens the addresses of callers, the platform and the operator.
func (e *entry) serve(meters *metrics.Meters) error {
	in := e.in
	endpoints := in.outside.Endpoints(e, e)
	handler := &ingress.Handler{
		Member:        in.agent,
		Dialect:       in.outside.Dialect,
		Placer:        e.placer,
		Pool:          e.pool,
		Logger:        in.log,
		Meters:        meters,
		Now:           in.now,
		FailureDomain: in.set.FailureDomain,
		Leaving:       e.ending,
	}
	for _, d := range []struct {
		address string
		handler http.Handler
	}{
		{in.set.Entry.Operator, endpoints.Configuration()},
		{in.set.Entry.Directory, endpoints.Resolve()},
		{in.set.Entry.Ready, endpoints.Ready()},
		{in.set.Entry.Front, e.counted(handler)},
	} {
		if err := e.open(d.address, d.handler); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	go e.sweep(stop)
	go e.reloads(stop)
	in.onCleanUp(func() { close(stop) })
	return nil
}

// counted counts the requests that h serves.
func (e *entry) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// open serves h at address until the instance is cleaned up.
func (e *entry) open(address string, h http.Handler) error {
	l, err := link.Listen(address)
	if err != nil {
		return fault.Wrap(fault.BadSetting, address, err)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          nil,
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.in.failed <- fault.Wrap(fault.Internal, address, err)
		}
	}()
	e.in.onCleanUp(func() { s.Close() })
	return nil
}

func (e *entry) sweep(stop <-chan struct{}) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			e.pool.Sweep()
		}
	}
}

// seedAddresses returns the addresses by which the control group is found.
func (in *instance) seedAddresses() []string {
	if in.set.Entry.Front != "" {
		return in.set.Entry.Seeds
	}
	var out []string
	for _, a := range in.set.Control {
		out = append(out, a)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}
