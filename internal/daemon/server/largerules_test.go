package server

// This file tests how an instance without a replica reads and replaces a large configuration.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/replica"
	"camphorspoke/internal/edge/controlclient"
	"camphorspoke/internal/edge/controlserver"
	"camphorspoke/internal/edge/link"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// smallLinkMbps is the link of a small instance.
	smallLinkMbps = 7
	// operatorPatience is how long an operator waits for a response.
	operatorPatience = time.Second
)

// slowConn is a connection that carries smallLinkMbps in each direction.
type slowConn struct {
	net.Conn
}

// slowChunk is the largest number of bytes that a slow connection carries at once.
const slowChunk = 8 << 10

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), slowChunk)])
	time.Sleep(transferTime(n))
	return n, err
}

func (c slowConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, err := c.Conn.Write(b[written:min(len(b), written+slowChunk)])
		written += n
		time.Sleep(transferTime(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) * 8 / smallLinkMbps * float64(time.Microsecond))
}

// slowLink is a link to the control group: a listener, and a dialer that connects to it.
type slowLink struct {
	pipeListener
}

func newSlowLink() *slowLink {
	return &slowLink{
		pipeListener: pipeListener{
			conns:  make(chan net.Conn),
			closed: make(chan struct{}),
		},
	}
}

func (l *slowLink) dial(ctx context.Context, _ string) (net.Conn, error) {
	own, other := net.Pipe()
	select {
	case l.conns <- other:
		return slowConn{
			Conn: own,
		}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// unreachablePeers reaches no other replica.
type unreachablePeers struct{}

var _ control.Transport = unreachablePeers{}

func (unreachablePeers) Send(string, *pb.RaftMessage) {}

func (unreachablePeers) State(context.Context, string) (*pb.ReplicaStateResponse, error) {
	return nil, fault.New(fault.NoQuorum, "test", "no other replica")
}

func (unreachablePeers) Form(context.Context, string, *pb.FormRequest) (*pb.FormResponse, error) {
	return nil, fault.New(fault.NoQuorum, "test", "no other replica")
}

// emptyPlatform lists no servers.
type emptyPlatform struct{}

func (emptyPlatform) List(context.Context) ([]*pb.ListedServer, error) { return nil, nil }

// newSmallInstance returns the entry of an instance without a replica, whose link to the control group,
// of one replica, is slow.
func newSmallInstance(t *testing.T) *entry {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	const address = "127.0.0.1:1"
	begin := time.Now()
	l := newSlowLink()
	r, stopReplica, err := replica.Start(replica.Config{
		Name:    "r1",
		Address: address,
		DataDir: t.TempDir(),
		Peers: map[string]string{
			"r1": address,
		},
		Transport: unreachablePeers{},
		Logger:    log,
		Checker:   &invariant.Checker{},
		Now:       func() time.Duration { return time.Since(begin) },
	})
	require.NoError(t, err)
	t.Cleanup(stopReplica)
	m, stopManager := manager.Start(manager.Config{
		Replica:          r,
		Platform:         emptyPlatform{},
		Logger:           log,
		Checker:          &invariant.Checker{},
		WithoutOwnership: true,
	})
	t.Cleanup(stopManager)
	s := link.GRPCServer()
	pb.RegisterControlServiceServer(s, &controlserver.Server{
		Name:    "r1",
		Replica: r,
		Manager: m,
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	require.Eventually(t, r.Leads, 10*time.Second, time.Millisecond)
	client, closeClient := controlclient.New([]string{address}, grpc.WithContextDialer(l.dial))
	t.Cleanup(closeClient)
	return &entry{
		instance: &instance{
			control: client,
			log:     log,
		},
	}
}

// largeConfiguration returns the rules and the document of a configuration with a number of routes.
func largeConfiguration(routes int) (rules, document []byte) {
	rng := rand.New(rand.NewPCG(1, 2))
	name := func(n int) string {
		var b strings.Builder
		for range n {
			b.WriteByte("abcdefghijklmnopqrstuvwxyz0123456789"[rng.IntN(36)])
		}
		return b.String()
	}
	var text, source strings.Builder
	text.WriteString("service s type=plain # t: t\n")
	source.WriteString(`{"version":1,"services":[{"name":"s"}],"routes":[`)
	for i := range routes {
		route, prefix := name(7), name(7)
		fmt.Fprintf(&text, "route r-%s host=ficu95.example prefix=/%s/ kind=safe to=s timeout=800ms objective=150ms attempts=2 # operator: by the configuration\n", route, prefix)
		if i > 0 {
			source.WriteByte(',')
		}
		fmt.Fprintf(&source, `{"name":"r-%s","host":"ficu95.example","pathPrefix":"/%s/","kind":"safe","timeoutMs":800,"objectiveMs":150,"priority":2,"service":"s","attempts":2,"public":false,"sessionAffinity":false,"resumeStreams":false,"gapObjectiveMs":0}`, route, prefix)
	}
	source.WriteString("]}")
	return []byte(text.String()), []byte(source.String())
}

// TestLargeConfigurationIsReadBackThroughSmallInstance: a configuration of some thousand routes is
// larger than what the link of a small instance carries in the time for a read. An operator that asked
// such an instance got no configuration, or no acknowledgement, however often it asked.
func TestLargeConfigurationIsReadBackThroughSmallInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newSmallInstance(t)
		rules, document := largeConfiguration(4240)
		begun := time.Now()
		require.NoError(t, e.Replace(t.Context(), 1, rules, document))
		replaced := time.Since(begun)
		for range 3 {
			begun = time.Now()
			revision, source, err := e.Source(t.Context())
			require.NoError(t, err)
			require.Less(t, time.Since(begun), operatorPatience)
			require.EqualValues(t, 1, revision)
			require.Equal(t, document, source)
		}
		require.Less(t, replaced, operatorPatience)
	})
}
