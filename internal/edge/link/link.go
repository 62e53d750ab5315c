// Package link opens the TCP connections of a process, so that each of them
// breaks soon when its other end has gone silent.
//
// A machine without power or behind a partition answers nothing, and an open
// connection to it hangs until the kernel gives up, which takes minutes. Sent
// bytes that stay unacknowledged break a connection after UserTimeout, and
// probes find an idle one whose other end is gone.
package link

// This file defines Dialer, Listen and the options of gRPC connections.

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// UserTimeout is how long sent bytes may stay unacknowledged.
	UserTimeout   = 1500 * time.Millisecond
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// redialFirst and redialMax bound the pause before a gRPC connection is
	// tried again: a process that starts beside its peers finds some of their
	// ports closed.
	redialFirst    = 50 * time.Millisecond
	redialMax      = 400 * time.Millisecond
	connectTimeout = 700 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     probeIdle,
	Interval: probeInterval,
	Count:    probeCount,
}

// setUserTimeout is a Control function of sockets.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// Dialer returns a dialer whose connections break soon after silence.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Control:         setUserTimeout,
		KeepAliveConfig: keepAlive,
	}
}

// Listen listens on address; accepted connections break soon after silence.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{
		Control:         setUserTimeout,
		KeepAliveConfig: keepAlive,
	}
	return lc.Listen(context.Background(), "tcp", address)
}

// GRPC returns the options that all gRPC connections share. Options given later
// go first where both set the same.
func GRPC(opts ...grpc.DialOption) []grpc.DialOption {
	return append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return Dialer().DialContext(ctx, "tcp", address)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  redialFirst,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   redialMax,
			},
			MinConnectTimeout: connectTimeout,
		}),
	}, opts...)
}
