// Package soak runs the real programs as separate processes on loopback and
// injects faults from outside them, while callers, an operator and stand-ins for
// backend servers check what they see against what is promised.
//
// Processes are killed, frozen, stopped and restarted by signals; disks are lost
// or have a torn tail; links to backend servers are delayed, silenced, reset or
// cut one way by proxies; backend servers fail or are replaced; the platform's
// list goes away. Two series of faults run beside each other and overlap. A seed
// fixes which faults come in which order, not how the processes interleave.
package soak

// This file defines Soak, its configuration and its report.

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"camphorspoke/internal/check/observed"
	"camphorspoke/internal/world/fault"
)

const (
	// readyIn is the time in which a fleet must serve after a start, or after
	// the last fault.
	readyIn = 15 * time.Second
	// basePorts and baseSpan are where the ports of a soak lie.
	basePorts = 20_000
	baseSpan  = 10_000
)

// Config says what a soak runs.
type Config struct {
	// Bin is the folder of the programs, Dir an empty one for logs and data.
	Bin string
	Dir string
	// Seed fixes the faults, Span is how long they last.
	Seed uint64
	Span time.Duration
	// Daemons is the number of processes, Replicas how many of them have a disk.
	Daemons  int
	Replicas int
	Callers  int
	// Log is told of each fault; nil for none.
	Log io.Writer
}

// Soak is a run under way. Use Run.
type Soak struct {
	cfg      Config
	base     int
	start    time.Time
	record   *observed.Record
	listing  *listing
	operator *operator
	daemons  []*daemon

	mu sync.Mutex
	// runners counts the backend servers made, all holds them.
	runners  int
	all      []*runner
	diskLost time.Time
}

// Report is what a soak saw.
type Report struct {
	Seed   uint64
	Broken []string
	Counts map[string]int
}

// Print writes the report.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d:", r.Seed)
	for _, k := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(w, " %s %d;", k, r.Counts[k])
	}
	fmt.Fprintln(w)
	for _, b := range r.Broken {
		fmt.Fprintln(w, "BROKEN", b)
	}
}

// Run runs a soak and ends every process that it has started.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	s := &Soak{
		cfg:   cfg,
		start: time.Now(),
		record: &observed.Record{
			Bounds: observed.Bounds{
				Revoke:  5 * time.Second,
				InForce: 2 * time.Second,
				Drain:   3 * time.Second,
				Calm:    3 * time.Second,
			},
		},
	}
	defer s.end()
	if err := s.startAll(); err != nil {
		return nil, err
	}
	s.load(ctx)
	return &Report{
		Seed:   cfg.Seed,
		Broken: s.record.Broken(),
		Counts: s.record.Counts(),
	}, nil
}

func (s *Soak) log(what, detail string) {
	if s.cfg.Log != nil {
		fmt.Fprintf(s.cfg.Log, "%8.3f %s %s\n", time.Since(s.start).Seconds(), what, detail)
	}
}

// startAll starts stand-ins and daemons and puts a configuration in force.
func (s *Soak) startAll() error {
	s.listing = newListing(s.record)
	s.operator = s.newOperator()
	for i := range 6 {
		r, err := s.addRunner([]string{"app", "llm"}[i%2])
		if err != nil {
			return err
		}
		s.listing.add(r)
	}
	for i := range s.cfg.Daemons {
		s.daemons = append(s.daemons, s.newDaemon(i))
	}
	var err error
	if s.base, err = s.freeBase(); err != nil {
		return err
	}
	for _, d := range s.daemons {
		if err := d.start(true); err != nil {
			return err
		}
	}
	if !s.operator.change(context.Background(), false) {
		return fault.New(fault.NoQuorum, "soak", "the first configuration was not accepted")
	}
	return nil
}

// freeBase returns a port from which on every daemon's ports are free now.
func (s *Soak) freeBase() (int, error) {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), s.cfg.Seed))
	for range 100 {
		base := basePorts + rng.IntN(baseSpan)
		if s.free(base) {
			return base, nil
		}
	}
	return 0, fault.New(fault.Internal, "soak", "no free ports")
}

func (s *Soak) free(base int) bool {
	for port := base; port < base+portsUsed; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf(":%d", port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (s *Soak) addRunner(service string) (*runner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners++
	r, err := newRunner(fmt.Sprintf("i-%s-%d", service, s.runners), service, s.record)
	if err == nil {
		s.all = append(s.all, r)
	}
	return r, err
}

// mayLoseDisk reports whether the last loss of a disk is long ago, and notes one.
func (s *Soak) mayLoseDisk() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.diskLost) < diskPause {
		return false
	}
	s.diskLost = time.Now()
	return true
}

// load runs callers, operator and faults, ends the faults, and checks that the
// fleet recovers with what was acknowledged.
func (s *Soak) load(ctx context.Context) {
	loadCtx, endLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range s.cfg.Callers {
		callers.Go(func() { s.newCaller(n).run(loadCtx) })
	}
	faultCtx, endFaults := context.WithTimeout(ctx, s.cfg.Span)
	var trouble sync.WaitGroup
	trouble.Go(func() { s.operator.run(faultCtx) })
	for i := range series {
		f := &faults{
			s:   s,
			rng: rand.New(rand.NewPCG(s.cfg.Seed, uint64(10+i))),
		}
		trouble.Go(func() { f.run(faultCtx) })
	}
	trouble.Wait()
	endFaults()
	s.log("faults", "ended")
	s.awaitRecovery(ctx)
	endLoad()
	callers.Wait()
	for _, d := range s.daemons {
		if ended, err := d.process.Exited(); ended {
			s.record.Breaks("processes do not end by themselves", fmt.Sprintf("%s: %v", d.name, err))
		}
	}
}

// awaitRecovery requires every daemon to show what was acknowledged, and then
// that callers are served.
func (s *Soak) awaitRecovery(ctx context.Context) {
	deadline := time.Now().Add(readyIn)
	for _, d := range s.daemons {
		for s.operator.read(ctx, d) < s.record.Newest() {
			if time.Now().After(deadline) {
				s.record.Breaks("nothing acknowledged is lost", fmt.Sprintf("%s does not show version %d after %v", d.name, s.record.Newest(), readyIn))
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	served := s.record.Counts()["served"]
	time.Sleep(time.Second)
	if s.record.Counts()["served"] == served {
		s.record.Breaks("the fleet recovers", "nobody is served in the second after all configurations were read")
	}
}

// end ends what runs: the daemons by their ids, then the stand-ins.
func (s *Soak) end() {
	for _, d := range s.daemons {
		if d.process != nil {
			d.process.Kill()
		}
	}
	if s.listing != nil {
		s.listing.http.CloseClientConnections()
		s.listing.http.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.all {
		r.close()
	}
}
