package router

// This file defines the paced background work of a router: probes of the
// engines it owns, their cache events, and outcomes still to be recorded.

import (
	"context"
	"math/rand/v2"
	"time"

	"camphorspoke/internal/daemon/gates"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	probeInterval = time.Second
	probeLimit    = 800 * time.Millisecond
	// eventsEvery is how many probes there are to one read of cache events.
	eventsEvery = 3
)

// Background runs until ctx ends.
func (r *Router) Background(ctx context.Context) {
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval - probeInterval/10 + rand.N(probeInterval/5)):
		}
		r.flushSettlements(ctx)
		v := r.Agent.View()
		for _, s := range v.Servers {
			if v.Rules == nil || s.GetGone() || v.Rules.Services[s.GetService()].Plain || !r.Agent.Assigned(s.GetName()) {
				continue
			}
			r.cfg.Pool.Submit(func(ctx context.Context) { r.probe(ctx, s, round%eventsEvery == 0) })
		}
	}
}

// probe asks an engine for its load. A new incarnation means an empty cache.
func (r *Router) probe(ctx context.Context, s *pb.BackendServer, events bool) {
	if !r.breaker.Allow(r.cfg.Now(), s.GetName()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	load, err := r.cfg.Probe.Load(ctx, s.GetAddress())
	if err != nil {
		r.breaker.Failure(r.cfg.Now(), s.GetName())
		return
	}
	r.breaker.Success(r.cfg.Now(), s.GetName())
	r.mu.Lock()
	before := r.lives[s.GetName()]
	r.lives[s.GetName()] = load.GetIncarnation()
	r.mu.Unlock()
	if before != 0 && before != load.GetIncarnation() {
		r.gates.ClearCache(s.GetName())
	}
	if !events {
		return
	}
	if es, err := r.cfg.Probe.CacheEvents(ctx, s.GetAddress(), r.gates.LastEvent(s.GetName())); err == nil {
		r.gates.Correct(s.GetName(), es)
	}
}

// State is what the dump shows of a router.
type State struct {
	InFlight  int64         `json:"inFlight"`
	Waiting   int64         `json:"waitingForRoom"`
	Unsettled int           `json:"outcomesToRecord"`
	Gates     []gates.State `json:"backendServers"`
}

// State returns the present state.
func (r *Router) State() State {
	r.mu.Lock()
	unsettled := len(r.unsettled)
	r.mu.Unlock()
	return State{
		InFlight:  r.inFlight.Load(),
		Waiting:   r.waiting.Load(),
		Unsettled: unsettled,
		Gates:     r.gates.States(),
	}
}
