// Package backend sends requests to backend servers over HTTP/1.1.
//
// The connections are the system's own rather than a client library's, because
// a library sends a request again by itself when a kept connection turns out to
// be closed: for a request that runs at most once that would be a second run.
// Here a request is written to one connection once, and the failure says
// whether any byte may have left. A connection goes back to the pool only when
// its answer was read to the last byte and nothing followed it.
package backend

// This file defines Pool and the life of a connection.

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"camphorspoke/internal/edge/link"
	"camphorspoke/internal/world/fault"
)

const (
	// maxIdle is the most idle connections kept to one address.
	maxIdle = 8
	// idleDefault is how long a connection is kept idle where the backend
	// server does not say how long it keeps it.
	idleDefault = 700 * time.Millisecond
	// idleMargin is taken off the time that a backend server states.
	idleMargin = 800 * time.Millisecond
	// connectLimit is the longest wait for a connection.
	connectLimit = 450 * time.Millisecond
	readBuffer   = 8 << 10
)

// Pool keeps connections to backend servers. The zero value works.
type Pool struct {
	// Now is a clock that counts suspensions.
	Now func() time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	address string
	r       *bufio.Reader
	// until is when the connection is no longer used.
	until time.Duration
	used  bool
}

// get returns an idle connection that is still sound, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.until > p.Now() && c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectLimit)
	defer cancel()
	nc, err := link.Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, address, err)
	}
	return &conn{
		Conn:    nc,
		address: address,
		r:       bufio.NewReaderSize(nc, readBuffer),
	}, nil
}

// put keeps a connection for later requests; keep is how long the backend
// server keeps it, below zero when it did not say.
func (p *Pool) put(c *conn, keep time.Duration) {
	if keep < 0 {
		keep = idleDefault
	} else {
		keep -= idleMargin
	}
	if keep <= 0 || c.r.Buffered() > 0 {
		c.Close()
		return
	}
	c.used = true
	c.until = p.Now() + keep
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	list := p.idle[c.address]
	if len(list) >= maxIdle {
		list[0].Close()
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.address] = append(list, c)
}

// Sweep closes connections whose time is over.
func (p *Pool) Sweep() {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.until > now {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(p.idle)
}

// quiet reports whether an idle connection is open and nothing has arrived on
// it: bytes that no request asked for belong to no answer.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = rerr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepTime returns the time in a Keep-Alive header, below zero without one.
func keepTime(header string) time.Duration {
	for word := range strings.SplitSeq(header, ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(word), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.ParseFloat(v, 64); err == nil {
			return time.Duration(s * float64(time.Second))
		}
	}
	return -1
}
