package manager_test

// This file tests how the leader removes the rows of servers that are gone.

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/replica"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// removalFleet is a manager with the heartbeats of its member and, if older is set, of an instance of a build that
// does not apply removals.
type removalFleet struct {
	t       *testing.T
	list    *partialList
	replica *replica.Replica
	manager *manager.Manager
	older   bool
}

func (f *removalFleet) heartbeat(instance string, removes bool, seen uint64) *pb.HeartbeatResponse {
	resp, err := f.manager.Heartbeat(f.t.Context(), &pb.HeartbeatRequest{
		Instance:       instance,
		Incarnation:    1,
		SeenIndex:      seen,
		RemovesServers: removes,
		Loads: []*pb.LoadReport{{
			BackendServer: "b",
			Load:          3,
		}},
	})
	require.NoError(f.t, err)
	return resp
}

// run lets time pass, with heartbeats, and returns the index that the instances have seen.
func (f *removalFleet) run(d time.Duration) (seen uint64) {
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		seen = f.heartbeat("r0", true, seen).GetIndex()
		if f.older {
			f.heartbeat("older", false, seen)
		}
	}
	return seen
}

// runRemovals runs a fleet whose server b has been gone for 55 minutes, of which the leader has seen one, and
// calls test with the index that an instance has seen that fell out of touch before that.
func runRemovals(t *testing.T, test func(f *removalFleet, lost uint64)) {
	synctest.Test(t, func(t *testing.T) {
		list := &partialList{}
		list.set(false, listed("a", false), listed("b", false))
		r, m, stop := runManager(t, list)
		defer stop()
		f := &removalFleet{
			t:       t,
			list:    list,
			replica: r,
			manager: m,
		}
		time.Sleep(20 * time.Second)
		lost := f.run(10 * time.Second)
		list.set(false, listed("a", false))
		f.run(10 * time.Second)
		require.True(t, r.Ledger.Server("b").GetGone())
		gone := proto.Clone(r.Ledger.Server("b")).(*pb.BackendServer)
		gone.GoneMs -= (54 * time.Minute).Milliseconds()
		_, err := r.Propose(t.Context(), &pb.Command{Kind: &pb.Command_UpdateServers{UpdateServers: &pb.UpdateServers{Servers: []*pb.BackendServer{gone}}}})
		require.NoError(t, err)
		f.run(time.Minute)
		test(f, lost)
	})
}

// TestRowOfGoneServerIsRemoved guards against rows that stay for good, against an instance that keeps a server as
// listed, as it was out of touch until the row was removed, and against a server that comes back under a removed name
// with an earlier time of joining, so that instances take it for the incarnation that they know.
func TestRowOfGoneServerIsRemoved(t *testing.T) {
	runRemovals(t, func(f *removalFleet, lost uint64) {
		joined := f.replica.Ledger.Server("b").GetJoinedMs()
		f.run(8 * time.Minute)
		require.NotNil(f.t, f.replica.Ledger.Server("b"))
		f.run(4 * time.Minute)
		require.Nil(f.t, f.replica.Ledger.Server("b"))
		require.EqualValues(f.t, 1, f.replica.Ledger.RemovedServers())
		// The heartbeats of run reported on b to the end.
		resp := f.heartbeat("r1", true, lost)
		require.True(f.t, resp.GetWhole())
		require.Len(f.t, resp.GetServers(), 1)
		require.False(f.t, f.heartbeat("r0", true, resp.GetIndex()).GetWhole())
		result, err := f.manager.Propose(f.t.Context(), &pb.Command{Kind: &pb.Command_DrainServer{DrainServer: &pb.DrainServer{BackendServer: "b", Drain: true}}})
		require.NoError(f.t, err)
		require.Equal(f.t, string(fault.UnknownServer), result.GetFailure(), "a drain that is sent again is answered as before the removal")

		moved := listed("b", false)
		moved.Service = "other"
		f.list.set(false, listed("a", false), moved)
		f.run(10 * time.Second)
		require.Equal(f.t, "other", f.replica.Ledger.Server("b").GetService())
		require.Greater(f.t, f.replica.Ledger.Server("b").GetJoinedMs(), joined)
		require.False(f.t, f.replica.Ledger.Server("b").GetGone())
	})
}

// TestOlderBuildKeepsRows guards against replicas that differ: an instance of a build that does not apply removals
// may be a member of the control group, or become one.
func TestOlderBuildKeepsRows(t *testing.T) {
	runRemovals(t, func(f *removalFleet, _ uint64) {
		f.older = true
		f.run(15 * time.Minute)
		require.NotNil(f.t, f.replica.Ledger.Server("b"))
		f.older = false
		f.run(2 * time.Minute)
		require.Nil(f.t, f.replica.Ledger.Server("b"))
	})
}

// TestRemovedNameJoinsLater: the clock of the leader runs behind that of the leader before it, by more than
// rows are kept.
func TestRemovedNameJoinsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &partialList{}
		r, _, stop := runManager(t, list)
		defer stop()
		time.Sleep(5 * time.Second)
		ahead := time.Now().Add(3 * time.Hour).UnixMilli()
		propose := func(c *pb.Command) uint64 {
			result, err := r.Propose(t.Context(), c)
			require.NoError(t, err)
			return result.GetIndex()
		}
		index := propose(&pb.Command{Kind: &pb.Command_UpdateServers{UpdateServers: &pb.UpdateServers{
			Servers: []*pb.BackendServer{{Name: "a", JoinedMs: ahead, Gone: true, GoneMs: ahead}},
		}}})
		propose(&pb.Command{Kind: &pb.Command_RemoveServers{RemoveServers: &pb.RemoveServers{ThroughIndex: index}}})
		require.Nil(t, r.Ledger.Server("a"))
		list.set(false, listed("a", false))
		time.Sleep(10 * time.Second)
		require.Greater(t, r.Ledger.Server("a").GetJoinedMs(), ahead)
	})
}
