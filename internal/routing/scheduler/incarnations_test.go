package scheduler_test

// This file tests that what is kept of a server ends with its incarnation.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/incarnation"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
)

// restartService is a service of engines a and b, of which a starts anew.
type restartService struct {
	*scheduler.Scheduler

	t    *testing.T
	now  time.Duration
	list []scheduler.Server
	id   uint64
}

func newRestartService(t *testing.T) *restartService {
	s := &restartService{
		Scheduler: scheduler.New(scheduler.Service{
			Engine:      true,
			Slots:       20,
			CacheTokens: 100000,
			LoadBound:   10,
			RetryWindow: 10 * time.Second,
			RetryRatio:  1,
			RetrySlack:  100,
		}),
		t:    t,
		now:  100 * time.Second,
		list: []scheduler.Server{{Name: "a", Accepting: true, Address: "a:1", JoinedMs: 5}, {Name: "b", Accepting: true, Address: "b:1", JoinedMs: 5}},
	}
	s.SetServers(s.now, s.list)
	return s
}

// place grants a request at a alone, and returns its ID.
func (s *restartService) place() (scheduler.Decision, uint64) {
	s.id++
	d, decided := s.Schedule(s.now, scheduler.Request{
		ID:       s.id,
		Instance: "i1",
		Parts:    []prefixcache.Part{{ID: 7, Tokens: 3000}},
		Tried:    []string{"b"},
	})
	require.True(s.t, decided)
	return d, s.id
}

// report places a request at a and reports its end after a second.
func (s *restartService) report(r scheduler.Report) {
	d, id := s.place()
	require.Equal(s.t, "a", d.Server)
	s.now += time.Second
	s.Report(s.now, id, r)
}

// leave lets a announce that it leaves.
func (s *restartService) leave() {
	s.report(scheduler.Report{
		Event:   scheduler.Done,
		Leaving: true,
	})
	d, _ := s.place()
	require.Equal(s.t, scheduler.NoServer, d.Refusal)
}

// relist changes what the list shows of a.
func (s *restartService) relist(change func(*scheduler.Server)) {
	change(&s.list[0])
	s.SetServers(s.now, s.list)
}

// restarts are the ways in which an instance hears of a new incarnation of a, which has announced that it
// leaves 5 s before.
var restarts = map[incarnation.Evidence]func(*restartService){
	incarnation.NewAddress:  func(s *restartService) { s.relist(func(l *scheduler.Server) { l.Address = "a:2" }) },
	incarnation.JoinedAgain: func(s *restartService) { s.relist(func(l *scheduler.Server) { l.JoinedMs++ }) },
	incarnation.ReadyAgain: func(s *restartService) {
		s.relist(func(l *scheduler.Server) { l.Leaving, l.Accepting = true, false })
		s.relist(func(l *scheduler.Server) { l.Leaving, l.Accepting = false, true })
	},
	incarnation.Answered: func(s *restartService) { s.RecordServing(s.now, "a", "a:1", s.now) },
}

// TestNewIncarnationStartsAnew guards against a server that is left out, or that counts as loaded or as
// knowing a prompt, for what the incarnation before has said or done.
func TestNewIncarnationStartsAnew(t *testing.T) {
	for evidence, restart := range restarts {
		t.Run(string(evidence), func(t *testing.T) {
			s := newRestartService(t)
			_, held := s.place()
			for range 2 {
				s.report(scheduler.Report{
					Event: scheduler.Broken,
				})
			}
			s.report(scheduler.Report{
				Event: scheduler.Unreachable,
			})
			s.now += 10 * time.Second
			s.report(scheduler.Report{
				Event:      scheduler.Rejected,
				RetryAfter: time.Minute,
				Leaving:    true,
			})
			s.now += 5 * time.Second
			restart(s)
			got := s.TakeRestarts()
			require.Len(t, got, 1)
			require.Equal(t, scheduler.Restart{
				Server:   "a",
				Evidence: evidence,
			}, got[0])
			_, leaving := s.LeavingSince("a")
			require.False(t, leaving)
			if evidence == incarnation.JoinedAgain {
				// It may have been missing from the list only.
				require.NotZero(t, s.PauseLeft(s.now, "a", "i1"))
				require.Equal(t, 1, s.RunningAt("a"))
				s.now += time.Minute
			} else {
				require.Zero(t, s.PauseLeft(s.now, "a", "i1"))
				require.Zero(t, s.RunningAt("a"))
				d, id := s.place()
				require.Equal(t, "a", d.Server)
				require.Zero(t, d.CachedTokens)
				s.Report(s.now, id, scheduler.Report{
					Event: scheduler.Done,
				})
			}
			s.Report(s.now, held, scheduler.Report{
				Event: scheduler.Done,
			})
			require.Zero(t, s.RunningAt("a"), "the request that stayed behind has ended once")
			d, _ := s.place()
			require.Equal(t, "a", d.Server)
		})
	}
}

// TestRequestsOfTheNewIncarnationCount: an instance hears late that a server has started anew, and has
// granted requests to both incarnations.
func TestRequestsOfTheNewIncarnationCount(t *testing.T) {
	s := newRestartService(t)
	_, before := s.place()
	_, leaver := s.place()
	s.now += time.Second
	_, after := s.place()
	s.Report(s.now, leaver, scheduler.Report{
		Event:     scheduler.Done,
		Leaving:   true,
		LeavingAt: s.now - 900*time.Millisecond,
	})
	require.Equal(t, 2, s.RunningAt("a"))
	s.Report(s.now, after, scheduler.Report{
		Event:  scheduler.Started,
		Opened: s.now + time.Millisecond,
	})
	require.Equal(t, 1, s.RunningAt("a"))
	for _, id := range []uint64{before, after} {
		s.Report(s.now, id, scheduler.Report{
			Event: scheduler.Done,
		})
	}
	require.Zero(t, s.RunningAt("a"))
}

// TestAnnouncementOfAnEndedIncarnationIsIgnored guards against instances that were frozen, or that have an old
// view, and take servers out for all others with what an ended incarnation has said.
func TestAnnouncementOfAnEndedIncarnationIsIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		report  scheduler.Report
		leaving bool
	}{
		"received before it served":     {report: scheduler.Report{Event: scheduler.Done, Leaving: true, LeavingAt: 101 * time.Second}},
		"received after it":             {report: scheduler.Report{Event: scheduler.Done, Leaving: true, LeavingAt: 120 * time.Second}, leaving: true},
		"passed on from an older view":  {report: scheduler.Report{Event: scheduler.Cancelled, Leaving: true, LeavingAt: 120 * time.Second, RetryAfter: time.Minute, JoinedMs: 5}},
		"passed on from the same view":  {report: scheduler.Report{Event: scheduler.Cancelled, Leaving: true, LeavingAt: 120 * time.Second, JoinedMs: 6}, leaving: true},
		"passed on by an older build":   {report: scheduler.Report{Event: scheduler.Cancelled, Leaving: true}, leaving: true},
		"received with an older view":   {report: scheduler.Report{Event: scheduler.Done, Leaving: true, LeavingAt: 120 * time.Second, JoinedMs: 5}, leaving: true},
		"an answer without that it is":  {report: scheduler.Report{Event: scheduler.Done, Opened: 119 * time.Second}},
		"an answer of before, with age": {report: scheduler.Report{Event: scheduler.Done, Opened: 90 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRestartService(t)
			s.leave()
			s.now = 110 * time.Second
			s.relist(func(l *scheduler.Server) { l.JoinedMs = 6 })
			s.RecordServing(s.now, "a", "a:1", s.now)
			s.now = 121 * time.Second
			s.report(c.report)
			_, leaving := s.LeavingSince("a")
			require.Equal(t, c.leaving, leaving)
			require.Zero(t, s.PauseLeft(s.now, "a", "i1"))
		})
	}
}

// TestUnconfirmedAnnouncementIsAsked: nothing shows that a server leaves but its announcement. It is asked, but
// not while it has asked the instance for a pause.
func TestUnconfirmedAnnouncementIsAsked(t *testing.T) {
	s := newRestartService(t)
	_, paused := s.place()
	s.leave()
	announced := s.now
	require.Empty(t, s.TakeHealthChecks(announced+3*time.Second, 0, "i1", 2))
	require.Empty(t, s.TakeHealthChecks(announced+5*time.Second, 15*time.Second, "i1", 2))
	s.Report(s.now, paused, scheduler.Report{
		Event:      scheduler.Rejected,
		RetryAfter: 10 * time.Second,
	})
	require.Empty(t, s.TakeHealthChecks(announced+5*time.Second, 0, "i1", 2))
	s.now = announced + 11*time.Second
	checks := s.TakeHealthChecks(s.now, 0, "i1", 2)
	require.Equal(t, []scheduler.HealthCheck{{Server: "a", Address: "a:1"}}, checks)
	require.Empty(t, s.TakeHealthChecks(s.now, 0, "i1", 2))
	s.RecordServing(s.now, "a", "a:1", s.now)
	d, _ := s.place()
	require.Equal(t, "a", d.Server)
	require.NotZero(t, d.ServedAgo)
}
