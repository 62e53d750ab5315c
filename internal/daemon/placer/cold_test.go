package placer_test

// This file tests cold servers over several instances.

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/placer"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/parse"
)

const coldRules = "service llm type=engine slots=64 cache-tokens=100000 cold-time=60s cold-rate=14 # t: t\n"

// TestSumOfAllDecidersKeepsTheColdLimit: the instances are out of contact with one another, so
// that each decides, and a new server is the emptiest of the service. The sum of what they
// send it at a time must stay within the limit; the lists of all show it as new.
func TestSumOfAllDecidersKeepsTheColdLimit(t *testing.T) {
	const (
		instances   = 70
		perInstance = 20
		limit       = 1.5*14 + 5
	)
	f, err := parse.Rules("r", []byte(coldRules))
	require.NoError(t, err)
	var rows []*pb.Instance
	for i := range instances {
		rows = append(rows, &pb.Instance{
			Name: fmt.Sprintf("i%d", i),
		})
	}
	old := &pb.BackendServer{
		Name:    "e1",
		Service: service,
		Address: "e1:1",
		Slots:   64,
	}
	cold := &pb.BackendServer{
		Name:    "e2",
		Service: service,
		Address: "e2:1",
		Slots:   64,
	}
	before := (&view.View{}).WithTables(1, true, []*pb.BackendServer{old}, rows).WithRules(1, nil, f)
	after := before.WithTables(2, false, []*pb.BackendServer{cold}, nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	granted, decided := 0, 0
	for i := range instances {
		name := fmt.Sprintf("i%d", i)
		var mu sync.Mutex
		now := time.Second
		p, stop := placer.New(placer.Config{
			Now: func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return now
			},
			LoadBound:    2,
			RetryWindow:  10 * time.Second,
			RetryRatio:   0.2,
			ColdOverage:  1.5,
			ColdSlack:    5,
			Instance:     name,
			Peers:        noPeers{},
			Unresponsive: func(other string) bool { return other != name },
			Logger:       log,
		})
		p.Update(before)
		mu.Lock()
		now += 10 * time.Second
		mu.Unlock()
		p.Update(after)
		for range perInstance {
			g, err := p.Place(context.Background(), service, scheduler.Request{})
			require.NoError(t, err, "the other server has room")
			decided++
			if g.Server == "e2" {
				granted++
			}
		}
		stop()
	}
	require.Equal(t, instances*perInstance, decided)
	require.Less(t, float64(granted), limit)
	require.GreaterOrEqual(t, granted, 14, "the first in the order uses the rate")
}

// TestAnnouncementReachesTheDecider: a server announces in a response to one instance that it is
// cold. The decider must slow down for all, and each instance logs the period once.
func TestAnnouncementReachesTheDecider(t *testing.T) {
	fleet, order, v := newRecordingFleet(t, 3, nil)
	f, err := parse.Rules("r", []byte(coldRules))
	require.NoError(t, err)
	for _, i := range fleet {
		i.placer.Update(v.WithRules(2, nil, f))
	}
	g, err := place(t, fleet[order[2]].placer, 1000)
	require.NoError(t, err)
	require.Equal(t, order[0], g.Decider)
	g.Report(scheduler.Report{
		Event:   scheduler.Done,
		ColdFor: time.Minute,
	})
	cold := map[string]int{
		service: 1,
	}
	require.Eventually(t, func() bool {
		return len(fleet[order[0]].placer.Schedulers().ColdServers()) > 0
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, cold, fleet[order[0]].placer.Schedulers().ColdServers())
	require.Equal(t, cold, fleet[order[2]].placer.Schedulers().ColdServers())
	require.Empty(t, fleet[order[1]].placer.Schedulers().ColdServers())
}

// TestColdPeriodIsLoggedOnce: each beginning and each end of a period gives one line, however
// often the view changes and the announcement is repeated.
func TestColdPeriodIsLoggedOnce(t *testing.T) {
	f, err := parse.Rules("r", []byte(coldRules))
	require.NoError(t, err)
	log, hook := test.NewNullLogger()
	var mu sync.Mutex
	now := time.Second
	advance := func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		now += d
	}
	p, stop := placer.New(placer.Config{
		Now: func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return now
		},
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
		Instance:    "i0",
		Peers:       noPeers{},
		Logger:      log,
	})
	defer stop()
	row := &pb.BackendServer{
		Name:      "e1",
		Service:   service,
		Address:   "e1:1",
		Slots:     64,
		ColdMs:    2000,
		ColdIndex: 1,
	}
	v := (&view.View{}).WithTables(1, true, []*pb.BackendServer{row}, []*pb.Instance{{Name: "i0"}}).WithRules(1, nil, f)
	lines := func(message string) int {
		n := 0
		for _, e := range hook.AllEntries() {
			if e.Message == message {
				n++
			}
		}
		return n
	}
	for range 3 {
		p.Update(v)
	}
	require.Equal(t, 1, lines("placer: a server is cold; it gets requests at a limited rate"))
	require.Zero(t, lines("placer: a server is no longer cold"))
	advance(2 * time.Second)
	require.Eventually(t, func() bool { return lines("placer: a server is no longer cold") == 1 }, 10*time.Second, 10*time.Millisecond)
	p.Update(v)
	require.Equal(t, 1, lines("placer: a server is cold; it gets requests at a limited rate"))
}
