package placer_test

// This file tests servers that leave while the decider is cut off from the control group.

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// TestStaleDeciderSendsNothingToLeavingServer: the decider is cut off from the control group, but not
// from the other instances, and does not receive that a server leaves or is drained. An instance
// that has received it must not send the server what that decider grants.
func TestStaleDeciderSendsNothingToLeavingServer(t *testing.T) {
	for name, change := range map[string]func(*pb.BackendServer){
		"leaving": func(s *pb.BackendServer) { s.Leaving = true },
		"drained": func(s *pb.BackendServer) { s.Drained = true },
	} {
		t.Run(name, func(t *testing.T) {
			fleet, order, v := newDomainFleet(t, 3, nil)
			row := server("e1", "b")
			change(row)
			requester := fleet[order[2]].placer
			requester.Update(v.WithTables(2, false, []*pb.BackendServer{row}, nil))
			withdrawn := 0
			for n := range uint64(8) {
				g, err := requester.Place(t.Context(), service, newRequest(100+n, 1000+n))
				require.NoError(t, err)
				require.NotEqual(t, "e1", g.Server)
				require.Equal(t, order[0], g.Decider)
				withdrawn += g.Withdrawn
			}
			require.NotZero(t, withdrawn)
		})
	}
}
