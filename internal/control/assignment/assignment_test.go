package assignment

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// TestPlanConverges checks that applying plans repeatedly ends in a state that
// needs no change, in which the servers are balanced and no router that is
// leaving owns one.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var in Input
		for i := range rapid.IntRange(1, 6).Draw(rt, "routers") {
			in.Routers = append(in.Routers, Router{
				Name:          fmt.Sprintf("n%d", i),
				Incarnation:   1,
				FailureDomain: fmt.Sprintf("d%d", i%2),
				Leaving:       i > 0 && rapid.Bool().Draw(rt, "leaving"),
			})
		}
		for i := range rapid.IntRange(0, 12).Draw(rt, "servers") {
			in.Servers = append(in.Servers, &pb.BackendServer{
				Name:             fmt.Sprintf("s%d", i),
				FailureDomain:    fmt.Sprintf("d%d", i%3),
				Owner:            rapid.SampledFrom([]string{"", "n0", "n1", "dead"}).Draw(rt, "owner"),
				OwnerIncarnation: 1,
			})
		}
		in.Reassignable = func(s *pb.BackendServer) bool { return s.GetOwner() == "" || s.GetOwner() == "dead" }
		converged := false
		for range 100 {
			p := NewPlan(in)
			if len(p.Assign)+len(p.Move) == 0 {
				converged = true
				break
			}
			for _, a := range append(p.Assign, p.Move...) {
				for _, s := range in.Servers {
					if s.GetName() == a.GetBackendServer() {
						s.Owner, s.OwnerIncarnation = a.GetOwner(), a.GetOwnerIncarnation()
					}
				}
			}
		}
		require.True(rt, converged, "plans still change ownership after 100 rounds")
		count := make(map[string]int)
		low, high := len(in.Servers), 0
		for _, s := range in.Servers {
			count[s.GetOwner()]++
		}
		for _, r := range in.Routers {
			if r.Leaving {
				require.Zero(rt, count[r.Name])
				continue
			}
			low, high = min(low, count[r.Name]), max(high, count[r.Name])
		}
		require.LessOrEqual(rt, high-low, 1)
	})
}
