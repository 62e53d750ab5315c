package placer

// This file defines how a stream is bound to the version of a server that may have started anew since
// the platform's list showed its version.

import (
	"time"

	"camphorspoke/internal/routing/incarnation"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/streamversion"
)

// assumedListAge is how long after a freeze what happened during it counts as known, if it is not known
// how old the list is.
const assumedListAge = 5 * time.Second

// hasOtherVersion reports whether the server of a grant is not known to have the version that a request
// is bound to; false for a request that is bound to none.
func (p *Placer) hasOtherVersion(g *Grant, version string) bool {
	return version != "" && (g.Version != version || g.VersionUnknown)
}

// missedNothing reports whether this instance knows of all servers that may have gone down: it has not
// been frozen since the list was read, or only before, by more than the lag of the list. The caller
// holds mu.
func (d *Schedulers) missedNothing() bool {
	f := &d.freezes
	now := d.cfg.Now()
	switch {
	case f.receivedAt(now) != now:
		return false
	case f.ended == 0 || d.cfg.ListReadAt == nil:
		return true
	case d.listReadAt == 0:
		return now-f.ended >= assumedListAge
	default:
		return d.listReadAt >= f.ended+incarnation.ListLag
	}
}

// versionKnown reports whether the version in the list is known to be that of a server.
func (d *Schedulers) versionKnown(service, server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	return s == nil || s.VersionKnown(server)
}

// versionsKnown reports whether the versions of all servers of a service are known.
func (d *Schedulers) versionsKnown(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	return d.missedNothing() && (s == nil || s.VersionsKnown())
}

// recordListRead passes the age of the list on to the schedulers.
func (d *Schedulers) recordListRead() {
	if d.cfg.ListReadAt == nil {
		return
	}
	at := d.cfg.ListReadAt()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listReadAt = at
	for _, s := range d.services {
		if !s.VersionsKnown() {
			s.RecordListRead(d.cfg.Now(), at)
		}
	}
}

// viewIsCurrent reports whether the version in the view of this instance may be taken for that of a server
// which begins a stream.
func (d *Schedulers) viewIsCurrent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.missedNothing()
}

// RecordEvent records which version begins the stream of the request, before an event of it is relayed to
// the caller. A run that brings no event leaves no record, as the stream may then begin at another
// version; so there is one record of a stream, whoever reads it and when. opened is when the connection
// was opened on which the server answers. It reports whether the version is known.
func (g *Grant) RecordEvent(opened time.Duration) bool {
	if g.VersionUnknown {
		g.confirmVersion(opened)
	}
	r := streamversion.Record{
		Version: g.Version,
		Begun:   true,
	}
	if g.VersionUnknown {
		r.Version = streamversion.Unknown
	}
	if g.Stream == 0 || g.Version == "" || r == g.recorded {
		return !g.VersionUnknown
	}
	g.recorded = r
	g.p.schedulers.recordStream(g.service, g.Stream, r, g.forwardsRecords())
	if g.stream != nil {
		g.stream.report(g.p.cfg.Now(), g.remoteID, scheduler.Report{
			Event: scheduler.Started,
		}, begunStream{
			stream:  g.Stream,
			version: r.Version,
		})
	}
	return !g.VersionUnknown
}

// forwardsRecords reports whether this instance sends the record of a stream to the holders: as the
// decider, or as the stream to the decider has ended.
func (g *Grant) forwardsRecords() bool {
	if g.stream != nil {
		return g.stream.ctx.Err() != nil
	}
	return !g.Alone
}

// confirmVersion finds out the version of the server of a grant of which it was unknown: the list names it
// if it was read later than the connection was opened, by more than its lag.
func (g *Grant) confirmVersion(opened time.Duration) {
	if version, known := g.p.listedVersion(g, opened); known {
		g.Version, g.VersionUnknown = version, false
	}
}

// listedVersion returns the version of the server of a grant, if the list that the view shows was read
// late enough to name that of a process which has served since opened.
func (p *Placer) listedVersion(g *Grant, opened time.Duration) (string, bool) {
	if p.cfg.ListReadAt == nil {
		return "", false
	}
	at := p.cfg.ListReadAt()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.view.Servers[g.Server]
	if at < opened+incarnation.ListLag || s == nil || s.GetGone() || s.GetAddress() != g.Address {
		return "", false
	}
	return s.GetVersion(), true
}
