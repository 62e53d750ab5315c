package scheduler

// This file defines how a decision states what happens to the cached prefix of a
// prompt: whether the chosen server has it, fetches it, or reads it although another
// server has it.

import "camphorspoke/internal/routing/prefixcache"

// The values of Decision.Reuse.
const (
	// ReuseCached means that no server has more of the prompt than the chosen one.
	ReuseCached = "cached"
	// ReuseFetched means that the chosen server fetches what it lacks.
	ReuseFetched = "fetched"
	// ReuseBeingRead means that a server which has more of the prompt is still reading
	// it, so it cannot be fetched yet.
	ReuseBeingRead = "beingRead"
	// ReuseSmall means that another server has so little more that reading it takes no
	// longer than fetching it.
	ReuseSmall = "small"
	// ReuseNotFetched means that another server has more, but engines of this service
	// do not fetch prefixes, or that server is ejected.
	ReuseNotFetched = "notFetched"
)

// setReuse sets Reuse and RereadTokens of a decision about a prompt.
func (s *Scheduler) setReuse(d *Decision) {
	more := d.BestCachedTokens - d.CachedTokens
	d.RereadTokens = max(more, 0)
	switch {
	case more <= 0:
		d.Reuse = ReuseCached
	case d.FetchFrom != "":
		d.Reuse = ReuseFetched
		d.RereadTokens = max(d.BestCachedTokens-d.FetchedTokens, 0)
	case more < minFetchTokens:
		d.Reuse = ReuseSmall
	case s.svc.FetchesPrefixes:
		d.Reuse = ReuseBeingRead
	default:
		d.Reuse = ReuseNotFetched
	}
}

// beginRead records that a granted request makes its server read the parts that the
// server has not cached.
func (g *grant) beginRead() {
	sv := g.server
	known := true
	for _, p := range g.request.Parts {
		known = known && sv.cache.Has(p.ID)
		if known {
			continue
		}
		if sv.reading == nil {
			sv.reading = make(map[uint64]uint64)
		}
		sv.reading[p.ID] = g.request.ID
	}
}

// endRead records that the server has read the prompt of a request, or never will.
func (g *grant) endRead() {
	for _, p := range g.request.Parts {
		if g.server.reading[p.ID] == g.request.ID {
			delete(g.server.reading, p.ID)
		}
	}
}

// readTokens returns the length in tokens of the longest cached prefix of parts that
// the server has read to its end, so that others can fetch it.
func (sv *server) readTokens(parts []prefixcache.Part) int {
	if len(sv.reading) == 0 {
		return sv.cache.CachedTokens(parts)
	}
	tokens := 0
	for _, p := range parts {
		if _, reading := sv.reading[p.ID]; reading || !sv.cache.Has(p.ID) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}
