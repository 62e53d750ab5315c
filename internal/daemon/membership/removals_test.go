package membership_test

// This file tests how an agent follows the removal of rows of servers that are gone.

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// TestViewDropsRemovedRows guards against views that grow with each replaced server. A row that is still gone
// leaves the view with the answer that states its removal, also if a replica of an older build, which has kept the row
// and states no removal, sends it again. A server that is back is kept.
func TestViewDropsRemovedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed, gone, later := &pb.BackendServer{Name: "a", ChangedIndex: 1}, &pb.BackendServer{Name: "b", ChangedIndex: 3, Gone: true}, &pb.BackendServer{Name: "d", ChangedIndex: 5, Gone: true}
		returned := &pb.BackendServer{Name: "c", ChangedIndex: 7}
		s := &script{}
		start := time.Now()
		a, stop := startAgentWithClock(func() time.Duration { return time.Since(start) }, s)
		defer stop()
		requireServers := func(resp *pb.HeartbeatResponse, want ...string) {
			s.set(resp, nil)
			time.Sleep(2 * time.Second)
			require.Equal(t, want, slices.Sorted(maps.Keys(a.View().Servers)))
		}
		before := []*pb.BackendServer{listed, gone, {Name: "c", ChangedIndex: 4, Gone: true}, later}
		requireServers(&pb.HeartbeatResponse{Index: 5, Whole: true, Servers: before}, "a", "b", "c", "d")
		requireServers(&pb.HeartbeatResponse{Index: 7, RemovedIndex: 4, Servers: []*pb.BackendServer{returned}}, "a", "c", "d")
		requireServers(&pb.HeartbeatResponse{Index: 9, Whole: true, Servers: []*pb.BackendServer{listed, gone, returned, later}}, "a", "c", "d")
	})
}
