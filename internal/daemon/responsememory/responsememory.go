// Package responsememory limits the memory that unfinished responses take in one process.
//
// Load pattern: a faulty server sends events or bodies without end on many connections at
// once. Each response is limited by itself, but together they exceed the memory of the
// instance, and the requests of all its callers end with it. What a response holds beyond a
// small part is reserved here. One server can't take all of it, so that the responses of the
// others still find room. A response that finds none is not waited for: what holds the
// memory may never end.
package responsememory

// This file defines Budget.

import (
	"sync"

	"camphorspoke/internal/base/fault"
)

const (
	// freeBytes is what each response may hold without a reservation. Most events and
	// bodies are smaller.
	freeBytes = 16 << 10
	// serverShare is the largest fraction of the budget that the responses of one server may
	// hold.
	serverShare = 0.5
)

// Budget is the memory for unfinished responses. The zero value and nil have no limit.
type Budget struct {
	// Bytes is the limit; zero is none.
	Bytes int

	mu       sync.Mutex
	reserved int
	byServer map[string]int
}

// Open begins the reservation of a response of a server. The returned function sets how many
// bytes the response holds, and zero ends it. It fails with a fault of kind WrongFrame if the
// responses of the server hold their share already, and of kind Overloaded if those of all
// servers hold the whole budget; the reservation then stays as it was.
func (b *Budget) Open(server string) (hold func(bytes int) error) {
	if b == nil || b.Bytes == 0 {
		return func(int) error { return nil }
	}
	reserved := 0
	return func(bytes int) error {
		wanted := max(0, bytes-freeBytes)
		if wanted == reserved {
			return nil
		}
		if err := b.resize(server, wanted-reserved); err != nil {
			return err
		}
		reserved = wanted
		return nil
	}
}

// resize changes the reservation of a server by a number of bytes.
func (b *Budget) resize(server string, bytes int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case bytes > 0 && b.byServer[server]+bytes > int(serverShare*float64(b.Bytes)):
		return fault.New(fault.WrongFrame, server, "the unfinished responses of the server hold their share of the memory for responses")
	case bytes > 0 && b.reserved+bytes > b.Bytes:
		return fault.New(fault.Overloaded, server, "the memory for unfinished responses is used up")
	}
	if b.byServer == nil {
		b.byServer = make(map[string]int)
	}
	b.reserved += bytes
	if b.byServer[server] += bytes; b.byServer[server] == 0 {
		delete(b.byServer, server)
	}
	return nil
}
