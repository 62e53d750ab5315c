// Package backend sends requests to backend servers over HTTP/1.1.
//
// It manages its own connections instead of using http.Transport, because the
// transport retries a request by itself when a reused connection turns out to
// be closed. For a request that may run at most once, that retry could be a
// second execution. This package writes each request to one connection, once,
// and its error states whether any byte may have been sent. A connection
// returns to the pool only after its response was read to the last byte,
// nothing followed it, and the caller has found it complete: a server stops
// when its connection is closed.
//
// A connection carries each request ID once. A server may send a response once more,
// late, so that a response proves something about a request only if no earlier response
// on its connection can have had the same ID.
package backend

// This file defines Pool and how it opens, reuses and closes connections.

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge/link"
)

const (
	// maxIdle is the maximum number of idle connections per address.
	maxIdle = 8
	// defaultIdleTimeout is how long an idle connection may be reused when the
	// backend server sent no Keep-Alive timeout.
	defaultIdleTimeout = 700 * time.Millisecond
	// idleMargin is subtracted from a backend server's Keep-Alive timeout, so
	// that no request is written to a connection the server is about to close.
	idleMargin = 800 * time.Millisecond
	// maxRequests is how many requests a connection carries. It bounds the memory for their
	// IDs.
	maxRequests = 512
	// maxKeepAlive is the longest Keep-Alive timeout that is read; a longer one counts as
	// this long.
	maxKeepAlive = time.Hour
	// connectTimeout bounds the dialing of a connection.
	connectTimeout = 450 * time.Millisecond
	// acceptTimeout bounds the check whether a server accepts connections.
	acceptTimeout = 100 * time.Millisecond
	// answerTimeout bounds the wait for the answer to a probe on an open connection, silenceTimeout
	// the wait for the first byte on a new connection after which its server counts as silent.
	answerTimeout  = 300 * time.Millisecond
	silenceTimeout = 500 * time.Millisecond
	readBufferSize = 8 << 10
)

// Pool is a pool of idle connections to backend servers. Only Now must be set.
type Pool struct {
	// Now returns the time of a clock that includes system suspend, as
	// boottime.Clock does.
	Now func() time.Duration
	// OnConnection is called with the outcome of each new connection; it may be nil. Attempts to
	// open one that their request gave up within acceptTimeout are left out.
	OnConnection func(Outcome)
	// OnSilence is called when the first byte of a response on a new connection, whose attempt was
	// begun at a time by Now, has not come within silenceTimeout; it may be nil.
	OnSilence func(address string, begun time.Duration)

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	address string
	// begun is when the attempt to open the connection was begun, by Pool.Now.
	begun time.Duration
	// answered is true once a byte of a response has come.
	answered bool
	r        *bufio.Reader
	// limit is the source of r.
	limit *limitedReader
	// expiry is the time, by Pool.Now, after which an idle connection is not reused.
	expiry time.Duration
	// reused is set when the connection first returns to the pool.
	reused bool
	// requests holds the requests that were written to the connection.
	requests history
	// written receives the result of writing the body of the last request, if it was long; nil
	// if it was written before the response was read.
	written <-chan error
}

// get returns an idle connection to address that has neither expired nor been
// closed by the server, and has not carried the request before, or dials a new one. A
// request without an ID gets a new one.
func (p *Pool) get(ctx context.Context, address, id string) (*conn, error) {
	if id == "" {
		return p.dial(ctx, address)
	}
	for {
		c := p.popIdle(address, id)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.expiry > p.Now() && c.isIdle() {
			return c, nil
		}
		c.Close()
	}
}

// Accepts reports whether the server at address accepts a new connection. It is meant for a server
// that has just broken a connection: one that is down refuses the next. It does not show that the
// server is reached, as something on the way may accept the connection; see Probe. For the same
// reason the connection is not kept for a request, which would be lost on it.
func (p *Pool) Accepts(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// popIdle removes the connection that became idle last from the pool, of those to address that
// have not carried the request before, and returns it; nil if there is none.
func (p *Pool) popIdle(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !c.requests.contains(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	begun := p.Now()
	limited, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	nc, err := link.ResetUnsent(link.Dialer())(limited, "tcp", address)
	if err != nil {
		if ctx.Err() == nil || p.Now()-begun >= acceptTimeout {
			p.report(Outcome{
				Address: address,
				Begun:   begun,
				Err:     err,
			})
		}
		return nil, fault.Wrap(fault.Unreachable, address, err)
	}
	limit := &limitedReader{
		source: nc,
	}
	return &conn{
		Conn:    nc,
		address: address,
		begun:   begun,
		r:       bufio.NewReaderSize(limit, readBufferSize),
		limit:   limit,
	}, nil
}

// put returns a connection to the pool and reports whether it is kept there; otherwise it is
// closed. idleTimeout is the Keep-Alive timeout of the backend server, or negative if it sent
// none.
func (p *Pool) put(c *conn, idleTimeout time.Duration) (kept bool) {
	if idleTimeout < 0 {
		idleTimeout = defaultIdleTimeout
	} else {
		idleTimeout -= idleMargin
	}
	if idleTimeout <= 0 || c.r.Buffered() > 0 || c.requests.len() >= maxRequests {
		c.Close()
		return false
	}
	c.reused = true
	c.expiry = p.Now() + idleTimeout
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
	return true
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep() {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		unexpired := list[:0]
		for _, c := range list {
			if c.expiry > now {
				unexpired = append(unexpired, c)
			} else {
				c.Close()
			}
		}
		if len(unexpired) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = unexpired
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

// isIdle reports whether a pooled connection is still open and has no bytes to
// read. Bytes that arrive between requests belong to no response, so a
// connection that has received some must not be reused.
func (c *conn) isIdle() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = rerr == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, at most
// maxKeepAlive, or a negative duration if there is none. Other parameters are skipped.
func keepAliveTimeout(header string) time.Duration {
	parameters := strings.FieldsFunc(header, func(r rune) bool { return r == ',' || r == ';' })
	for _, parameter := range parameters {
		name, value, _ := strings.Cut(parameter, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.Trim(value, ` "`), 64)
		if err == nil && seconds >= 0 {
			return time.Duration(min(seconds, maxKeepAlive.Seconds()) * float64(time.Second))
		}
	}
	return -1
}
