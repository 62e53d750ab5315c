package ruleset

// This file defines Route, WeightedService and Ingress.

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// The kinds of route, by whether their requests may run more than once.
const (
	// Safe requests may run more than once.
	Safe = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests get an event stream as response. They run at most once, unless
	// the route allows a broken stream to be resumed.
	Stream
)

// Route holds the rules for the requests whose host is Host and whose path begins
// with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Kind is Safe, Unsafe or Stream.
	Kind int
	// Split holds the services among which the requests are divided, by weight.
	Split []WeightedService
	// Attempts is the most backend servers at which one request may run.
	Attempts int
	// Timeout is the longest that a request may take.
	Timeout time.Duration
	// Objective is the latency objective: the time within which a response, or the
	// first event of a stream, should be sent.
	Objective time.Duration
	// GapObjective is the objective for the longest pause between two events of a stream; zero
	// means none.
	GapObjective time.Duration
	// Priority ranks the requests of the route; zero is the highest.
	Priority int
	// Public is true when callers need no key.
	Public bool
	// CacheAffine is true when requests should be sent to the server that has their prompt
	// cached.
	CacheAffine bool
	// Resumable is true when a broken stream may be resumed at another backend server.
	Resumable bool
}

// WeightedService is one service of a split, with its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Ingress limits the requests that callers may send; zero means no limit.
type Ingress struct {
	// HeaderBytes and BodyBytes are the largest request header and body.
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is the longest time in which a caller may send a header, IdleTime
	// the longest that a connection is kept open without a request.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Match returns the route with the longest prefix of path under host, or nil.
func (rs *Rules) Match(host, path string) *Route {
	var best *Route
	for i := range rs.Routes {
		r := &rs.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// PickService returns the service that the split assigns to a request, given a hash of the
// request. Evenly spread hashes divide the requests in proportion to the weights.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}

// KeyDigest returns the digest by which the rule file identifies a key: the first 16
// bytes of its SHA-256, in hex.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:16])
}
