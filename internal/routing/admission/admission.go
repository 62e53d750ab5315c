// Package admission implements admission control for one backend server.
//
// The router that owns a server passes all requests to it through one Gate.
// The number of requests in flight, the load bound, the queue and the limits
// of client accounts are therefore exact, and checking them needs no other
// process. The load of a server is the number of requests that were admitted
// and have not finished, running or queued. A Gate is not safe for concurrent
// use.
package admission

// This file defines Gate.

import (
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/routing"
	"camphorspoke/internal/routing/fairqueue"
	"camphorspoke/internal/routing/loadbound"
)

const (
	// queuePerSlot is the capacity of a server's queue for each of its slots.
	queuePerSlot = 16
	// fairShareMultiple is how many times its fair share of slots an account
	// may hold before the limits of exceedsFairShare apply to it.
	fairShareMultiple = 2
	// reserveDivisor sets the reserve: one slot in reserveDivisor is reserved for
	// accounts that hold less than fairShareMultiple times their fair share.
	reserveDivisor = 2
	// smoothing is the weight of the latest service time in the moving average.
	smoothing = 0.1
)

// Gate admits requests to one server and queues those that wait for a slot.
// The zero value has one slot.
type Gate struct {
	Server string
	// Slots is the number of requests that the server runs at once.
	Slots   int
	Checker *invariant.Checker

	queue       fairqueue.Queue
	running     map[string]routing.Request
	startedAt   map[string]time.Duration
	accountLoad map[string]int
	// meanServiceTime is the moving average of the time that a request holds
	// its slot.
	meanServiceTime time.Duration
	peak            int
}

// Params holds the limits and loads against which a request is checked.
type Params struct {
	// Bound limits the load of a server to this multiple of the mean load of
	// the service; zero means no bound.
	Bound float64
	// OthersLoad is the total reported load of the service's other servers.
	OthersLoad int
	// Servers is the number of servers of the service.
	Servers int
	// AccountLimit is the maximum number of requests of the account at this
	// server; zero means no limit.
	AccountLimit int
	// Cap, if above zero, replaces Bound as the limit of the load. A router
	// that dispatches without owning the server uses it to stay within its
	// share of the server.
	Cap int
	// InheritedLoad is the number of requests that the previous owner of this server
	// still has in flight there.
	InheritedLoad int
	// Remaining is the time until the deadline; zero means no deadline.
	Remaining time.Duration
}

// Load returns the number of running and queued requests.
func (g *Gate) Load() int { return len(g.running) + g.queue.Len() }

// Running returns the number of requests that hold a slot.
func (g *Gate) Running() int { return len(g.running) }

// Queued returns the number of requests that wait for a slot.
func (g *Gate) Queued() int { return g.queue.Len() }

// Peak returns the highest load since the Gate was created.
func (g *Gate) Peak() int { return g.peak }

// ExpectedWait returns the expected queueing time of a new request of a class.
func (g *Gate) ExpectedWait(class int) time.Duration {
	slots := max(g.Slots, 1)
	if len(g.running) < slots {
		return 0
	}
	ahead := g.queue.LenAhead(class) + 1
	return g.meanServiceTime * time.Duration(ahead) / time.Duration(slots)
}

// Offer admits a request or rejects it. A rejected request is certain not to
// have been dispatched, so it can be sent again elsewhere.
func (g *Gate) Offer(now time.Duration, r routing.Request, p Params) routing.Decision {
	limit := g.limit(p)
	if g.Load()+p.InheritedLoad+1 > limit {
		return refuse(fault.OverBound, g.retryAfter())
	}
	if p.AccountLimit > 0 && g.accountLoad[r.Account]+1 > p.AccountLimit {
		return refuse(fault.AccountLimit, g.retryAfter())
	}
	if g.exceedsFairShare(r) {
		return refuse(fault.AccountLimit, g.retryAfter())
	}
	if g.queue.Len() >= queuePerSlot*max(g.Slots, 1) {
		return refuse(fault.Overloaded, g.retryAfter())
	}
	if p.Remaining > 0 && g.ExpectedWait(r.Class) > p.Remaining {
		return refuse(fault.DeadlineTooNear, 0)
	}
	g.admit(now, r)
	g.Checker.Check(g.Load()+p.InheritedLoad <= limit, "loadWithinBound", "server %s: load %d plus the load of its previous owner exceeds the limit %d", g.Server, g.Load(), limit)
	_, running := g.running[r.ID]
	return routing.Decision{
		Started: running,
	}
}

// exceedsFairShare reports whether the account of r holds at least
// fairShareMultiple times its fair share while only reserved slots or places in
// the queue are left. Requests that such an account queued would use up the
// load bound, and those of other accounts would be rejected.
func (g *Gate) exceedsFairShare(r routing.Request) bool {
	if r.FairSlots == 0 || g.accountLoad[r.Account] < fairShareMultiple*r.FairSlots {
		return false
	}
	slots := max(g.Slots, 1)
	return g.Load() >= slots-slots/reserveDivisor
}

func refuse(kind string, after time.Duration) routing.Decision {
	return routing.Decision{
		Refused:    kind,
		RetryAfter: after,
	}
}

func (g *Gate) limit(p Params) int {
	if p.Cap > 0 {
		return p.Cap
	}
	if p.Bound <= 0 {
		return int(^uint(0) >> 1)
	}
	return loadbound.Limit(p.Bound, p.OthersLoad+p.InheritedLoad+g.Load(), p.Servers)
}

func (g *Gate) retryAfter() time.Duration {
	return max(g.meanServiceTime/time.Duration(max(g.Slots, 1)), 10*time.Millisecond)
}

func (g *Gate) admit(now time.Duration, r routing.Request) {
	if g.running == nil {
		g.running = make(map[string]routing.Request)
		g.startedAt = make(map[string]time.Duration)
		g.accountLoad = make(map[string]int)
	}
	g.accountLoad[r.Account]++
	if len(g.running) < max(g.Slots, 1) {
		g.start(now, r)
	} else {
		g.queue.Push(r)
	}
	g.peak = max(g.peak, g.Load())
}

func (g *Gate) start(now time.Duration, r routing.Request) {
	g.running[r.ID] = r
	g.startedAt[r.ID] = now
}

// Finish ends a running request, or drops a queued one, and returns the
// requests that may start now.
func (g *Gate) Finish(now time.Duration, r routing.Request) []routing.Request {
	if _, ok := g.running[r.ID]; ok {
		g.updateMeanTime(now - g.startedAt[r.ID])
		delete(g.running, r.ID)
		delete(g.startedAt, r.ID)
	} else if !g.queue.Remove(r.ID) {
		return nil
	}
	if g.accountLoad[r.Account]--; g.accountLoad[r.Account] == 0 {
		delete(g.accountLoad, r.Account)
	}
	var next []routing.Request
	for len(g.running) < max(g.Slots, 1) {
		n, ok := g.queue.Pop()
		if !ok {
			break
		}
		g.start(now, n)
		next = append(next, n)
	}
	return next
}

func (g *Gate) updateMeanTime(d time.Duration) {
	if g.meanServiceTime == 0 {
		g.meanServiceTime = d
		return
	}
	g.meanServiceTime += time.Duration(smoothing * float64(d-g.meanServiceTime))
}
