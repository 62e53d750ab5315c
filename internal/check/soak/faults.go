package soak

// This file defines the kinds of faults and injector, which injects them in an
// order that the seed determines.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// maxFaultPause is the longest pause between two faults of one injector.
	maxFaultPause = 2 * time.Second
	// responseFlushTime is how long the end of a response may take to be written.
	responseFlushTime = 200 * time.Millisecond
	// injectorCount is the number of injectors that run concurrently.
	injectorCount = 2
	// minDiskLossInterval is the least time between two losses of a disk: the
	// replicas tolerate only one at a time.
	minDiskLossInterval = 8 * time.Second
)

// injector injects one fault after another.
type injector struct {
	s   *Soak
	rng *rand.Rand
	// only is the one kind that it injects; nil for a random one of faultKinds each time.
	// It then has a sequence of its own, so that each seed keeps the sequences of the
	// other kinds.
	only *faultKind
}

// faultKind is a kind of fault.
type faultKind struct {
	// name is the name of the fault in the log and in the counters.
	name string
	// weight is the relative frequency of the kind.
	weight int
	// planned is true for operations that a fleet must carry out without
	// interrupting a request: every guarantee is checked while they last.
	planned bool
	// inject injects a fault of the kind and returns once it is over.
	inject func(f *injector) error
}

var faultKinds = []faultKind{
	{name: "kill", weight: 2, inject: (*injector).kill},
	{name: "freeze", weight: 1, inject: (*injector).freeze},
	{name: "stop", weight: 2, planned: true, inject: (*injector).stop},
	{name: "reload", weight: 1, planned: true, inject: (*injector).reload},
	{name: "killAll", weight: 1, inject: (*injector).killAll},
	{name: "loseDisk", weight: 1, inject: (*injector).loseDisk},
	{name: "tearTail", weight: 1, inject: (*injector).tearTail},
	{name: "proxy", weight: 1, inject: (*injector).degradeLink},
	{name: "reset", weight: 1, inject: (*injector).resetLinks},
	{name: "grey", weight: 1, inject: (*injector).failPartially},
	{name: "list", weight: 1, inject: (*injector).listOutage},
	{name: "replaceRunner", weight: 1, planned: true, inject: (*injector).replaceBackend},
}

// pushBackKind is the kind of fault in which backend servers refuse requests and ask for a
// pause. It breaks no guarantee of the others.
var pushBackKind = faultKind{name: "pushBack", planned: true, inject: (*injector).pushBack}

// announceKind is the kind of planned operation in which a backend server announces in its
// responses that it leaves.
var announceKind = faultKind{name: "announce", planned: true, inject: (*injector).announceDeparture}

// failAllKind is the kind of fault in which all servers of a service fail about half of their
// requests, so that retries may exceed their budget.
var failAllKind = faultKind{name: "failAll", inject: (*injector).failAll}

// killRouterKind is the kind of fault in which a daemon is killed that is no control replica,
// so that the deciders change while the control group is stable.
var killRouterKind = faultKind{name: "killRouter", inject: (*injector).killRouter}

// pick returns a random kind of fault, each with a probability proportional to its
// weight.
func (f *injector) pick() faultKind {
	kinds := faultKinds
	if f.s.cfg.PlannedOnly {
		kinds = slices.DeleteFunc(slices.Clone(faultKinds), func(k faultKind) bool { return !k.planned })
	}
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	at := f.rng.IntN(total)
	for _, k := range kinds {
		if at -= k.weight; at < 0 {
			return k
		}
	}
	return kinds[0]
}

func (f *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		var k faultKind
		if f.only != nil {
			k = *f.only
		} else {
			k = f.pick()
		}
		f.s.log("fault", k.name)
		f.s.checker.Count("fault " + k.name)
		endFault := func() {}
		if !k.planned {
			endFault = f.s.checker.BeginFault()
		}
		if err := k.inject(f); err != nil {
			f.s.checker.AddViolation("faults can be injected", fmt.Sprintf("%s: %v", k.name, err))
		}
		endFault()
		time.Sleep(f.randomDuration(maxFaultPause))
	}
}

// randomDuration returns a random duration below limit.
func (f *injector) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(limit)))
}

func (f *injector) randomDaemon() *daemon { return f.s.daemons[f.rng.IntN(len(f.s.daemons))] }

func (f *injector) randomBackend() *backend {
	all := f.s.serverList.all()
	return all[f.rng.IntN(len(all))]
}

func (f *injector) kill() error { return f.randomDaemon().crash(f.randomDuration(time.Second), nil) }

func (f *injector) killRouter() error {
	routers := f.s.daemons[f.s.cfg.Replicas:]
	return routers[f.rng.IntN(len(routers))].crash(f.randomDuration(time.Second), nil)
}

func (f *injector) freeze() error { return f.randomDaemon().freeze(f.randomDuration(4 * time.Second)) }

func (f *injector) stop() error { return f.randomDaemon().restart() }

// reload sends SIGHUP, which makes the daemon reload its settings.
func (f *injector) reload() error {
	d := f.randomDaemon()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.awaitStartup(); err != nil {
		return err
	}
	return d.process.Signal(syscall.SIGHUP)
}

// killAll kills all processes at the same time.
func (f *injector) killAll() error {
	errs := make(chan error, len(f.s.daemons))
	var wg sync.WaitGroup
	for _, d := range f.s.daemons {
		pause := f.randomDuration(500 * time.Millisecond)
		wg.Go(func() { errs <- d.crash(pause, nil) })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// loseDisk kills a replica and deletes its data, unless a disk was lost less than
// minDiskLossInterval ago.
func (f *injector) loseDisk() error {
	if !f.s.reserveDiskLoss() {
		return nil
	}
	d := f.s.daemons[f.rng.IntN(f.s.cfg.Replicas)]
	return d.crash(f.randomDuration(time.Second), d.deleteData)
}

// tearTail kills a replica and leaves its log with a torn record at its end.
func (f *injector) tearTail() error {
	d := f.s.daemons[f.rng.IntN(f.s.cfg.Replicas)]
	return d.crash(f.randomDuration(time.Second), d.appendTornRecord)
}

// degradeLink puts the proxy of a backend server into a random faulty mode for a
// while.
func (f *injector) degradeLink() error {
	defer f.s.checker.Disturb("")()
	b := f.randomBackend()
	b.proxy.setMode(mode(1 + f.rng.IntN(int(modeCount)-1)))
	time.Sleep(f.randomDuration(3 * time.Second))
	b.proxy.reset()
	b.proxy.setMode(forwarding)
	return nil
}

// resetLinks resets the open connections to every listed backend server.
func (f *injector) resetLinks() error {
	for _, b := range f.s.serverList.all() {
		b.proxy.reset()
	}
	return nil
}

// failPartially makes a backend server fail about half of its requests for a while,
// a gray failure.
func (f *injector) failPartially() error {
	b := f.randomBackend()
	b.partlyFailing.Store(true)
	time.Sleep(f.randomDuration(3 * time.Second))
	b.partlyFailing.Store(false)
	return nil
}

// failAll makes all servers of a random service fail about half of their requests for a
// while.
func (f *injector) failAll() error {
	service := f.randomBackend().service
	var servers []*backend
	for _, b := range f.s.serverList.all() {
		if b.service == service {
			servers = append(servers, b)
			b.partlyFailing.Store(true)
		}
	}
	time.Sleep(f.randomDuration(4 * time.Second))
	for _, b := range servers {
		b.partlyFailing.Store(false)
	}
	return nil
}

// pushBack makes one backend server, or all of its service, refuse all requests for a while
// and ask for pauses of up to three seconds.
func (f *injector) pushBack() error {
	servers := []*backend{f.randomBackend()}
	if f.rng.IntN(3) == 0 {
		for _, b := range f.s.serverList.all() {
			if b.service == servers[0].service && b != servers[0] {
				servers = append(servers, b)
			}
		}
	}
	pause := f.randomDuration(3 * time.Second)
	for _, b := range servers {
		b.pauseMs.Store(pause.Milliseconds())
	}
	time.Sleep(f.randomDuration(3 * time.Second))
	for _, b := range servers {
		b.pauseMs.Store(0)
	}
	return nil
}

// listOutage makes the platform's list unavailable for a while.
func (f *injector) listOutage() error {
	f.s.serverList.unavailable.Store(true)
	time.Sleep(f.randomDuration(3 * time.Second))
	f.s.serverList.unavailable.Store(false)
	return nil
}

// replaceBackend replaces a backend server as the list shows it.
func (f *injector) replaceBackend() error { return f.replace(false) }

// announceDeparture replaces a backend server that announces its departure in its responses,
// before the list shows it.
func (f *injector) announceDeparture() error { return f.replace(true) }

// replace adds a backend server to the list, and drains and removes another
// one of the same service.
func (f *injector) replace(announce bool) error {
	old := f.randomBackend()
	if !old.replaced.CompareAndSwap(false, true) {
		return nil // another injector is replacing it
	}
	next, err := f.s.addBackend(old.service, old.domain)
	if err != nil {
		return err
	}
	if f.s.cfg.ColdServers {
		next.cold.begin(time.Now())
	}
	f.s.serverList.add(next)
	time.Sleep(f.randomDuration(time.Second))
	if announce {
		old.leaving.Store(true)
		time.Sleep(f.randomDuration(2 * f.s.checker.Bounds.Drain))
	}
	old.draining.Store(true)
	f.s.checker.Draining(old.id(), time.Now())
	time.Sleep(2 * f.s.checker.Bounds.Drain)
	f.s.serverList.remove(old)
	time.Sleep(time.Second)
	// A server that leaves finishes its requests, and writes the ends of its responses.
	old.executing.Wait()
	time.Sleep(responseFlushTime)
	old.close()
	return nil
}
