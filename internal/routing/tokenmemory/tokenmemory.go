// Package tokenmemory counts the tokens that the requests in progress hold in the memory of
// one engine.
//
// Load pattern: engines with many slots and long prompts, whose callers read slowly. The
// memory is full before the slots are. An engine that runs more than its memory holds stops
// requests and reads their prompts again, or crashes.
//
// A part of a prompt that several requests begin with is held once. The count is an upper
// bound: a request holds its maximum output from the start. Of requests that another decider
// granted only the parts are known. Parts that are only cached do not
// count, as the engine evicts them for requests in progress.
package tokenmemory

// This file defines Memory.

import "camphorspoke/internal/routing/prefixcache"

// Memory counts what is held at one engine; the zero value holds nothing. It is not safe for
// concurrent use.
type Memory struct {
	used     int
	requests map[uint64]holding
	shared   map[uint64]*sharedPart
}

// holding is what one request holds.
type holding struct {
	// shared are the parts that other requests may hold with it, own is the number of
	// tokens besides.
	shared []uint64
	own    int
}

// sharedPart is a part that is held by a number of requests.
type sharedPart struct {
	tokens  int
	holders int
}

// Used returns the number of tokens that are held.
func (m *Memory) Used() int { return m.used }

// Needs returns how many further tokens a request would take: those of its parts from the
// first one on that no request in progress holds, and own, its tokens that are in no part.
func (m *Memory) Needs(parts []prefixcache.Part, own int) int {
	held := true
	for _, p := range parts {
		held = held && m.shared[p.ID] != nil
		if !held {
			own += p.Tokens
		}
	}
	return own
}

// Add counts a request until Remove; a second Add of the same request has no effect.
func (m *Memory) Add(id uint64, parts []prefixcache.Part, own int) {
	if _, counted := m.requests[id]; counted {
		return
	}
	if m.requests == nil {
		m.requests, m.shared = make(map[uint64]holding), make(map[uint64]*sharedPart)
	}
	h := holding{
		own: own,
	}
	prefix := true
	for _, p := range parts {
		part := m.shared[p.ID]
		if part != nil && !prefix {
			// It follows another prefix than the one that is held.
			h.own += p.Tokens
			continue
		}
		if part == nil {
			prefix = false
			part = &sharedPart{
				tokens: p.Tokens,
			}
			m.shared[p.ID] = part
			m.used += p.Tokens
		}
		part.holders++
		h.shared = append(h.shared, p.ID)
	}
	m.used += h.own
	m.requests[id] = h
}

// Remove ends the count of a request.
func (m *Memory) Remove(id uint64) {
	h, counted := m.requests[id]
	if !counted {
		return
	}
	delete(m.requests, id)
	m.used -= h.own
	for _, part := range h.shared {
		s := m.shared[part]
		s.holders--
		if s.holders == 0 {
			m.used -= s.tokens
			delete(m.shared, part)
		}
	}
}
