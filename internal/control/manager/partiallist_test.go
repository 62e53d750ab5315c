package manager_test

// This file tests a platform's list of which a part can't be read.

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/memorydisk"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/replica"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// partialList is a list of which a part can't be read while partial is true.
type partialList struct {
	mu      sync.Mutex
	servers []*pb.ListedServer
	partial bool
}

func (l *partialList) List(context.Context) ([]*pb.ListedServer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partial {
		return l.servers, fault.New(fault.PartialList, "list", "the end of a page can't be read")
	}
	return l.servers, nil
}

func (l *partialList) set(partial bool, servers ...*pb.ListedServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial, l.servers = partial, servers
}

func listed(name string, leaving bool) *pb.ListedServer {
	return &pb.ListedServer{
		Name:    name,
		Service: "s",
		Address: "10.0.0.1:80",
		Slots:   4,
		Leaving: leaving,
	}
}

// TestPartialListIsFollowed: while a part of the list can't be read, servers in the other part
// that begin to leave are seen to leave; those missing from it are kept for a while, as they
// may stand in the unreadable part, but not for ever.
func TestPartialListIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		r, stop, err := replica.Start(replica.Config{
			Now:  func() time.Duration { return time.Since(started) },
			Name: "r0",
			Peers: map[string]string{
				"r0": "r0",
			},
			Storage: &memorydisk.Disk{},
			Stored:  (&memorydisk.Disk{}).Contents(),
			Logger:  discardLogger(),
		})
		require.NoError(t, err)
		defer stop()
		list := &partialList{}
		list.set(false, listed("a", false), listed("b", false))
		_, stopManager := manager.Start(manager.Config{
			Replica:          r,
			Platform:         list,
			Logger:           discardLogger(),
			WithoutOwnership: true,
		})
		defer stopManager()
		time.Sleep(20 * time.Second)
		require.Len(t, r.Ledger.Changes(0).Servers, 2)
		list.set(true, listed("a", true))
		time.Sleep(10 * time.Second)
		require.True(t, r.Ledger.Server("a").GetLeaving())
		require.False(t, r.Ledger.Server("b").GetGone())
		time.Sleep(40 * time.Second)
		require.True(t, r.Ledger.Server("b").GetGone())
	})
}

// runManager runs a manager over a list, with a control group of one replica, until stop is called.
func runManager(t *testing.T, list *partialList) (r *replica.Replica, m *manager.Manager, stop func()) {
	t.Helper()
	started := time.Now()
	r, stopReplica, err := replica.Start(replica.Config{
		Now:  func() time.Duration { return time.Since(started) },
		Name: "r0",
		Peers: map[string]string{
			"r0": "r0",
		},
		Storage: &memorydisk.Disk{},
		Stored:  (&memorydisk.Disk{}).Contents(),
		Logger:  discardLogger(),
	})
	require.NoError(t, err)
	m, stopManager := manager.Start(manager.Config{
		Replica:          r,
		Platform:         list,
		Logger:           discardLogger(),
		WithoutOwnership: true,
	})
	return r, m, func() {
		stopManager()
		stopReplica()
	}
}

// TestHeartbeatsSayHowOldTheListIs guards against instances that take a version for known by a list that was
// not read: one that can't be read in part says nothing of the servers in it.
func TestHeartbeatsSayHowOldTheListIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &partialList{}
		list.set(false, listed("a", false))
		_, m, stop := runManager(t, list)
		defer stop()
		age := func() time.Duration {
			resp, err := m.Heartbeat(t.Context(), &pb.HeartbeatRequest{
				Instance:    "e1",
				Incarnation: 1,
			})
			require.NoError(t, err)
			return time.Duration(resp.GetListAgeMs()) * time.Millisecond
		}
		time.Sleep(20 * time.Second)
		require.NotZero(t, age())
		require.Less(t, age(), 5*time.Second)
		list.set(true)
		time.Sleep(20 * time.Second)
		require.Greater(t, age(), 15*time.Second)
		list.set(false, listed("a", false), listed("b", false))
		time.Sleep(10 * time.Second)
		require.Less(t, age(), 5*time.Second)
	})
}

// TestServerThatIsReadyAgainHasJoinedAgain guards against instances that don't find out that a server has
// restarted, as they have not read the list while it showed the server as leaving.
func TestServerThatIsReadyAgainHasJoinedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &partialList{}
		list.set(false, listed("a", false), listed("b", false))
		r, _, stop := runManager(t, list)
		defer stop()
		time.Sleep(20 * time.Second)
		joined := r.Ledger.Server("a").GetJoinedMs()
		others := r.Ledger.Server("b").GetJoinedMs()
		list.set(false, listed("a", true), listed("b", false))
		time.Sleep(10 * time.Second)
		require.True(t, r.Ledger.Server("a").GetLeaving())
		require.Equal(t, joined, r.Ledger.Server("a").GetJoinedMs())
		list.set(false, listed("a", false), listed("b", false))
		time.Sleep(10 * time.Second)
		require.False(t, r.Ledger.Server("a").GetLeaving())
		require.Greater(t, r.Ledger.Server("a").GetJoinedMs(), joined)
		require.Equal(t, others, r.Ledger.Server("b").GetJoinedMs())
	})
}

// TestVersionFollowsTheList: a server is listed with another version of its software under the
// same name, and then no longer, and then with another one again. The row of the server must follow, as
// streams go on by it, and must tell since when the server is gone, and when its version changed: else
// nothing shows that the name had another version.
func TestVersionFollowsTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &partialList{}
		a, b := listed("a", false), listed("b", false)
		a.Version = "v1"
		list.set(false, a, b)
		r, _, stop := runManager(t, list)
		defer stop()
		time.Sleep(20 * time.Second)
		require.Equal(t, "v1", r.Ledger.Server("a").GetVersion())
		require.Zero(t, r.Ledger.Server("a").GetVersionChangedMs())
		newer := listed("a", false)
		newer.Version = "v2"
		before := time.Now()
		list.set(false, newer, b)
		time.Sleep(10 * time.Second)
		require.Equal(t, "v2", r.Ledger.Server("a").GetVersion())
		require.Zero(t, r.Ledger.Server("a").GetGoneMs())
		changed := r.Ledger.Server("a").GetVersionChangedMs()
		require.WithinRange(t, time.UnixMilli(changed), before, time.Now())
		require.Zero(t, r.Ledger.Server("b").GetVersionChangedMs())
		before = time.Now()
		list.set(false, b)
		time.Sleep(40 * time.Second)
		gone := r.Ledger.Server("a")
		require.True(t, gone.GetGone())
		require.Equal(t, "v2", gone.GetVersion())
		require.WithinRange(t, time.UnixMilli(gone.GetGoneMs()), before, time.Now())
		require.Equal(t, changed, gone.GetVersionChangedMs())
		list.set(false, listed("a", false), b)
		time.Sleep(10 * time.Second)
		require.Greater(t, r.Ledger.Server("a").GetVersionChangedMs(), gone.GetGoneMs())
	})
}
