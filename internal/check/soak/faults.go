package soak

// This file defines the faults and the order in which a seed brings them about.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// quiet is the longest pause between two faults of one series.
	quiet = 2 * time.Second
	// series is how many series of faults run beside each other.
	series = 2
	// diskPause is the least time between two losses of a disk: a group bears
	// one at a time.
	diskPause = 8 * time.Second
)

// faults brings about one series of faults.
type faults struct {
	s   *Soak
	rng *rand.Rand
}

// kind is one kind of fault.
type kind struct {
	name string
	// weight is how often it comes, against the others.
	weight int
	// planned faults must cut off no request and disturb no promise.
	planned bool
	// do brings it about and returns once it is over.
	do func(f *faults) error
}

var kinds = []kind{
	{name: "kill", weight: 2, do: (*faults).kill},
	{name: "freeze", weight: 1, do: (*faults).freeze},
	{name: "stop", weight: 2, planned: true, do: (*faults).stop},
	{name: "reload", weight: 1, planned: true, do: (*faults).reload},
	{name: "killAll", weight: 1, do: (*faults).killAll},
	{name: "loseDisk", weight: 1, do: (*faults).loseDisk},
	{name: "tearTail", weight: 1, do: (*faults).tearTail},
	{name: "proxy", weight: 1, do: (*faults).proxy},
	{name: "reset", weight: 1, do: (*faults).reset},
	{name: "grey", weight: 1, do: (*faults).grey},
	{name: "list", weight: 1, do: (*faults).list},
	{name: "replaceRunner", weight: 1, planned: true, do: (*faults).replaceRunner},
}

// draw returns a kind of fault at random, by weight.
func (f *faults) draw() kind {
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

func (f *faults) run(ctx context.Context) {
	for ctx.Err() == nil {
		k := f.draw()
		f.s.log("fault", k.name)
		f.s.record.Count("fault " + k.name)
		ends := func() {}
		if !k.planned {
			ends = f.s.record.Disturb()
		}
		if err := k.do(f); err != nil {
			f.s.record.Breaks("faults can be injected", fmt.Sprintf("%s: %v", k.name, err))
		}
		ends()
		time.Sleep(f.span(quiet))
	}
}

// span returns a random time below most.
func (f *faults) span(most time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(most)))
}

func (f *faults) daemon() *daemon { return f.s.daemons[f.rng.IntN(len(f.s.daemons))] }

func (f *faults) runner() *runner {
	all := f.s.listing.all()
	return all[f.rng.IntN(len(all))]
}

func (f *faults) kill() error { return f.daemon().kill(f.span(time.Second), nil) }

func (f *faults) freeze() error { return f.daemon().freeze(f.span(4 * time.Second)) }

func (f *faults) stop() error { return f.daemon().restart() }

// reload says that the settings may have changed.
func (f *faults) reload() error {
	d := f.daemon()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settle()
	return d.process.Signal(syscall.SIGHUP)
}

// killAll kills every process at the same moment.
func (f *faults) killAll() error {
	errs := make(chan error, len(f.s.daemons))
	var wg sync.WaitGroup
	for _, d := range f.s.daemons {
		pause := f.span(500 * time.Millisecond)
		wg.Go(func() { errs <- d.kill(pause, nil) })
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

// loseDisk has a replica lose its disk, unless one was lost lately.
func (f *faults) loseDisk() error {
	if !f.s.mayLoseDisk() {
		return nil
	}
	d := f.s.daemons[f.rng.IntN(f.s.cfg.Replicas)]
	return d.kill(f.span(time.Second), d.loseDisk)
}

func (f *faults) tearTail() error {
	d := f.s.daemons[f.rng.IntN(f.s.cfg.Replicas)]
	return d.kill(f.span(time.Second), d.tearTail)
}

// proxy delays, silences or cuts one way the link to a backend server.
func (f *faults) proxy() error {
	r := f.runner()
	r.proxy.set(mode(1 + f.rng.IntN(int(modes)-1)))
	time.Sleep(f.span(3 * time.Second))
	r.proxy.reset()
	r.proxy.set(passing)
	return nil
}

func (f *faults) reset() error {
	for _, r := range f.s.listing.all() {
		r.proxy.reset()
	}
	return nil
}

func (f *faults) grey() error {
	r := f.runner()
	r.grey.Store(true)
	time.Sleep(f.span(3 * time.Second))
	r.grey.Store(false)
	return nil
}

func (f *faults) list() error {
	f.s.listing.down.Store(true)
	time.Sleep(f.span(3 * time.Second))
	f.s.listing.down.Store(false)
	return nil
}

// replaceRunner adds a backend server and lets another one of its service leave.
func (f *faults) replaceRunner() error {
	old := f.runner()
	if old.leaving.Load() {
		return nil // another series is at it
	}
	next, err := f.s.addRunner(old.service)
	if err != nil {
		return err
	}
	f.s.listing.add(next)
	time.Sleep(f.span(time.Second))
	old.leaving.Store(true)
	f.s.record.Leaving(old.id, time.Now())
	time.Sleep(2 * f.s.record.Bounds.Drain)
	f.s.listing.remove(old)
	time.Sleep(time.Second)
	old.close()
	return nil
}
