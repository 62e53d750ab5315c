// Package soak runs the real programs as separate processes on loopback and
// injects faults from outside them, while callers, an operator and stand-ins for
// backend servers check what they observe against the guarantees of the fleet.
//
// Processes are killed, frozen, stopped and restarted by signals; a replica's data
// is deleted, or its log ends in a torn record; proxies delay, drop or reset the
// traffic to backend servers, or drop only the responses; backend servers fail
// some requests, ask for a pause, are replaced, or become another incarnation at the same
// address and repeat refusals late, or crash under requests that come again, or break off
// streams while two versions of their software serve side by side; the platform's list is
// unavailable; failure domains are evacuated.
// Sequences of faults run concurrently and overlap. A seed determines which faults are
// injected and in which order, not how the processes interleave.
package soak

// This file defines Soak, its configuration and its report.

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/guarantee"
	"camphorspoke/internal/check/portrange"
	"camphorspoke/internal/check/stall"
)

const (
	// recoveryTimeout is how long the daemons have after the last fault to return
	// the newest acknowledged configuration.
	recoveryTimeout = 15 * time.Second
	// separateSequence selects the random sequence of the first kind of fault that has an
	// injector of its own.
	separateSequence = 20
	// firstStartSequence selects the random sequence of the kill in the first start, and
	// firstStartTime is the latest time of it.
	firstStartSequence = 30
	firstStartTime     = 300 * time.Millisecond
	// retryRatio, retrySlack and retryWindow are the retry budget of each service, and
	// versionsRetrySlack takes the place of retrySlack while servers break off responses in
	// all of the soak.
	retryRatio         = 0.2
	retrySlack         = 60
	versionsRetrySlack = 6000
	retryWindow        = 10 * time.Second
)

// Config holds the settings of a soak.
type Config struct {
	// Bin is the folder of the programs, Dir an empty folder for logs and data.
	Bin string
	Dir string
	// Seed determines the faults, FaultDuration is how long they are injected.
	Seed          uint64
	FaultDuration time.Duration
	// Daemons is the number of processes, Replicas how many of them store data on
	// disk.
	Daemons  int
	Replicas int
	Callers  int
	// ChatCallers is the number of callers that hold long chats.
	ChatCallers int
	// NoFaults injects no faults, but for those that further settings ask for.
	NoFaults bool
	// PlannedOnly injects planned operations only.
	PlannedOnly bool
	// FailAll lets all servers of a service fail half of their requests at times.
	FailAll bool
	// ColdServers lets backend servers restart, and be cold after a start.
	ColdServers bool
	// Evacuate puts the backend servers into two failure domains and evacuates one of them
	// at a time.
	Evacuate bool
	// RenameServers lets backend servers become other incarnations at their addresses, and
	// repeat refusals late.
	RenameServers bool
	// CrashServers lets some callers send requests that crash the backend servers which
	// execute them.
	CrashServers bool
	// Versions lets backend servers of two software versions serve side by side in one service
	// and break off streams before their first events, while some callers leave streams and
	// take them up again elsewhere.
	Versions bool
	// KillFirstStart kills a seed while the group forms, and starts it again.
	KillFirstStart bool
	// KillRouters kills daemons that are no control replicas, one after the other.
	KillRouters bool
	// Grace is the grace period of a planned stop; zero is defaultGrace.
	Grace time.Duration
	// Log receives a line for each fault; it may be nil.
	Log io.Writer
}

// Soak is a soak in progress, which Run creates.
type Soak struct {
	cfg          Config
	ports        portrange.Range
	releasePorts func()
	start        time.Time
	checker      *guarantee.Checker
	serverList   *serverList
	operator     *operator
	daemons      []*daemon

	mu sync.Mutex
	// backendCount is the number of backend servers created, which gives the next
	// one its id; backends holds all of them, also those that left the list.
	backendCount int
	backends     []*backend
	lastDiskLoss time.Time
}

// Report is the result of a soak: the violated guarantees, and how often each
// kind of event was observed.
type Report struct {
	Seed       uint64
	Violations []string
	Counts     map[string]int
}

// Print writes the report.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d:", r.Seed)
	for _, k := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(w, " %s %d;", k, r.Counts[k])
	}
	fmt.Fprintln(w)
	for _, v := range r.Violations {
		fmt.Fprintln(w, "BROKEN", v)
	}
}

// Run runs a soak. On return every process that it started has ended.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if cfg.Grace == 0 {
		cfg.Grace = defaultGrace
	}
	s := &Soak{
		cfg:   cfg,
		start: time.Now(),
		checker: &guarantee.Checker{
			Bounds: guarantee.Bounds{
				Revoke:    5 * time.Second,
				Propagate: 2 * time.Second,
				Drain:     3 * time.Second,
				Evacuate:  5 * time.Second,
				Recovery:  3 * time.Second,
			},
		},
	}
	defer s.cleanUp()
	if err := s.startAll(); err != nil {
		return nil, err
	}
	s.runLoad(ctx)
	return &Report{
		Seed:       cfg.Seed,
		Violations: s.checker.Violations(),
		Counts:     s.checker.Counts(),
	}, nil
}

func (s *Soak) log(event, detail string) {
	if s.cfg.Log != nil {
		fmt.Fprintf(s.cfg.Log, "%8.3f %s %s\n", time.Since(s.start).Seconds(), event, detail)
	}
}

// startAll starts the stand-ins and the daemons and applies a first configuration.
func (s *Soak) startAll() error {
	var err error
	if s.ports, s.releasePorts, err = portrange.New(); err != nil {
		return err
	}
	s.serverList = newServerList(s.checker)
	s.operator = s.newOperator()
	for i, service := range s.firstServices() {
		domain := failureDomains[0]
		if s.cfg.Evacuate {
			domain = failureDomains[i/2%len(failureDomains)]
		}
		b, err := s.addBackend(service, domain)
		if err != nil {
			return err
		}
		s.serverList.add(b)
	}
	for i := range s.cfg.Daemons {
		s.daemons = append(s.daemons, s.newDaemon(i))
	}
	for _, d := range s.daemons {
		if err := d.start(true); err != nil {
			return err
		}
	}
	if s.cfg.KillFirstStart {
		if err := s.killFirstStart(); err != nil {
			return err
		}
	}
	return s.applyFirst()
}

// applyFirst applies the first configuration.
func (s *Soak) applyFirst() error {
	if !s.operator.applyChange(context.Background(), false) {
		return fault.New(fault.NoQuorum, "soak", "the first configuration was not acknowledged")
	}
	return nil
}

// killFirstStart kills a seed shortly after its first start, and starts it again, which is
// no first start. With half of the seeds of the soak, the others have to form the control group
// without it.
func (s *Soak) killFirstStart() error {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, firstStartSequence))
	time.Sleep(time.Duration(rng.Int64N(int64(firstStartTime))))
	d := s.daemons[rng.IntN(min(maxSeeds, s.cfg.Replicas))]
	s.log("fault", "first start of "+d.name)
	pause := time.Duration(rng.Int64N(int64(2 * time.Second)))
	if rng.IntN(2) > 0 {
		return d.crash(pause, nil)
	}
	err := d.crash(pause, s.applyFirst)
	// The two others are both needed until this one has joined them: a disk that is lost before
	// is a second loss.
	s.reserveDiskLoss()
	return err
}

// maxBackendAddresses is the number of addresses for backend servers.
const maxBackendAddresses = 250

func (s *Soak) addBackend(service, domain string) (*backend, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backendCount++
	name, version := fmt.Sprintf("i-%s-%d", service, s.backendCount), softwareVersions[0]
	if s.cfg.Versions && service == versionedService {
		version = s.nextVersion()
		name += "-" + version
	}
	// Each backend server has an address of its own, at a port that nothing takes while it is down.
	address := s.ports.Address(fmt.Sprintf("127.0.2.%d", 1+s.backendCount%maxBackendAddresses), backendPort)
	b, err := s.newBackend(name, service, domain, address)
	if err == nil {
		b.version = version
		b.proxy.passesResets.Store(s.cfg.Versions)
		b.repeatsRefusals = s.cfg.RenameServers
		s.backends = append(s.backends, b)
	}
	return b, err
}

// reserveDiskLoss reports whether a disk may be lost now, that is, whether the last
// loss is at least minDiskLossInterval ago. If so, it records this loss.
func (s *Soak) reserveDiskLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastDiskLoss) < minDiskLossInterval {
		return false
	}
	s.lastDiskLoss = time.Now()
	return true
}

// runLoad runs the operator and the fault injectors for the configured time while
// the callers send requests. It then checks that the fleet recovers with every
// acknowledged change and that no process has exited unexpectedly.
func (s *Soak) runLoad(ctx context.Context) {
	// A daemon that is not run in time receives late what servers ask it for.
	_, stopMonitor := stall.New(s.checker.DisturbedBetween)
	defer stopMonitor()
	loadCtx, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range s.cfg.Callers {
		callers.Go(func() { s.newCaller(n).run(loadCtx) })
	}
	for n := range s.cfg.ChatCallers {
		callers.Go(func() { s.newChatCaller(n).run(loadCtx) })
	}
	if s.cfg.CrashServers {
		for n := range crashCallerCount {
			callers.Go(func() { s.newCrashCaller(n).run(loadCtx) })
		}
	}
	if s.cfg.Versions {
		for n := range streamCallerCount {
			callers.Go(func() { s.newStreamCaller(n).run(loadCtx) })
		}
	}
	faultCtx, stopFaults := context.WithTimeout(ctx, s.cfg.FaultDuration)
	var workers sync.WaitGroup
	workers.Go(func() { s.operator.run(faultCtx) })
	for _, f := range s.injectors() {
		workers.Go(func() { f.run(faultCtx) })
	}
	workers.Wait()
	stopFaults()
	s.log("faults", "ended")
	s.awaitRecovery(ctx)
	stopLoad()
	callers.Wait()
	s.checker.CheckBudget(guarantee.Budget{
		Window: retryWindow,
		Ratio:  retryRatio,
		Slack:  s.retrySlack(),
	})
	s.checker.CheckCrashers()
	s.checker.CheckStreams()
	if s.cfg.Versions {
		s.checker.CheckTakenUp()
	}
	s.keepTraces()
	for _, d := range s.daemons {
		if ended, err := d.process.Exited(); ended {
			s.checker.AddViolation("processes do not exit unexpectedly", fmt.Sprintf("%s: %v", d.name, err))
		}
	}
}

// injectors returns the injectors of the faults, each with a random sequence of its own.
func (s *Soak) injectors() []*injector {
	var all []*injector
	for i := range injectorCount {
		if s.cfg.NoFaults {
			break
		}
		all = append(all, &injector{
			s:   s,
			rng: rand.New(rand.NewPCG(s.cfg.Seed, uint64(10+i))),
		})
	}
	for i, k := range s.separateKinds() {
		all = append(all, &injector{
			s:    s,
			rng:  rand.New(rand.NewPCG(s.cfg.Seed, uint64(separateSequence+i))),
			only: &k,
		})
	}
	return all
}

// separateKinds returns the kinds of faults that have an injector each.
func (s *Soak) separateKinds() []faultKind {
	var kinds []faultKind
	if !s.cfg.NoFaults {
		kinds = append(kinds, pushBackKind, announceKind)
	}
	if s.cfg.FailAll {
		kinds = append(kinds, failAllKind)
	}
	if s.cfg.ColdServers {
		kinds = append(kinds, restartKind)
	}
	if s.cfg.Evacuate {
		kinds = append(kinds, evacuateKind)
	}
	if s.cfg.RenameServers {
		kinds = append(kinds, renameKind)
	}
	if s.cfg.KillRouters {
		kinds = append(kinds, killRouterKind)
	}
	return kinds
}

// awaitRecovery checks that every daemon returns the newest acknowledged
// configuration in time, and that callers are served after that.
func (s *Soak) awaitRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	for _, d := range s.daemons {
		for s.operator.readBack(ctx, d) < s.checker.NewestAcknowledged() {
			if time.Now().After(deadline) {
				s.checker.AddViolation("acknowledged changes are not lost", fmt.Sprintf("%s does not return version %d after %v", d.name, s.checker.NewestAcknowledged(), recoveryTimeout))
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	servedBefore := s.checker.Counts()["served"]
	time.Sleep(time.Second)
	if s.checker.Counts()["served"] == servedBefore {
		s.checker.AddViolation("the fleet recovers", "no request was served in the second after all daemons returned the newest configuration")
	}
}

// cleanUp kills the daemons' processes, then closes the stand-ins.
func (s *Soak) cleanUp() {
	for _, d := range s.daemons {
		if d.process != nil {
			d.process.Kill()
		}
	}
	if s.serverList != nil {
		s.serverList.server.CloseClientConnections()
		s.serverList.server.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		b.close()
	}
	if s.releasePorts != nil {
		s.releasePorts()
	}
}
