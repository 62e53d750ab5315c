// Package traffic counts the bytes of control traffic. It counts all bytes sent and
// received on a TCP connection, including framing and keepalive messages.
package traffic

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

// Counter counts bytes by kind of traffic. The zero value is ready to use.
type Counter struct {
	mu     sync.Mutex
	counts map[string]*atomic.Uint64
}

// counter returns the byte counter of a kind of traffic.
func (c *Counter) counter(name string) *atomic.Uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]*atomic.Uint64)
	}
	if c.counts[name] == nil {
		c.counts[name] = &atomic.Uint64{}
	}
	return c.counts[name]
}

// Bytes returns the total of bytes sent and received, by kind of traffic.
func (c *Counter) Bytes() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.counts))
	for k, v := range c.counts {
		out[k] = v.Load()
	}
	return out
}

// conn adds the bytes read and written to a counter.
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

// dial returns a dial function whose connections are counted under kind.
func (c *Counter) dial(kind string) func(context.Context, string, string) (net.Conn, error) {
	count := c.counter(kind)
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

// DialOption returns a gRPC dial option whose connections are counted under kind.
func (c *Counter) DialOption(kind string) grpc.DialOption {
	dial := c.dial(kind)
	return grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
		return dial(ctx, "tcp", addr)
	})
}

// HTTPClient returns an HTTP client whose connections are counted under kind.
func (c *Counter) HTTPClient(kind string) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            c.dial(kind),
			MaxIdleConnsPerHost:    2,
			MaxResponseHeaderBytes: link.MaxHeaderBytes,
		},
	}
}

// listener counts the bytes of the connections that it accepts.
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

// Listener wraps l so that the connections it accepts are counted under kind.
func (c *Counter) Listener(l net.Listener, kind string) net.Listener {
	return listener{
		Listener: l,
		count:    c.counter(kind),
	}
}
