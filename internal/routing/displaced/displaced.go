// Package displaced records the chats whose last request was served by another
// server than their preferred server (see package rendezvous).
package displaced

// This file defines Table.

import (
	"container/list"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// DefaultLimit is the maximum number of chats recorded for one preferred server.
const DefaultLimit = 50_000

// Table maps a displaced chat to the server that served it last. It is an LRU
// cache of limited size and soft state: a chat that is not in it is routed to
// its preferred server. The zero value is ready to use. A Table is not safe for
// concurrent use.
type Table struct {
	// Limit is the maximum number of chats; zero means DefaultLimit.
	Limit int

	// lru lists the chats, most recently served first.
	lru     list.List
	entries map[string]*list.Element
}

// Location is the server that served a displaced chat and how much of the chat it
// has cached.
type Location struct {
	Server string
	// Tokens is the length of the prefix cached at Server.
	Tokens uint32
}

type entry struct {
	chat     string
	location Location
}

// Len returns the number of chats in the table.
func (t *Table) Len() int { return len(t.entries) }

// Get returns where a chat was served last; false if it is not in the table.
func (t *Table) Get(chat string) (Location, bool) {
	if e := t.entries[chat]; e != nil {
		return e.Value.(*entry).location, true
	}
	return Location{}, false
}

// Put records where a chat was served and evicts the least recently served
// chats beyond the limit.
func (t *Table) Put(chat string, loc Location) {
	if t.entries == nil {
		t.entries = make(map[string]*list.Element)
	}
	if e := t.entries[chat]; e != nil {
		e.Value.(*entry).location = loc
		t.lru.MoveToFront(e)
		return
	}
	t.entries[chat] = t.lru.PushFront(&entry{
		chat:     chat,
		location: loc,
	})
	limit := t.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	for t.lru.Len() > limit {
		t.Remove(t.lru.Back().Value.(*entry).chat)
	}
}

// Remove removes a chat, for example because its preferred server serves it again.
func (t *Table) Remove(chat string) {
	if e := t.entries[chat]; e != nil {
		delete(t.entries, chat)
		t.lru.Remove(e)
	}
}

// Chats returns up to limit displaced chats, most recently served first.
func (t *Table) Chats(limit int) []*pb.DisplacedChat {
	var out []*pb.DisplacedChat
	for e := t.lru.Front(); e != nil && len(out) < limit; e = e.Next() {
		r := e.Value.(*entry)
		out = append(out, &pb.DisplacedChat{
			Chat:          r.chat,
			BackendServer: r.location.Server,
			Tokens:        r.location.Tokens,
		})
	}
	return out
}
