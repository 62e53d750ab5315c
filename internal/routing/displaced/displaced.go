// Package displaced remembers the chats that were served away from home.
package displaced

// This file defines Table.

import (
	"container/list"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// DefaultLimit is the most chats remembered for one home server.
const DefaultLimit = 50_000

// Table maps a displaced chat to the server that served it last. It is bounded
// and soft: a chat that it has forgotten goes home. The zero value works. It
// has one user at a time.
type Table struct {
	// Limit is the most chats held; zero is DefaultLimit.
	Limit int

	order list.List
	rows  map[string]*list.Element
}

// Place is where a displaced chat was served and what it left cached there.
type Place struct {
	Server string
	Tokens uint32
}

type row struct {
	chat  string
	place Place
}

// Len returns the number of chats held.
func (t *Table) Len() int { return len(t.rows) }

// Get returns where a chat was served last.
func (t *Table) Get(chat string) (Place, bool) {
	if e := t.rows[chat]; e != nil {
		return e.Value.(*row).place, true
	}
	return Place{}, false
}

// Put remembers where a chat was served.
func (t *Table) Put(chat string, p Place) {
	if t.rows == nil {
		t.rows = make(map[string]*list.Element)
	}
	if e := t.rows[chat]; e != nil {
		e.Value.(*row).place = p
		t.order.MoveToFront(e)
		return
	}
	t.rows[chat] = t.order.PushFront(&row{
		chat:  chat,
		place: p,
	})
	limit := t.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	for t.order.Len() > limit {
		t.Forget(t.order.Back().Value.(*row).chat)
	}
}

// Forget drops a chat, which has come home.
func (t *Table) Forget(chat string) {
	if e := t.rows[chat]; e != nil {
		delete(t.rows, chat)
		t.order.Remove(e)
	}
}

// Rows returns the displaced chats, most recent first, up to limit.
func (t *Table) Rows(limit int) []*pb.DisplacedChat {
	var out []*pb.DisplacedChat
	for e := t.order.Front(); e != nil && len(out) < limit; e = e.Next() {
		r := e.Value.(*row)
		out = append(out, &pb.DisplacedChat{
			Chat:          r.chat,
			BackendServer: r.place.Server,
			Tokens:        r.place.Tokens,
		})
	}
	return out
}
