// Package connguard protects an HTTP server from clients that nobody controls.
//
// A Guard wraps the listener and the handler of one http.Server. It counts what each
// connection has sent before its head is complete, refuses a head above the limits in force
// with 431, bounds the time for a head and for the progress of a body, and closes
// connections by the decisions of connlimit.Budget. net/http keeps the fields of a head in
// maps as they arrive, so that the memory of a head depends on its lines more than on its
// bytes; both are counted.
//
// A Guard needs no goroutine of its own, and one lock for each read of a head or a body.
package connguard

// This file defines Guard and Limits.

import (
	"net"
	"net/http"
	"sync"
	"time"

	"camphorspoke/internal/routing/connlimit"
)

const (
	// ConnectionBytes is the memory of a connection that has served a request and is idle,
	// in bytes, with the goroutine and the buffers of net/http.
	ConnectionBytes = 40 << 10
	// byteCost and lineCost are the memory, in bytes, that a byte and a line of a head take
	// in net/http while the head is read.
	byteCost = 2
	lineCost = 128
	// shortestLine is the length of the shortest field of a head with its line end, in bytes.
	shortestLine = 3
	// maxHeaderBytes is the largest head that net/http reads at all; the limit in force,
	// which may change, is kept by the guard.
	maxHeaderBytes = 1 << 20
	// minHeadLimit and defaultHeadLimit are the limit of a head, in bytes, at least and
	// without a configuration.
	minHeadLimit     = 32 << 10
	defaultHeadLimit = 64 << 10
	// marginFactor is how many times the configured limits of bytes and time are allowed.
	marginFactor = 2
	// defaultHeadTime, defaultBodyTime and defaultIdleTime apply without a configuration.
	defaultHeadTime = 10 * time.Second
	defaultBodyTime = 10 * time.Second
	defaultIdleTime = time.Minute
	// maxWait is how long a head or a body waits for memory, waitInterval the longest time
	// between two attempts.
	maxWait      = time.Second
	waitInterval = 250 * time.Millisecond
	// acceptPause is the time between two looks for room for a new connection.
	acceptPause = 10 * time.Millisecond
	// minTime is the shortest time for a head or for progress of a body.
	minTime = 2 * time.Second
)

// The reasons for which a connection is closed.
const (
	// ReasonFull: there was no room for another connection.
	ReasonFull = "connections"
	// ReasonHeldBytes: heads or bodies of all connections took too much memory.
	ReasonHeldBytes = "memory"
	// ReasonHeadTooLarge: a head had too many bytes or lines.
	ReasonHeadTooLarge = "headTooLarge"
	// ReasonHeadTime and ReasonBodyTime: a head or a part of a body did not arrive in time.
	ReasonHeadTime = "headTime"
	ReasonBodyTime = "bodyTime"
)

// Limits are the limits of one connection.
type Limits struct {
	// HeadBytes is the largest head with what comes before it, HeadLines the most lines.
	HeadBytes int
	HeadLines int
	// HeadTime is the time for a head from its first bytes, BodyTime the longest time
	// without progress of a body, IdleTime the longest time between two requests.
	HeadTime time.Duration
	BodyTime time.Duration
	IdleTime time.Duration
}

// LimitsFor returns the limits for a configured head size, time for a head and idle time;
// zero means that a value is not configured. The limits allow twice the configured values,
// so that no client within them meets a limit.
func LimitsFor(headBytes int, headTime, idleTime time.Duration) Limits {
	l := Limits{
		HeadBytes: defaultHeadLimit,
		HeadLines: defaultHeadLimit / shortestLine,
		HeadTime:  defaultHeadTime,
		BodyTime:  defaultBodyTime,
		IdleTime:  defaultIdleTime,
	}
	if headBytes > 0 {
		l.HeadBytes = min(max(marginFactor*headBytes, minHeadLimit), maxHeaderBytes)
		l.HeadLines = max(headBytes, minHeadLimit/marginFactor) / shortestLine
	}
	if headTime > 0 {
		l.HeadTime = max(marginFactor*headTime, minTime)
		l.BodyTime = l.HeadTime
	}
	if idleTime > 0 {
		l.IdleTime = marginFactor * idleTime
	}
	return l
}

// Guard protects one server. Its fields must not change once it is in use.
type Guard struct {
	// Limits returns the limits in force; it is called for each request.
	Limits func() Limits
	// CountBodies makes bodies count as memory that connections hold. It is off where the
	// handler limits the memory of bodies itself.
	CountBodies bool
	// Now returns the time on a monotonic clock.
	Now func() time.Duration
	// OnClose is called for each connection that a limit closes, with the reason; it may be
	// nil.
	OnClose func(reason string)
	// Budget decides; mu guards it.
	Budget connlimit.Budget

	mu sync.Mutex
	// released is closed, and replaced, when a connection ends; nil if nobody waits. Memory
	// that an idle connection releases is found by the next poll.
	released chan struct{}
}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Budget.Open()
}

// Protect prepares a server, whose handler is set, for serving on Listener.
func (g *Guard) Protect(s *http.Server) {
	s.MaxHeaderBytes = maxHeaderBytes
	// Each connection replaces these two by the limits in force.
	s.ReadHeaderTimeout = defaultHeadTime
	s.IdleTimeout = defaultIdleTime
	s.ConnState = g.onState
	s.ConnContext = withConn
	s.Handler = &handler{
		next: s.Handler,
	}
}

// Listener returns a listener that accepts the connections of l.
func (g *Guard) Listener(l net.Listener) net.Listener {
	return &listener{
		Listener: l,
		guard:    g,
		closed:   make(chan struct{}),
	}
}

// listener accepts connections within the budget.
type listener struct {
	net.Listener
	guard *Guard
	// closed is closed by the first Close.
	closed    chan struct{}
	closeOnce sync.Once
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// awaitRoom delays the next connection while there is no room but that of very new ones.
// Further connections wait in the backlog of the kernel.
func (l *listener) awaitRoom() {
	for l.guard.delay() > 0 {
		select {
		case <-time.After(acceptPause):
		case <-l.closed:
			return
		}
	}
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.awaitRoom()
		if c := l.guard.add(nc); c != nil {
			return c, nil
		}
	}
}

func (g *Guard) delay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Budget.Delay(g.Now())
}

// add returns the guarded connection; nil if there is no room for it.
func (g *Guard) add(nc net.Conn) *conn {
	address, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		address = nc.RemoteAddr().String()
	}
	c := &conn{
		Conn:   nc,
		guard:  g,
		limits: g.Limits(),
	}
	c.readingHead.Store(true)
	g.mu.Lock()
	account, victim := g.Budget.Add(g.Now(), address)
	if account != nil {
		c.account = account
		account.Owner = nc
	}
	g.mu.Unlock()
	if account == nil {
		_ = nc.Close()
		g.report(ReasonFull)
		return nil
	}
	if victim != nil {
		g.closeVictim(victim, ReasonFull)
	}
	return c
}

func (g *Guard) closeVictim(victim *connlimit.Conn, reason string) {
	// The reader of the connection removes it from the budget when it has ended.
	_ = victim.Owner.Close()
	g.report(reason)
}

// hold counts memory that a connection is about to take, and reports whether it may go on. It
// waits for a short time if there is no room.
func (g *Guard) hold(c *conn, bytes int) bool {
	start := g.Now()
	for {
		v, changed := g.tryHold(c, bytes)
		switch {
		case v == connlimit.Granted:
			return true
		case v == connlimit.Closed || g.Now()-start >= maxWait:
			return false
		}
		select {
		case <-changed:
		case <-time.After(waitInterval):
		}
	}
}

// tryHold asks the budget once. The channel is closed when memory becomes free.
func (g *Guard) tryHold(c *conn, bytes int) (connlimit.Verdict, <-chan struct{}) {
	g.mu.Lock()
	if c.account.Phase() == connlimit.Idle {
		g.Budget.Enter(g.Now(), c.account, connlimit.Head)
	}
	victims, v := g.Budget.Hold(g.Now(), c.account, bytes)
	if g.released == nil {
		g.released = make(chan struct{})
	}
	changed := g.released
	g.mu.Unlock()
	for _, victim := range victims {
		g.closeVictim(victim, ReasonHeldBytes)
	}
	return v, changed
}

// report counts a connection that a limit closes.
func (g *Guard) report(reason string) {
	if g.OnClose != nil {
		g.OnClose(reason)
	}
}

func (g *Guard) enter(c *conn, p connlimit.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Budget.Enter(g.Now(), c.account, p)
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	costly := c.account.Costly()
	g.Budget.Remove(c.account)
	if costly && g.released != nil {
		close(g.released)
		g.released = nil
	}
}

// onState follows the state of a connection, as http.Server.ConnState.
func (g *Guard) onState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.readingHead.Store(false)
		g.enter(c, connlimit.Running)
	case http.StateIdle:
		c.limits = g.Limits()
		c.headBytes, c.headLines, c.idle = 0, 0, true
		c.readingHead.Store(true)
		g.enter(c, connlimit.Idle)
	}
}
