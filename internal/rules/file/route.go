package file

// This file defines Route, the rules of the requests under one host and path.

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// The kinds of request, by what may be repeated.
const (
	// Safe requests may run more than once.
	Safe = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by events, and run at most once unless the
	// route lets them resume.
	Stream
)

// Route holds the rules of the requests whose host is Host and whose path
// begins with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   int
	// Split holds the services that requests go to, by weight.
	Split []Share
	// Attempts is the most backend servers that one request is sent to.
	Attempts int
	// Timeout is the longest that a request may be kept.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// Gap is the longest pause between events that is on time; zero is none.
	Gap time.Duration
	// Priority is the rank of the requests; zero is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Affine requests go where their prompt is cached.
	Affine bool
	// Resumes is true when a broken stream may go on at another backend server.
	Resumes bool
}

// Share is one service of a split.
type Share struct {
	Service string
	Weight  int
}

// Ingress bounds what a caller may send; zero is no bound.
type Ingress struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumes }

// Match returns the route with the longest prefix of path under host, or nil.
func (f *File) Match(host, path string) *Route {
	var best *Route
	for i := range f.Routes {
		r := &f.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// Pick returns the service of the split at a point, which is spread evenly over
// all numbers.
func (r *Route) Pick(point uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(point % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}

// KeyDigest returns what the rule file holds of a key in its place.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:16])
}
