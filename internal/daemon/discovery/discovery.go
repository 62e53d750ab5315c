// Package discovery finds the addresses of the control group and its leader.
//
// The seed addresses in the settings may belong to instances without a replica,
// or to instances that have just started and hold no addresses themselves.
// Discovery therefore works in both directions: an instance that has lost
// contact with the control group queries the seeds, and each replica announces
// the group to the seeds. The leader also announces it to the listed instances
// whose heartbeats have stopped. After a power loss of all machines, the
// replicas read one another's addresses from disk, and the other instances
// receive them from the replicas.
package discovery

// This file defines Finder and its Config.

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// pollInterval is how often an instance checks whether a query or an
	// announcement is due; replicaPollInterval applies to an instance with a
	// replica.
	pollInterval        = 100 * time.Millisecond
	replicaPollInterval = 50 * time.Millisecond
	// firstQueryDelay is the time from the loss of contact, or the start, to the first
	// query to the seeds. By then an instance whose seeds have replicas has found the
	// leader through them.
	firstQueryDelay = 250 * time.Millisecond
	// queryInterval is the time until the second query to the seeds while the control
	// group does not answer; it doubles with each query up to maxQueryInterval, as
	// all instances of a large fleet may lose contact at once. seedAnnounceInterval is
	// the time between a replica's announcements to the seeds, and
	// leaderAnnounceInterval that between the leader's announcements to instances
	// whose heartbeats have stopped.
	queryInterval          = 100 * time.Millisecond
	maxQueryInterval       = 800 * time.Millisecond
	seedAnnounceInterval   = time.Second
	leaderAnnounceInterval = 150 * time.Millisecond
	// exchangeTimeout limits one call to another instance.
	exchangeTimeout = 600 * time.Millisecond
)

// Peers calls other instances.
type Peers interface {
	// Acquaint sends the known addresses of the control group and of its leader,
	// which may be empty, to the instance at a peer address. It returns the
	// control group addresses that the instance holds.
	Acquaint(ctx context.Context, address string, control []string, leader string) ([]string, error)
}

// Config holds the dependencies of a Finder.
type Config struct {
	// Seeds returns the peer addresses of the seeds in the settings.
	Seeds func() []string
	// ControlReachable reports whether the control group has answered a heartbeat
	// recently.
	ControlReachable func() bool
	// ReplicaMembers returns the member addresses of the control group that the local
	// replica holds; nil on an instance without a replica.
	ReplicaMembers func() []string
	// LeaderState returns the address of the local replica while it leads, and the peer
	// addresses of the listed instances from which it has received no recent
	// heartbeat. Both are empty while it does not lead.
	LeaderState func() (leader string, unresponsive []string)
	// OnControlAddresses is called with the discovered addresses of the control
	// group, and OnLeader with the address of its leader.
	OnControlAddresses func([]string)
	OnLeader           func(string)
	Peers              Peers
	Logger             logrus.FieldLogger
}

// Finder exchanges the addresses of the control group with other instances. Use
// New to make one.
type Finder struct {
	cfg Config

	mu sync.Mutex
	// controlAddresses holds the control group addresses received last.
	controlAddresses []string
	// inFlight holds the addresses of the instances with an exchange in flight.
	inFlight  map[string]bool
	exchanges sync.WaitGroup
}

// New starts a finder and returns it; the clean-up function stops it.
func New(cfg Config) (*Finder, func()) {
	f := &Finder{
		cfg:      cfg,
		inFlight: make(map[string]bool),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.run(ctx) })
	return f, func() {
		cancel()
		wg.Wait()
		f.exchanges.Wait()
	}
}

// timer limits an action to once per interval. The zero value has expired, so
// that the first action runs at once.
type timer struct {
	next time.Duration
}

// expired reports whether the timer has expired at now, and restarts it if so.
func (t *timer) expired(now, interval time.Duration) bool {
	if now < t.next {
		return false
	}
	t.next = now + interval
	return true
}

// run sends the queries and announcements that are due until ctx is done.
func (f *Finder) run(ctx context.Context) {
	var queryTimer, seedTimer, leaderTimer timer
	now := time.Duration(0)
	queryTimer.next = firstQueryDelay
	untilQuery := queryInterval
	for {
		interval := pollInterval
		members := f.cfg.ReplicaMembers()
		if len(members) > 0 {
			interval = replicaPollInterval
			if !f.cfg.ControlReachable() {
				f.cfg.OnControlAddresses(members)
			}
			if seedTimer.expired(now, seedAnnounceInterval) {
				f.startExchanges(ctx, f.cfg.Seeds(), "")
			}
			if leader, unresponsive := f.cfg.LeaderState(); leader != "" && leaderTimer.expired(now, leaderAnnounceInterval) {
				f.startExchanges(ctx, unresponsive, leader)
			}
		}
		if f.cfg.ControlReachable() {
			queryTimer.next, untilQuery = now+firstQueryDelay, queryInterval
		} else if queryTimer.expired(now, untilQuery) {
			f.startExchanges(ctx, f.cfg.Seeds(), "")
			untilQuery = min(2*untilQuery, maxQueryInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		now += interval
	}
}

// startExchanges starts an exchange with each target that has none in flight.
// It does not wait for the answers, since a call to a machine without power
// lasts until its timeout.
func (f *Finder) startExchanges(ctx context.Context, targets []string, leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range targets {
		if f.inFlight[address] {
			continue
		}
		f.inFlight[address] = true
		f.exchanges.Go(func() { f.exchange(ctx, address, leader) })
	}
}

// exchange sends the known addresses to one instance and processes those that
// it returns.
func (f *Finder) exchange(ctx context.Context, address, leader string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	control, err := f.cfg.Peers.Acquaint(ctx, address, f.ControlAddresses(), leader)
	f.mu.Lock()
	delete(f.inFlight, address)
	f.mu.Unlock()
	if err == nil {
		f.ReceiveAddresses(control, "")
	}
}

// ControlAddresses returns the known addresses of the control group: those that
// the local replica holds, or else those received last from other instances.
func (f *Finder) ControlAddresses() []string {
	if members := f.cfg.ReplicaMembers(); len(members) > 0 {
		return members
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controlAddresses
}

// ReceiveAddresses processes addresses received from another instance. Control
// group addresses are ignored while the group answers heartbeats, as they may be
// outdated; the address of a leader is always passed on.
func (f *Finder) ReceiveAddresses(control []string, leader string) {
	if len(control) > 0 && !f.cfg.ControlReachable() {
		f.mu.Lock()
		changed := !slices.Equal(f.controlAddresses, control)
		f.controlAddresses = control
		f.mu.Unlock()
		if changed {
			f.cfg.Logger.WithField("control", control).Info("discovery: received new addresses of the control group")
		}
		f.cfg.OnControlAddresses(control)
	}
	if leader != "" {
		f.cfg.OnLeader(leader)
	}
}

// ReplaceAddresses stores control group addresses that come from the leader. They
// always replace the known ones.
func (f *Finder) ReplaceAddresses(control []string) {
	if len(control) == 0 {
		return
	}
	f.mu.Lock()
	f.controlAddresses = control
	f.mu.Unlock()
	f.cfg.OnControlAddresses(control)
}
