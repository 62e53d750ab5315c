package membership_test

// This file tests how an agent follows the removal of rows of servers that are gone.

import (
	"io"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/daemon/membership"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

func serverRow(name string, changed uint64, gone bool) *pb.BackendServer {
	return &pb.BackendServer{
		Name:         name,
		ChangedIndex: changed,
		Gone:         gone,
	}
}

// TestViewDropsRemovedRows guards against views that grow with each replaced server. A row that is still gone
// leaves the view with the answer that states its removal, also if a replica that has kept the row, as it is of an
// older build, sends it again; a leader of an older build states none. A server that is back is kept.
func TestViewDropsRemovedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		s.set(&pb.HeartbeatResponse{
			Index:   5,
			Whole:   true,
			Servers: []*pb.BackendServer{serverRow("a", 1, false), serverRow("b", 3, true), serverRow("c", 4, true), serverRow("d", 5, true)},
		}, nil)
		log := logrus.New()
		log.SetOutput(io.Discard)
		start := time.Now()
		a, stop := membership.New(membership.Config{
			Instance:     "i",
			Control:      s,
			Logger:       log,
			Checker:      &invariant.Checker{},
			Now:          func() time.Duration { return time.Since(start) },
			Loads:        func() []*pb.LoadReport { return nil },
			OnLoads:      func([]*pb.LoadReport) {},
			OnViewChange: func(_, _ *view.View) {},
			OnHandover:   func(*pb.Assignment) {},
		})
		defer stop()
		names := func() []string { return slices.Sorted(maps.Keys(a.View().Servers)) }
		a.Start()
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"a", "b", "c", "d"}, names())

		s.set(&pb.HeartbeatResponse{Index: 7, RemovedIndex: 4, Servers: []*pb.BackendServer{serverRow("c", 7, false)}}, nil)
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"a", "c", "d"}, names())

		s.set(&pb.HeartbeatResponse{Index: 9, Whole: true, Servers: []*pb.BackendServer{
			serverRow("a", 1, false), serverRow("b", 3, true), serverRow("c", 7, false), serverRow("d", 5, true),
		}}, nil)
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"a", "c", "d"}, names())
	})
}
