package scheduler

// This file defines when the version of a server's software is known.
//
// Load pattern: servers crash, and some of them are back under their names with another version
// before the list shows it. A stream that holds events of one version must not go on at such a server,
// and one that begins there must not be taken for one of the version in the list. Requests that
// need no version are placed as if nothing had happened.

import (
	"slices"
	"time"

	"camphorspoke/internal/routing/incarnation"
)

// assumedListAge is how long after its return the version of a server counts as known, if the instance
// does not know how old the list is: the control group is led by an older build, or by none.
const assumedListAge = 5 * time.Second

// versionDoubt holds whether a server may have started anew since the list showed its version.
type versionDoubt struct {
	doubted bool
	// since is when the server was found to have gone down, the last time.
	since time.Duration
	// back is true once it has answered a request that was granted after that, at backAt.
	back   bool
	backAt time.Duration
}

// RecordListRead records a time by which the list was read that the last call of SetServers has shown;
// zero if it is unknown.
func (s *Scheduler) RecordListRead(now, at time.Duration) {
	for name := range s.doubted {
		sv := s.servers[name]
		if sv == nil || !sv.listed || sv.version == "" || sv.doubt.confirmed(now, at) {
			delete(s.doubted, name)
			if sv != nil {
				sv.doubt = versionDoubt{}
			}
		}
	}
}

// confirmed reports whether a list that was read by a time shows the server that is back.
func (d *versionDoubt) confirmed(now, listReadAt time.Duration) bool {
	if !d.back {
		return false
	}
	if listReadAt == 0 {
		return now-d.backAt >= assumedListAge
	}
	return listReadAt >= d.backAt+incarnation.ListLag
}

// VersionKnown reports whether the version in the list is known to be that of the present incarnation of a
// server. It is not from when the server has gone down until a list that was read after its return, by
// more than the lag of the list, names it.
func (s *Scheduler) VersionKnown(name string) bool { return !s.doubted[name] }

// VersionsKnown reports whether that holds for all servers.
func (s *Scheduler) VersionsKnown() bool { return len(s.doubted) == 0 }

// refuseUnplaced refuses a request that no server may run. It says so if some only may not because their
// versions are unknown, or if servers are listed, but none of the version: an instance whose view differs
// must not choose one by it.
func (s *Scheduler) refuseUnplaced(req Request) Decision {
	reason := NoServer
	switch {
	case req.Version == "" || len(s.listedServers) == 0:
	case slices.ContainsFunc(s.listedServers, func(sv *server) bool {
		return sv.accepting && sv.doubt.doubted && sv.version == req.Version && !slices.Contains(req.Tried, sv.name)
	}):
		reason = VersionUnknown
	case !slices.ContainsFunc(s.listedServers, func(sv *server) bool { return sv.version == req.Version }):
		reason = NoVersion
	}
	return refuse(req, reason, noServerRetryAfter)
}

// recordVersionReport takes from a report whether the server of a grant has gone down, or is back. While
// responses are in progress there, a server that could not be reached has not gone down.
func (s *Scheduler) recordVersionReport(now time.Duration, g *grant, r Report) {
	sv := s.present(g)
	switch r.Event {
	case Down:
		s.doubtVersion(now, sv)
	case Unreachable:
		if !sv.responding() {
			s.doubtVersion(now, sv)
		}
	case Started, Done, Rejected, Failed:
		if d := &sv.doubt; d.doubted && !d.back && g.grantedAt >= d.since {
			d.back, d.backAt = true, now
		}
	}
}

// doubtVersion records that the version of a server is unknown, as it may have started anew.
func (s *Scheduler) doubtVersion(now time.Duration, sv *server) {
	if sv.version == "" || !sv.listed {
		return
	}
	if s.doubted == nil {
		s.doubted = make(map[string]bool)
	}
	s.doubted[sv.name] = true
	sv.doubt = versionDoubt{
		doubted: true,
		since:   now,
	}
}
