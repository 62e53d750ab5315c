package placer_test

// This file tests streams at servers that may have started anew with another version of their software.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/routing/scheduler"
)

// placeOnlyAt places a request at an instance that only the named engine may run, bound to a version
// unless that is empty.
func placeOnlyAt(t *testing.T, in *instance, server, version string, unique uint64) (*placer.Grant, error) {
	t.Helper()
	req := newRequest(unique, unique)
	for _, name := range []string{"e0", "e1", "e2"} {
		if name != server {
			req.Tried = append(req.Tried, name)
		}
	}
	req.Version = version
	return in.placer.Place(t.Context(), service, req)
}

// TestStreamsAtAServerThatIsBackAfterACrash guards against a stream that goes on at a server which has crashed
// and is back with another version before the list shows it, and against one that is bound to a wrong
// version as it begins there. The instances that decide next know of it too.
func TestStreamsAtAServerThatIsBackAfterACrash(t *testing.T) {
	fleet, order, _ := newVersionFleet(t, 4)
	requester, other := fleet[order[3]], fleet[order[2]]
	g, err := placeOnlyAt(t, requester, "e0", "", 1000)
	require.NoError(t, err)
	require.False(t, g.VersionUnknown)
	g.Report(scheduler.Report{
		Event:    scheduler.Down,
		Answered: true,
	})
	requireRefused := func(unique uint64) {
		t.Helper()
		require.Eventually(t, func() bool {
			unique += 10
			_, err := placeOnlyAt(t, other, "e0", "v1", unique)
			return fault.KindOf(err) == fault.StreamVersionUnknown
		}, 5*time.Second, 20*time.Millisecond)
	}
	requireRefused(2000)
	begun, err := placeOnlyAt(t, requester, "e0", "", 3000)
	require.NoError(t, err)
	require.True(t, begun.VersionUnknown)
	opened := requester.now()
	begun.Stream = 77
	require.False(t, begun.RecordEvent(opened))
	for _, in := range fleet {
		_, known := in.placer.StreamVersion(t.Context(), service, 77, true)
		require.False(t, known)
	}
	fleet[order[0]].stop()
	requireRefused(4000)

	requester.listReadAt.Store(int64(opened + 1900*time.Millisecond))
	require.False(t, begun.RecordEvent(opened), "the list may not show the server that is back")
	for _, in := range fleet {
		in.listReadAt.Store(int64(opened + time.Minute))
	}
	require.True(t, begun.RecordEvent(opened))
	require.Equal(t, "v1", begun.Version)
	require.Eventually(t, func() bool {
		record, known := other.placer.StreamVersion(t.Context(), service, 77, true)
		return known && record.Version == "v1"
	}, 5*time.Second, 20*time.Millisecond)
	unique := uint64(5000)
	require.Eventually(t, func() bool {
		// The instance that decides now has not seen any answer since the crash.
		unique += 2
		g, err := placeOnlyAt(t, other, "e0", "", unique)
		require.NoError(t, err)
		g.Report(scheduler.Report{
			Event: scheduler.Done,
		})
		g, err = placeOnlyAt(t, other, "e0", "v1", unique+1)
		return err == nil && !g.VersionUnknown
	}, 5*time.Second, 20*time.Millisecond)
}

// TestServerThatRespondsHasNotGoneDown guards against a version that becomes unknown while the server responds
// to a stream, without a prompt or a reported load, and refuses another connection.
func TestServerThatRespondsHasNotGoneDown(t *testing.T) {
	fleet, order, _ := newVersionFleet(t, 3)
	for i, name := range []string{order[0], order[2]} {
		in := fleet[name]
		place := func(version string) (*placer.Grant, error) {
			return in.placer.Place(t.Context(), service, scheduler.Request{
				MaxWait: time.Second,
				Version: version,
				Tried:   []string{"e1", "e2"},
			})
		}
		g, err := place("")
		require.NoError(t, err)
		g.Stream = uint64(10 + i)
		g.Report(scheduler.Report{
			Event: scheduler.Started,
		})
		require.True(t, g.RecordEvent(0))
		refused, err := place("")
		require.NoError(t, err)
		refused.Report(scheduler.Report{
			Event: scheduler.Unreachable,
		})
		_, err = place("v1")
		require.NoError(t, err)
	}
}

// TestFrozenInstanceDecidesOnNoBoundStream: an instance that wakes does not know which servers have gone down
// meanwhile. The next decider places streams that go on, until the list has been read after the freeze.
func TestFrozenInstanceDecidesOnNoBoundStream(t *testing.T) {
	fleet, order, _ := newVersionFleet(t, 3)
	requester, frozen := fleet[order[2]], fleet[order[0]]
	g, err := placeOnlyAt(t, requester, "e0", "v1", 1000)
	require.NoError(t, err)
	require.Equal(t, order[0], g.Decider)
	time.Sleep(100 * time.Millisecond)
	frozen.frozenFor.Store(int64(6 * time.Second))
	for _, in := range fleet {
		in.readList(in.now())
	}
	g, err = placeOnlyAt(t, requester, "e0", "v1", 1001)
	require.NoError(t, err)
	require.Equal(t, order[1], g.Decider)
	begun, err := placeOnlyAt(t, frozen, "e0", "", 1002)
	require.NoError(t, err)
	require.True(t, begun.VersionUnknown, "its view may be as old as the freeze")
	frozen.listReadAt.Store(int64(frozen.now() + 2500*time.Millisecond))
	require.Eventually(t, func() bool {
		g, err := placeOnlyAt(t, requester, "e0", "v1", 1003)
		return err == nil && g.Decider == order[0]
	}, 5*time.Second, 20*time.Millisecond)
}
