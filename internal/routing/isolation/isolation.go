// Package isolation tells an instance that can reach no backend server from servers that are down.
//
// A single failure to connect says nothing: the server may be down. An instance that is cut off fails
// at every server that it tries, of all services and failure domains. A server that accepts a
// connection proves the contrary. Established connections prove nothing: they may live on while
// new ones are refused.
package isolation

// This file defines Detector and Sample.

import (
	"math/rand/v2"
	"time"
)

const (
	// MinFailed is the number of servers at which an instance has to fail, with no success in
	// between, to count as isolated.
	MinFailed = 3
	// maxFailureAge is how long a failure counts. An instance with few requests meets one server
	// that is down after another over time.
	maxFailureAge = 2 * time.Second
)

// Detector decides whether an instance is isolated. The zero value is one that is not. It has no
// clock and is not safe for concurrent use.
type Detector struct {
	// failed holds the time of the last failure at each address, since the last connection.
	failed map[string]time.Duration
	// connectedAt is when the connection that was opened last was begun, if connected is true.
	connected   bool
	connectedAt time.Duration
	isolated    bool
}

// Failed records that no connection to a server could be opened. listed is the number of servers
// that the instance knows. It reports whether the instance has become isolated.
func (d *Detector) Failed(now time.Duration, address string, listed int) (changed bool) {
	if d.failed == nil {
		d.failed = make(map[string]time.Duration)
	}
	d.failed[address] = now
	if d.isolated {
		return false
	}
	for a, at := range d.failed {
		if now-at > maxFailureAge {
			delete(d.failed, a)
		}
	}
	// With a single server, the instance and the server cannot be told apart.
	d.isolated = listed > 1 && len(d.failed) >= min(MinFailed, listed)
	return d.isolated
}

// Connected records that a connection to a server was opened, whose attempt was begun at a time. It
// reports whether the instance has ceased to be isolated.
func (d *Detector) Connected(begun time.Duration) (changed bool) {
	if !d.connected || begun > d.connectedAt {
		d.connected, d.connectedAt = true, begun
	}
	changed = d.isolated
	d.isolated = false
	clear(d.failed)
	return changed
}

// Isolated reports whether the instance is isolated.
func (d *Detector) Isolated() bool { return d.isolated }

// ConnectedSince reports whether a connection to a server was opened whose attempt was begun at
// time t or later.
func (d *Detector) ConnectedSince(t time.Duration) bool { return d.connected && d.connectedAt >= t }

// Server is a server that may be tried.
type Server struct {
	Address       string
	Service       string
	FailureDomain string
}

// Sample returns at most n servers, other than the one at address except, to try whether this
// instance reaches any. They are of as many services and failure domains as possible, as one of
// these may be down as a whole.
func Sample(servers []Server, except string, n int) []Server {
	type group struct{ service, domain string }
	seen := make(map[group]bool)
	var first, rest []Server
	for _, i := range rand.Perm(len(servers)) {
		s := servers[i]
		g := group{
			service: s.Service,
			domain:  s.FailureDomain,
		}
		switch {
		case s.Address == except:
		case seen[g]:
			rest = append(rest, s)
		default:
			seen[g] = true
			first = append(first, s)
		}
	}
	first = append(first, rest...)
	return first[:min(len(first), n)]
}
