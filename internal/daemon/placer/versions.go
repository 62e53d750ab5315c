package placer

// This file defines how a stream is bound to the version of a server that may have started anew since
// the platform's list showed its version.

import (
	"time"

	"camphorspoke/internal/routing/incarnation"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/streamversion"
	"camphorspoke/internal/routing/view"
)

// assumedListAge is how long after a start or a freeze what happened before its end counts as known, if it is
// not known how old the list is.
const assumedListAge = 5 * time.Second

// hasOtherVersion reports whether the server of a grant is not known to have the version that a request
// is bound to; false for a request that is bound to none.
func (p *Placer) hasOtherVersion(g *Grant, version string) bool {
	return version != "" && (g.Version != version || g.VersionUnknown)
}

// missedNothing reports whether this instance knows of all servers of a service that may have gone down: the
// list was read after its start and its last freeze, by more than the lag of the list. After a start
// that is not needed while one version serves, so that streams outlive a restart of all instances. The
// caller holds mu.
func (d *Schedulers) missedNothing(service string) bool {
	now := d.cfg.Now()
	if d.freezes.receivedAt(now) != now {
		return false
	}
	_, one := d.oneVersion[service]
	return d.listReadSince(max(d.startedAt, d.freezes.ended)) || d.freezes.ended == 0 && one
}

// listReadSince reports whether the list shows the servers as they were at a time, as far as is known. The
// caller holds mu.
func (d *Schedulers) listReadSince(at time.Duration) bool {
	switch {
	case d.cfg.ListReadAt == nil:
		return true
	case d.listReadAt == 0:
		return d.cfg.Now()-at >= assumedListAge
	default:
		return d.listReadAt >= at+incarnation.ListLag
	}
}

// doubtsDecision reports whether the version of a server of a service that this instance grants is unknown, as
// the server may have gone down without its knowledge. The caller holds mu.
func (d *Schedulers) doubtsDecision(service string) bool {
	_, one := d.oneVersion[service]
	return !one && !d.missedNothing(service)
}

// commonVersions returns the version of each service of which servers are listed, or were after since, and
// all of them have had the same one since.
func commonVersions(v *view.View, since time.Time) map[string]string {
	out := make(map[string]string)
	several := make(map[string]bool)
	for _, s := range v.Servers {
		service := s.GetService()
		if s.GetGone() && s.GetGoneMs() < since.UnixMilli() {
			continue
		}
		version, seen := out[service]
		if s.GetVersionChangedMs() >= since.UnixMilli() || seen && version != s.GetVersion() {
			several[service] = true
		}
		out[service] = s.GetVersion()
	}
	for service := range several {
		delete(out, service)
	}
	return out
}

// versionKnown reports whether the version in the list is known to be that of a server.
func (d *Schedulers) versionKnown(service, server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	return s == nil || s.VersionKnown(server)
}

// onlyVersion returns the version that all servers of a service have had for as long as records are kept, or
// false if that is not certain.
func (d *Schedulers) onlyVersion(service string) (version string, certain bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if !d.missedNothing(service) || s != nil && !s.VersionsKnown() {
		return "", false
	}
	version, certain = commonVersions(d.view, time.Now().Add(-d.streamRetention))[service]
	return version, certain
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

// doubtBegun makes the version of a grant unknown that a stream of a request may begin with, if the view of
// this instance is outdated. What a request is bound to is known.
func (p *Placer) doubtBegun(g *Grant, version string) {
	if version == "" && g.Version != "" && !p.schedulers.viewIsCurrent(g) {
		g.VersionUnknown = true
	}
}

// viewIsCurrent reports whether the version in the view of this instance may be taken for that of the server
// of a grant. An instance that has just started takes it from a decider that lists the same version: it
// has not asked that before its start.
func (d *Schedulers) viewIsCurrent(g *Grant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	started := d.freezes.ended == 0 && d.freezes.receivedAt(now) == now
	return d.missedNothing(g.service) || started && g.stream != nil && g.ListedVersion == g.Version
}

// RecordEvent records which version begins the stream of the request, before an event of it is relayed to
// the caller. A run that brings no event leaves no record, as the stream may then begin at another
// version; so there is one version to record, whoever reads it and when. A stream that goes on at a
// version that nobody is known to have begun it with does not make that known. opened is when the
// connection was opened on which the server answers. It reports whether the version is known.
func (g *Grant) RecordEvent(opened time.Duration) bool {
	if g.VersionUnknown {
		g.confirmVersion(opened)
	}
	r := streamversion.Record{
		Version: g.Version,
		Begun:   !g.BeginUnknown,
	}
	if g.VersionUnknown {
		r.Version = streamversion.Unknown
	}
	if g.Stream == 0 || g.Version == "" || r == g.recorded {
		return !g.VersionUnknown
	}
	g.recorded = r
	// The decider sends the record to the holders; this instance does as the decider, or if that is not
	// reached any more.
	forward := !g.Alone
	if g.stream != nil {
		forward = !g.stream.report(g.p.cfg.Now(), g.remoteID, scheduler.Report{
			Event: scheduler.Started,
		}, begunStream{
			stream: g.Stream,
			record: r,
		})
	}
	g.p.schedulers.recordStream(g.service, g.Stream, r, forward)
	return !g.VersionUnknown
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
