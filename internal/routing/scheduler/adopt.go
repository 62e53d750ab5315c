package scheduler

// This file defines how a scheduler takes over what another one has granted.

import "time"

// Adopt takes over a request that another scheduler granted: it counts the request as running
// on the named server, and its parts as cached there. Of the request, the ID, the instance, the
// parts and the fingerprint are used. When its ID is zero, it only records the parts.
func (s *Scheduler) Adopt(now time.Duration, name string, req Request) {
	sv := s.servers[name]
	if sv == nil {
		return
	}
	sv.cache.Use(req.Parts)
	if req.ID == 0 || s.granted[req.ID] != nil {
		return
	}
	g := &grant{
		server: sv,
		request: Request{
			ID:          req.ID,
			Instance:    req.Instance,
			Parts:       req.Parts,
			Fingerprint: req.Fingerprint,
		},
		grantedAt: now,
		listing:   sv.incarnation.Listing(),
	}
	s.granted[req.ID] = g
	s.holdMemory(g)
	sv.recordGrant(g)
}
