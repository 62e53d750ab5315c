package membership_test

// This file tests AwaitFresh after the start of an agent.

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/daemon/membership"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// answerTime is how long a heartbeat takes.
const answerTime = 20 * time.Millisecond

// leader is a control client whose heartbeats succeed from availableFrom on.
type leader struct {
	control.Client
	availableFrom time.Time
	// tablesFrom is when the replicas begin to serve the tables.
	tablesFrom time.Time
	// listAgeMs is how old the list is at each heartbeat.
	listAgeMs uint32
}

func (l leader) Heartbeat(_ context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	if time.Now().Before(l.availableFrom) {
		return nil, fault.New(fault.NoQuorum, "control", "no leader elected")
	}
	time.Sleep(answerTime)
	if !l.tablesFrom.IsZero() && r.GetSeenIndex() == 0 {
		return &pb.HeartbeatResponse{
			TablesBehind: true,
		}, nil
	}
	resp := &pb.HeartbeatResponse{
		Index:     2,
		ListAgeMs: l.listAgeMs,
	}
	if !l.tablesFrom.IsZero() {
		resp.Servers = []*pb.BackendServer{{
			Name: "s",
			Gone: true,
		}}
	}
	return resp, nil
}

func (l leader) Tables(context.Context, *pb.TablesRequest) (*pb.TablesResponse, error) {
	if !l.tablesFrom.IsZero() && !time.Now().Before(l.tablesFrom) {
		rows, err := proto.Marshal(&pb.TableRows{
			Servers: []*pb.BackendServer{{
				Name: "s",
			}},
			Whole: true,
		})
		return &pb.TablesResponse{
			Index: 1,
			Rows:  rows,
		}, err
	}
	return nil, fault.New(fault.NoQuorum, "control", "no replica has rows")
}

// startAgent starts an agent whose clock reads zero at start.
func startAgent(start time.Time, l leader) (*membership.Agent, func()) {
	return startAgentWithClock(func() time.Duration { return time.Since(start) }, l)
}

// startAgentWithClock is like startAgent, with the clock of the agent.
func startAgentWithClock(now func() time.Duration, l control.Client) (*membership.Agent, func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a, stop := membership.New(membership.Config{
		Instance:     "i",
		Control:      l,
		Logger:       log,
		Checker:      &invariant.Checker{},
		Now:          now,
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

// TestAwaitFreshAfterAFreeze guards against an instance that refuses all requests with a key as it wakes
// from a long freeze, because its rules have been stale for long. No heartbeat has failed meanwhile, and
// the next one confirms them.
func TestAwaitFreshAfterAFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var frozen atomic.Int64
		a, stop := startAgentWithClock(func() time.Duration { return time.Since(start) + time.Duration(frozen.Load()) }, leader{})
		defer stop()
		require.True(t, a.AwaitFresh(t.Context(), time.Second, 300*time.Millisecond))
		time.Sleep(time.Second)
		frozen.Store(int64(20 * time.Second))
		require.False(t, a.Fresh())
		require.True(t, a.AwaitFresh(t.Context(), time.Second, 300*time.Millisecond))
	})
}

// TestAwaitTables: an instance whose rules are confirmed before it has the tables waits
// for them too. The tables of a replica may be older than the leader's: a server that
// has left is not in use again, as the instance serves only once it has the rows up to a
// leader's answer.
func TestAwaitTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		a, stop := startAgent(start, leader{
			availableFrom: start,
			tablesFrom:    start.Add(250 * time.Millisecond),
		})
		defer stop()
		for !a.Fresh() {
			time.Sleep(time.Millisecond)
		}
		require.True(t, a.View().Servers["s"].GetGone())
		require.Less(t, time.Since(start), 450*time.Millisecond)
	})
}

// TestListReadAt: the age of the list counts from when the heartbeat was sent, as its answer may have been
// under way for as long. Without an age it is unknown.
func TestListReadAt(t *testing.T) {
	for _, age := range []uint32{0, 700} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			a, stop := startAgent(start, leader{
				listAgeMs: age,
			})
			defer stop()
			time.Sleep(10 * time.Second)
			if age == 0 {
				require.Zero(t, a.ListReadAt())
				return
			}
			require.LessOrEqual(t, a.ListReadAt(), time.Since(start)-answerTime-700*time.Millisecond)
			require.Greater(t, a.ListReadAt(), time.Since(start)-3*time.Second)
		})
	}
}
