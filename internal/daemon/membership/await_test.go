package membership_test

// This file tests AwaitFresh after the start of an agent.

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/daemon/membership"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// leader is a control client whose heartbeats succeed from availableFrom on.
type leader struct {
	control.Client
	availableFrom time.Time
	// tablesFrom is when the replicas begin to serve the tables.
	tablesFrom time.Time
}

func (l leader) Heartbeat(context.Context, *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	if time.Now().Before(l.availableFrom) {
		return nil, fault.New(fault.NoQuorum, "control", "no leader elected")
	}
	return &pb.HeartbeatResponse{
		Index:        l.index(),
		TablesBehind: !l.tablesFrom.IsZero(),
	}, nil
}

// index returns the index of a heartbeat answer, which is zero if the rows have to be
// read with Tables.
func (l leader) index() uint64 {
	if l.tablesFrom.IsZero() {
		return 1
	}
	return 0
}

func (l leader) Tables(context.Context, *pb.TablesRequest) (*pb.TablesResponse, error) {
	if !l.tablesFrom.IsZero() && !time.Now().Before(l.tablesFrom) {
		return &pb.TablesResponse{
			Index: 1,
		}, nil
	}
	return nil, fault.New(fault.NoQuorum, "control", "no replica has rows")
}

// startAgent starts an agent whose clock reads zero at start.
func startAgent(start time.Time, l leader) (*membership.Agent, func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a, stop := membership.New(membership.Config{
		Instance:     "i",
		Control:      l,
		Logger:       log,
		Checker:      &invariant.Checker{},
		Now:          func() time.Duration { return time.Since(start) },
		Loads:        func() []*pb.LoadReport { return nil },
		OnLoads:      func([]*pb.LoadReport) {},
		OnViewChange: func(_, _ *view.View) {},
		OnHandover:   func(*pb.Assignment) {},
		LeaderOnly:   true,
	})
	a.Start()
	return a, stop
}

// TestAwaitFresh: AwaitFresh returns as soon as the leader has answered, and does
// not wait once the rules have been stale for longer than maxStale.
func TestAwaitFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		a, stop := startAgent(start, leader{
			availableFrom: start.Add(200 * time.Millisecond),
		})
		defer stop()
		require.True(t, a.AwaitFresh(t.Context(), time.Second, 400*time.Millisecond))
		require.Less(t, time.Since(start), 300*time.Millisecond)

		staleStart := time.Now()
		stale, stopStale := startAgent(staleStart, leader{
			availableFrom: staleStart.Add(time.Hour),
		})
		defer stopStale()
		require.False(t, stale.AwaitFresh(t.Context(), time.Second, 300*time.Millisecond))
		require.Equal(t, 300*time.Millisecond, time.Since(staleStart))
		time.Sleep(2 * time.Second)
		before := time.Now()
		require.False(t, stale.AwaitFresh(t.Context(), time.Second, 300*time.Millisecond))
		require.Zero(t, time.Since(before))
	})
}

// TestAwaitTables: an instance whose rules are confirmed before it has the tables waits
// for them too, and is ready as soon as they arrive.
func TestAwaitTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		a, stop := startAgent(start, leader{
			availableFrom: start,
			tablesFrom:    start.Add(250 * time.Millisecond),
		})
		defer stop()
		time.Sleep(100 * time.Millisecond)
		require.True(t, a.EverConfirmed())
		require.False(t, a.Fresh())
		require.True(t, a.AwaitFresh(t.Context(), time.Second, 500*time.Millisecond))
		require.Less(t, time.Since(start), 450*time.Millisecond)
	})
}
