// Package fairqueue is the queue of a backend server: by priority class, and
// within a class by fair share of the client accounts.
//
// Within a class each account has a virtual time that grows by cost/share for
// each request taken; the account with the least goes next, so an account that
// surges only lengthens its own queue. An account that comes back from idle
// starts at the class's virtual time and can't claim what it did not use. A
// lower class gets every lowerEvery-th turn, so that it waits but never
// starves.
package fairqueue

// This file defines Queue.

import (
	"camphorspoke/internal/routing"
)

const (
	classes = 3
	// lowerEvery is how often a lower class is served before a higher one.
	lowerEvery = 16
)

// Queue is a fair queue; the zero value works.
type Queue struct {
	classes [classes]class
	size    int
	// passed counts the turns since a lower class was passed over.
	passed int
}

var _ routing.Queue = (*Queue)(nil)

type class struct {
	accounts map[string]*account
	now      float64
	size     int
}

type account struct {
	virtual float64
	waiting []routing.Request
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// LenAhead returns how many requests go before a new one of the given class,
// at most: those of its own class and of the more urgent ones.
func (q *Queue) LenAhead(cl int) int {
	n := 0
	for i := 0; i <= clamp(cl); i++ {
		n += q.classes[i].size
	}
	return n
}

func clamp(cl int) int { return min(max(cl, 0), classes-1) }

// Push adds a request.
func (q *Queue) Push(r routing.Request) {
	c := &q.classes[clamp(r.Class)]
	if c.accounts == nil {
		c.accounts = make(map[string]*account)
	}
	a := c.accounts[r.Account]
	if a == nil {
		a = &account{
			virtual: c.now,
		}
		c.accounts[r.Account] = a
	}
	if len(a.waiting) == 0 {
		a.virtual = max(a.virtual, c.now)
	}
	a.waiting = append(a.waiting, r)
	c.size++
	q.size++
}

// Pop takes the next request.
func (q *Queue) Pop() (routing.Request, bool) {
	if q.size == 0 {
		return routing.Request{}, false
	}
	return q.classes[q.turn()].pop(q), true
}

// turn returns the class that is served next.
func (q *Queue) turn() int {
	first, lower := -1, -1
	for i := range q.classes {
		switch {
		case q.classes[i].size == 0:
		case first < 0:
			first = i
		case lower < 0:
			lower = i
		}
	}
	if lower < 0 {
		q.passed = 0
		return first
	}
	q.passed++
	if q.passed >= lowerEvery {
		q.passed = 0
		return lower
	}
	return first
}

func (c *class) pop(q *Queue) routing.Request {
	bestName := ""
	var best *account
	for name, a := range c.accounts {
		if len(a.waiting) == 0 {
			continue
		}
		if best == nil || a.virtual < best.virtual || a.virtual == best.virtual && name < bestName {
			bestName, best = name, a
		}
	}
	r := best.waiting[0]
	best.waiting = best.waiting[1:]
	c.now = best.virtual
	best.virtual += float64(max(r.Cost, 1)) / float64(max(r.Share, 1))
	c.size--
	q.size--
	c.forget(bestName, best)
	return r
}

// forget drops an idle account whose virtual time has been reached.
func (c *class) forget(name string, a *account) {
	if c.size == 0 {
		clear(c.accounts)
		c.now = 0
		return
	}
	if len(a.waiting) == 0 && a.virtual <= c.now {
		delete(c.accounts, name)
	}
}

// Remove drops a waiting request.
func (q *Queue) Remove(id string) bool {
	for i := range q.classes {
		c := &q.classes[i]
		for name, a := range c.accounts {
			for j, r := range a.waiting {
				if r.ID != id {
					continue
				}
				a.waiting = append(a.waiting[:j:j], a.waiting[j+1:]...)
				c.size--
				q.size--
				c.forget(name, a)
				return true
			}
		}
	}
	return false
}
