package server

// This file tests what an entry instance does with what the leader says of isolated instances and of
// itself.

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/boottime"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/daemon/membership"
	"camphorspoke/internal/daemon/settings"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// scriptedLeader answers each heartbeat with the same message.
type scriptedLeader struct {
	control.Client

	answer *pb.HeartbeatResponse
	// isolated is what the last heartbeat has said of its instance.
	isolated atomic.Bool
}

func (l *scriptedLeader) Heartbeat(_ context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	l.isolated.Store(r.GetIsolated())
	return l.answer, nil
}

func (l *scriptedLeader) Tables(context.Context, *pb.TablesRequest) (*pb.TablesResponse, error) {
	return nil, fault.New(fault.NoQuorum, "test", "no tables")
}

// newListedEntry returns the entry of instance i0, to which a leader has named a number of instances, of
// which the last ones are isolated.
func newListedEntry(t *testing.T, instances, isolated int, rules string) (*entry, *scriptedLeader) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	answer := &pb.HeartbeatResponse{
		LeaseMs:               2000,
		Index:                 1,
		Whole:                 true,
		RuleVersion:           1,
		LeaderOperatorAddress: "10.0.0.9:7000",
	}
	for i := range instances {
		name := fmt.Sprintf("i%d", i)
		answer.Instances = append(answer.Instances, &pb.Instance{
			Name:          name,
			CallerAddress: fmt.Sprintf("10.0.0.%d:80", i),
			FailureDomain: "d",
		})
		if i >= instances-isolated {
			answer.Isolated = append(answer.Isolated, name)
		}
	}
	change, err := proto.Marshal(&pb.RuleChange{
		Whole: []byte(rules),
	})
	require.NoError(t, err)
	answer.RuleChange = change
	leader := &scriptedLeader{
		answer: answer,
	}
	agent, stop := membership.New(membership.Config{
		Instance:     "i0",
		Control:      leader,
		LeaderOnly:   true,
		Logger:       log,
		Checker:      &invariant.Checker{},
		Now:          boottime.New().Now,
		Loads:        func() []*pb.LoadReport { return nil },
		OnLoads:      func([]*pb.LoadReport) {},
		OnViewChange: func(_, _ *view.View) {},
		OnHandover:   func(*pb.Assignment) {},
	})
	t.Cleanup(stop)
	agent.Start()
	e := &entry{
		instance: &instance{
			agent: agent,
			log:   log,
			cfg: &settings.Settings{
				Instance: "i0",
			},
		},
	}
	require.Eventually(t, e.Ready, 5*time.Second, time.Millisecond)
	return e, leader
}

const smallRules = "service s type=plain # t: t\n"

// TestIsolatedInstancesAreLeftOut: callers are directed to the instances that reach the servers, and
// requests are forwarded to these only. If few would be left, callers go on to all.
func TestIsolatedInstancesAreLeftOut(t *testing.T) {
	e, leader := newListedEntry(t, 8, 5, smallRules)
	addresses := e.Addresses("d", 64)
	slices.Sort(addresses)
	require.Equal(t, []string{"10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80"}, addresses)
	var targets []string
	for _, i := range e.forwardTargets() {
		targets = append(targets, i.Name)
	}
	slices.Sort(targets)
	require.Equal(t, []string{"i1", "i2"}, targets)
	require.False(t, leader.isolated.Load())
	e.instance.agent.SetIsolated(true)
	require.Eventually(t, leader.isolated.Load, 5*time.Second, time.Millisecond)

	for _, c := range []struct{ instances, isolated int }{{8, 7}, {8, 8}, {2, 2}, {1, 1}} {
		e, _ = newListedEntry(t, c.instances, c.isolated, smallRules)
		require.Len(t, e.Addresses("d", 64), c.instances)
	}
}

// TestLargeConfigurationIsReadAtTheLeader: with a large configuration, or one that a replacement makes
// large, operators are directed to the leader, unless this instance is the leader.
func TestLargeConfigurationIsReadAtTheLeader(t *testing.T) {
	e, _ := newListedEntry(t, 1, 0, smallRules)
	require.Empty(t, e.Elsewhere(0))
	require.Equal(t, "10.0.0.9:7000", e.Elsewhere(largeRules))
	e, _ = newListedEntry(t, 1, 0, smallRules+strings.Repeat("# a long comment\n", largeRules/16))
	require.Equal(t, "10.0.0.9:7000", e.Elsewhere(0))
	e.instance.cfg.Entry.Operator = "10.0.0.9:7000"
	require.Empty(t, e.Elsewhere(0))
}
