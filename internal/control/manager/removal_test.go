package manager_test

// This file tests how the leader removes the rows of servers that are gone.

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// TestRowOfGoneServerIsRemoved guards against rows that stay for good; against replicas that differ, as an instance of
// an older build is a member of the control group or becomes one; against an instance that keeps a server as listed, as
// it was out of touch until the row was removed; and against a server that comes back under a removed name with an
// earlier time of joining, so that instances take it for the incarnation that they know.
func TestRowOfGoneServerIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &partialList{}
		list.set(false, listed("a", false))
		r, m, stop := runManager(t, list)
		defer stop()
		time.Sleep(20 * time.Second)
		current := map[string]bool{"r0": true}
		// heartbeats lets time pass while instances, by whether they apply removals, report on b.
		heartbeats := func(d time.Duration, seen uint64, instances map[string]bool) (resp *pb.HeartbeatResponse) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
				for name, removes := range instances {
					var err error
					resp, err = m.Heartbeat(t.Context(), &pb.HeartbeatRequest{
						Instance:       name,
						Incarnation:    1,
						SeenIndex:      seen,
						RemovesServers: removes,
						Loads:          []*pb.LoadReport{{BackendServer: "b", Load: 3}},
					})
					require.NoError(t, err)
				}
			}
			return resp
		}
		propose := func(c *pb.Command) *pb.Result {
			result, err := r.Propose(t.Context(), c)
			require.NoError(t, err)
			return result
		}
		update := func(b *pb.BackendServer) (index uint64) {
			return propose(&pb.Command{Kind: &pb.Command_UpdateServers{UpdateServers: &pb.UpdateServers{Servers: []*pb.BackendServer{b}}}}).GetIndex()
		}
		lost := update(&pb.BackendServer{Name: "b"})
		gone := time.Now().Add(-50 * time.Minute).UnixMilli()
		// The clock of the leader before was three hours ahead.
		ahead := time.Now().Add(3 * time.Hour).UnixMilli()
		update(&pb.BackendServer{Name: "b", JoinedMs: ahead, Gone: true, GoneMs: gone})
		heartbeats(9*time.Minute, lost, current)
		require.NotNil(t, r.Ledger.Server("b"), "gone for less than an hour")
		heartbeats(5*time.Minute, lost, map[string]bool{"r0": true, "older": false})
		require.NotNil(t, r.Ledger.Server("b"), "an instance of an older build runs")
		require.False(t, heartbeats(time.Second, lost, current).GetWhole())
		resp := heartbeats(2*time.Minute, lost, current)
		require.Nil(t, r.Ledger.Server("b"))
		require.True(t, resp.GetWhole())
		require.Len(t, resp.GetServers(), 1)
		require.False(t, heartbeats(time.Second, resp.GetIndex(), current).GetWhole())
		drain := propose(&pb.Command{Kind: &pb.Command_DrainServer{DrainServer: &pb.DrainServer{BackendServer: "b", Drain: true}}})
		require.Equal(t, string(fault.UnknownServer), drain.GetFailure(), "as before the removal, if its first answer was lost")

		list.set(false, listed("a", false), listed("b", false))
		heartbeats(10*time.Second, lost, current)
		require.Greater(t, r.Ledger.Server("b").GetJoinedMs(), ahead)
		require.False(t, r.Ledger.Server("b").GetGone())
	})
}
