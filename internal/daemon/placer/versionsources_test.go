package placer_test

// This file tests the version of a server where what an instance knows of it is out of date:
// it has just started, or its view is stale, or the version changed under the name of the server.

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/boottime"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/routing/incarnation"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/parse"
)

// TestStaleViewNamesNoVersion: an instance is cut off from the control group and lists e0 with v1, while the
// decider lists v2. It guards against a stream of v2 that is recorded as of v1, and against one of v1 that
// the instance places at e0 by itself as the decider lists no server of v1.
func TestStaleViewNamesNoVersion(t *testing.T) {
	fleet, order, v := newVersionFleet(t, 3)
	stale := fleet[order[2]]
	for _, name := range order[:2] {
		fleet[name].placer.Update(withVersions(v, "v2", "v2", "v2"))
	}
	g, err := placeOnlyAt(t, stale, "e0", "", 1000)
	require.NoError(t, err)
	require.True(t, g.VersionUnknown)
	for unique, version := range []string{"v1", "v2"} {
		_, err = placeOnlyAt(t, stale, "e0", version, uint64(2000+unique))
		require.Error(t, err, version)
		require.False(t, fault.MayHaveRun(err))
	}
	stale.placer.Update(withVersions(v, "v2", "v2", "v2"))
	g, err = placeOnlyAt(t, stale, "e0", "v2", 3000)
	require.NoError(t, err)
	require.False(t, g.VersionUnknown)
}

// TestStartedInstanceKnowsNoCrash: an instance that has just started does not know which servers went down
// before. It guards against streams that go on, or are recorded, by a list that was read before a crash.
func TestStartedInstanceKnowsNoCrash(t *testing.T) {
	fleet, order, v := startFleet(t, 3, 0, nil, nil)
	decider, second, relay := fleet[order[0]], fleet[order[1]], fleet[order[2]]
	started := decider.now()
	for _, in := range fleet {
		in.readList(started)
	}
	updateVersions(fleet, v, "v1", "v2", "v1")
	requireKnown := func(in *instance, unique uint64) {
		t.Helper()
		require.Eventually(t, func() bool {
			unique += 2
			begun, err := placeOnlyAt(t, in, "e0", "", unique)
			require.NoError(t, err)
			begun.Report(scheduler.Report{
				Event: scheduler.Done,
			})
			bound, err := placeOnlyAt(t, in, "e0", "v1", unique+1)
			if err != nil {
				return false
			}
			bound.Report(scheduler.Report{
				Event: scheduler.Done,
			})
			return !begun.VersionUnknown
		}, 5*time.Second, 20*time.Millisecond)
	}
	for i, in := range []*instance{decider, relay} {
		_, err := placeOnlyAt(t, in, "e0", "v1", uint64(1000+i))
		require.Error(t, err)
		g, err := placeOnlyAt(t, in, "e0", "", uint64(2000+i))
		require.NoError(t, err)
		require.True(t, g.VersionUnknown)
		require.False(t, g.RecordEvent(in.now()), "the list was read before its connection was opened")
		require.True(t, g.RecordEvent(started-incarnation.ListLag))
	}
	second.readList(started + incarnation.ListLag + time.Second)
	require.Eventually(t, func() bool {
		g, err := placeOnlyAt(t, relay, "e0", "v1", 3000)
		return err == nil && g.Decider == order[1]
	}, 5*time.Second, 20*time.Millisecond, "the next decider has run for longer")
	g, err := placeOnlyAt(t, relay, "e0", "", 3001)
	require.NoError(t, err)
	require.True(t, g.VersionUnknown, "the decider does not know of a crash")
	decider.readList(started + incarnation.ListLag + time.Second)
	requireKnown(relay, 4000)
	relay.readList(started + incarnation.ListLag + time.Second)
	requireKnown(relay, 5000)
}

// TestRestartOfAllWhileOneVersionServes guards against streams that have to wait for the list although only
// one version has served: after a restart of all instances they go on at once.
func TestRestartOfAllWhileOneVersionServes(t *testing.T) {
	fleet, order, v := startFleet(t, 3, 0, nil, nil)
	for _, in := range fleet {
		in.readList(in.now())
	}
	updateVersions(fleet, v, "v1", "v1", "v1")
	for i, name := range order {
		record, known := fleet[name].placer.StreamVersion(t.Context(), service, 99, true)
		require.True(t, known)
		require.Equal(t, "v1", record.Version)
		for _, version := range []string{"v1", ""} {
			g, err := placeOnlyAt(t, fleet[name], "e0", version, uint64(1000+i))
			require.NoError(t, err)
			require.False(t, g.VersionUnknown)
		}
	}
}

// TestCopyAtAFrozenInstance guards against a copy of a request that begins a stream and is taken for one of the
// version in a view that may be as old as a freeze.
func TestCopyAtAFrozenInstance(t *testing.T) {
	fleet, order, v := newVersionFleet(t, 3)
	rules := "service llm type=engine slots=8 cache-tokens=100000 hedge=50% # t: t\n"
	f, err := parse.Rules("r", []byte(rules))
	require.NoError(t, err)
	updateVersions(fleet, v.WithRules(2, []byte(rules), f), "v1", "v2", "v1")
	relay := fleet[order[2]]
	placeAndFinish(t, relay.placer, 10)
	time.Sleep(100 * time.Millisecond) // the ticker runs before the freeze
	for _, frozenFor := range []time.Duration{0, 6 * time.Second} {
		relay.frozenFor.Store(int64(frozenFor))
		g, err := relay.placer.PlaceHedge(t.Context(), service, scheduler.Request{
			Tried: []string{"e2"},
		})
		require.NoError(t, err)
		require.Equal(t, frozenFor > 0, g.VersionUnknown)
	}
}

// TestStreamWithoutRecordAfterAChangeInPlace: all servers have one version, but one of them had another under
// its name lately. It guards against a stream of that version that goes on at the present one, and
// against one that goes on anywhere, as the instance lists no server.
func TestStreamWithoutRecordAfterAChangeInPlace(t *testing.T) {
	fleet, order, v := newVersionFleet(t, 1)
	p := fleet[order[0]].placer
	for _, c := range []struct {
		ago   time.Duration
		gone  bool
		known bool
	}{
		{ago: time.Second},
		{ago: time.Hour, known: true},
		{ago: time.Hour, gone: true},
	} {
		v = withVersions(v, "v2", "v2", "v2")
		for _, s := range v.Servers {
			s.VersionChangedMs = time.Now().Add(-c.ago).UnixMilli()
			if c.gone {
				s.Gone, s.GoneMs = true, s.VersionChangedMs
			}
		}
		p.Update(v)
		record, known := p.StreamVersion(t.Context(), service, 99, true)
		require.Equal(t, c.known, known, "%v", c)
		require.Equal(t, c.known, record.Version == "v2")
	}
}

// TestPlainServersAreNotAskedForTheirStart guards against a query that a server of a plain service does not
// know, before a stream goes on there; an engine is asked.
func TestPlainServersAreNotAskedForTheirStart(t *testing.T) {
	for rule, asked := range map[string]int64{"type=plain": 0, "type=engine slots=8 cache-tokens=100000": 1} {
		content := []byte("service " + service + " " + rule + " # t: t\n")
		f, err := parse.Rules("r", content)
		require.NoError(t, err)
		births := &countedBirths{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		clock := boottime.New()
		p, stop := placer.New(placer.Config{
			Now:         clock.Now,
			LoadBound:   2,
			RetryWindow: time.Second,
			Instance:    "i",
			Births:      births,
			ListReadAt:  clock.Now,
			Logger:      log,
		})
		defer stop()
		v := (&view.View{}).WithRules(1, content, f)
		p.Update(withVersions(v, "v1", "v1", "v1"))
		req := newRequest(1, 1)
		req.Version = "v1"
		_, err = p.Place(t.Context(), service, req)
		require.NoError(t, err, rule)
		require.Equal(t, asked, births.Load(), rule)
	}
}

// countedBirths counts the queries for the start of servers, which do not say it.
type countedBirths struct{ atomic.Int64 }

func (b *countedBirths) ReadBirth(context.Context, string) (int64, error) {
	b.Add(1)
	return 0, nil
}
