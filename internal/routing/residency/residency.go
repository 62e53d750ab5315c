// Package residency models which chats an engine still has in its prefix
// cache.
//
// The owner of an engine sees all its work, so it can follow the cache as an
// LRU of limited size. Cache events of the engine come late and with gaps:
// they correct the model and never replace it.
package residency

// This file defines Table.

import (
	"container/list"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Table holds the cached chats of one engine; the zero value holds none and
// has no limit. It has one user at a time.
type Table struct {
	// Capacity is the engine's cache, in tokens; zero is no limit.
	Capacity uint64

	order list.List
	rows  map[string]*list.Element
	used  uint64
	// lastEvent is the sequence number of the last event taken.
	lastEvent uint64
}

type row struct {
	chat   string
	tokens uint32
}

// Len returns the number of chats held.
func (t *Table) Len() int { return len(t.rows) }

// Tokens returns how many tokens of a chat are cached.
func (t *Table) Tokens(chat string) uint32 {
	if e := t.rows[chat]; e != nil {
		return e.Value.(*row).tokens
	}
	return 0
}

// Touch notes that the engine has served a chat and now holds tokens of it.
func (t *Table) Touch(chat string, tokens uint32) {
	if t.rows == nil {
		t.rows = make(map[string]*list.Element)
	}
	if e := t.rows[chat]; e != nil {
		r := e.Value.(*row)
		t.used += uint64(tokens) - uint64(r.tokens)
		r.tokens = tokens
		t.order.MoveToFront(e)
	} else {
		t.rows[chat] = t.order.PushFront(&row{
			chat:   chat,
			tokens: tokens,
		})
		t.used += uint64(tokens)
	}
	for t.Capacity > 0 && t.used > t.Capacity && t.order.Len() > 1 {
		t.drop(t.order.Back())
	}
}

func (t *Table) drop(e *list.Element) {
	r := e.Value.(*row)
	t.used -= uint64(r.tokens)
	delete(t.rows, r.chat)
	t.order.Remove(e)
}

// Forget drops a chat.
func (t *Table) Forget(chat string) {
	if e := t.rows[chat]; e != nil {
		t.drop(e)
	}
}

// Clear drops all: the engine has restarted.
func (t *Table) Clear() {
	t.order.Init()
	clear(t.rows)
	t.used, t.lastEvent = 0, 0
}

// LastEvent returns the sequence number to ask events after.
func (t *Table) LastEvent() uint64 { return t.lastEvent }

// Correct takes cache events. An eviction is believed; a stored prefix is
// added only when the model has none, since the model is the newer.
func (t *Table) Correct(events []*pb.CacheEvent) {
	for _, e := range events {
		if e.GetSequence() <= t.lastEvent {
			continue
		}
		t.lastEvent = e.GetSequence()
		switch {
		case e.GetEvicted():
			t.Forget(e.GetChat())
		case t.Tokens(e.GetChat()) == 0:
			t.Touch(e.GetChat(), e.GetTokens())
		}
	}
}

// Rows returns the cached chats, most recent first, up to limit.
func (t *Table) Rows(limit int) []*pb.CachedChat {
	var out []*pb.CachedChat
	for e := t.order.Front(); e != nil && len(out) < limit; e = e.Next() {
		r := e.Value.(*row)
		out = append(out, &pb.CachedChat{
			Chat:   r.chat,
			Tokens: r.tokens,
		})
	}
	return out
}
