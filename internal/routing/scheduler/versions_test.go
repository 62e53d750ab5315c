package scheduler_test

// This file tests when the version of a server is known.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

// newVersionedService returns a service of which a and b have the version v1.
func newVersionedService(t *testing.T) *restartService {
	s := newRestartService(t)
	for i := range s.list {
		s.list[i].Version = "v1"
	}
	s.SetServers(s.now, s.list)
	return s
}

// placeBound places a stream of v1 at a, or nowhere.
func (s *restartService) placeBound() (scheduler.Decision, uint64) {
	s.id++
	d, decided := s.Schedule(s.now, scheduler.Request{
		ID:      s.id,
		Tried:   []string{"b"},
		Version: "v1",
	})
	require.True(s.t, decided)
	return d, s.id
}

// TestVersionIsUnknownAfterACrash guards against a stream that goes on at a server which has crashed and is
// back with another version, as the list shows only later. Requests that need no version find it at once.
func TestVersionIsUnknownAfterACrash(t *testing.T) {
	for name, down := range map[string]func(s *restartService){
		"down": func(s *restartService) {
			s.report(scheduler.Report{
				Event: scheduler.Down,
			})
		},
		"not reached": func(s *restartService) {
			s.report(scheduler.Report{
				Event: scheduler.Unreachable,
			})
		},
		"told by another instance": func(s *restartService) { s.NoteCrash(s.now, "a", s.now, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newVersionedService(t)
			d, _ := s.placeBound()
			require.Equal(t, "a", d.Server)
			require.False(t, d.VersionUnknown)
			down(s)
			require.False(t, s.VersionKnown("a"))
			require.True(t, s.VersionKnown("b"))
			s.now += 10 * time.Second
			s.RecordListRead(s.now, s.now)
			d, _ = s.placeBound()
			require.Equal(t, scheduler.VersionUnknown, d.Refusal, "it has not answered yet")
			d, id := s.place()
			require.Equal(t, "a", d.Server)
			require.True(t, d.VersionUnknown)
			s.Report(s.now, id, scheduler.Report{
				Event: scheduler.Done,
			})
			back := s.now
			s.now += 3 * time.Second
			s.RecordListRead(s.now, back+1900*time.Millisecond)
			d, _ = s.placeBound()
			require.Equal(t, scheduler.VersionUnknown, d.Refusal, "the list was read too early")
			s.RecordListRead(s.now, back+2*time.Second)
			require.True(t, s.VersionsKnown())
			d, _ = s.placeBound()
			require.Equal(t, "a", d.Server)
			require.False(t, d.VersionUnknown)
		})
	}
}

// TestVersionWithoutTheAgeOfTheList: the control group is led by an older build, or by none. The version
// counts as known some seconds after the return.
func TestVersionWithoutTheAgeOfTheList(t *testing.T) {
	s := newVersionedService(t)
	s.report(scheduler.Report{
		Event: scheduler.Down,
	})
	s.now += 10 * time.Second
	s.report(scheduler.Report{
		Event: scheduler.Done,
	})
	s.RecordListRead(s.now+4*time.Second, 0)
	require.False(t, s.VersionsKnown())
	s.RecordListRead(s.now+5*time.Second, 0)
	require.True(t, s.VersionsKnown())
}

// TestVersionOfAServerThatDidNotGoDown: a server that breaks a response, or can't be reached by one request
// while others are in progress there, keeps its version, so that streams go on.
func TestVersionOfAServerThatDidNotGoDown(t *testing.T) {
	s := newVersionedService(t)
	_, held := s.place()
	s.Report(s.now, held, scheduler.Report{
		Event: scheduler.Started,
	})
	for _, e := range []scheduler.Event{scheduler.Broken, scheduler.Unreachable, scheduler.Rejected, scheduler.Failed} {
		s.report(scheduler.Report{
			Event: e,
		})
		require.True(t, s.VersionKnown("a"), "event %d", e)
		s.now += 10 * time.Second
	}
}

// TestVersionOfANewIncarnation: one that an answer shows has an unknown version, one that the list shows
// has the version in the list.
func TestVersionOfANewIncarnation(t *testing.T) {
	for evidence, restart := range restarts {
		s := newVersionedService(t)
		s.leave()
		s.now += 5 * time.Second
		restart(s)
		require.Equal(t, evidence != "answered", s.VersionKnown("a"), evidence)
		s.now += 10 * time.Second
		s.RecordListRead(s.now, s.now)
		require.True(t, s.VersionKnown("a"), evidence)
	}
}

// TestVersionThatNoServerHas guards against a refusal that reads as if no server were listed: an instance with
// another view would then choose one by itself.
func TestVersionThatNoServerHas(t *testing.T) {
	s := newVersionedService(t)
	d, _ := s.Schedule(s.now, scheduler.Request{
		ID:      100,
		Version: "v3",
	})
	require.Equal(t, scheduler.NoVersion, d.Refusal)
	s.SetServers(s.now, nil)
	d, _ = s.Schedule(s.now, scheduler.Request{
		ID:      101,
		Version: "v3",
	})
	require.Equal(t, scheduler.NoServer, d.Refusal)
}

// TestListReadBeforeACrashNamesNoVersion guards against a stream that goes on at a server which has crashed,
// as a list that was read before shows it as another incarnation after that.
func TestListReadBeforeACrashNamesNoVersion(t *testing.T) {
	for name, change := range map[string]func(l *scheduler.Server){
		"joined again": func(l *scheduler.Server) { l.JoinedMs++ },
		"new address":  func(l *scheduler.Server) { l.Address = "a:2" },
		"ready again":  func(l *scheduler.Server) { l.Leaving = false },
	} {
		s := newVersionedService(t)
		s.list[0].Leaving = name == "ready again"
		s.SetServers(s.now, s.list)
		s.NoteCrash(s.now, "a", s.now, 0)
		change(&s.list[0])
		s.SetServers(s.now, s.list)
		require.False(t, s.VersionKnown("a"), name)
		s.now += time.Second
		s.report(scheduler.Report{
			Event: scheduler.Done,
		})
		s.RecordListRead(s.now, s.now+2*time.Second)
		require.True(t, s.VersionKnown("a"), name)
	}
}
