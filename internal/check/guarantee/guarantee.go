// Package guarantee checks the guarantees of a fleet from the outside while faults
// are injected: it records what callers, operators and backend servers see, and
// reports each guarantee that these observations violate.
//
// It records faults only as the intervals in which they were active. Some
// guarantees, such as the bound on draining, are not checked during a fault or
// shortly after it.
package guarantee

// This file defines Record, the observations and their checks.

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bounds are the time limits of the guarantees.
type Bounds struct {
	// Revoke limits how long a revoked key is still accepted, Propagate how long a
	// daemon may still return an older configuration, and Drain how long a
	// draining backend server may still receive new requests.
	Revoke    time.Duration
	Propagate time.Duration
	Drain     time.Duration
	// Recovery is the time after the end of a fault in which Drain is not checked
	// yet and interrupted requests are not violations yet.
	Recovery time.Duration
}

// Attempt is one request of a caller.
type Attempt struct {
	ID  string
	Key string
	// AtMostOnce is true for a request that must be executed at most once.
	AtMostOnce bool
	Sent       time.Time
}

// execution is one execution of a request at a backend server.
type execution struct {
	server string
	at     time.Time
}

// faultInterval is the interval in which a fault was active; until is zero while it
// lasts.
type faultInterval struct {
	from, until time.Time
}

// Record holds the observations and the violations found in them. The zero value
// with Bounds set is ready to use, also concurrently.
type Record struct {
	Bounds Bounds

	mu         sync.Mutex
	attempts   map[string]Attempt
	executions map[string][]execution
	refused    map[string]int
	// revoked holds, by key, when the change that revoked it was acknowledged.
	revoked map[string]time.Time
	// draining holds, by backend server, since when the list reports it as draining.
	draining       map[string]time.Time
	faultIntervals []faultInterval
	acked          uint64
	ackedAt        map[uint64]time.Time
	violations     []string
	counts         map[string]int
}

func (r *Record) init() {
	if r.attempts != nil {
		return
	}
	r.attempts = make(map[string]Attempt)
	r.executions = make(map[string][]execution)
	r.refused = make(map[string]int)
	r.revoked = make(map[string]time.Time)
	r.draining = make(map[string]time.Time)
	r.ackedAt = make(map[uint64]time.Time)
	r.counts = make(map[string]int)
}

// lock locks the record, initialises it if needed, and returns the function that
// unlocks it.
func (r *Record) lock() func() {
	r.mu.Lock()
	r.init()
	return r.mu.Unlock
}

func (r *Record) addViolationf(guarantee, format string, args ...any) {
	r.violations = append(r.violations, guarantee+": "+fmt.Sprintf(format, args...))
}

// AddViolation records a violated guarantee that its caller has detected itself.
func (r *Record) AddViolation(guarantee, detail string) {
	defer r.lock()()
	r.addViolationf(guarantee, "%s", detail)
}

// Sent records a request of a caller. It must be called before the request is
// sent, as Executed reports executions of requests that were not recorded.
func (r *Record) Sent(a Attempt) {
	defer r.lock()()
	r.attempts[a.ID] = a
}

// Executed records that a backend server began to execute a request.
func (r *Record) Executed(id, server string, at time.Time) {
	defer r.lock()()
	r.counts["ran"]++
	a, known := r.attempts[id]
	if !known {
		r.addViolationf("only sent requests are executed", "%q at %s", id, server)
		return
	}
	r.executions[id] = append(r.executions[id], execution{
		server: server,
		at:     at,
	})
	if a.AtMostOnce && len(r.executions[id]) > 1 {
		r.addViolationf("at most once", "%s was executed at %v", id, r.executions[id])
	}
	if status, ok := r.refused[id]; ok && a.AtMostOnce {
		r.addViolationf("refused requests are not executed", "%s was executed at %s after its caller received status %d", id, server, status)
	}
	if revokedAt, ok := r.revoked[a.Key]; ok && a.Sent.After(revokedAt.Add(r.Bounds.Revoke)) {
		r.addViolationf("revoked keys are not accepted", "%s was executed though sent %v after the revocation was acknowledged", id, a.Sent.Sub(revokedAt))
	}
	since, ok := r.draining[server]
	if ok && a.Sent.After(since.Add(r.Bounds.Drain)) && r.faultFree(a.Sent) {
		r.addViolationf("draining backend servers receive no new requests", "%s was executed at %s though sent %v after the server was listed as draining", id, server, a.Sent.Sub(since))
	}
}

// faultFree reports whether at the given time no fault was active and none had
// ended less than Bounds.Recovery before.
func (r *Record) faultFree(at time.Time) bool {
	return !slices.ContainsFunc(r.faultIntervals, func(f faultInterval) bool {
		return at.After(f.from) && (f.until.IsZero() || at.Before(f.until.Add(r.Bounds.Recovery)))
	})
}

// Refused records a response whose status states that the request was not
// executed.
func (r *Record) Refused(id string, status int) {
	defer r.lock()()
	r.counts["refused"]++
	r.refused[id] = status
	if r.attempts[id].AtMostOnce && len(r.executions[id]) > 0 {
		r.addViolationf("refused requests are not executed", "%s received status %d and was executed at %v", id, status, r.executions[id])
	}
}

// Interrupted records that a connection ended before the complete response though
// its caller was still waiting. This is a violation if a backend server had begun to
// execute the request, unless an unplanned fault was active, or had ended less than
// Bounds.Recovery before, either when the request was sent or now.
func (r *Record) Interrupted(a Attempt, address string) {
	defer r.lock()()
	r.counts["cut off"]++
	if len(r.executions[a.ID]) > 0 && r.faultFree(a.Sent) && r.faultFree(time.Now()) {
		r.addViolationf("no executing request is cut off", "%s at %s after %v", a.ID, address, time.Since(a.Sent))
	}
}

// Count increments the counter of a kind of event.
func (r *Record) Count(kind string) {
	defer r.lock()()
	r.counts[kind]++
}

// Draining records that the list reports a backend server as draining since the
// given time.
func (r *Record) Draining(server string, at time.Time) {
	defer r.lock()()
	r.draining[server] = at
}

// BeginFault records that a fault is active until the returned function is called.
func (r *Record) BeginFault() func() {
	defer r.lock()()
	r.faultIntervals = append(r.faultIntervals, faultInterval{
		from: time.Now(),
	})
	i := len(r.faultIntervals) - 1
	return func() {
		defer r.lock()()
		r.faultIntervals[i].until = time.Now()
	}
}

// Acknowledged records that a configuration was acknowledged, and which keys it
// revoked.
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

// ReadVersion records the version of a configuration that a daemon returned to a
// read sent at the given time.
func (r *Record) ReadVersion(daemon string, version uint64, sent time.Time) {
	defer r.lock()()
	r.counts["reads"]++
	for acknowledged, at := range r.ackedAt {
		if acknowledged > version && sent.After(at.Add(r.Bounds.Propagate)) {
			r.addViolationf("reads return no outdated configuration", "%s returned version %d, but version %d was acknowledged %v before the read", daemon, version, acknowledged, sent.Sub(at))
			return
		}
	}
}

// NewestAcknowledged returns the highest acknowledged version.
func (r *Record) NewestAcknowledged() uint64 {
	defer r.lock()()
	return r.acked
}

// Violations returns the violations found so far, each as guarantee and details.
func (r *Record) Violations() []string {
	defer r.lock()()
	return slices.Clone(r.violations)
}

// Counts returns a copy of the event counters.
func (r *Record) Counts() map[string]int {
	defer r.lock()()
	out := make(map[string]int, len(r.counts))
	for k, n := range r.counts {
		out[k] = n
	}
	return out
}
