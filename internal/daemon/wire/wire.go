// Package wire counts control traffic as it stands on the wire: every byte of
// a counted connection, framing and keepalives included.
package wire

// This file defines Counter.

import (
	"camphorspoke/internal/edge/link"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"
)

// Counter counts bytes by kind of traffic; the zero value works.
type Counter struct {
	mu    sync.Mutex
	kinds map[string]*atomic.Uint64
}

func (c *Counter) kind(name string) *atomic.Uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kinds == nil {
		c.kinds = make(map[string]*atomic.Uint64)
	}
	if c.kinds[name] == nil {
		c.kinds[name] = &atomic.Uint64{}
	}
	return c.kinds[name]
}

// Bytes returns the bytes sent and received so far, by kind.
func (c *Counter) Bytes() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.kinds))
	for k, v := range c.kinds {
		out[k] = v.Load()
	}
	return out
}

type conn struct {
	net.Conn
	count *atomic.Uint64
}

func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.Add(uint64(n))
	return n, err
}

func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.Add(uint64(n))
	return n, err
}

func (c *Counter) dial(kind string) func(context.Context, string, string) (net.Conn, error) {
	count := c.kind(kind)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := link.Dialer().DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return conn{
			Conn:  nc,
			count: count,
		}, nil
	}
}

// GRPC returns a dial option that counts under kind.
func (c *Counter) GRPC(kind string) grpc.DialOption {
	dial := c.dial(kind)
	return grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
		return dial(ctx, "tcp", addr)
	})
}

// HTTP returns a client that counts under kind.
func (c *Counter) HTTP(kind string) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         c.dial(kind),
			MaxIdleConnsPerHost: 2,
		},
	}
}

type listener struct {
	net.Listener
	count *atomic.Uint64
}

func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{
		Conn:  nc,
		count: l.count,
	}, nil
}

// Listener counts the connections that l accepts under kind.
func (c *Counter) Listener(l net.Listener, kind string) net.Listener {
	return listener{
		Listener: l,
		count:    c.kind(kind),
	}
}
