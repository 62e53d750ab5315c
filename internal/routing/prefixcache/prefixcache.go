// Package prefixcache models which parts of prompts an engine has in its prefix cache.
//
// An engine prefills a part again unless the part and all parts before it are
// cached. When the cache is full, the least recently used parts are evicted. The
// model is derived from the requests that are sent to the engine, so the engine
// need not report the content of its cache.
package prefixcache

// This file defines Cache.

import (
	"container/list"
	"strconv"
	"strings"
)

// Part is a section of a prompt. Parts with the same ID have the same content.
type Part struct {
	ID     uint64
	Tokens int
}

// FormatIDs returns the IDs of parts in hexadecimal, separated by commas, for logs.
func FormatIDs(ids []uint64) string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = strconv.FormatUint(id, 16)
	}
	return strings.Join(out, ",")
}

// Observer is notified which parts a Cache has cached and evicted.
type Observer interface {
	Cached(id uint64)
	Evicted(id uint64)
}

// Cache models the prefix cache of one engine, with LRU eviction. The zero value has no
// capacity. It is not safe for concurrent use.
type Cache struct {
	// Capacity is the size of the cache in tokens; a lower one takes effect at the next Use.
	Capacity int
	// Observer, if not nil, is notified of every change of the cached parts.
	Observer Observer

	// used is the number of cached tokens.
	used int
	byID map[uint64]*list.Element
	// lru holds the parts, the one used last in front.
	lru list.List
}

// Has reports whether a part is cached.
func (c *Cache) Has(id uint64) bool { return c.byID[id] != nil }

// CachedTokens returns the length in tokens of the longest cached prefix of parts.
func (c *Cache) CachedTokens(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if c.byID[p.ID] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// Use records that the engine processes a prompt: its parts become the most recently
// used ones, the first part ahead of the later ones, and the cache evicts down to its
// capacity. Later parts are evicted first because they are useless without the
// earlier ones.
func (c *Cache) Use(parts []Part) {
	if c.byID == nil {
		c.byID = make(map[uint64]*list.Element)
	}
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.byID[p.ID]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.byID[p.ID] = c.lru.PushFront(p)
		c.used += p.Tokens
		if c.Observer != nil {
			c.Observer.Cached(p.ID)
		}
	}
	for c.used > c.Capacity {
		c.evict()
	}
}

// evict removes the least recently used part.
func (c *Cache) evict() {
	e := c.lru.Back()
	p, ok := e.Value.(Part)
	if !ok {
		return
	}
	c.lru.Remove(e)
	delete(c.byID, p.ID)
	c.used -= p.Tokens
	if c.Observer != nil {
		c.Observer.Evicted(p.ID)
	}
}

// Reset empties the cache, as after a restart of the engine.
func (c *Cache) Reset() {
	if c.Observer != nil {
		for _, p := range c.Parts() {
			c.Observer.Evicted(p.ID)
		}
	}
	c.byID, c.used = nil, 0
	c.lru.Init()
}

// UsedTokens returns the number of cached tokens.
func (c *Cache) UsedTokens() int { return c.used }

// Parts returns the cached parts, the least recently used first.
func (c *Cache) Parts() []Part {
	out := make([]Part, 0, len(c.byID))
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		if p, ok := e.Value.(Part); ok {
			out = append(out, p)
		}
	}
	return out
}
