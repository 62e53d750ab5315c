package placer

// This file tests how the limits that servers name are divided among the instances and logged.

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/serverlimit"
	"camphorspoke/internal/routing/view"
)

// limitedSchedulers returns the schedulers of an instance of a view with two servers of service b, and
// its clock. They take part in the division of limits.
func limitedSchedulers(v *view.View, instance string, logger logrus.FieldLogger) (*Schedulers, *time.Duration) {
	now := time.Duration(0)
	d := newSchedulers(Config{
		Now:         func() time.Duration { return now },
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
		Instance:    instance,
		Logger:      logger,
	})
	d.entitled = func(string) bool { return true }
	d.update(v, deciderOrder(v))
	d.tick()
	now += 10 * time.Second
	return d, &now
}

// serversOf returns a view of n instances and two servers of service b.
func serversOf(t *testing.T, n int) *view.View {
	t.Helper()
	var rows []*pb.BackendServer
	for _, name := range []string{"e1", "e2"} {
		rows = append(rows, &pb.BackendServer{
			Name:    name,
			Service: "b",
			Address: name + ":1",
			Slots:   1000,
		})
	}
	return viewOf(t, n).WithTables(2, false, rows, nil)
}

func named(perSecond float64) serverlimit.Statement {
	return serverlimit.Statement{
		Known:     true,
		Named:     true,
		PerSecond: perSecond,
	}
}

// TestSumOfAllDecidersKeepsTheNamedLimit: the instances are out of contact with one another, so that
// each decides, for all or alone. The sum of what they send a server that names a limit must
// stay within the rule, and the first in the order must use it.
func TestSumOfAllDecidersKeepsTheNamedLimit(t *testing.T) {
	const (
		instances = 70
		limit     = 8.0
		allowed   = 1.5*4*limit + 5
	)
	v := serversOf(t, instances)
	logger, _ := test.NewNullLogger()
	granted := 0
	for _, i := range v.Routers() {
		d, now := limitedSchedulers(v, i.GetName(), logger)
		d.recordLimit("b", "e1", named(limit))
		require.Equal(t, map[string]int{"b": 1}, d.LimitedServers())
		require.True(t, d.limit("b", "e1").Named)
		for range 16 {
			for n := range 40 {
				d.submit("b", n%2 == 0, scheduler.Request{}, func(d scheduler.Decision) {
					if d.Server == "e1" {
						granted++
					}
				})
			}
			*now += 250 * time.Millisecond
		}
	}
	require.LessOrEqual(t, float64(granted), allowed)
	require.GreaterOrEqual(t, float64(granted), 0.9*4*limit)
}

// TestLimitsAreLoggedOnce: each limit that is named, changed or ended gives one line, however often
// responses repeat it. Small changes give none, or a limit that varies would fill the log.
func TestLimitsAreLoggedOnce(t *testing.T) {
	logger, hook := test.NewNullLogger()
	d, now := limitedSchedulers(serversOf(t, 4), "i0", logger)
	unlimited := serverlimit.Statement{
		Known: true,
	}
	for _, c := range []struct {
		st   serverlimit.Statement
		want string
		of   float64
	}{
		{unlimited, "", 0},
		{named(8), "placer: a server names a limit; requests to it are limited to that rate over all instances", 8},
		{named(8), "", 0},
		{named(8.7), "", 0},
		{named(9), "placer: a server has changed its limit", 9},
		{named(0), "placer: a server has changed its limit", 0},
		{named(2), "placer: a server has changed its limit", 2},
		{unlimited, "placer: a server no longer names a limit", 2},
		{unlimited, "", 0},
	} {
		hook.Reset()
		*now += time.Second
		d.recordLimit("b", "e1", c.st)
		d.tick()
		d.tick()
		if c.want == "" {
			require.Empty(t, hook.AllEntries())
			continue
		}
		require.Len(t, hook.AllEntries(), 1)
		require.Equal(t, c.want, hook.LastEntry().Message)
		require.Equal(t, logrus.Fields{"server": "e1", "service": "b", "limitPerSecond": c.of}, hook.LastEntry().Data)
	}
}
