package link

// This file defines TrackedListener.

import (
	"net"
	"sync"
)

// TrackedListener keeps track of the connections that it has accepted, so that all of them can be closed
// at the end. A gRPC server that stops waits for connections whose peer has not sent the first bytes,
// and does not close them. The zero value with a Listener is ready.
type TrackedListener struct {
	net.Listener

	mu     sync.Mutex
	open   map[*trackedConn]struct{}
	closed bool
}

// trackedConn is a connection that its listener forgets when it is closed.
type trackedConn struct {
	net.Conn

	listener *TrackedListener
}

// Accept waits for the next connection.
func (l *TrackedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{
		Conn:     nc,
		listener: l,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		nc.Close()
		return c, nil
	}
	if l.open == nil {
		l.open = make(map[*trackedConn]struct{})
	}
	l.open[c] = struct{}{}
	return c, nil
}

// CloseConnections closes all connections, and those that are accepted from now on.
func (l *TrackedListener) CloseConnections() {
	l.mu.Lock()
	l.closed = true
	open := l.open
	l.open = nil
	l.mu.Unlock()
	for c := range open {
		c.Conn.Close()
	}
}

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
