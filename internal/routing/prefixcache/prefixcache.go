// Package prefixcache models which parts of prompts an engine keeps in memory.
//
// An engine reads a part again unless it has kept it and all parts before it;
// when memory runs out, the parts that were used longest ago go first. The model
// follows from what is sent to the engine, so it costs no message.
package prefixcache

// This file defines Cache.

import "container/list"

// Part is one piece of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Cache is the model of one engine's memory; the zero value keeps nothing.
type Cache struct {
	// Capacity is the memory in tokens.
	Capacity int

	used  int
	parts map[uint64]*list.Element
	// order holds the parts, the one used last in front.
	order list.List
}

// Cached returns the tokens of the longest prefix of parts that is kept.
func (c *Cache) Cached(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// Use notes that the engine reads parts now.
func (c *Cache) Use(parts []Part) {
	if c.parts == nil {
		c.parts = make(map[uint64]*list.Element)
	}
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.parts[p.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.order.PushFront(p)
		c.used += p.Tokens
	}
	for c.used > c.Capacity {
		c.evict()
	}
}

func (c *Cache) evict() {
	e := c.order.Back()
	p, ok := e.Value.(Part)
	if !ok {
		return
	}
	c.order.Remove(e)
	delete(c.parts, p.ID)
	c.used -= p.Tokens
}

// Forget empties the model: the engine has started anew.
func (c *Cache) Forget() {
	c.parts, c.used = nil, 0
	c.order.Init()
}

// Used returns the tokens kept.
func (c *Cache) Used() int { return c.used }

// Parts returns what is kept, the part used longest ago first.
func (c *Cache) Parts() []Part {
	out := make([]Part, 0, len(c.parts))
	for e := c.order.Back(); e != nil; e = e.Prev() {
		if p, ok := e.Value.(Part); ok {
			out = append(out, p)
		}
	}
	return out
}
