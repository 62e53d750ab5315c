// Package finder keeps an instance acquainted with the control group.
//
// A process is told a few addresses, and these may name instances that are no
// replicas, or that have just started and know nothing themselves. So knowledge
// goes both ways: an instance that has lost touch asks, and a replica tells the
// seeds, and the instances that have fallen silent, where the group is. After
// all machines have lost power, the replicas still know one another from their
// disks, and from them everyone learns the rest.
package finder

// This file defines Finder.

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// askEvery is the pause between questions while out of touch, tellEvery
	// that between a replica's words to others.
	askEvery  = 250 * time.Millisecond
	tellEvery = time.Second
	callLimit = 600 * time.Millisecond
)

// Peers reaches another instance.
type Peers interface {
	// Acquaint tells the instance at a peer address where the control group
	// is, as far as known, and returns what that instance knows.
	Acquaint(ctx context.Context, address string, control []string) ([]string, error)
}

// Config names what a Finder works with.
type Config struct {
	// Seeds returns the peer addresses that the settings give.
	Seeds func() []string
	// Silent returns the peer addresses of instances that should be in touch
	// and are not, as far as this instance knows.
	Silent func() []string
	// InTouch reports whether the control group has answered lately.
	InTouch func() bool
	// Replica returns the addresses of the group's members that this
	// instance's own replica knows; nil without a replica.
	Replica func() []string
	// Learn is told of the addresses of the group.
	Learn  func([]string)
	Peers  Peers
	Logger logrus.FieldLogger
}

// Finder asks and tells. Use New.
type Finder struct {
	cfg Config

	mu sync.Mutex
	// known are the addresses of the group learned last.
	known []string
}

// New returns a finder that runs; the clean-up function stops it.
func New(cfg Config) (*Finder, func()) {
	f := &Finder{
		cfg: cfg,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.run(ctx) })
	return f, func() {
		cancel()
		wg.Wait()
	}
}

func (f *Finder) run(ctx context.Context) {
	lastTold := time.Duration(0)
	for round := time.Duration(0); ; round += askEvery {
		select {
		case <-ctx.Done():
			return
		case <-time.After(askEvery):
		}
		tells := len(f.cfg.Replica()) > 0 && round-lastTold >= tellEvery
		if tells {
			lastTold = round
		}
		if tells || !f.cfg.InTouch() {
			f.round(ctx, tells)
		}
	}
}

// round speaks to the seeds and, as a replica, to the silent instances.
func (f *Finder) round(ctx context.Context, tells bool) {
	targets := slices.Clone(f.cfg.Seeds())
	if tells {
		targets = append(targets, f.cfg.Silent()...)
	}
	slices.Sort(targets)
	var wg sync.WaitGroup
	for _, address := range slices.Compact(targets) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callLimit)
			defer cancel()
			control, err := f.cfg.Peers.Acquaint(ctx, address, f.Known())
			if err != nil {
				return
			}
			f.Acquaint(control)
		})
	}
	wg.Wait()
}

// Known returns the addresses of the control group, as far as known: what the
// own replica has on disk, or else what others have said.
func (f *Finder) Known() []string {
	if own := f.cfg.Replica(); len(own) > 0 {
		return own
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// Acquaint takes the word of another instance on where the group is. It counts
// only while nothing better is known.
func (f *Finder) Acquaint(control []string) {
	if len(control) == 0 || f.cfg.InTouch() {
		return
	}
	f.mu.Lock()
	changed := !slices.Equal(f.known, control)
	f.known = control
	f.mu.Unlock()
	if changed {
		f.cfg.Logger.WithField("control", control).Info("finder: told where the control group is")
	}
	f.cfg.Learn(control)
}

// Confirm takes the leader's word on where the group is.
func (f *Finder) Confirm(control []string) {
	if len(control) == 0 {
		return
	}
	f.mu.Lock()
	f.known = control
	f.mu.Unlock()
	f.cfg.Learn(control)
}
