package view_test

// This file tests which instance a View returns as the owner of a server.

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
