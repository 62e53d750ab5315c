package placer

// This file defines how a new decider initialises its model of the engines' prefix
// caches: after a start it has no record of the prompts that were sent to them.

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
)

const (
	// engineQueryTimeout bounds the query to one engine.
	engineQueryTimeout = 400 * time.Millisecond
	// maxEngineQueries is how many engines are queried at a time, and enginePause the
	// pause after each query. The answers of all engines of a large service at once
	// would keep the decider's link and processor busy for longer than requests wait
	// for a decision.
	maxEngineQueries = 8
	enginePause      = 20 * time.Millisecond
)

// queryUnlessInformed queries the engines of a service for their cached prefixes when
// this instance begins to decide for the service without knowing them. An instance that
// the decider before it has kept informed sends no queries, as each query delays the
// work of an engine. Neither does one that is not a decider by its own view: an instance
// that is slow skips one decider after the other, and each of them would query every engine
// for the requests of that instance alone.
func (d *Schedulers) queryUnlessInformed(service string) {
	if d.continues(service) || !d.entitled(service) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	if decidedAt, decided := d.decidedAt[service]; decided && now-decidedAt < decidedFor {
		return
	}
	d.decidedAt[service] = now
	fedAt, fed := d.fedAt[service]
	if fed && now-fedAt < fedFor || d.cfg.CacheReader == nil {
		d.complete[service] = true
		return
	}
	d.complete[service] = false
	pending := make(chan engine, len(d.engines[service]))
	for _, e := range d.engines[service] {
		pending <- e
	}
	close(pending)
	engines := len(pending)
	var parts atomic.Int64
	var queries sync.WaitGroup
	for range min(maxEngineQueries, engines) {
		queries.Go(func() {
			for e := range pending {
				parts.Add(int64(d.queryEngine(service, e)))
				time.Sleep(enginePause)
			}
		})
	}
	go func() {
		queries.Wait()
		d.cfg.Logger.WithField("service", service).WithField("engines", engines).WithField("parts", parts.Load()).
			Info("placer: read the cached prefixes of the engines of a service")
		d.mu.Lock()
		defer d.mu.Unlock()
		d.complete[service] = true
	}()
}

// continues records a decision on behalf of all instances, and reports whether this instance
// has made such decisions for the service before.
func (d *Schedulers) continues(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	decidedAt, decided := d.decidedAt[service]
	if !decided || now-decidedAt >= decidedFor {
		return false
	}
	d.decidedAt[service] = now
	return true
}

// engine holds the name and the address of a model engine.
type engine struct {
	name, address string
}

// mayQuery reports whether an engine may be queried; if not, the reason is returned as
// well. No request of any kind goes to an engine that has asked this instance for a pause
// or is evacuated.
func (d *Schedulers) mayQuery(service, server string) (ok bool, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.IsEvacuated(d.view.Servers[server]) {
		return false, "evacuated"
	}
	if s := d.services[service]; s != nil && s.PauseLeft(d.cfg.Now(), server, d.cfg.Instance) > 0 {
		return false, "paused"
	}
	return true, ""
}

// queryEngine queries one engine, records its cached prefixes in the scheduler of the
// service and returns the number of parts.
func (d *Schedulers) queryEngine(service string, e engine) int {
	if ok, reason := d.mayQuery(service, e.name); !ok {
		d.cfg.Logger.WithField("server", e.name).WithField("reason", reason).
			Info("placer: an engine is not queried for its cached prefixes, as it has asked for a pause or is evacuated")
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), engineQueryTimeout)
	defer cancel()
	cache, err := d.cfg.CacheReader.ReadCache(ctx, e.address)
	if err != nil {
		d.cfg.Logger.WithError(err).WithField("server", e.name).Warn("placer: cannot read the cached prefixes of an engine")
		return 0
	}
	d.recordBirth(service, e.name, e.address, cache.BornMs)
	parts := make([]prefixcache.Part, len(cache.Parts))
	for i, p := range cache.Parts {
		parts[i] = prefixcache.Part(p)
	}
	d.adopt(service, e.name, scheduler.Request{
		Parts: parts,
	}, false)
	return len(parts)
}
