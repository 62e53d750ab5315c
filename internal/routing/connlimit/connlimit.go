// Package connlimit decides which connections of clients one listening address keeps.
//
// Load pattern: clients that nobody controls open connections and send nothing, heads or
// bodies that never end, or heads whose many fields take far more memory than bytes. Each
// connection is cheap for them, while memory and descriptors of the instance are few. A
// Budget bounds the number of connections and the memory of costly heads and bodies. When it
// is full it gives up the connection that loses least: one that has sent no request goes
// before an idle one, an idle one before one whose body is still awaited, the one longest
// without progress first, and one whose request runs is kept. An address that has more than
// its share goes before the others.
package connlimit

// This file defines Budget.

import (
	"container/list"
	"io"
	"time"
)

const (
	// SmallBytes is the memory, in bytes, that every connection may hold; only those that
	// hold more compete for Budget.HeldBytes.
	SmallBytes = 16 << 10
	// ReuseWindow is how long clients reuse an idle connection, four fifths of the
	// 15 s of the known configurations. One that is idle for longer is closed first.
	ReuseWindow = 12 * time.Second
	// StallTime is how long a costly connection may make no progress while others wait for
	// memory.
	StallTime = 500 * time.Millisecond
	// GraceTime is how long a new connection is not closed for a newer one. Its head may have
	// arrived already, and its reader may not have run yet.
	GraceTime = 100 * time.Millisecond
	// maxScan bounds the search for a connection of an address above its share, in
	// connections of each phase.
	maxScan = 64
)

// Phase is what a connection is doing. The order is that in which connections are given up.
type Phase int

// The phases of a connection.
const (
	// Fresh has not sent a whole head yet.
	Fresh Phase = iota
	// Idle has had a response and has sent nothing since.
	Idle
	// Head is sending the head of a further request.
	Head
	// Body has sent a head, and its body is awaited.
	Body
	// Running has sent its request.
	Running
)

// Conn is the account of one connection.
type Conn struct {
	Address string
	// Owner closes the connection.
	Owner io.Closer

	phase Phase
	// progress is when it last sent something or changed its phase.
	progress time.Duration
	held     int
	closed   bool
	// place is its element in the list of its phase, costly that in the list of
	// connections that hold much and may be given up, nil if it is not in that list.
	place  *list.Element
	costly *list.Element
}

// Phase returns what the connection is doing.
func (c *Conn) Phase() Phase { return c.phase }

// Costly reports whether the connection holds more than SmallBytes.
func (c *Conn) Costly() bool { return c.held > SmallBytes }

// Budget is the accounting of one listening address. The zero value has no limits. Its
// methods are not safe for concurrent use.
type Budget struct {
	// Connections is the largest number of connections; zero means no limit.
	Connections int
	// HeldBytes limits the memory that connections above SmallBytes hold together; zero
	// means no limit. One alone may hold more.
	HeldBytes int

	open int
	// phases holds the connections of each phase but Running, the one longest without
	// progress first, and costly those of them that hold more than SmallBytes.
	phases [Running]list.List
	costly list.List
	// costlyBytes is what all connections above SmallBytes hold, closingBytes the part of it
	// of those that were given up.
	costlyBytes  int
	closingBytes int
	byAddress    map[string]int
}

// Open returns the number of open connections.
func (b *Budget) Open() int { return b.open }

// Add adds a connection. If there is no room it returns a connection to close instead, or
// no account at all if every connection has a request running.
func (b *Budget) Add(now time.Duration, address string) (c, victim *Conn) {
	if b.Connections > 0 && b.open >= b.Connections {
		if victim = b.leastNeeded(now); victim == nil {
			return nil, nil
		}
		b.giveUp(victim)
	}
	if b.byAddress == nil {
		b.byAddress = make(map[string]int)
	}
	c = &Conn{
		Address: address,
	}
	b.open++
	b.byAddress[address]++
	b.enter(now, c, Fresh)
	return c, victim
}

// Delay returns for how long a new connection should wait, as there is no room for it and the
// one to close instead is so new that its request may not have been read yet.
func (b *Budget) Delay(now time.Duration) time.Duration {
	if b.Connections == 0 || b.open < b.Connections {
		return 0
	}
	c := b.leastNeeded(now)
	if c == nil || c.phase != Fresh {
		return 0
	}
	return max(c.progress+GraceTime-now, 0)
}

// leastNeeded returns the connection that is given up first, nil if all have a request
// running.
func (b *Budget) leastNeeded(now time.Duration) *Conn {
	if c := b.aboveShare(); c != nil {
		return c
	}
	if c := front(&b.phases[Idle]); c != nil && now-c.progress > ReuseWindow {
		return c
	}
	for p := range b.phases {
		if c := front(&b.phases[p]); c != nil {
			return c
		}
	}
	return nil
}

// aboveShare returns a connection of an address that has more than its share, nil if there
// is none or only one address.
func (b *Budget) aboveShare() *Conn {
	if len(b.byAddress) < 2 {
		return nil
	}
	share := b.Connections / len(b.byAddress)
	for p := range b.phases {
		scanned := 0
		for e := b.phases[p].Front(); e != nil && scanned < maxScan; e = e.Next() {
			if c := e.Value.(*Conn); b.byAddress[c.Address] > share {
				return c
			}
			scanned++
		}
	}
	return nil
}

func front(l *list.List) *Conn {
	if e := l.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// Enter changes the phase of a connection. What it holds is released when it becomes idle.
func (b *Budget) Enter(now time.Duration, c *Conn, p Phase) {
	if c.closed {
		return
	}
	b.leave(c)
	if p == Idle {
		b.release(c)
	}
	b.enter(now, c, p)
}

// Verdict is the answer to a connection that wants to hold more memory.
type Verdict int

// The verdicts.
const (
	// Granted means that the memory is counted as held.
	Granted Verdict = iota
	// Wait means that there is no room now; the same call may be granted later.
	Wait
	// Closed means that the connection was given up.
	Closed
)

// Hold asks for memory that a connection is about to take. It also returns the connections
// to close so that there is room soon: those above SmallBytes that have not made progress
// for StallTime. What they hold counts until Remove.
func (b *Budget) Hold(now time.Duration, c *Conn, bytes int) (victims []*Conn, v Verdict) {
	if c.closed {
		return nil, Closed
	}
	held := c.costlyBytes()
	if c.held+bytes > SmallBytes && b.HeldBytes > 0 {
		total := b.costlyBytes - held + c.held + bytes
		for total-b.closingBytes > b.HeldBytes {
			victim := b.stalled(now, c)
			if victim == nil {
				break
			}
			b.giveUp(victim)
			victims = append(victims, victim)
		}
		if b.costlyBytes > held && total > b.HeldBytes {
			return victims, Wait
		}
	}
	c.held += bytes
	b.costlyBytes += c.costlyBytes() - held
	b.advance(now, c)
	return victims, Granted
}

// advance moves a connection that made progress to the end of its lists.
func (b *Budget) advance(now time.Duration, c *Conn) {
	c.progress = now
	if c.place != nil {
		b.phases[c.phase].MoveToBack(c.place)
	}
	switch {
	case c.costly != nil:
		b.costly.MoveToBack(c.costly)
	case c.place != nil && c.Costly():
		c.costly = b.costly.PushBack(c)
	}
}

// costlyBytes returns what a connection holds if that is above SmallBytes, else zero.
func (c *Conn) costlyBytes() int {
	if !c.Costly() {
		return 0
	}
	return c.held
}

// stalled returns the costly connection other than c that is longest without progress, nil
// if all have made progress within StallTime or have a request running.
func (b *Budget) stalled(now time.Duration, c *Conn) *Conn {
	for e := b.costly.Front(); e != nil; e = e.Next() {
		other := e.Value.(*Conn)
		if now-other.progress < StallTime {
			return nil
		}
		if other != c {
			return other
		}
	}
	return nil
}

// giveUp takes a connection out of all lists. What it holds counts until Remove, as its
// memory is freed only once its reader has ended.
func (b *Budget) giveUp(c *Conn) {
	b.leave(c)
	c.closed = true
	b.closingBytes += c.costlyBytes()
	b.open--
	if b.byAddress[c.Address]--; b.byAddress[c.Address] == 0 {
		delete(b.byAddress, c.Address)
	}
}

// Remove removes a connection whose memory is free. It does nothing the second time.
func (b *Budget) Remove(c *Conn) {
	if !c.closed {
		b.giveUp(c)
	}
	b.closingBytes -= c.costlyBytes()
	b.release(c)
}

func (b *Budget) release(c *Conn) {
	b.costlyBytes -= c.costlyBytes()
	c.held = 0
}

// enter puts a connection at the end of the lists of its phase.
func (b *Budget) enter(now time.Duration, c *Conn, p Phase) {
	c.phase, c.progress = p, now
	if p == Running {
		return
	}
	c.place = b.phases[p].PushBack(c)
	if c.Costly() {
		c.costly = b.costly.PushBack(c)
	}
}

func (b *Budget) leave(c *Conn) {
	if c.place != nil {
		b.phases[c.phase].Remove(c.place)
		c.place = nil
	}
	if c.costly != nil {
		b.costly.Remove(c.costly)
		c.costly = nil
	}
}
