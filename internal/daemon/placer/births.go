package placer

// This file defines how a server is found out that has started anew while no request was there, before a
// stream goes on at it.
//
// Load pattern: services with few requests, whose servers crash and are back with another version of
// their software before the list shows it. Nobody has seen a connection break, so that the version in
// the list counts as known. Streams that go on are few, so that each asks its server.

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/incarnation"
)

const (
	// birthTimeout limits the query for the time of a server's start.
	birthTimeout = 100 * time.Millisecond
	// maxClockError is how much the clocks of a server and of this instance may differ.
	maxClockError = time.Second
)

// hasStartedLately reports whether the server of a grant, whose version the list names, has started so
// lately that the list may show the process before. It asks the server, if it is a model engine: others
// do not say it. The deciders learn of the start, as of a crash.
func (p *Placer) hasStartedLately(ctx context.Context, g *Grant) bool {
	if p.cfg.Births == nil || p.cfg.ListReadAt == nil || !p.schedulers.hasEngines(g.service) {
		return false
	}
	readAt := p.cfg.ListReadAt()
	if readAt == 0 {
		return false // the control group is led by an older build, which does not say
	}
	listRead := time.Now().Add(readAt - p.cfg.Now())
	ctx, cancel := context.WithTimeout(ctx, birthTimeout)
	defer cancel()
	bornMs, err := p.cfg.Births.ReadBirth(ctx, g.Address)
	if err != nil || bornMs == 0 {
		return false // a server that does not answer gets no request, and one that does not say it is believed
	}
	born := time.UnixMilli(bornMs)
	if born.Add(incarnation.ListLag + maxClockError).Before(listRead) {
		return false
	}
	p.cfg.Logger.WithFields(logrus.Fields{
		"service":   g.service,
		"server":    g.Server,
		"version":   g.Version,
		"bornAgoMs": time.Since(born).Milliseconds(),
		"listAgeMs": time.Since(listRead).Milliseconds(),
	}).Info("placer: a server has started later than the list shows; its version is unknown")
	start := &pb.PlaceCrash{
		Service:       g.service,
		BackendServer: g.Server,
	}
	p.schedulers.noteCrash(start)
	p.sendCrash(start, "")
	return true
}

// hasEngines reports whether the servers of a service are model engines.
func (d *Schedulers) hasEngines(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.engines[service]) > 0
}
