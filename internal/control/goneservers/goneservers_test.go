package goneservers_test

// This file tests when rows are removed, and how much 60 days of releases leave.

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/control/goneservers"
	"camphorspoke/internal/control/ledger"
	"camphorspoke/internal/control/tables"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

const (
	fleetServers = 710
	step         = 20 * time.Minute
	stepsPerDay  = int(24 * time.Hour / step)
	// releaseSteps is over how many steps a release replaces the servers.
	releaseSteps = 3
)

// fleet is the ledger of a fleet whose servers are replaced under new names, and the view of a router.
type fleet struct {
	t       *testing.T
	ledger  *ledger.Ledger
	tracker goneservers.Tracker
	view    *view.View
	index   uint64
	now     time.Duration
	start   time.Time
	names   [fleetServers]string
	removes bool
	removed uint64
	// most is the highest number of rows in the ledger at any time.
	most int
}

func (f *fleet) apply(c *pb.Command) {
	f.index++
	require.Empty(f.t, f.ledger.Apply(f.index, c).GetFailure())
}

func (f *fleet) update(rows ...*pb.BackendServer) {
	f.apply(&pb.Command{Kind: &pb.Command_UpdateServers{UpdateServers: &pb.UpdateServers{Servers: rows}}})
}

// replace starts a new server in place of one, which is marked gone.
func (f *fleet) replace(i, generation int) {
	unix := f.start.Add(f.now).UnixMilli()
	row := &pb.BackendServer{
		Name:          fmt.Sprintf("i-%04x%06x", i, generation),
		Service:       fmt.Sprintf("service-%02d", i%18),
		Address:       fmt.Sprintf("10.%d.%d.%d:8000", generation%200, i/250, i%250),
		FailureDomain: fmt.Sprintf("domain-%02d", i%11),
		Slots:         64,
		JoinedMs:      unix,
		Version:       fmt.Sprintf("v%d", generation),
	}
	rows := []*pb.BackendServer{row}
	if old := f.ledger.Server(f.names[i]); old != nil {
		gone := proto.Clone(old).(*pb.BackendServer)
		gone.Gone, gone.GoneMs = true, unix
		rows = append(rows, gone)
	}
	f.update(rows...)
	f.names[i] = row.GetName()
}

// remove applies the next removal, and brings the view up to date.
func (f *fleet) remove() {
	if f.removes {
		gone := f.ledger.GoneServers()
		f.most = max(f.most, fleetServers+len(gone))
		r := f.tracker.Decide(f.now, f.start.Add(f.now), gone, 30*time.Second)
		f.apply(&pb.Command{Kind: &pb.Command_RemoveServers{RemoveServers: &pb.RemoveServers{ThroughIndex: r.Through, DrainedThroughIndex: r.DrainedThrough}}})
		require.EqualValues(f.t, r.Rows, f.ledger.RemovedServers()-f.removed)
		f.removed = f.ledger.RemovedServers()
	}
	c := f.ledger.Changes(f.view.Index)
	if c.Len() == 0 && c.RemovedIndex == f.view.RemovedIndex {
		f.view = f.view.WithIndex(c.Index)
		return
	}
	f.view = f.view.WithoutGone(c.RemovedIndex).WithTables(c.Index, c.Whole, c.Servers, c.Instances)
}

// sizes are the sizes of what a fleet keeps of its servers, and of what a daemon reads that joins.
type sizes struct {
	ledgerRows, viewRows     int
	snapshotBytes, joinBytes int
}

func (f *fleet) sizes() sizes {
	snapshot, err := f.ledger.Encode()
	require.NoError(f.t, err)
	source := &tables.Source{
		Ledger: f.ledger,
		Now:    func() time.Duration { return f.now },
	}
	whole, err := source.Read(f.t.Context(), &pb.TablesRequest{})
	require.NoError(f.t, err)
	return sizes{
		ledgerRows:    len(f.ledger.Changes(0).Servers),
		viewRows:      len(f.view.Servers),
		snapshotBytes: len(snapshot),
		joinBytes:     len(whole.GetRows()),
	}
}

// run plays days with two releases each, with another leader every seven hours, and returns the
// sizes after two days and after all of them.
func (f *fleet) run(days int) (second, last sizes) {
	for n := range days * stepsPerDay {
		f.now = time.Duration(n) * step
		release, at := n/(stepsPerDay/2), n%(stepsPerDay/2)
		for i := 0; at < releaseSteps && i < fleetServers; i++ {
			if i%releaseSteps == at {
				f.replace(i, release)
			}
		}
		if n%(7*3) == 0 {
			f.tracker = goneservers.Tracker{}
		}
		f.remove()
		if n == 2*stepsPerDay-1 {
			second = f.sizes()
		}
	}
	return second, f.sizes()
}

func newFleet(t *testing.T, removes bool) *fleet {
	return &fleet{
		t:       t,
		ledger:  &ledger.Ledger{},
		view:    &view.View{},
		start:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		removes: removes,
	}
}

// TestSixtyDaysOfReleasesLeaveWhatTwoDaysDo guards against ledgers, snapshots and views that grow with each release, as
// the rows of replaced servers stay.
func TestSixtyDaysOfReleasesLeaveWhatTwoDaysDo(t *testing.T) {
	f := newFleet(t, true)
	second, last := f.run(60)
	t.Logf("after 2 days %+v, after 60 days %+v; at most %d rows", second, last, f.most)
	_, kept := newFleet(t, false).run(2)
	t.Logf("with all rows kept, after 2 days %+v", kept)
	for what, pair := range map[string][2]int{
		"ledger":   {second.ledgerRows, last.ledgerRows},
		"view":     {second.viewRows, last.viewRows},
		"snapshot": {second.snapshotBytes, last.snapshotBytes},
		"joiner":   {second.joinBytes, last.joinBytes},
	} {
		require.InEpsilon(t, pair[0], pair[1], 0.1, what)
	}
	require.Equal(t, fleetServers, last.viewRows)
	require.Less(t, f.most, 3*fleetServers)
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
		t.Run(name, func(t *testing.T) {
			gone := []ledger.GoneServer{{
				Row:    &pb.BackendServer{Name: "a", Gone: true, GoneMs: unix.Add(-c.age).UnixMilli(), Drained: c.drained, ChangedIndex: 7},
				Needed: c.needed,
			}}
			var tracker goneservers.Tracker
			require.Zero(t, tracker.Decide(time.Hour, unix, gone, c.stream).Rows)
			require.Equal(t, c.rows, tracker.Decide(time.Hour+c.observed, unix, gone, c.stream).Rows)
		})
	}
}

// TestRemovalsAreBounded guards against a command that holds the lock of a ledger for long, when rows have
// accumulated under builds that keep them.
func TestRemovalsAreBounded(t *testing.T) {
	var gone []ledger.GoneServer
	for i := range 1420 {
		gone = append(gone, ledger.GoneServer{
			Row: &pb.BackendServer{Name: fmt.Sprint(i), Gone: true, ChangedIndex: uint64(i + 1)},
		})
	}
	var tracker goneservers.Tracker
	tracker.Decide(0, time.Now(), gone, 0)
	var removed []int
	for len(gone) > 0 {
		r := tracker.Decide(time.Hour, time.Now(), gone, 0)
		removed = append(removed, r.Rows)
		gone = gone[r.Rows:]
	}
	require.Equal(t, []int{512, 512, 396}, removed)
}
