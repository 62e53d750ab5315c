package goneservers_test

// This file tests when rows are removed, and how much 60 days of releases leave.

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/control/goneservers"
	"camphorspoke/internal/control/ledger"
	"camphorspoke/internal/control/tables"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// row returns the row of one of the servers that a release has started.
func row(i, release int, unix int64, gone bool) *pb.BackendServer {
	return &pb.BackendServer{
		Name:          fmt.Sprintf("i-%04x%06x", i, release),
		Service:       fmt.Sprintf("service-%02d", i%18),
		Address:       fmt.Sprintf("10.%d.%d.%d:8000", release%200, i/250, i%250),
		FailureDomain: fmt.Sprintf("domain-%02d", i%11),
		JoinedMs:      unix,
		Version:       fmt.Sprintf("v%d", release),
		Gone:          gone,
		GoneMs:        unix,
	}
}

// sizes returns the sizes of the ledger, of a view, of a snapshot, and of what a daemon reads that joins.
func sizes(t *testing.T, l *ledger.Ledger, v *view.View) map[string]int {
	snapshot, err := l.Encode()
	require.NoError(t, err)
	whole, err := (&tables.Source{Ledger: l, Now: func() time.Duration { return 0 }}).Read(t.Context(), &pb.TablesRequest{})
	require.NoError(t, err)
	return map[string]int{"ledger": len(l.Changes(0).Servers), "view": len(v.Servers), "snapshot": len(snapshot), "joiner": len(whole.GetRows())}
}

// TestSixtyDaysOfReleasesLeaveWhatTwoDaysDo guards against ledgers, snapshots and views that grow with each release, as
// the rows of replaced servers stay, and against commands that remove any number of rows while they lock the ledger. Two
// releases a day replace 710 servers under new names; the leader changes every seven hours.
func TestSixtyDaysOfReleasesLeaveWhatTwoDaysDo(t *testing.T) {
	const servers, step, stepsPerDay = 710, 20 * time.Minute, 72
	l, v, tracker := &ledger.Ledger{}, &view.View{}, goneservers.Tracker{}
	var index uint64
	apply := func(c *pb.Command) {
		index++
		l.Apply(index, c)
	}
	second, most := map[string]int{}, 0
	for n := range 60 * stepsPerDay {
		unix := time.Unix(1e9, 0).Add(time.Duration(n) * step)
		for i := 0; n%(stepsPerDay/2) == 0 && i < servers; i++ {
			release := n / (stepsPerDay / 2)
			rows := []*pb.BackendServer{row(i, release, unix.UnixMilli(), false), row(i, release-1, unix.UnixMilli(), true)}
			apply(&pb.Command{Kind: &pb.Command_UpdateServers{UpdateServers: &pb.UpdateServers{Servers: rows}}})
		}
		if n%21 == 0 {
			tracker = goneservers.Tracker{}
		}
		gone, removed := l.GoneServers(), l.RemovedServers()
		most = max(most, servers+len(gone))
		r := tracker.Decide(time.Duration(n)*step, unix, gone, 30*time.Second)
		apply(&pb.Command{Kind: &pb.Command_RemoveServers{RemoveServers: &pb.RemoveServers{ThroughIndex: r.Through, DrainedThroughIndex: r.DrainedThrough}}})
		require.EqualValues(t, r.Rows, l.RemovedServers()-removed)
		require.LessOrEqual(t, r.Rows, 512)
		c := l.Changes(v.Index)
		v = v.WithoutGone(c.RemovedIndex).WithTables(c.Index, c.Whole, c.Servers, c.Instances)
		if n == 2*stepsPerDay-1 {
			second = sizes(t, l, v)
		}
	}
	last := sizes(t, l, v)
	t.Logf("after 2 days %v, after 60 days %v; at most %d rows", second, last, most)
	for what := range second {
		require.InEpsilon(t, second[what], last[what], 0.1, what)
	}
	require.Equal(t, servers, last["view"])
	require.Equal(t, 2*servers, most)
}

// TestRowsAreKeptAsLongAsNeeded: a row is kept while the clock of the leader, or its predecessor's, may be wrong, while
// streams are remembered, and for a day if an operator drained the server.
func TestRowsAreKeptAsLongAsNeeded(t *testing.T) {
	unix := time.Unix(1e9, 0)
	for name, c := range map[string]struct {
		age, observed, stream time.Duration
		drained, needed       bool
		rows                  int
	}{
		"old":                       {age: time.Hour, observed: 10 * time.Minute, rows: 1},
		"young":                     {age: time.Hour - time.Millisecond, observed: time.Hour},
		"the wall clock has jumped": {age: 9 * time.Hour, observed: 9 * time.Minute},
		"a stream of two hours":     {age: 119 * time.Minute, observed: 2 * time.Hour, stream: 2 * time.Hour},
		"after that":                {age: 2 * time.Hour, observed: 2 * time.Hour, stream: 2 * time.Hour, rows: 1},
		"drained":                   {age: 23 * time.Hour, observed: time.Hour, drained: true},
		"drained yesterday":         {age: 24 * time.Hour, observed: time.Hour, drained: true, rows: 1},
		"needed":                    {age: 24 * time.Hour, observed: time.Hour, needed: true},
	} {
		gone := []ledger.GoneServer{{
			Row:    &pb.BackendServer{Gone: true, GoneMs: unix.Add(-c.age).UnixMilli(), Drained: c.drained, ChangedIndex: 7},
			Needed: c.needed,
		}}
		var tracker goneservers.Tracker
		require.Zero(t, tracker.Decide(time.Hour, unix, gone, c.stream).Rows, name)
		require.Equal(t, c.rows, tracker.Decide(time.Hour+c.observed, unix, gone, c.stream).Rows, name)
	}
}
