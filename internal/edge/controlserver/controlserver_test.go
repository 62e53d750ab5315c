package controlserver_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/boottime"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/replica"
	"camphorspoke/internal/edge/controlserver"
	"camphorspoke/internal/edge/status"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// noTransport reaches no other replica.
type noTransport struct{}

var _ control.Transport = noTransport{}

func (noTransport) Send(string, *pb.RaftMessage) {}

func (noTransport) State(context.Context, string) (*pb.ReplicaStateResponse, error) {
	return nil, fault.New(fault.NoQuorum, "test", "no other replica")
}

func (noTransport) Form(context.Context, string, *pb.FormRequest) (*pb.FormResponse, error) {
	return nil, fault.New(fault.NoQuorum, "test", "no other replica")
}

// TestHeartbeatWaitsForLeader: a replica that knows no leader delays its answer to a
// heartbeat, and does not wait longer than the caller.
func TestHeartbeatWaitsForLeader(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, stop, err := replica.Start(replica.Config{
		Name:    "r1",
		Address: "r1:1",
		DataDir: t.TempDir(),
		Peers: map[string]string{
			"r1": "r1:1",
			"r2": "r2:1",
		},
		Transport: noTransport{},
		Logger:    log,
		Checker:   &invariant.Checker{},
		Now:       boottime.New().Now,
	})
	require.NoError(t, err)
	defer stop()
	m, stopManager := manager.Start(manager.Config{
		Replica:          r,
		Logger:           log,
		WithoutOwnership: true,
	})
	defer stopManager()
	s := &controlserver.Server{
		Name:    "r1",
		Replica: r,
		Manager: m,
	}
	heartbeat := func(timeout time.Duration) time.Duration {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		start := time.Now()
		_, err := s.Heartbeat(ctx, &pb.HeartbeatRequest{
			Instance: "i",
		})
		failure, ok := status.ToFault(err)
		require.True(t, ok)
		require.Equal(t, fault.NotLeader, failure.Kind)
		return time.Since(start)
	}
	require.GreaterOrEqual(t, heartbeat(5*time.Second), 200*time.Millisecond)
	require.Less(t, heartbeat(30*time.Millisecond), 200*time.Millisecond)
}
