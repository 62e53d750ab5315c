package membership_test

// This file tests waiting for a proof of the rules after a start.

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/daemon/membership"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/world/fault"
)

// leader answers heartbeats from a time on.
type leader struct {
	control.Client
	from time.Time
}

func (l leader) Heartbeat(context.Context, *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	if time.Now().Before(l.from) {
		return nil, fault.New(fault.NoQuorum, "control", "no leader yet")
	}
	return &pb.HeartbeatResponse{}, nil
}

func agent(start time.Time, l leader) (*membership.Agent, func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a, stop := membership.New(membership.Config{
		Instance:   "i",
		Control:    l,
		Logger:     log,
		Checker:    &invariant.Checker{},
		Now:        func() time.Duration { return time.Since(start) },
		Loads:      func() []*pb.LoadReport { return nil },
		Learn:      func([]*pb.LoadReport) {},
		Changed:    func(_, _ *view.View) {},
		GiveUp:     func(*pb.Assignment) {},
		LeaderOnly: true,
	})
	a.Start()
	return a, stop
}

// TestAwaitFresh: whoever waits goes on as soon as the leader has answered, and
// does not wait once the outage has lasted.
func TestAwaitFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		a, stop := agent(start, leader{
			from: start.Add(200 * time.Millisecond),
		})
		defer stop()
		require.True(t, a.AwaitFresh(t.Context(), time.Second, 400*time.Millisecond))
		require.Less(t, time.Since(start), 300*time.Millisecond)

		lost := time.Now()
		b, stopLost := agent(lost, leader{
			from: lost.Add(time.Hour),
		})
		defer stopLost()
		require.False(t, b.AwaitFresh(t.Context(), time.Second, 300*time.Millisecond))
		require.Equal(t, 300*time.Millisecond, time.Since(lost))
		time.Sleep(2 * time.Second)
		before := time.Now()
		require.False(t, b.AwaitFresh(t.Context(), time.Second, 300*time.Millisecond))
		require.Zero(t, time.Since(before))
	})
}
