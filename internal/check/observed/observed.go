// Package observed records what callers, operators and backend servers see of a
// fleet while faults are injected, and tells which promises were broken.
//
// It knows nothing of the faults but when they were: the promises with a time
// bound hold only while nothing is disturbed.
package observed

// This file defines Record.

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bounds are the times within which promises must be kept.
type Bounds struct {
	// Revoke is the time after which a key that was taken away must not work,
	// InForce that after which nobody may show an older configuration, and Drain
	// that after which a leaving backend server gets no new work.
	Revoke  time.Duration
	InForce time.Duration
	Drain   time.Duration
	// Calm is how long nothing must have been disturbed before Drain binds.
	Calm time.Duration
}

// Attempt is one request of a caller.
type Attempt struct {
	ID  string
	Key string
	// Once is true for a request that must not run twice.
	Once bool
	Sent time.Time
}

// run is one execution at a backend server.
type run struct {
	server string
	at     time.Time
}

// span is a time in which something was disturbed.
type span struct {
	from, until time.Time
}

// Record holds what was seen. The zero value with Bounds set is ready to use.
type Record struct {
	Bounds Bounds

	mu       sync.Mutex
	attempts map[string]Attempt
	runs     map[string][]run
	refused  map[string]int
	// revoked holds when the change that took a key away was acknowledged.
	revoked map[string]time.Time
	// leaving holds since when the list names a backend server as leaving.
	leaving   map[string]time.Time
	disturbed []span
	acked     uint64
	ackedAt   map[uint64]time.Time
	broken    []string
	counts    map[string]int
}

func (r *Record) init() {
	if r.attempts != nil {
		return
	}
	r.attempts = make(map[string]Attempt)
	r.runs = make(map[string][]run)
	r.refused = make(map[string]int)
	r.revoked = make(map[string]time.Time)
	r.leaving = make(map[string]time.Time)
	r.ackedAt = make(map[uint64]time.Time)
	r.counts = make(map[string]int)
}

// lock locks the record, which is then initialised.
func (r *Record) lock() func() {
	r.mu.Lock()
	r.init()
	return r.mu.Unlock
}

func (r *Record) breaks(promise, format string, args ...any) {
	r.broken = append(r.broken, promise+": "+fmt.Sprintf(format, args...))
}

// Breaks notes a promise that the caller saw broken.
func (r *Record) Breaks(promise, detail string) {
	defer r.lock()()
	r.breaks(promise, "%s", detail)
}

// Sent notes a request of a caller, before it is sent.
func (r *Record) Sent(a Attempt) {
	defer r.lock()()
	r.attempts[a.ID] = a
}

// Ran notes that a backend server began to work on a request.
func (r *Record) Ran(id, server string, at time.Time) {
	defer r.lock()()
	r.counts["ran"]++
	a, known := r.attempts[id]
	if !known {
		r.breaks("nothing runs that was not sent", "%q at %s", id, server)
		return
	}
	r.runs[id] = append(r.runs[id], run{
		server: server,
		at:     at,
	})
	if a.Once && len(r.runs[id]) > 1 {
		r.breaks("at most once", "%s ran at %v", id, r.runs[id])
	}
	if status, ok := r.refused[id]; ok && a.Once {
		r.breaks("not run is true", "%s ran at %s after its caller was told %d", id, server, status)
	}
	if gone, ok := r.revoked[a.Key]; ok && a.Sent.After(gone.Add(r.Bounds.Revoke)) {
		r.breaks("keys that were taken away do not work", "%s ran %v after the acknowledgement", id, a.Sent.Sub(gone))
	}
	since, ok := r.leaving[server]
	if ok && a.Sent.After(since.Add(r.Bounds.Drain)) && r.calm(a.Sent) {
		r.breaks("leaving backend servers get no new work", "%s ran at %s %v after it was listed as leaving", id, server, a.Sent.Sub(since))
	}
}

// calm reports whether nothing was disturbed lately.
func (r *Record) calm(at time.Time) bool {
	return !slices.ContainsFunc(r.disturbed, func(s span) bool {
		return at.After(s.from) && (s.until.IsZero() || at.Before(s.until.Add(r.Bounds.Calm)))
	})
}

// Refused notes an answer that promises that the request did not run.
func (r *Record) Refused(id string, status int) {
	defer r.lock()()
	r.counts["refused"]++
	r.refused[id] = status
	if r.attempts[id].Once && len(r.runs[id]) > 0 {
		r.breaks("not run is true", "%s was told %d and ran at %v", id, status, r.runs[id])
	}
}

// CutOff notes that a connection ended without a whole answer though its caller
// was still waiting. That is a broken promise where a backend server had the
// request and nothing was disturbed but by planned stops.
func (r *Record) CutOff(a Attempt, address string) {
	defer r.lock()()
	r.counts["cut off"]++
	if len(r.runs[a.ID]) > 0 && r.calm(a.Sent) && r.calm(time.Now()) {
		r.breaks("no request is cut off", "%s at %s after %v", a.ID, address, time.Since(a.Sent))
	}
}

// Count counts an event of a kind.
func (r *Record) Count(kind string) {
	defer r.lock()()
	r.counts[kind]++
}

// Leaving notes that the list names a backend server as leaving from now on.
func (r *Record) Leaving(server string, at time.Time) {
	defer r.lock()()
	r.leaving[server] = at
}

// Disturb notes that something is disturbed until the returned function is called.
func (r *Record) Disturb() func() {
	defer r.lock()()
	r.disturbed = append(r.disturbed, span{
		from: time.Now(),
	})
	i := len(r.disturbed) - 1
	return func() {
		defer r.lock()()
		r.disturbed[i].until = time.Now()
	}
}

// Acknowledged notes that a configuration was acknowledged, and which keys it took away.
func (r *Record) Acknowledged(version uint64, revoked []string, at time.Time) {
	defer r.lock()()
	r.counts["changes"]++
	r.acked = max(r.acked, version)
	r.ackedAt[version] = at
	for _, k := range revoked {
		if _, ok := r.revoked[k]; !ok {
			r.revoked[k] = at
		}
	}
}

// Read notes a configuration that was read back.
func (r *Record) Read(daemon string, version uint64, sent time.Time) {
	defer r.lock()()
	r.counts["reads"]++
	for v, at := range r.ackedAt {
		if v > version && sent.After(at.Add(r.Bounds.InForce)) {
			r.breaks("configurations are never shown in an older state", "%s shows version %d, %d was acknowledged %v before", daemon, version, v, sent.Sub(at))
			return
		}
	}
}

// Newest returns the highest version that was acknowledged.
func (r *Record) Newest() uint64 {
	defer r.lock()()
	return r.acked
}

// Broken returns the promises that were broken.
func (r *Record) Broken() []string {
	defer r.lock()()
	return slices.Clone(r.broken)
}

// Counts returns how often each kind of event was seen.
func (r *Record) Counts() map[string]int {
	defer r.lock()()
	out := make(map[string]int, len(r.counts))
	for k, n := range r.counts {
		out[k] = n
	}
	return out
}
