// Package link opens and accepts the TCP connections of a process, with
// timeouts that detect an unresponsive peer within seconds.
//
// A machine that lost power or is behind a network partition sends nothing, and
// by default an open connection to it hangs for minutes until the kernel closes
// it. Here a connection fails when sent bytes stay unacknowledged for
// UserTimeout, and keep-alive probes detect the loss of an idle connection's
// peer.
package link

// This file defines Dialer, Listen, HTTPClient and the options of gRPC connections and
// servers.

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
)

const (
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails (TCP_USER_TIMEOUT).
	UserTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure TCP keep-alive.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// minRedialDelay and maxRedialDelay bound the backoff of a gRPC connection.
	// They are short because instances that start at the same time may try to
	// connect before the other side listens.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 400 * time.Millisecond
	// connectTimeout is the minimum time gRPC allows a connection attempt.
	connectTimeout = 700 * time.Millisecond
	// handshakeTimeout is how long a gRPC server waits for the first bytes of a connection.
	handshakeTimeout = 5 * time.Second
	// dialTimeout and keepAliveInterval are those of http.DefaultTransport.
	dialTimeout       = 30 * time.Second
	keepAliveInterval = 30 * time.Second
)

// grpcBufferBytes is the size of the read and the write buffer of a gRPC connection.
// Messages are small, and an instance may have a connection from every other one.
const grpcBufferBytes = 4 << 10

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     probeIdle,
	Interval: probeInterval,
	Count:    probeCount,
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. It is used as the Control
// function of net.Dialer and net.ListenConfig.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// Dialer returns a dialer whose connections fail soon after the peer stops
// responding.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Control:         setUserTimeout,
		KeepAliveConfig: keepAlive,
	}
}

// MaxHeaderBytes is the largest response head that is read from another system, in bytes. A
// faulty one may send a head without end.
const MaxHeaderBytes = 64 << 10

// HTTPClient returns an HTTP client that limits the heads of responses to MaxHeaderBytes. Its
// connections are those of ResetUnsent.
func HTTPClient() *http.Client {
	transport := &http.Transport{}
	if t, ok := http.DefaultTransport.(*http.Transport); ok {
		transport = t.Clone()
	}
	transport.MaxResponseHeaderBytes = MaxHeaderBytes
	transport.DialContext = ResetUnsent(&net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: keepAliveInterval,
	})
	return &http.Client{
		Transport: transport,
	}
}

// UnpooledHTTPClient returns an HTTP client like HTTPClient whose requests each have a connection of
// their own. It is for responses that do not name their request and are acted on: on a kept
// connection, a late copy of an earlier response could be taken for the next one.
func UnpooledHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            Dialer().DialContext,
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: MaxHeaderBytes,
		},
	}
}

// Listen listens on a TCP address; accepted connections fail soon after the peer
// stops responding.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{
		Control:         setUserTimeout,
		KeepAliveConfig: keepAlive,
	}
	return lc.Listen(context.Background(), "tcp", address)
}

// GRPCDialOptions returns the dial options that all gRPC connections share,
// followed by opts. Where both set the same option, opts takes precedence.
func GRPCDialOptions(opts ...grpc.DialOption) []grpc.DialOption {
	return append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(grpcBufferBytes),
		grpc.WithWriteBufferSize(grpcBufferBytes),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return Dialer().DialContext(ctx, "tcp", address)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  minRedialDelay,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   maxRedialDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
	}, opts...)
}

// Compressed returns a call option that compresses the request, and so the response. It is for
// messages with a whole rule file or its source, which take seconds on a slow link otherwise.
func Compressed() grpc.CallOption { return grpc.UseCompressor(gzip.Name) }

// GRPCServer returns a gRPC server with the options that all servers share, followed by
// opts.
func GRPCServer(opts ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append([]grpc.ServerOption{
		grpc.ReadBufferSize(grpcBufferBytes),
		grpc.WriteBufferSize(grpcBufferBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
	}, opts...)...)
}
