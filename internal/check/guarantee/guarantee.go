// Package guarantee checks the guarantees of a fleet from the outside while faults
// are injected: it records what callers, operators and backend servers see, and
// reports each guarantee that these observations violate.
//
// It records faults only as the intervals in which they were active. Some
// guarantees, such as the bound on draining, are not checked during a fault or
// shortly after it.
package guarantee

// This file defines Checker, the observations and their checks.

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
	// Evacuate limits how long after the acknowledgement of an evacuation requests may
	// still reach servers of the failure domain.
	Evacuate time.Duration
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
	// Address is the daemon that the request was sent to.
	Address string
	// Service is the service of the request's route.
	Service string
	Sent    time.Time
	// LastByteSent is when the last byte of the request was sent; zero if it was sent at
	// once.
	LastByteSent time.Time
	// Long is true for a request that may take longer than a grace period. Only such a
	// request may be cut off at the end of one.
	Long bool
	// LeavesEarly is true if the caller disconnects within milliseconds, so that its daemon may
	// not receive the response.
	LeavesEarly bool
	// Content identifies the requests that are the same but for their IDs. It is set for
	// requests that crash the backend servers that execute them, and empty for others.
	Content string
	// Stream identifies the attempts of a stream that its caller takes up again. It is the ID
	// of the first of them, and empty for others.
	Stream string
}

// WholeSent returns when the whole request was sent.
func (a Attempt) WholeSent() time.Time {
	if a.LastByteSent.IsZero() {
		return a.Sent
	}
	return a.LastByteSent
}

// execution is one execution of a request at a backend server; ended is zero while it lasts.
type execution struct {
	server string
	at     time.Time
	ended  time.Time
}

// faultInterval is the interval in which a fault was active; until is zero while it
// lasts.
type faultInterval struct {
	from, until time.Time
}

// Checker records observations and the violations that it finds in them. The zero
// value with Bounds set is ready to use, also concurrently.
type Checker struct {
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
	pushback       pushbacks
	stops          []plannedStop
	// departures holds, by backend server and daemon, when the first response that
	// announces the server's departure was sent to the daemon.
	departures map[departure]time.Time
	// coldArrivals holds, by backend server, when requests reached it in the last second
	// while it was cold.
	coldArrivals map[string][]time.Time
	// domains holds the failure domain of each backend server, evacuated when the
	// evacuation of a failure domain was acknowledged, until its finish.
	domains   map[string]string
	evacuated map[string]time.Time
	// traffic holds the requests and repeats of each service, arrivals how often each
	// request arrived.
	traffic  map[string]*traffic
	arrivals map[string]int
	// executionEnds holds, by request, when its latest execution ended.
	executionEnds map[string]time.Time
	// crashers holds, by content, the requests that crash servers.
	crashers map[string]*crasher
	// streams holds, by name, the streams that their callers take up again.
	streams    map[string]*stream
	acked      uint64
	ackedAt    map[uint64]time.Time
	violations []string
	counts     map[string]int
}

func (c *Checker) init() {
	if c.attempts != nil {
		return
	}
	c.attempts = make(map[string]Attempt)
	c.executions = make(map[string][]execution)
	c.refused = make(map[string]int)
	c.revoked = make(map[string]time.Time)
	c.draining = make(map[string]time.Time)
	c.ackedAt = make(map[uint64]time.Time)
	c.counts = make(map[string]int)
	c.executionEnds = make(map[string]time.Time)
	c.departures = make(map[departure]time.Time)
	c.coldArrivals = make(map[string][]time.Time)
	c.domains = make(map[string]string)
	c.evacuated = make(map[string]time.Time)
	c.traffic = make(map[string]*traffic)
	c.arrivals = make(map[string]int)
	c.crashers = make(map[string]*crasher)
	c.streams = make(map[string]*stream)
}

// lock locks the checker, initialises it if needed, and returns the function that
// unlocks it.
func (c *Checker) lock() func() {
	c.mu.Lock()
	c.init()
	return c.mu.Unlock
}

func (c *Checker) addViolationf(guarantee, format string, args ...any) {
	c.violations = append(c.violations, guarantee+": "+fmt.Sprintf(format, args...))
}

// AddViolation records a violated guarantee that its caller has detected itself.
func (c *Checker) AddViolation(guarantee, detail string) {
	defer c.lock()()
	c.addViolationf(guarantee, "%s", detail)
}

// Sent records a request of a caller. It must be called before the request is
// sent, as Executed reports executions of requests that were not recorded.
func (c *Checker) Sent(a Attempt) {
	defer c.lock()()
	c.attempts[a.ID] = a
	if a.Stream != "" {
		c.recordStreamAttempt(a)
	}
	t := c.trafficOf(a.Service)
	t.sent = append(t.sent, a.Sent)
}

// Executed records that a backend server began to execute a request.
func (c *Checker) Executed(id, server string, at time.Time) {
	defer c.lock()()
	c.counts["ran"]++
	a, known := c.attempts[id]
	if !known {
		c.addViolationf("only sent requests are executed", "%q at %s", id, server)
		return
	}
	c.executions[id] = append(c.executions[id], execution{
		server: server,
		at:     at,
	})
	if a.AtMostOnce && len(c.executions[id]) > 1 {
		c.addViolationf("at most once", "%s was executed at %v", id, c.executions[id])
	}
	if status, ok := c.refused[id]; ok && a.AtMostOnce {
		c.addViolationf("refused requests are not executed", "%s was executed at %s after its caller received status %d", id, server, status)
	}
	if revokedAt, ok := c.revoked[a.Key]; ok && a.Sent.After(revokedAt.Add(c.Bounds.Revoke)) {
		c.addViolationf("revoked keys are not accepted", "%s was executed though sent %v after the revocation was acknowledged", id, a.Sent.Sub(revokedAt))
	}
	since, ok := c.draining[server]
	if ok && a.Sent.After(since.Add(c.Bounds.Drain)) && c.faultFree(a.Sent) {
		c.addViolationf("draining backend servers receive no new requests", "%s was executed at %s though sent %v after the server was listed as draining", id, server, a.Sent.Sub(since))
	}
}

// faultFree reports whether at the given time no fault was active and none had
// ended less than Bounds.Recovery before.
func (c *Checker) faultFree(at time.Time) bool {
	return !slices.ContainsFunc(c.faultIntervals, func(f faultInterval) bool {
		return at.After(f.from) && (f.until.IsZero() || at.Before(f.until.Add(c.Bounds.Recovery)))
	})
}

// Refused records a response whose status states that the request was not
// executed.
func (c *Checker) Refused(id string, status int) {
	defer c.lock()()
	c.counts["refused"]++
	c.refused[id] = status
	if c.attempts[id].AtMostOnce && len(c.executions[id]) > 0 {
		c.addViolationf("refused requests are not executed", "%s received status %d and was executed at %v", id, status, c.executions[id])
	}
}

// Interrupted records that a connection ended before the complete response though
// its caller was still waiting. This is a violation if a backend server had begun to
// execute the request, unless an unplanned fault was active, or had ended less than
// Bounds.Recovery before, either when the request was sent or now, or the daemon stops and
// may cut it off.
func (c *Checker) Interrupted(a Attempt) {
	defer c.lock()()
	c.counts["cut off"]++
	now := time.Now()
	if !c.faultFree(a.Sent) || !c.faultFree(now) {
		return
	}
	s, stopping := c.stopBefore(a.Address, now)
	switch {
	case len(c.executions[a.ID]) == 0:
		if stopping {
			c.checkUnread(a, s, now)
		}
	case !stopping:
		c.addViolationf("no executing request is cut off", "%s at %s after %v", a.ID, a.Address, now.Sub(a.Sent))
	case c.excused(a, s, now):
		c.counts["cut off at the end of a grace period"]++
	default:
		c.addViolationf("no executing request is cut off", "%s at %s, sent %v to %v after the stop began, cut off %v after it", a.ID, a.Address, a.Sent.Sub(s.at), a.WholeSent().Sub(s.at), now.Sub(s.at))
	}
}

// Count increments the counter of a kind of event.
func (c *Checker) Count(kind string) {
	defer c.lock()()
	c.counts[kind]++
}

// Draining records that the list reports a backend server as draining since the
// given time.
func (c *Checker) Draining(server string, at time.Time) {
	defer c.lock()()
	c.draining[server] = at
}

// BeginFault records that a fault is active until the returned function is called.
func (c *Checker) BeginFault() func() {
	defer c.lock()()
	c.faultIntervals = append(c.faultIntervals, faultInterval{
		from: time.Now(),
	})
	i := len(c.faultIntervals) - 1
	return func() {
		defer c.lock()()
		c.faultIntervals[i].until = time.Now()
	}
}

// Acknowledged records that a configuration was acknowledged, and which keys it
// revoked.
func (c *Checker) Acknowledged(version uint64, revoked []string, at time.Time) {
	defer c.lock()()
	c.counts["changes"]++
	c.acked = max(c.acked, version)
	c.ackedAt[version] = at
	for _, k := range revoked {
		if _, ok := c.revoked[k]; !ok {
			c.revoked[k] = at
		}
	}
}

// ReadVersion records the version of a configuration that a daemon returned to a
// read sent at the given time.
func (c *Checker) ReadVersion(daemon string, version uint64, sent time.Time) {
	defer c.lock()()
	c.counts["reads"]++
	for acknowledged, at := range c.ackedAt {
		if acknowledged > version && sent.After(at.Add(c.Bounds.Propagate)) {
			c.addViolationf("reads return no outdated configuration", "%s returned version %d, but version %d was acknowledged %v before the read", daemon, version, acknowledged, sent.Sub(at))
			return
		}
	}
}

// NewestAcknowledged returns the highest acknowledged version.
func (c *Checker) NewestAcknowledged() uint64 {
	defer c.lock()()
	return c.acked
}

// Violations returns the violations found so far, each as guarantee and details.
func (c *Checker) Violations() []string {
	defer c.lock()()
	return slices.Clone(c.violations)
}

// Counts returns a copy of the event counters.
func (c *Checker) Counts() map[string]int {
	defer c.lock()()
	out := make(map[string]int, len(c.counts))
	for k, n := range c.counts {
		out[k] = n
	}
	return out
}
