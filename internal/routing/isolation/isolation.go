// Package isolation tells an instance that can reach no backend server from servers that are down.
//
// A single failure says nothing: the server may be down. An instance that is cut off fails at every
// server that it tries, of all services and failure domains. The first byte of a response on a new
// connection proves the contrary. A connection that was accepted does not: something on the way may
// accept it, and reset it or stay silent. Nor does a connection that was open before: it may live on
// while new ones fail.
//
// Servers that crash under requests also fail one after the other. So failures are only the reason
// to ask servers of other services and failure domains; the instance counts as isolated if
// none of those answers.
package isolation

// This file defines Detector.

import "time"

const (
	// MinFailed is the number of servers at which an instance has to fail, with no answer in
	// between, to count as isolated.
	MinFailed = 3
	// maxFailureAge is how long a failure counts. An instance with few requests meets one server
	// that is down after another over time.
	maxFailureAge = 2 * time.Second
)

// Failure is a new connection to a server that brought no byte of a response.
type Failure struct {
	Address string
	// Begun is when the attempt to open the connection was begun.
	Begun time.Duration
	// Accepted is true if the connection was opened.
	Accepted bool
}

// Detector decides whether an instance is isolated. The zero value is one that is not. It has no
// clock and is not safe for concurrent use.
type Detector struct {
	// failed holds the last failure at each address that was begun after the last connection that
	// was answered.
	failed map[string]Failure
	// answeredAt is when the answered connection that was opened last was begun, if answered is
	// true.
	answered   bool
	answeredAt time.Duration
	isolated   bool
	isolatedAt time.Duration
}

// Failed records a failure.
func (d *Detector) Failed(f Failure) {
	if last, ok := d.failed[f.Address]; d.AnsweredSince(f.Begun) || ok && last.Begun >= f.Begun {
		return
	}
	if d.failed == nil {
		d.failed = make(map[string]Failure)
	}
	d.failed[f.Address] = f
}

// Suspects reports whether the instance has failed at enough servers to count as isolated, if no
// other server answers either. listed is the number of servers that it knows.
func (d *Detector) Suspects(now time.Duration, listed int) bool {
	for a, f := range d.failed {
		if now-f.Begun > maxFailureAge {
			delete(d.failed, a)
		}
	}
	// With a single server, the instance and the server cannot be told apart.
	return listed > 1 && len(d.failed) >= min(MinFailed, listed)
}

// Failing reports whether any server has failed since one answered.
func (d *Detector) Failing() bool { return len(d.failed) > 0 }

// NoAnswer records that servers were asked, from the time begun on, and that none has answered. It
// reports whether the instance has become isolated.
func (d *Detector) NoAnswer(now, begun time.Duration, listed int) (changed bool) {
	if d.isolated || d.AnsweredSince(begun) || !d.Suspects(now, listed) {
		return false
	}
	d.isolated, d.isolatedAt = true, now
	return true
}

// Answered records a response on a new connection whose attempt was begun at a time. It reports
// whether the instance has ceased to be isolated. A connection from before the isolation does not
// end it.
func (d *Detector) Answered(begun time.Duration) (changed bool) {
	if !d.AnsweredSince(begun) {
		d.answered, d.answeredAt = true, begun
	}
	for a, f := range d.failed {
		if f.Begun <= begun {
			delete(d.failed, a)
		}
	}
	changed = d.isolated && begun >= d.isolatedAt
	d.isolated = d.isolated && !changed
	return changed
}

// Isolated reports whether the instance is isolated.
func (d *Detector) Isolated() bool { return d.isolated }

// Accepted reports whether servers have lately accepted connections that they did not answer. They
// may then be overloaded, and look the same to all instances.
func (d *Detector) Accepted(now time.Duration) bool {
	for _, f := range d.failed {
		if f.Accepted && now-f.Begun <= maxFailureAge {
			return true
		}
	}
	return false
}

// AnsweredSince reports whether a new connection was answered whose attempt was begun at time t or
// later.
func (d *Detector) AnsweredSince(t time.Duration) bool { return d.answered && d.answeredAt >= t }
