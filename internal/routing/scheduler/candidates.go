package scheduler

// This file defines which servers of a large service are compared for a request.
//
// Load pattern: a service with thousands of engines and more than a thousand requests
// per second. Comparing every engine for every request would take the decider's whole
// processor. Only the engines that have a part of the prompt cached can be much
// cheaper than the others, and among the others the least loaded of a sample is
// nearly as good as the least loaded of all.

import (
	"slices"

	"camphorspoke/internal/routing/prefixcache"
)

const (
	// exactServers is the number of servers up to which all are compared.
	exactServers = 256
	// maxHolders is the number of servers compared for each part of the prompt that
	// they have cached, the last part first.
	maxHolders = 64
	// sampleSize is the number of servers that are compared besides.
	sampleSize = 64
)

// holderIndex finds the servers that have a part cached.
type holderIndex struct {
	byPart map[uint64][]*server
}

// holder keeps the entries of one server in the index. It observes the server's cache.
type holder struct {
	index  *holderIndex
	server *server
}

var _ prefixcache.Observer = holder{}

// Cached adds the server to the holders of a part.
func (h holder) Cached(id uint64) {
	h.index.byPart[id] = append(h.index.byPart[id], h.server)
}

// Evicted removes the server from the holders of a part.
func (h holder) Evicted(id uint64) {
	list := h.index.byPart[id]
	i := slices.Index(list, h.server)
	if i < 0 {
		return
	}
	if len(list) == 1 {
		delete(h.index.byPart, id)
		return
	}
	list[i] = list[len(list)-1]
	list[len(list)-1] = nil
	h.index.byPart[id] = list[:len(list)-1]
}

// updateIndex builds the index when the service has become large, and drops it when
// it has become small.
func (s *Scheduler) updateIndex() {
	large := len(s.listedServers) > exactServers
	switch {
	case large && s.index == nil:
		s.index = &holderIndex{
			byPart: make(map[uint64][]*server),
		}
		for _, sv := range s.listedServers {
			s.observe(sv)
		}
	case large:
		for _, sv := range s.listedServers {
			if sv.cache.Observer == nil {
				s.observe(sv)
			}
		}
	case s.index != nil:
		s.index = nil
		for _, sv := range s.servers {
			sv.cache.Observer = nil
		}
	}
}

// observe adds the cached parts of a server to the index and keeps them up to date.
func (s *Scheduler) observe(sv *server) {
	h := holder{
		index:  s.index,
		server: sv,
	}
	sv.cache.Observer = h
	for _, p := range sv.cache.Parts() {
		h.Cached(p.ID)
	}
}

// forget removes a server that is dropped from the index.
func (s *Scheduler) forget(sv *server) {
	if sv.cache.Observer == nil {
		return
	}
	for _, p := range sv.cache.Parts() {
		sv.cache.Observer.Evicted(p.ID)
	}
	sv.cache.Observer = nil
}

// holders returns the listed servers that may have a prefix of the prompt cached: all
// of them in a small service.
func (s *Scheduler) holders(req Request) []*server {
	if s.index == nil {
		return s.listedServers
	}
	s.beginCandidates()
	s.addHolders(req)
	return s.candidateList
}

// candidates returns the servers to compare for req: all listed ones in a small
// service, otherwise those that hold parts of the prompt and a sample of the others.
// The sample depends on the part of the prompt that the choice between equally good
// servers depends on, so that prompts which share it find each other's server.
func (s *Scheduler) candidates(req Request) []*server {
	if s.index == nil {
		return s.listedServers
	}
	s.beginCandidates()
	s.addHolders(req)
	key := req.ID
	if len(req.Parts) > 0 {
		key = req.Parts[max(len(req.Parts)-2, 0)].ID
	}
	n := len(s.listedServers)
	first := int(tieBreak("", key) * float64(n))
	for i := range sampleSize {
		s.addCandidate(s.listedServers[(first+i*n/sampleSize)%n])
	}
	return s.candidateList
}

func (s *Scheduler) beginCandidates() {
	s.candidateList = s.candidateList[:0]
	s.candidateRound++
}

// addHolders adds the servers that have parts of the prompt cached.
func (s *Scheduler) addHolders(req Request) {
	for i := len(req.Parts) - 1; i >= 0; i-- {
		list := s.index.byPart[req.Parts[i].ID]
		for _, sv := range list[:min(len(list), maxHolders)] {
			s.addCandidate(sv)
		}
	}
}

// addCandidate adds a server unless it was added in this round.
func (s *Scheduler) addCandidate(sv *server) {
	if sv.candidateRound != s.candidateRound && sv.listed {
		sv.candidateRound = s.candidateRound
		s.candidateList = append(s.candidateList, sv)
	}
}
