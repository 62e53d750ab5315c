// Package admission is the gate before one backend server.
//
// The owner of a server sends all its work through one Gate, so the count of
// requests in flight, the load bound, the queue and the limits of client
// accounts are exact and local. Load counts what was admitted and has not
// finished: running and queued. A Gate has one user at a time.
package admission

// This file defines Gate.

import (
	"time"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/bounded"
	"camphorspoke/internal/routing/fairqueue"
	"camphorspoke/internal/world/fault"
)

const (
	// queuePerSlot bounds the queue of a server.
	queuePerSlot = 16
	// fairMultiple is how many times its fair part an account may always take.
	fairMultiple = 2
	// reservePart is the part of the slots, one in so many, that an account
	// beyond that leaves free.
	reservePart = 2
	// smoothing weighs the latest service time in the mean.
	smoothing = 0.1
)

// Gate admits requests to one server; the zero value has one slot.
type Gate struct {
	Server string
	// Slots is how many requests the server runs at once.
	Slots   int
	Checker *invariant.Checker

	queue    fairqueue.Queue
	running  map[string]routing.Request
	started  map[string]time.Duration
	accounts map[string]int
	// meanTime is the smoothed time a request holds a slot.
	meanTime time.Duration
	peak     int
}

// Terms are what a request is admitted under.
type Terms struct {
	// Bound is the multiple of the mean load; zero is no bound.
	Bound float64
	// OthersLoad is the known load of the service's other servers.
	OthersLoad int
	// Servers is the number of servers of the service.
	Servers int
	// AccountLimit is the most requests of the account at this server; zero
	// is no limit.
	AccountLimit int
	// Cap, above zero, replaces the bound: the share of a router that
	// dispatches without owning the server.
	Cap int
	// Carried is load at this server that an earlier owner has in flight.
	Carried int
	// Remaining is the time to the deadline; zero is no deadline.
	Remaining time.Duration
}

// Load returns the number of requests running and queued.
func (g *Gate) Load() int { return len(g.running) + g.queue.Len() }

// Running returns the number of requests that hold a slot.
func (g *Gate) Running() int { return len(g.running) }

// Queued returns the number of requests that wait.
func (g *Gate) Queued() int { return g.queue.Len() }

// Peak returns the highest load so far.
func (g *Gate) Peak() int { return g.peak }

// Wait returns the expected wait of a new request of a class.
func (g *Gate) Wait(class int) time.Duration {
	slots := max(g.Slots, 1)
	if len(g.running) < slots {
		return 0
	}
	ahead := g.queue.LenAhead(class) + 1
	return g.meanTime * time.Duration(ahead) / time.Duration(slots)
}

// Offer admits a request or refuses it. A refusal is proof that nothing was
// dispatched.
func (g *Gate) Offer(now time.Duration, r routing.Request, t Terms) routing.Decision {
	limit := g.limit(t)
	if g.Load()+t.Carried+1 > limit {
		return refuse(fault.OverBound, g.retryAfter())
	}
	if t.AccountLimit > 0 && g.accounts[r.Account]+1 > t.AccountLimit {
		return refuse(fault.AccountLimit, g.retryAfter())
	}
	if g.surges(r) {
		return refuse(fault.AccountLimit, g.retryAfter())
	}
	if g.queue.Len() >= queuePerSlot*max(g.Slots, 1) {
		return refuse(fault.Overloaded, g.retryAfter())
	}
	if t.Remaining > 0 && g.Wait(r.Class) > t.Remaining {
		return refuse(fault.DeadlineTooNear, 0)
	}
	g.admit(now, r)
	g.Checker.Holds(g.Load()+t.Carried <= limit, "loadWithinBound", "%s carries %d, bound %d", g.Server, g.Load(), limit)
	_, run := g.running[r.ID]
	return routing.Decision{
		Started: run,
	}
}

// surges reports whether an account that holds well over its fair part would
// take what others need: the reserve of slots, or a place in the queue. What
// it could have queued here would fill the load bound and turn others away.
func (g *Gate) surges(r routing.Request) bool {
	if r.FairSlots == 0 || g.accounts[r.Account] < fairMultiple*r.FairSlots {
		return false
	}
	slots := max(g.Slots, 1)
	return g.Load() >= slots-slots/reservePart
}

func refuse(kind string, after time.Duration) routing.Decision {
	return routing.Decision{
		Refused:    kind,
		RetryAfter: after,
	}
}

func (g *Gate) limit(t Terms) int {
	if t.Cap > 0 {
		return t.Cap
	}
	if t.Bound <= 0 {
		return int(^uint(0) >> 1)
	}
	return bounded.Limit(t.Bound, t.OthersLoad+t.Carried+g.Load(), t.Servers)
}

func (g *Gate) retryAfter() time.Duration {
	return max(g.meanTime/time.Duration(max(g.Slots, 1)), 10*time.Millisecond)
}

func (g *Gate) admit(now time.Duration, r routing.Request) {
	if g.running == nil {
		g.running = make(map[string]routing.Request)
		g.started = make(map[string]time.Duration)
		g.accounts = make(map[string]int)
	}
	g.accounts[r.Account]++
	if len(g.running) < max(g.Slots, 1) {
		g.run(now, r)
	} else {
		g.queue.Push(r)
	}
	g.peak = max(g.peak, g.Load())
}

func (g *Gate) run(now time.Duration, r routing.Request) {
	g.running[r.ID] = r
	g.started[r.ID] = now
}

// Finish ends a running request, or drops a waiting one, and returns the
// requests that may start now.
func (g *Gate) Finish(now time.Duration, r routing.Request) []routing.Request {
	if _, ok := g.running[r.ID]; ok {
		g.learn(now - g.started[r.ID])
		delete(g.running, r.ID)
		delete(g.started, r.ID)
	} else if !g.queue.Remove(r.ID) {
		return nil
	}
	if g.accounts[r.Account]--; g.accounts[r.Account] == 0 {
		delete(g.accounts, r.Account)
	}
	var next []routing.Request
	for len(g.running) < max(g.Slots, 1) {
		n, ok := g.queue.Pop()
		if !ok {
			break
		}
		g.run(now, n)
		next = append(next, n)
	}
	return next
}

func (g *Gate) learn(d time.Duration) {
	if g.meanTime == 0 {
		g.meanTime = d
		return
	}
	g.meanTime += time.Duration(smoothing * float64(d-g.meanTime))
}
