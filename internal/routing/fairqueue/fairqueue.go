// Package fairqueue implements the request queue of a backend server: priority
// classes, and within a class weighted fair queueing between client accounts.
//
// Within a class each account has a virtual time that grows by cost/share for
// each of its requests that is dequeued. The account with the lowest virtual time
// goes next, so an account with a surge of requests only lengthens its own queue.
// An account that was idle resumes at the virtual time of the class and gets no
// credit for the share that it did not use. While two classes or more have
// requests, the second most urgent of them gets every lowerClassInterval-th turn,
// so that the most urgent one does not starve it.
package fairqueue

// This file defines Queue.

import (
	"camphorspoke/internal/routing"
)

const (
	// classCount is the number of priority classes; 0 is the most urgent.
	classCount = 3
	// lowerClassInterval is the number of turns of which one goes to a less urgent class.
	lowerClassInterval = 16
)

// Queue is a fair queue. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Queue struct {
	classes [classCount]class
	size    int
	// higherTurns counts the turns of the most urgent class since a less urgent one with
	// requests was served.
	higherTurns int
}

var _ routing.Queue = (*Queue)(nil)

// class holds the requests of one priority class. Its virtual time is the one that the
// account served last had before the cost of that request was added.
type class struct {
	accounts    map[string]*account
	virtualTime float64
	size        int
}

// account holds the queued requests of one client account in one class.
type account struct {
	virtualTime float64
	waiting     []routing.Request
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.size }

// LenAhead returns the number of queued requests of the given class and the more urgent
// ones, an upper estimate of how many go before a new request of that class.
func (q *Queue) LenAhead(cl int) int {
	n := 0
	for i := 0; i <= clampClass(cl); i++ {
		n += q.classes[i].size
	}
	return n
}

// clampClass returns the valid class nearest to cl.
func clampClass(cl int) int { return min(max(cl, 0), classCount-1) }

// Push adds a request to the queue of its account and class.
func (q *Queue) Push(r routing.Request) {
	c := &q.classes[clampClass(r.Class)]
	if c.accounts == nil {
		c.accounts = make(map[string]*account)
	}
	a := c.accounts[r.Account]
	if a == nil {
		a = &account{
			virtualTime: c.virtualTime,
		}
		c.accounts[r.Account] = a
	}
	if len(a.waiting) == 0 {
		a.virtualTime = max(a.virtualTime, c.virtualTime)
	}
	a.waiting = append(a.waiting, r)
	c.size++
	q.size++
}

// Pop removes and returns the next request; false when the queue is empty.
func (q *Queue) Pop() (routing.Request, bool) {
	if q.size == 0 {
		return routing.Request{}, false
	}
	return q.classes[q.nextClass()].pop(q), true
}

// nextClass returns the class that is served next: the most urgent one with requests, or
// on every lowerClassInterval-th turn the next one below it with requests.
func (q *Queue) nextClass() int {
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
		q.higherTurns = 0
		return first
	}
	q.higherTurns++
	if q.higherTurns >= lowerClassInterval {
		q.higherTurns = 0
		return lower
	}
	return first
}

// pop removes the first request of the account with the lowest virtual time. Ties go to
// the first name, so that the order does not depend on the map.
func (c *class) pop(q *Queue) routing.Request {
	bestName := ""
	var best *account
	for name, a := range c.accounts {
		if len(a.waiting) == 0 {
			continue
		}
		if best == nil || a.virtualTime < best.virtualTime || a.virtualTime == best.virtualTime && name < bestName {
			bestName, best = name, a
		}
	}
	r := best.waiting[0]
	best.waiting = best.waiting[1:]
	c.virtualTime = best.virtualTime
	best.virtualTime += float64(max(r.Cost, 1)) / float64(max(r.Share, 1))
	c.size--
	q.size--
	c.dropIdle(bestName, best)
	return r
}

// dropIdle drops an account without requests once the class has reached its virtual
// time, and all accounts once the class is empty.
func (c *class) dropIdle(name string, a *account) {
	if c.size == 0 {
		clear(c.accounts)
		c.virtualTime = 0
		return
	}
	if len(a.waiting) == 0 && a.virtualTime <= c.virtualTime {
		delete(c.accounts, name)
	}
}

// Remove removes a queued request; false when there is none with the id.
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
				c.dropIdle(name, a)
				return true
			}
		}
	}
	return false
}
