package placer_test

// This file tests which instances remember the versions of streams, and that a stream is placed at
// its version only.

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/incarnation"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/streamversion"
	"camphorspoke/internal/routing/view"
)

// StreamVersion serves the records of an instance, as peerserver does.
func (i *instance) StreamVersion(_ context.Context, r *pb.StreamVersionRequest) (*pb.StreamVersionResponse, error) {
	record, known := i.placer.Schedulers().StreamRecord(r.GetService(), r.GetStream())
	if override := i.record.Load(); override != nil {
		record, known = *override, true
	}
	return &pb.StreamVersionResponse{
		Known:   known,
		Version: record.Version,
		Begun:   record.Begun,
	}, nil
}

// newVersionFleet starts n instances that list the engines e0 and e2 of version v1, and e1 of
// version v2. The list was read long enough after their start. It also returns the order of the
// deciders, and the view.
func newVersionFleet(t *testing.T, n int) (map[string]*instance, []string, *view.View) {
	t.Helper()
	fleet, order, v := startFleet(t, n, 0, nil, nil)
	for _, in := range fleet {
		in.readList(in.now() + incarnation.ListLag)
	}
	return fleet, order, updateVersions(fleet, v, "v1", "v2", "v1")
}

// updateVersions lists the engines e0, e1 and e2 with the given versions at all instances, and returns the view.
func updateVersions(fleet map[string]*instance, v *view.View, versions ...string) *view.View {
	v = withVersions(v, versions...)
	for _, in := range fleet {
		in.placer.Update(v)
	}
	return v
}

// withVersions returns a view that lists the engines e0, e1 and e2 with the given versions.
func withVersions(v *view.View, versions ...string) *view.View {
	var servers []*pb.BackendServer
	for i, version := range versions {
		name := fmt.Sprintf("e%d", i)
		servers = append(servers, &pb.BackendServer{
			Name:    name,
			Service: service,
			Address: name + ":1",
			Version: version,
		})
	}
	return v.WithTables(v.Index+1, false, servers, nil)
}

// begin places a stream at an instance, whose server sends the first event, and returns its version.
func begin(t *testing.T, in *instance, stream uint64) string {
	t.Helper()
	g, err := in.placer.Place(t.Context(), service, newRequest(1, stream))
	require.NoError(t, err)
	g.Stream = stream
	require.True(t, g.RecordEvent(0))
	return g.Version
}

// TestVersionOfStreamOutlivesInstances: the instance that relayed a stream and the deciders of the
// service are killed at the same time. It guards against a record that is lost with them, so that
// their callers' streams are refused while two versions serve.
func TestVersionOfStreamOutlivesInstances(t *testing.T) {
	fleet, order, _ := newVersionFleet(t, 7)
	relay := fleet[order[6]]
	versions := make(map[uint64]string)
	for stream := uint64(1); stream <= 20; stream++ {
		versions[stream] = begin(t, relay, stream)
	}
	require.Eventually(t, func() bool {
		for _, holder := range order[1:4] {
			if _, known := fleet[holder].placer.Schedulers().StreamRecord(service, 20); !known {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
	for _, name := range []string{order[6], order[0], order[1], order[2]} {
		fleet[name].stop()
	}
	for stream, want := range versions {
		record, known := fleet[order[5]].placer.StreamVersion(t.Context(), service, stream, true)
		require.True(t, known)
		require.Equal(t, want, record.Version)
	}
	_, known := fleet[order[5]].placer.StreamVersion(t.Context(), service, 99, true)
	require.False(t, known, "nobody has relayed this stream, and two versions serve")
}

// TestRunWithoutAnEventDoesNotBindItsStream guards against a stream that goes on at the version of a run
// which brought no event: a server answers and breaks off, and the stream begins at one of another
// version, while its caller takes it up at once, at any instance.
func TestRunWithoutAnEventDoesNotBindItsStream(t *testing.T) {
	fleet, order, _ := newVersionFleet(t, 5)
	for stream := uint64(1); stream <= 20; stream++ {
		g, err := placeOnlyAt(t, fleet[order[4]], "e1", "", 2*stream)
		require.NoError(t, err)
		g.Stream = stream
		g.Report(scheduler.Report{
			Event: scheduler.Started,
		})
		g.Report(scheduler.Report{
			Event: scheduler.Cancelled,
		})
		g, err = placeOnlyAt(t, fleet[order[4]], "e0", "", 2*stream+1)
		require.NoError(t, err)
		g.Stream = stream
		require.True(t, g.RecordEvent(0))
		for _, in := range fleet {
			require.Eventually(t, func() bool {
				record, known := in.placer.StreamVersion(t.Context(), service, stream, true)
				return known && record.Version == "v1"
			}, 5*time.Second, 10*time.Millisecond)
		}
		g.Report(scheduler.Report{
			Event: scheduler.Done,
		})
	}
}

// TestRecordsOfOlderBuilds: instances of a build that records a stream when a server answers have records of
// two versions, as the run at one brought no event. It guards against believing the first answer, and
// against refusing streams of which all records are the same.
func TestRecordsOfOlderBuilds(t *testing.T) {
	fleet, order, _ := newVersionFleet(t, 4)
	set := func(i int, version string, begun bool) {
		fleet[order[i]].record.Store(&streamversion.Record{
			Version: version,
			Begun:   begun,
		})
	}
	taker := fleet[order[3]].placer
	set(0, "v1", false)
	set(1, "v2", false)
	_, known := taker.StreamVersion(t.Context(), service, 5, true)
	require.False(t, known)
	set(1, "v1", false)
	record, known := taker.StreamVersion(t.Context(), service, 5, true)
	require.True(t, known)
	require.Equal(t, "v1", record.Version)
	g, err := placeOnlyAt(t, fleet[order[3]], "e0", "v1", 1000)
	require.NoError(t, err)
	g.Stream, g.BeginUnknown = 5, !record.Begun
	require.True(t, g.RecordEvent(0))
	own, _ := taker.Schedulers().StreamRecord(service, 5)
	require.False(t, own.Begun, "that the stream goes on at a version does not show that it began there")
	set(0, streamversion.Unknown, true)
	set(1, "v2", true)
	record, known = taker.StreamVersion(t.Context(), service, 5, true)
	require.True(t, known, "one instance knows which version has begun the stream")
	require.Equal(t, "v2", record.Version)
}

// TestCallerIsBackBeforeTheRecord guards against refusing a stream that has just begun, as its record is still on
// its way, and against waiting in vain for an instance that does not answer meanwhile.
func TestCallerIsBackBeforeTheRecord(t *testing.T) {
	fleet, order, v := newVersionFleet(t, 7)
	taker := fleet[order[6]].placer
	_, known := taker.StreamVersion(t.Context(), service, 1, true) // connects to all instances
	require.False(t, known)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	for stream := uint64(2); stream <= 3; stream++ {
		time.AfterFunc(10*time.Millisecond, func() {
			fleet[order[0]].record.Store(&streamversion.Record{
				Version: "v1",
				Begun:   true,
			})
		})
		record, known := taker.StreamVersion(t.Context(), service, stream, true)
		require.True(t, known)
		require.Equal(t, "v1", record.Version)
		fleet[order[0]].record.Store(nil)
		taker.Update(v.WithTables(v.Index+1, false, nil, []*pb.Instance{{
			Name:        order[3],
			PeerAddress: silent.Addr().String(),
		}}))
	}
}

// TestUnknownStreamWhileVersionsChange: a stream of which there is no record goes on if all servers
// that were listed lately have one version, and not otherwise: a version that has just gone may
// have begun it, and an instance whose view is not confirmed does not know the versions.
func TestUnknownStreamWhileVersionsChange(t *testing.T) {
	fleet, order, v := newVersionFleet(t, 1)
	p := fleet[order[0]].placer
	listE1 := func(gone time.Duration) {
		v = v.WithTables(v.Index+1, false, []*pb.BackendServer{{
			Name:    "e1",
			Service: service,
			Address: "e1:1",
			Version: "v2",
			Gone:    true,
			GoneMs:  time.Now().Add(-gone).UnixMilli(),
		}}, nil)
		p.Update(v)
	}
	_, known := p.StreamVersion(t.Context(), service, 99, true)
	require.False(t, known)
	listE1(time.Second)
	_, known = p.StreamVersion(t.Context(), service, 99, true)
	require.False(t, known, "the other version has only just gone")
	listE1(time.Hour)
	record, known := p.StreamVersion(t.Context(), service, 99, true)
	require.True(t, known)
	require.Equal(t, "v1", record.Version)
	_, known = p.StreamVersion(t.Context(), service, 99, false)
	require.False(t, known, "the view is not confirmed")
}

// TestBoundRequestIsPlacedAtItsVersion: requests that are bound to a version are placed at its
// servers only, at the decider and at another instance; and where no server has the version, they
// are refused at once.
func TestBoundRequestIsPlacedAtItsVersion(t *testing.T) {
	fleet, order, _ := newVersionFleet(t, 3)
	for name, in := range map[string]*instance{"decider": fleet[order[0]], "other": fleet[order[2]]} {
		for n := range uint64(10) {
			for _, version := range []string{"v1", "v2"} {
				req := newRequest(1, n)
				req.Version = version
				g, err := in.placer.Place(t.Context(), service, req)
				require.NoError(t, err, name)
				require.Equal(t, version, g.Version, name)
				g.Report(scheduler.Report{
					Event: scheduler.Done,
				})
			}
		}
		req := newRequest(1, 1)
		req.Version, req.MaxWait = "v3", 10*time.Second
		start := time.Now()
		_, err := in.placer.Place(t.Context(), service, req)
		require.Error(t, err)
		require.Less(t, time.Since(start), 5*time.Second, "a version that no server has is waited for")
	}
}

// TestDeciderThatDoesNotReadVersions: the decider is of an older build and places a request at any
// version. The instance must not send it there.
func TestDeciderThatDoesNotReadVersions(t *testing.T) {
	fleet, order, _ := newVersionFleet(t, 3)
	fleet[order[0]].ignoresVersions.Store(true)
	for n := range uint64(20) {
		req := newRequest(1, n)
		req.Version = "v2"
		g, err := fleet[order[2]].placer.Place(t.Context(), service, req)
		require.NoError(t, err)
		require.Equal(t, "v2", g.Version)
		g.Report(scheduler.Report{
			Event: scheduler.Done,
		})
	}
}
