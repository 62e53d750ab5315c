package placer

// This file defines how an instance records what servers have announced of themselves: that it
// is to send them nothing for a while, or that they leave. It holds whoever decides, as it
// is looked at between the decision and the send.

import (
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/routing/departure"
	"camphorspoke/internal/routing/scheduler"
)

// recordPause records that a server asked this instance to send it nothing for a while.
func (p *Placer) recordPause(server string, pause time.Duration) {
	if pause <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses.Record(p.cfg.Now(), server, pause)
}

// recordDeparture records that a server announced to this instance that it leaves.
func (p *Placer) recordDeparture(server string, leaving bool) {
	if !leaving {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	listing, listed := p.listing(server)
	if listed && p.departures.Announce(server, listing) {
		p.cfg.Logger.WithField("server", server).Info("placer: a server announced that it leaves; it gets no more requests")
	}
}

// listing returns what the view shows of a server. The caller holds mu.
func (p *Placer) listing(server string) (departure.Listing, bool) {
	s := p.view.Servers[server]
	if s == nil || s.GetGone() {
		return departure.Listing{}, false
	}
	return departure.Listing{
		Address:  s.GetAddress(),
		JoinedMs: s.GetJoinedMs(),
		Leaving:  s.GetLeaving(),
	}, true
}

// unavailable returns how much is left of the time for which a server has asked this
// instance to send it nothing, and whether it has announced that it leaves.
func (p *Placer) unavailable(server string) (pauseLeft time.Duration, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.Left(p.cfg.Now(), server), p.departures.Leaving(server)
}

// withdraw gives back a grant whose server has asked this instance for a pause, or has
// announced that it leaves. It reports that to the schedulers, which do not know of it:
// another decider may have granted the request that the server answered.
func (p *Placer) withdraw(g *Grant, left time.Duration, leaving bool) {
	p.cfg.Logger.WithFields(logrus.Fields{
		"server":      g.Server,
		"decider":     g.Decider,
		"pauseLeftMs": left.Milliseconds(),
		"leaving":     leaving,
	}).Info("placer: the chosen server has asked for a pause or leaves; the request is placed again")
	g.Report(scheduler.Report{
		Event:      scheduler.Cancelled,
		RetryAfter: left,
		Leaving:    leaving,
	})
}
