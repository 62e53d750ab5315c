package view_test

// This file tests which servers a View returns as accepting and which instance as the owner
// of a server.

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// TestOwnerIsARunningProcess checks that an instance that has restarted does not
// own the servers that were assigned to its previous process.
func TestOwnerIsARunningProcess(t *testing.T) {
	v := (&view.View{}).WithTables(1, true, []*pb.BackendServer{
		{
			Name:             "e0",
			Owner:            "n0",
			OwnerIncarnation: 7,
		},
		{
			Name: "e1",
		},
	}, []*pb.Instance{
		{
			Name:        "n0",
			Incarnation: 7,
		},
	})
	require.Equal(t, "n0", v.Owner("e0").GetName())
	require.Nil(t, v.Owner("e1"))
	require.Nil(t, v.Owner("e2"))
	restarted := v.WithTables(2, false, nil, []*pb.Instance{
		{
			Name:        "n0",
			Incarnation: 8,
		},
	})
	require.Nil(t, restarted.Owner("e0"))
}

// TestEvacuatedServersAcceptNothing: a server in an evacuated failure domain is not among
// those that a request may go to, also if its row comes after the evacuation, and is again
// once the evacuation has ended.
func TestEvacuatedServersAcceptNothing(t *testing.T) {
	evacuate := func(v *view.View, full, active bool) *view.View {
		return v.WithEvacuations(full, []*pb.Evacuation{{
			FailureDomain: "a",
			Active:        active,
		}})
	}
	rows := []*pb.BackendServer{{Name: "s1", Service: "llm", FailureDomain: "a"}, {Name: "s2", Service: "llm", FailureDomain: "b"}, {Name: "s3", Service: "llm"}}
	names := func(v *view.View) []string {
		var out []string
		for _, s := range v.WeightedServers("llm") {
			out = append(out, s.Name)
		}
		require.Len(t, v.AcceptingServers("llm"), len(out))
		return out
	}
	v := evacuate(&view.View{}, true, true).WithTables(1, false, rows, nil)
	require.Equal(t, []string{"s2", "s3"}, names(v))
	require.True(t, v.IsEvacuated(v.Servers["s1"]))
	require.Equal(t, []string{"s1", "s2", "s3"}, names(evacuate(v, false, false)))
	require.Equal(t, []string{"s1", "s2", "s3"}, names(v.WithEvacuations(true, nil)))
	require.Equal(t, []string{"s2", "s3"}, names(v.WithEvacuations(false, nil)))
	require.Equal(t, []string{"s2", "s3"}, names(v.WithTables(2, true, rows, nil)))
}
