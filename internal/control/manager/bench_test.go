package manager_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/check/memorydisk"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/replica"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// staticList is a platform whose server list never changes.
type staticList []*pb.ListedServer

func (l staticList) List(context.Context) ([]*pb.ListedServer, error) { return l, nil }

// BenchmarkHeartbeat measures the handling of one heartbeat at the leader, from a
// router that already has the tables of a fleet of the given size.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []struct{ routers, servers int }{{10, 12}, {100, 190}, {370, 710}} {
		b.Run(fmt.Sprintf("routers=%d/servers=%d", size.routers, size.servers), func(b *testing.B) {
			var list staticList
			for i := range size.servers {
				list = append(list, &pb.ListedServer{
					Name:          fmt.Sprintf("assist-models-%04d", i),
					Service:       fmt.Sprintf("service-%02d", i%18),
					Address:       fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
					FailureDomain: fmt.Sprintf("domain-%02d", i%11),
					Slots:         64,
				})
			}
			r, stop, err := replica.Start(replica.Config{
				Name: "r0",
				Peers: map[string]string{
					"r0": "r0",
				},
				Storage: &memorydisk.Disk{},
				Stored:  (&memorydisk.Disk{}).Contents(),
				Logger:  discardLogger(),
			})
			require.NoError(b, err)
			defer stop()
			m, stopManager := manager.Start(manager.Config{
				Replica:  r,
				Platform: list,
				Logger:   discardLogger(),
			})
			defer stopManager()
			require.Eventually(b, m.Leads, 10*time.Second, time.Millisecond)
			heartbeat := func(i int, seen uint64) *pb.HeartbeatResponse {
				resp, err := m.Heartbeat(context.Background(), heartbeatRequest(i, seen, 2))
				require.NoError(b, err)
				return resp
			}
			for i := range size.routers {
				heartbeat(i, 0)
			}
			require.Eventually(b, func() bool { return len(r.Ledger.Changes(0).Servers) == size.servers }, 10*time.Second, time.Millisecond)
			require.Eventually(b, func() bool { return assignmentSettled(r) }, 20*time.Second, 50*time.Millisecond)
			seen := heartbeat(0, 0).GetIndex()
			fullReplyBytes := proto.Size(heartbeat(0, 0))
			n := 0
			b.ResetTimer()
			var resp *pb.HeartbeatResponse
			for b.Loop() {
				n++
				resp = heartbeat(n%size.routers, seen)
			}
			b.ReportMetric(float64(proto.Size(heartbeatRequest(1, seen, 2))), "request-bytes")
			b.ReportMetric(float64(proto.Size(resp)), "reply-bytes")
			b.ReportMetric(float64(fullReplyBytes), "whole-reply-bytes")
		})
	}
}

// assignmentSettled reports whether no command is applied for 400 ms, which means
// that the assignment of servers no longer changes.
func assignmentSettled(r *replica.Replica) bool {
	before := r.Status().Applied
	time.Sleep(400 * time.Millisecond)
	return r.Status().Applied == before
}

func heartbeatRequest(i int, seen uint64, owned int) *pb.HeartbeatRequest {
	r := &pb.HeartbeatRequest{
		Instance:      fmt.Sprintf("entry-%04d", i),
		Incarnation:   1796364816000000000,
		CallerAddress: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250),
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:7201", i/250, i%250),
		FailureDomain: fmt.Sprintf("domain-%02d", i%11),
		SeenIndex:     seen,
	}
	for n := range owned {
		r.Loads = append(r.Loads, &pb.LoadReport{
			BackendServer: fmt.Sprintf("assist-models-%04d", 2*i+n),
			Load:          17,
			Epoch:         4711,
			Counter:       123456,
		})
	}
	return r
}
