package placer

// This file defines how a new decider initialises its model of the engines' prefix
// caches: after a start it has no record of the prompts that were sent to them.

import (
	"context"
	"time"

	"camphorspoke/internal/routing/prefixcache"
)

const (
	// engineQueryTimeout bounds the query to one engine.
	engineQueryTimeout = 400 * time.Millisecond
	// maxEngineQueries is how many engines are queried at a time. The answers of all
	// engines of a large service together would keep the decider's link busy for
	// longer than requests wait for a decision.
	maxEngineQueries = 16
)

// queryEnginesOnce queries the engines of a service for their cached prefixes the
// first time that this instance decides for the service. It sends no queries if the
// scheduler already has cached prefixes on record, from this instance's own requests
// or from another instance, because every instance announces its own when it opens a
// stream to the decider, and each query delays the work of an engine. The caller
// holds mu.
func (d *Schedulers) queryEnginesOnce(service string) {
	if d.queried[service] || d.cfg.CacheReader == nil {
		return
	}
	d.queried[service] = true
	if s := d.services[service]; s != nil && len(s.CachedPrefixes()) > 0 {
		return
	}
	pending := make(chan engine, len(d.engines[service]))
	for _, e := range d.engines[service] {
		pending <- e
	}
	close(pending)
	for range min(maxEngineQueries, len(pending)) {
		go func() {
			for e := range pending {
				d.queryEngine(service, e)
			}
		}()
	}
}

// engine holds the name and the address of a model engine.
type engine struct {
	name, address string
}

// queryEngine queries one engine and records its cached prefixes in the scheduler of
// the service.
func (d *Schedulers) queryEngine(service string, e engine) {
	ctx, cancel := context.WithTimeout(context.Background(), engineQueryTimeout)
	defer cancel()
	cached, err := d.cfg.CacheReader.CachedParts(ctx, e.address)
	if err != nil {
		d.cfg.Logger.WithError(err).WithField("server", e.name).Warn("placer: cannot read the cached prefixes of an engine")
		return
	}
	parts := make([]prefixcache.Part, len(cached))
	for i, p := range cached {
		parts[i] = prefixcache.Part(p)
	}
	d.adopt(service, e.name, parts, false)
	d.cfg.Logger.WithField("server", e.name).WithField("parts", len(parts)).Info("placer: read the cached prefixes of an engine")
}
