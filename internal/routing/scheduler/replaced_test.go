package scheduler_test

// This file tests servers at whose addresses other servers answer.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

// replacedService is a plain service with its servers.
type replacedService struct {
	t         *testing.T
	scheduler *scheduler.Scheduler
	now       time.Duration
	id        uint64
}

func newReplacedService(t *testing.T, names ...string) *replacedService {
	s := &replacedService{
		t: t,
		scheduler: scheduler.New(scheduler.Service{
			Slots:       6,
			LoadBound:   2,
			RetryWindow: 10 * time.Second,
			RetryRatio:  1,
			RetrySlack:  100,
		}),
		now: time.Second,
	}
	s.list(1, names...)
	return s
}

func (s *replacedService) list(joinedMs int64, names ...string) {
	var list []scheduler.Server
	for _, name := range names {
		list = append(list, scheduler.Server{
			Name:      name,
			Accepting: true,
			Address:   "at " + name,
			JoinedMs:  joinedMs,
		})
	}
	s.scheduler.SetServers(0, list)
}

func (s *replacedService) place(tried ...string) (scheduler.Decision, uint64) {
	s.id++
	d, ok := s.scheduler.Schedule(s.now, scheduler.Request{
		ID:    s.id,
		Tried: tried,
		Retry: len(tried) > 0,
	})
	require.True(s.t, ok)
	return d, s.id
}

// answer places a request that runs nowhere but at the named server, and reports its end.
func (s *replacedService) answer(name string, others []string, r scheduler.Report) {
	d, id := s.place(others...)
	require.Equal(s.t, name, d.Server)
	s.scheduler.Report(s.now, id, r)
	s.now += 10 * time.Millisecond
}

var otherServer = scheduler.Report{
	Event:       scheduler.Unreachable,
	OtherServer: true,
}

// TestReplacedServersGetNoRequestsBesideASoundOne: three of four servers are back under other names,
// which the list does not have. While the fourth has requests, more than the others by far, each
// request must go to it, as none can be served at the others.
func TestReplacedServersGetNoRequestsBesideASoundOne(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	s := newReplacedService(t, names...)
	for range 3 {
		s.answer("a", []string{"b", "c", "d"}, otherServer)
		s.answer("b", []string{"a", "c", "d"}, otherServer)
		s.answer("c", []string{"a", "b", "d"}, otherServer)
	}
	s.now += 500 * time.Millisecond
	for range 10 {
		d, _ := s.place()
		require.Equal(t, "d", d.Server)
		s.now += 50 * time.Millisecond
	}
}

// TestServerIsNotReplacedByOneAnswer: a server that answers requests itself is not given up because
// of single answers that name it as another one, and one that is listed anew is used at once.
func TestServerIsNotReplacedByOneAnswer(t *testing.T) {
	s := newReplacedService(t, "a")
	for range 10 {
		s.answer("a", nil, otherServer)
		s.answer("a", nil, otherServer)
		s.answer("a", nil, scheduler.Report{
			Event: scheduler.Done,
		})
	}
	for range 3 {
		s.answer("a", nil, otherServer)
	}
	d, _ := s.place()
	require.Equal(t, scheduler.Overloaded, d.Refusal)
	e := s.scheduler.Explain(s.now, scheduler.Request{})
	require.Contains(t, e.Candidates[0].LeftOut, scheduler.Replaced)
	s.list(2, "a")
	s.answer("a", nil, scheduler.Report{
		Event: scheduler.Done,
	})
}
