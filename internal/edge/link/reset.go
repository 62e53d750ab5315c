package link

// This file defines ResetUnsent.

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// ResetUnsent returns a function that dials TCP connections with d. Close resets such a
// connection while a part of what was written to it is unsent. An orderly end would queue behind
// that part: a server that doesn't read on could not see it and would work on, and one that reads
// later would get the whole request. With nothing unsent the end is an orderly one, which the
// kernel repeats if it is lost on the way.
func ResetUnsent(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			return &resettingConn{
				Conn: tcp,
				tcp:  tcp,
			}, nil
		}
		return nc, nil
	}
}

// resettingConn is a connection that is reset if it is closed while a part of what was written to
// it is unsent.
type resettingConn struct {
	net.Conn
	// tcp is Conn. It is not embedded, as its ReadFrom would write past Write.
	tcp *net.TCPConn
	// writing counts the writes in progress. A write either sees that the connection is closed, or
	// Close sees it.
	writing atomic.Int32
	closed  atomic.Bool
}

// SyscallConn implements syscall.Conn.
func (c *resettingConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// Write implements net.Conn.
func (c *resettingConn) Write(b []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *resettingConn) Close() error {
	c.closed.Store(true)
	if c.writing.Load() > 0 || c.hasUnsent() {
		_ = c.tcp.SetLinger(0) // it fails if the connection is closed already
	}
	return c.Conn.Close()
}

// hasUnsent reports whether the kernel holds bytes that it has not sent yet.
func (c *resettingConn) hasUnsent() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unsent := 0
	err = raw.Control(func(fd uintptr) {
		if n, ierr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD); ierr == nil {
			unsent = n
		}
	})
	return err == nil && unsent > 0
}
