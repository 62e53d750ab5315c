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
	// roundEvery is how often an instance looks whether it has something to ask
	// or to tell, replicaRound the same on an instance with a replica.
	roundEvery   = 100 * time.Millisecond
	replicaRound = 50 * time.Millisecond
	// askEvery is the pause between questions while out of touch, tellEvery that
	// between a replica's words to the seeds, and leadEvery that between a
	// leader's words to the instances that it does not hear.
	askEvery  = 100 * time.Millisecond
	tellEvery = time.Second
	leadEvery = 150 * time.Millisecond
	callLimit = 600 * time.Millisecond
)

// Peers reaches another instance.
type Peers interface {
	// Acquaint tells the instance at a peer address where the control group
	// and its leader are, as far as known, and returns what that instance knows.
	Acquaint(ctx context.Context, address string, control []string, leader string) ([]string, error)
}

// Config names what a Finder works with.
type Config struct {
	// Seeds returns the peer addresses that the settings give.
	Seeds func() []string
	// InTouch reports whether the control group has answered lately.
	InTouch func() bool
	// Replica returns the addresses of the group's members that this
	// instance's own replica knows; nil without a replica.
	Replica func() []string
	// Leads returns the address of the own replica while it leads, and the peer
	// addresses of the listed instances that it does not hear; else nothing.
	Leads func() (leader string, unheard []string)
	// Learn is told of the addresses of the group, LearnLeader of that of its leader.
	Learn       func([]string)
	LearnLeader func(string)
	Peers       Peers
	Logger      logrus.FieldLogger
}

// Finder asks and tells. Use New.
type Finder struct {
	cfg Config

	mu sync.Mutex
	// known are the addresses of the group learned last.
	known []string
	// calling holds the instances that a call is under way to.
	calling map[string]bool
	calls   sync.WaitGroup
}

// New returns a finder that runs; the clean-up function stops it.
func New(cfg Config) (*Finder, func()) {
	f := &Finder{
		cfg:     cfg,
		calling: make(map[string]bool),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.run(ctx) })
	return f, func() {
		cancel()
		wg.Wait()
		f.calls.Wait()
	}
}

// pace tells when something is due again. The zero value is due at once.
type pace struct {
	next time.Duration
}

func (p *pace) due(now, every time.Duration) bool {
	if now < p.next {
		return false
	}
	p.next = now + every
	return true
}

func (f *Finder) run(ctx context.Context) {
	var asks, tells, leads pace
	now := time.Duration(0)
	for {
		every := roundEvery
		own := f.cfg.Replica()
		if len(own) > 0 {
			every = replicaRound
			if !f.cfg.InTouch() {
				f.cfg.Learn(own)
			}
			if tells.due(now, tellEvery) {
				f.speak(ctx, f.cfg.Seeds(), "")
			}
			if leader, unheard := f.cfg.Leads(); leader != "" && leads.due(now, leadEvery) {
				f.speak(ctx, unheard, leader)
			}
		}
		if !f.cfg.InTouch() && asks.due(now, askEvery) {
			f.speak(ctx, f.cfg.Seeds(), "")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		now += every
	}
}

// speak calls each target to which no call is under way. It does not wait: a
// target without power answers nothing for as long as a call may take.
func (f *Finder) speak(ctx context.Context, targets []string, leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range targets {
		if f.calling[address] {
			continue
		}
		f.calling[address] = true
		f.calls.Go(func() { f.call(ctx, address, leader) })
	}
}

func (f *Finder) call(ctx context.Context, address, leader string) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	control, err := f.cfg.Peers.Acquaint(ctx, address, f.Known(), leader)
	f.mu.Lock()
	delete(f.calling, address)
	f.mu.Unlock()
	if err == nil {
		f.Acquaint(control, "")
	}
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
// only while nothing better is known, but for a leader's word that it leads.
func (f *Finder) Acquaint(control []string, leader string) {
	if len(control) > 0 && !f.cfg.InTouch() {
		f.mu.Lock()
		changed := !slices.Equal(f.known, control)
		f.known = control
		f.mu.Unlock()
		if changed {
			f.cfg.Logger.WithField("control", control).Info("finder: told where the control group is")
		}
		f.cfg.Learn(control)
	}
	if leader != "" {
		f.cfg.LearnLeader(leader)
	}
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
