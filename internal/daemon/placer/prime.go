package placer

// This file defines how the instance learns what engines keep when it begins to
// decide after a start, with no memory of what was sent to them.

import (
	"context"
	"time"

	"camphorspoke/internal/routing/prefixcache"
)

// primeLimit bounds the question to one engine.
const primeLimit = 400 * time.Millisecond

// primeOnce asks the engines of a service for what they keep, the first time
// that this instance is asked to decide for the service. It asks nothing where
// another instance has told what it has seen placed, which the others do too:
// an answer takes an engine's time. The caller holds mu.
func (d *Schedulers) primeOnce(service string) {
	if d.primed[service] || d.cfg.Caches == nil {
		return
	}
	d.primed[service] = true
	if s := d.services[service]; s != nil && len(s.Kept()) > 0 {
		return
	}
	for _, e := range d.engines[service] {
		go d.prime(service, e)
	}
}

// engine is where an engine is.
type engine struct {
	name, address string
}

func (d *Schedulers) prime(service string, e engine) {
	ctx, cancel := context.WithTimeout(context.Background(), primeLimit)
	defer cancel()
	kept, err := d.cfg.Caches.Kept(ctx, e.address)
	if err != nil {
		d.cfg.Logger.WithError(err).WithField("server", e.name).Warn("placer: what an engine keeps can't be read")
		return
	}
	parts := make([]prefixcache.Part, len(kept))
	for i, p := range kept {
		parts[i] = prefixcache.Part(p)
	}
	d.adopt(service, e.name, parts, false)
	d.cfg.Logger.WithField("server", e.name).WithField("parts", len(parts)).Info("placer: read what an engine keeps")
}
