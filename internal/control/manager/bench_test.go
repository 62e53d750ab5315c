package manager_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/replica"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// listOf is a platform with a fixed list.
type listOf []*pb.ListedServer

func (l listOf) List(context.Context) ([]*pb.ListedServer, error) { return l, nil }

// BenchmarkHeartbeat measures one heartbeat at the leader, with the tables of
// a fleet of the given size already known to the router.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []struct{ routers, servers int }{{10, 12}, {100, 190}, {370, 710}} {
		b.Run(fmt.Sprintf("routers=%d/servers=%d", size.routers, size.servers), func(b *testing.B) {
			var list listOf
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
				Storage: &memory{},
				Stored:  (&memory{}).stored(),
				Logger:  quiet(),
			})
			require.NoError(b, err)
			defer stop()
			m, stopManager := manager.Start(manager.Config{
				Replica:  r,
				Platform: list,
				Logger:   quiet(),
			})
			defer stopManager()
			require.Eventually(b, m.Leads, 10*time.Second, time.Millisecond)
			beat := func(i int, seen uint64) *pb.HeartbeatResponse {
				resp, err := m.Heartbeat(context.Background(), request(i, seen, 2))
				require.NoError(b, err)
				return resp
			}
			for i := range size.routers {
				beat(i, 0)
			}
			require.Eventually(b, func() bool { return len(r.Ledger.Changes(0).Servers) == size.servers }, 10*time.Second, time.Millisecond)
			require.Eventually(b, func() bool { return settled(r) }, 20*time.Second, 50*time.Millisecond)
			seen := beat(0, 0).GetIndex()
			whole := proto.Size(beat(0, 0))
			n := 0
			b.ResetTimer()
			var resp *pb.HeartbeatResponse
			for b.Loop() {
				n++
				resp = beat(n%size.routers, seen)
			}
			b.ReportMetric(float64(proto.Size(request(1, seen, 2))), "request-bytes")
			b.ReportMetric(float64(proto.Size(resp)), "reply-bytes")
			b.ReportMetric(float64(whole), "whole-reply-bytes")
		})
	}
}

// settled reports whether the assignment has stopped changing.
func settled(r *replica.Replica) bool {
	before := r.Status().Applied
	time.Sleep(400 * time.Millisecond)
	return r.Status().Applied == before
}

func request(i int, seen uint64, owned int) *pb.HeartbeatRequest {
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
