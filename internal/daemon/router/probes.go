package router

// This file defines the periodic background work of a router: probing the engines
// that it owns, reading their cache events, and recording queued outcomes. It also
// defines State.

import (
	"context"
	"math/rand/v2"
	"time"

	"camphorspoke/internal/daemon/serverstate"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
	// probesPerEventRead is the number of probe rounds per read of cache events.
	probesPerEventRead = 3
)

// RunBackground probes the owned engines that are not evacuated and records queued
// outcomes until ctx ends.
func (r *Router) RunBackground(ctx context.Context) {
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval - probeInterval/10 + rand.N(probeInterval/5)):
		}
		r.flushOutcomes(ctx)
		v := r.Agent.View()
		for _, s := range v.Servers {
			if v.Rules == nil || s.GetGone() || v.IsEvacuated(s) || v.Rules.Services[s.GetService()].Plain || !r.Agent.Assigned(s.GetName()) {
				continue
			}
			r.cfg.Pool.Submit(func(ctx context.Context) { r.probe(ctx, s, round%probesPerEventRead == 0) })
		}
	}
}

// probe queries an engine for its load and incarnation. A changed incarnation means
// that the engine has restarted with an empty cache.
func (r *Router) probe(ctx context.Context, s *pb.BackendServer, events bool) {
	if !r.breaker.Allow(r.cfg.Now(), s.GetName()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := r.cfg.Probe.Load(ctx, s.GetAddress())
	if err != nil {
		r.breaker.Failure(r.cfg.Now(), s.GetName())
		return
	}
	r.breaker.Success(r.cfg.Now(), s.GetName())
	r.mu.Lock()
	previous := r.engineIncarnations[s.GetName()]
	r.engineIncarnations[s.GetName()] = load.GetIncarnation()
	r.mu.Unlock()
	if previous != 0 && previous != load.GetIncarnation() {
		r.serverStates.ClearCache(s.GetName())
	}
	if !events {
		return
	}
	if es, err := r.cfg.Probe.CacheEvents(ctx, s.GetAddress(), r.serverStates.LastEvent(s.GetName())); err == nil {
		r.serverStates.ApplyCacheEvents(s.GetName(), es)
	}
}

// State is the part of the process dump that describes the router.
type State struct {
	InFlight        int64               `json:"inFlight"`
	SpillWaiters    int64               `json:"waitingForRoom"`
	PendingOutcomes int                 `json:"outcomesToRecord"`
	BackendServers  []serverstate.State `json:"backendServers"`
}

// State returns the current state.
func (r *Router) State() State {
	r.mu.Lock()
	pending := len(r.pendingOutcomes)
	r.mu.Unlock()
	return State{
		InFlight:        r.inFlight.Load(),
		SpillWaiters:    r.spillWaiters.Load(),
		PendingOutcomes: pending,
		BackendServers:  r.serverStates.States(),
	}
}
