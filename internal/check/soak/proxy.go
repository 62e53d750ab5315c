package soak

// This file defines proxy, through which a backend server is reached.

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"camphorspoke/internal/world/fault"
)

// mode is what a proxy does to the bytes that pass.
type mode int32

const (
	passing mode = iota
	// delaying holds each piece of bytes back for a while.
	delaying
	// silent takes connections and bytes, and passes nothing on.
	silent
	// oneWay passes requests on and drops the answers.
	oneWay
	modes
)

const delayTime = 150 * time.Millisecond

// proxy forwards connections to one address on loopback.
type proxy struct {
	to   string
	l    net.Listener
	mode atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "proxy", err)
	}
	p := &proxy{
		to:    to,
		l:     l,
		conns: make(map[net.Conn]bool),
	}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.l.Addr().String() }

func (p *proxy) set(m mode) { p.mode.Store(int32(m)) }

func (p *proxy) serve() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return // the proxy is closed
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			in.Close()
			continue
		}
		p.keep(in, out)
		go p.forward(out, in, false)
		go p.forward(in, out, true)
	}
}

func (p *proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// forward passes bytes on until one end closes.
func (p *proxy) forward(to, from net.Conn, answers bool) {
	defer func() {
		to.Close()
		from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		m := mode(p.mode.Load())
		if m == delaying {
			time.Sleep(delayTime)
		}
		if n > 0 && m != silent && (m != oneWay || !answers) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return // closed, or reset: the other end is closed too
		}
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close that follows is what counts
		}
		c.Close()
	}
}

func (p *proxy) close() {
	p.l.Close()
	p.reset()
}
