// Package routing defines the interfaces and shared types of request routing.
//
// The packages below it implement the routing decisions. None of them reads a
// clock, opens a socket or starts a goroutine: callers pass in the time, so the
// same code runs in daemons, tests and benchmarks.
package routing

// This file defines the interfaces Picker and Queue and the types they use.

import "time"

// Server is a backend server as input to a routing decision. A Weight of zero
// or less counts as 1.
type Server struct {
	Name   string
	Weight float64
}

// Picker ranks the servers of a service for a chat (one conversation, whose
// prompt prefix a server may have cached). The most preferred server is first.
type Picker interface {
	Order(chat string, servers []Server) []string
}

// Request holds the properties of a request that admission and queueing use.
type Request struct {
	ID      string
	Account string
	// Share is the weight of the client account in fair queueing.
	Share int
	// Class is the urgency class; 0 is the most urgent.
	Class int
	// Cost is the expected work of the request, in tokens.
	Cost int
	// FairSlots is the account's fair share of the server's slots. If the account
	// has at least twice as many requests there, running or queued, its further
	// requests get neither a reserved slot nor a place in the queue. Zero
	// disables this limit.
	FairSlots int
}

// Queue holds the requests that wait for a slot at a backend server.
type Queue interface {
	Push(r Request)
	// Pop removes and returns the next request; false if the queue is empty.
	Pop() (Request, bool)
	// Remove removes a request, for example because its caller has
	// disconnected, and reports whether it was queued.
	Remove(id string) bool
	Len() int
}

// Decision is the result of the admission check of a backend server.
type Decision struct {
	// Refused is the failure kind of a rejection; empty if admitted.
	Refused string
	// Started is true if a slot was free, so that the request need not queue.
	Started    bool
	RetryAfter time.Duration
}
