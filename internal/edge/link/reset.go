package link

// This file defines ResetUnsent.

import (
	"context"
	"net"

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
			return resettingConn{tcp}, nil
		}
		return nc, nil
	}
}

// resettingConn is a connection that is reset if it is closed while a part of what was written to
// it is unsent.
type resettingConn struct{ *net.TCPConn }

// Close implements net.Conn.
func (c resettingConn) Close() error {
	if c.hasUnsent() {
		_ = c.SetLinger(0) // it fails if the connection is closed already
	}
	return c.TCPConn.Close()
}

// hasUnsent reports whether the kernel holds bytes that it has not sent yet.
func (c resettingConn) hasUnsent() bool {
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
