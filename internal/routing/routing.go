// Package routing names the interfaces of the routing decisions. The packages
// below it decide; none of them reads a clock, opens a socket or starts a
// goroutine, so the same code runs in daemons, tests and measurements.
package routing

// This file defines the interfaces and the types they share.

import "time"

// Server is a backend server as a decision sees it.
type Server struct {
	Name   string
	Weight float64
}

// Picker orders the servers of a service for a chat, best first.
type Picker interface {
	Order(chat string, servers []Server) []string
}

// Request is one request as the queue of a backend server sees it.
type Request struct {
	ID      string
	Account string
	// Share weighs the account against others.
	Share int
	Class int
	// Cost is the expected work, in tokens.
	Cost int
	// FairSlots is the account's fair part of the server's slots. An account
	// well beyond it takes no slot of the reserve and no place in the queue;
	// zero is no such limit.
	FairSlots int
}

// Queue holds requests that wait for a slot.
type Queue interface {
	Push(r Request)
	// Pop returns the next request; false when none waits.
	Pop() (Request, bool)
	// Remove drops a request whose caller has gone.
	Remove(id string) bool
	Len() int
}

// Decision is the answer of a backend server's gate to a request.
type Decision struct {
	// Refused is the kind of the refusal; empty when admitted.
	Refused string
	// Started is true when a slot was free.
	Started    bool
	RetryAfter time.Duration
}
