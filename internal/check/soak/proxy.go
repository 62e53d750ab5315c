package soak

// This file defines proxy, which injects network faults between the daemons and a
// backend server.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"camphorspoke/internal/base/fault"
)

// mode is how a proxy treats the bytes that it receives.
type mode int32

const (
	forwarding mode = iota
	// delaying forwards each chunk after forwardDelay.
	delaying
	// blackhole accepts connections and bytes, and forwards nothing.
	blackhole
	// dropResponses forwards requests and drops the responses.
	dropResponses
	modeCount
)

const forwardDelay = 150 * time.Millisecond

// proxy forwards TCP connections from an address on loopback to the target address.
type proxy struct {
	target  string
	address string
	// listener is replaced by refuse; mu guards it.
	listener net.Listener
	mode     atomic.Int32
	// passesResets is true if a connection that the server resets is reset at the other end
	// also.
	passesResets atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	// closed is true once the proxy is closed for good.
	closed bool
}

func newProxy(target, address string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "proxy", err)
	}
	p := &proxy{
		target:   target,
		address:  l.Addr().String(),
		listener: l,
		conns:    make(map[net.Conn]bool),
	}
	go p.serve()
	return p, nil
}

func (p *proxy) setMode(m mode) { p.mode.Store(int32(m)) }

func (p *proxy) serve() {
	l := p.currentListener()
	for {
		client, err := l.Accept()
		if err != nil {
			return // the proxy is closed, or refuses connections
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		p.track(client, server)
		go p.forward(server, client, false)
		go p.forward(client, server, true)
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// forward copies bytes from src to dst according to the mode, until one of them is
// closed; responses is true if src is the backend server.
func (p *proxy) forward(dst, src net.Conn, responses bool) {
	defer func() {
		dst.Close()
		src.Close()
		p.mu.Lock()
		delete(p.conns, dst)
		delete(p.conns, src)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		m := mode(p.mode.Load())
		if m == delaying {
			time.Sleep(forwardDelay)
		}
		if n > 0 && m != blackhole && (m != dropResponses || !responses) {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if p.passesResets.Load() && errors.Is(err, syscall.ECONNRESET) {
				closeWithReset(dst)
			}
			return // closed or reset; the deferred function closes the other connection
		}
	}
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		closeWithReset(c)
	}
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // after an error the connection is closed without a reset
	}
	c.Close()
}

// refuse breaks all connections and refuses others for a time. serve accepts them again.
func (p *proxy) refuse(duration time.Duration) error {
	p.currentListener().Close()
	p.reset()
	time.Sleep(duration)
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return fault.Wrap(fault.Internal, "proxy", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	if p.closed {
		l.Close()
	}
	return nil
}

func (p *proxy) currentListener() net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.listener.Close()
	p.mu.Unlock()
	p.reset()
}
