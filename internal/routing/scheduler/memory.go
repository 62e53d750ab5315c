package scheduler

// This file defines how the memory of engines limits what they are granted.
//
// Load pattern: engines with many slots whose memory is full first, with long prompts and
// slow readers. What a request holds is counted from its grant to its end; see package
// tokenmemory.

// TooLarge means that a request holds more tokens than the memory of an engine.
const TooLarge = "tooLarge"

// limitsMemory reports whether the memory of the servers is known.
func (s *Scheduler) limitsMemory() bool { return s.svc.Engine && s.svc.CacheTokens > 0 }

// ownTokens returns the tokens that req holds besides the parts of its prompt.
func ownTokens(req Request) int {
	return max(req.PromptTokens-promptTokens(req), 0) + req.MaxOutputTokens
}

// totalTokens returns the tokens that req holds where no other request holds any of its parts.
func totalTokens(req Request) int {
	return max(req.PromptTokens, promptTokens(req)) + req.MaxOutputTokens
}

// refuseTooLarge refuses a request that no engine can ever hold.
func (s *Scheduler) refuseTooLarge(req Request) (Decision, bool) {
	if !s.limitsMemory() || totalTokens(req) <= s.svc.CacheTokens {
		return Decision{}, false
	}
	return refuse(req, TooLarge, 0), true
}

// hasMemory reports whether sv can hold req besides its requests in progress.
func (s *Scheduler) hasMemory(sv *server, req Request) bool {
	if !s.limitsMemory() {
		return true
	}
	left := s.svc.CacheTokens - sv.memory.Used()
	return totalTokens(req) <= left || sv.memory.Needs(req.Parts, ownTokens(req)) <= left
}

// holdMemory counts what a granted request holds.
func (s *Scheduler) holdMemory(g *grant) {
	own := ownTokens(g.request)
	g.server.memory.Add(g.request.ID, g.request.Parts, own)
	s.memory.Add(g.request.ID, g.request.Parts, own)
}

// releaseMemory ends the count of a request.
func (s *Scheduler) releaseMemory(g *grant) {
	g.server.memory.Remove(g.request.ID)
	s.memory.Remove(g.request.ID)
}

// allMemoryFull reports whether no server can hold req, as it needs more than any has left
// even with every part that is held anywhere. It is false if that takes a closer look.
// While the memory is full, every queued request is looked at after each end of one.
func (s *Scheduler) allMemoryFull(req Request) bool {
	if !s.limitsMemory() {
		return false
	}
	most := 0
	for _, sv := range s.listedServers {
		if sv.accepting {
			most = max(most, s.svc.CacheTokens-sv.memory.Used())
		}
	}
	return totalTokens(req) > most && s.memory.Needs(req.Parts, ownTokens(req)) > most
}
