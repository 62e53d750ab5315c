package placer

// This file tests the shares of the instances while the leader of the control group changes and
// deciders are lost.

import (
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/rules/parse"
)

// TestRetryBudgetHoldsWhenTheLeaderChanges: the leader of the control group changes while retries use
// up the budget. What all instances grant in one window must stay within the slack.
func TestRetryBudgetHoldsWhenTheLeaderChanges(t *testing.T) {
	const slack = 100
	f, err := parse.Rules("r", []byte("service b type=plain slots=64 # t: t\n"))
	require.NoError(t, err)
	v := serversOf(t, 4).WithRules(2, nil, f)
	order := deciderOrder(v)["b"]
	leader := order[0].GetName()
	logger, _ := test.NewNullLogger()
	now := time.Second
	var all []*Schedulers
	for _, i := range order {
		d := newSchedulers(Config{
			Now:         func() time.Duration { return now },
			LoadBound:   2,
			RetryWindow: 10 * time.Second,
			RetrySlack:  slack,
			Instance:    i.GetName(),
			Leader:      func() string { return leader },
			Logger:      logger,
		})
		d.entitled = func(string) bool { return true }
		d.update(v, deciderOrder(v))
		d.tick()
		all = append(all, d)
	}
	granted := 0
	use := func(d *Schedulers, decides bool) {
		for range 3 * slack {
			d.submit("b", decides, scheduler.Request{Retry: true}, func(d scheduler.Decision) {
				if d.Refusal != scheduler.RetryBudget {
					granted++
				}
			})
		}
	}
	// The leader is passed over, so that the second in the order decides, and the third while
	// some skip it.
	use(all[1], true)
	use(all[2], true)
	for _, d := range all {
		use(d, false)
	}
	t.Logf("before the change: %d", granted)
	leader = order[2].GetName()
	now += 100 * time.Millisecond
	for _, d := range all {
		d.tick()
	}
	use(all[0], true)
	t.Logf("after the change: %d", granted)
	require.LessOrEqual(t, granted, slack)
}

// TestNextDecidersUseTheLimitOfLimitedServers: the first instances in the order are lost, and the
// view lists them for minutes. With their ranks kept, the one that decides would send servers
// that name a limit a quarter of it, or nothing.
func TestNextDecidersUseTheLimitOfLimitedServers(t *testing.T) {
	const (
		limit   = 8.0
		seconds = 20
		servers = 2
	)
	v := serversOf(t, 10)
	order := deciderOrder(v)["b"]
	logger, _ := test.NewNullLogger()
	for lost := range 3 {
		d, now := limitedSchedulers(v, order[lost].GetName(), logger)
		d.cfg.Unresponsive = func(instance string) bool {
			return slices.ContainsFunc(order[:lost], func(i *pb.Instance) bool { return i.GetName() == instance })
		}
		d.tick()
		for _, s := range []string{"e1", "e2"} {
			d.recordLimit("b", s, named(limit))
		}
		granted := 0
		for range 4 * seconds {
			for range 10 {
				d.submit("b", true, scheduler.Request{}, func(d scheduler.Decision) {
					if d.Server != "" {
						granted++
					}
				})
			}
			*now += 250 * time.Millisecond
			d.tick()
		}
		require.Greater(t, float64(granted), servers*limit*seconds*0.75, "%d lost", lost)
		require.LessOrEqual(t, float64(granted), servers*(limit*seconds+limit), "%d lost", lost)
	}
}

// TestSharesBeginAnewAfterAFreeze: a process did not run for seconds, in which another instance may
// have become the first decider. With its share at once, both would use the whole limit.
func TestSharesBeginAnewAfterAFreeze(t *testing.T) {
	v := serversOf(t, 10)
	logger, _ := test.NewNullLogger()
	d, now := limitedSchedulers(v, deciderOrder(v)["b"][0].GetName(), logger)
	for _, s := range []string{"e1", "e2"} {
		d.recordLimit("b", s, named(8))
	}
	granted := func() int {
		n := 0
		for range 40 {
			d.submit("b", true, scheduler.Request{}, func(d scheduler.Decision) {
				if d.Server != "" {
					n++
				}
			})
		}
		return n
	}
	require.Equal(t, 32, granted())
	*now += 10 * time.Second
	d.restartShares()
	d.tick()
	require.Zero(t, granted())
	*now += 3 * time.Second
	d.tick()
	require.Equal(t, 32, granted())
}
