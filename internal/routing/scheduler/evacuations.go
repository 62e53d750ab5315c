package scheduler

// This file defines how the servers of evacuated failure domains are left out: those that
// the list shows as evacuated, for all requests, and those that the instance of a request
// has as evacuated, for this request. The two differ while a change of the evacuations
// reaches one instance before another.

import "slices"

// mayRun reports whether the server takes new requests and is not ruled out for req. A
// server that is ejected, full or paused may run req later.
func (sv *server) mayRun(req Request) bool {
	return sv.accepting && sv.hasVersion(req) && !slices.Contains(req.Tried, sv.name) && !slices.Contains(req.ExcludedDomains, sv.domain)
}

// hasVersion reports whether the server is known to have the version that req is bound to.
func (sv *server) hasVersion(req Request) bool {
	return req.Version == "" || sv.version == req.Version && !sv.doubt.doubted
}

// restricted reports whether some accepting server is ruled out for req, so that a
// decision on req implies nothing for other requests. Excluded domains whose servers are
// evacuated for all requests do not count.
func (s *Scheduler) restricted(req Request) bool {
	return len(req.Tried) > 0 || req.Version != "" || slices.ContainsFunc(req.ExcludedDomains, func(domain string) bool { return !s.evacuated[domain] })
}

// updateEvacuated records the evacuated failure domains of the listed servers.
func (s *Scheduler) updateEvacuated(list []Server) {
	s.evacuated = nil
	for _, l := range list {
		if !l.Evacuated {
			continue
		}
		if s.evacuated == nil {
			s.evacuated = make(map[string]bool)
		}
		s.evacuated[l.FailureDomain] = true
	}
}

// expelEvacuated refuses the queued requests that no server may run because of an
// evacuation. They would wait in vain, as an evacuation lasts longer than any of them may
// wait.
func (s *Scheduler) expelEvacuated() []Decision {
	var out []Decision
	// Nearly all requests may run on any accepting server; these are looked for once.
	acceptingForAll := s.anyAccepting(Request{})
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedRequest) bool {
		if len(s.evacuated) == 0 && len(w.request.ExcludedDomains) == 0 {
			return false
		}
		if acceptingForAll && (!s.restricted(w.request) || s.anyAccepting(w.request)) {
			return false
		}
		out = append(out, s.refuseUnplaced(w.request))
		return true
	})
	return out
}

// RunningAt returns the number of granted requests that run on the named server.
func (s *Scheduler) RunningAt(name string) int {
	if sv := s.servers[name]; sv != nil {
		return sv.running
	}
	return 0
}
