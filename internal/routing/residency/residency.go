// Package residency models which chats an inference engine has in its prefix
// cache.
//
// All requests to an engine pass through the router that owns it, so this
// router can model the cache as an LRU of limited size. The engine's own cache
// events arrive late and with gaps; they are used to correct the model and not
// as a replacement for it.
package residency

// This file defines Table.

import (
	"container/list"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Table models the cached chats of one engine. The zero value is empty and has
// no limit. A Table is not safe for concurrent use.
type Table struct {
	// Capacity is the size of the engine's cache in tokens; zero means no limit.
	Capacity uint64

	// lru lists the chats, most recently used first.
	lru     list.List
	entries map[string]*list.Element
	used    uint64
	// lastEvent is the sequence number of the last applied event.
	lastEvent uint64
}

type entry struct {
	chat   string
	tokens uint32
}

// Len returns the number of chats in the model.
func (t *Table) Len() int { return len(t.entries) }

// Tokens returns the number of cached tokens of a chat; zero if it is not
// cached.
func (t *Table) Tokens(chat string) uint32 {
	if e := t.entries[chat]; e != nil {
		return e.Value.(*entry).tokens
	}
	return 0
}

// Touch records that the engine has served a chat and now has this many tokens
// of it cached. It evicts the least recently used chats beyond the capacity.
func (t *Table) Touch(chat string, tokens uint32) {
	if t.entries == nil {
		t.entries = make(map[string]*list.Element)
	}
	if e := t.entries[chat]; e != nil {
		r := e.Value.(*entry)
		t.used += uint64(tokens) - uint64(r.tokens)
		r.tokens = tokens
		t.lru.MoveToFront(e)
	} else {
		t.entries[chat] = t.lru.PushFront(&entry{
			chat:   chat,
			tokens: tokens,
		})
		t.used += uint64(tokens)
	}
	for t.Capacity > 0 && t.used > t.Capacity && t.lru.Len() > 1 {
		t.drop(t.lru.Back())
	}
}

func (t *Table) drop(e *list.Element) {
	r := e.Value.(*entry)
	t.used -= uint64(r.tokens)
	delete(t.entries, r.chat)
	t.lru.Remove(e)
}

// Remove removes a chat.
func (t *Table) Remove(chat string) {
	if e := t.entries[chat]; e != nil {
		t.drop(e)
	}
}

// Clear removes all chats and resets the event sequence, for an engine that has
// restarted.
func (t *Table) Clear() {
	t.lru.Init()
	clear(t.entries)
	t.used, t.lastEvent = 0, 0
}

// LastEvent returns the sequence number of the last applied event; later events
// are still to be fetched.
func (t *Table) LastEvent() uint64 { return t.lastEvent }

// ApplyEvents applies cache events to the model. An eviction always removes the
// chat. A stored prefix is added only if the chat is not in the model, because
// the model is more recent than the event.
func (t *Table) ApplyEvents(events []*pb.CacheEvent) {
	for _, e := range events {
		if e.GetSequence() <= t.lastEvent {
			continue
		}
		t.lastEvent = e.GetSequence()
		switch {
		case e.GetEvicted():
			t.Remove(e.GetChat())
		case t.Tokens(e.GetChat()) == 0:
			t.Touch(e.GetChat(), e.GetTokens())
		}
	}
}

// Chats returns up to limit cached chats, most recently used first.
func (t *Table) Chats(limit int) []*pb.CachedChat {
	var out []*pb.CachedChat
	for e := t.lru.Front(); e != nil && len(out) < limit; e = e.Next() {
		r := e.Value.(*entry)
		out = append(out, &pb.CachedChat{
			Chat:   r.chat,
			Tokens: r.tokens,
		})
	}
	return out
}
