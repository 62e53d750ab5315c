package placer

// This file defines how the instances that may decide next learn of the crashes of servers.

import (
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// notedDeciders is how many of the first instances in the order of a service's deciders are told of a
// crash: those that take over if the decider and then its standby are lost.
const notedDeciders = 3

// noteCrash tells the other instances that may decide for the service that the server of the grant
// has crashed: its version is unknown from now on, and the request may be the cause if its caller has
// had no answer.
func (g *Grant) noteCrash(answered bool) {
	fingerprint := g.fingerprint
	if answered {
		fingerprint = 0
	}
	if fingerprint == 0 && g.Version == "" {
		return
	}
	g.p.sendCrash(&pb.PlaceCrash{
		Service:       g.service,
		BackendServer: g.Server,
		Fingerprint:   fingerprint,
		SentAgoMs:     uint32((g.p.cfg.Now() - g.sentAt).Milliseconds()),
	}, g.Decider)
}

// sendCrash tells the first instances in the order of a service's deciders of a crash, but for this
// one and one that knows of it.
func (p *Placer) sendCrash(c *pb.PlaceCrash, informed string) {
	p.mu.Lock()
	order := p.order[c.GetService()]
	p.mu.Unlock()
	for _, i := range order[:min(len(order), notedDeciders)] {
		if i.GetName() == p.cfg.Instance || i.GetName() == informed {
			continue
		}
		p.streamTo(i).send(&pb.PlaceRequest{
			Crash: c,
		})
	}
}

// noteCrash records a crash that another instance has seen.
func (d *Schedulers) noteCrash(c *pb.PlaceCrash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[c.GetService()]
	if s == nil {
		return
	}
	now := d.cfg.Now()
	sentAt := now - time.Duration(c.GetSentAgoMs())*time.Millisecond
	s.NoteCrash(now, c.GetBackendServer(), sentAt, c.GetFingerprint())
}
