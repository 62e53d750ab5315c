package scheduler_test

// This file tests requests that crash the servers which run them as a whole.

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/quarantine"
	"camphorspoke/internal/routing/scheduler"
)

const (
	deadlyRequest = uint64(666)
	// crashWindow is the time after the third crash from which at most crashSends of its repeats
	// may reach servers.
	crashWindow = 3 * time.Second
	crashSends  = 3
	// crashRunTime is how long requests run, or until they crash their server.
	crashRunTime = 40 * time.Millisecond
)

// crashFleet is a scheduler with servers that crash under a request and return under other names.
type crashFleet struct {
	t       *rapid.T
	s       *scheduler.Scheduler
	now     time.Duration
	nextID  uint64
	servers []*crashServer
	// third is when the third server crashed under the request, and sends counts its sends
	// later than crashWindow after that.
	crashes, sends int
	third          time.Duration
	// refusedSound and sound count the requests of others.
	refusedSound, sound int
}

// crashServer is a server in one of its incarnations.
type crashServer struct {
	slot        int
	incarnation int
	// backAt is when it is back; zero while it is up.
	backAt time.Duration
	// running holds the requests that run there with their ends, by ID.
	running map[uint64]*crashRequest
}

type crashRequest struct {
	endsAt      time.Duration
	fingerprint uint64
}

func (sv *crashServer) name() string { return fmt.Sprintf("s%d-%d", sv.slot, sv.incarnation) }

// list passes the servers that are up to the scheduler.
func (f *crashFleet) list() {
	var out []scheduler.Server
	for _, sv := range f.servers {
		if sv.backAt == 0 {
			out = append(out, scheduler.Server{
				Name:      sv.name(),
				Slots:     6,
				Accepting: true,
			})
		}
	}
	f.s.SetServers(0, out)
}

// crash ends a server with all requests there.
func (f *crashFleet) crash(sv *crashServer) {
	sv.backAt = f.now + time.Duration(rapid.IntRange(2000, 5000).Draw(f.t, "downMs"))*time.Millisecond
	for id, r := range sv.running {
		delete(sv.running, id)
		f.s.Report(f.now, id, scheduler.Report{
			Event: scheduler.Down,
		})
		if r.fingerprint != deadlyRequest {
			continue
		}
		f.crashes++
		if f.crashes == 3 {
			f.third = f.now
		}
	}
	sv.incarnation++
	f.list()
}

// step lets requests end and servers return.
func (f *crashFleet) step() {
	for _, sv := range f.servers {
		if sv.backAt != 0 && f.now >= sv.backAt {
			sv.backAt = 0
			f.list()
		}
		for id, r := range sv.running {
			if f.now < r.endsAt {
				continue
			}
			if r.fingerprint == deadlyRequest {
				f.crash(sv)
				break
			}
			delete(sv.running, id)
			reportDone(f.s, f.now, id)
		}
	}
	f.s.Tick(f.now)
}

// send sends a request; one that is not granted at once is withdrawn.
func (f *crashFleet) send(fingerprint uint64) bool {
	f.nextID++
	d, ok := f.s.Schedule(f.now, scheduler.Request{
		ID:          f.nextID,
		Fingerprint: fingerprint,
		MayTry:      true,
	})
	if !ok {
		f.s.Report(f.now, f.nextID, scheduler.Report{
			Event: scheduler.Cancelled,
		})
	}
	if !ok || d.Server == "" {
		return false
	}
	for _, sv := range f.servers {
		if sv.name() == d.Server {
			sv.running[f.nextID] = &crashRequest{
				endsAt:      f.now + crashRunTime,
				fingerprint: fingerprint,
			}
		}
	}
	if fingerprint == deadlyRequest && f.crashes >= 3 && f.now > f.third+crashWindow {
		f.sends++
	}
	return true
}

// TestMachineRequestThatCrashesServersIsNotRepeated: one request comes again and again, at random
// times and also several times at once, and crashes each server that runs it; servers also crash by
// themselves. Its sends stay within the bound over an hour, and the other requests, some of which
// come again too, are served but for the times at which servers crash by themselves.
func TestMachineRequestThatCrashesServersIsNotRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &crashFleet{
			t: t,
			s: scheduler.New(scheduler.Service{
				Name:        "s",
				LoadBound:   2,
				RetryWindow: 10 * time.Second,
				RetryRatio:  0.2,
				RetrySlack:  20,
			}),
		}
		for slot := range rapid.IntRange(3, 6).Draw(t, "servers") {
			f.servers = append(f.servers, &crashServer{
				slot:    slot,
				running: make(map[uint64]*crashRequest),
			})
		}
		f.list()
		ownCrashes := rapid.Bool().Draw(t, "ownCrashes")
		interval := rapid.IntRange(5, 100).Draw(t, "interval")
		for i := range 6000 {
			f.now += 10 * time.Millisecond
			f.step()
			if i%interval == 0 {
				for range rapid.IntRange(1, 3).Draw(t, "atOnce") {
					f.send(deadlyRequest)
				}
			}
			if i%5 == 0 {
				f.sound++
				if !f.send(1000 + uint64(i)%200) {
					f.refusedSound++
				}
			}
			if ownCrashes && i%700 == 699 {
				f.crash(f.servers[rapid.IntRange(0, len(f.servers)-1).Draw(t, "crashed")])
			}
		}
		// An hour of repeats, a few at a time.
		for range 360 {
			f.now += 10 * time.Second
			f.step()
			f.send(deadlyRequest)
			f.now += crashRunTime
			f.step()
		}
		require.LessOrEqual(t, f.sends, crashSends)
		if !ownCrashes {
			require.LessOrEqual(t, float64(f.refusedSound), 0.1*float64(f.sound))
		}
	})
}

// TestHedgeOfASuspectIsNotSent guards against a copy that puts a second server at risk at the same
// time.
func TestHedgeOfASuspectIsNotSent(t *testing.T) {
	s := newHedgeScheduler(hedgeService(), 20)
	now := time.Second
	for id := range uint64(2) {
		d, _ := s.Schedule(now, scheduler.Request{
			ID:          id + 1,
			Fingerprint: deadlyRequest,
		})
		require.NotEmpty(t, d.Server)
		now += crashRunTime
		s.Report(now, id+1, scheduler.Report{
			Event: scheduler.Down,
		})
	}
	hedge := hedgeRequest(5)
	hedge.Fingerprint = deadlyRequest
	d, ok := s.Schedule(now, hedge)
	require.True(t, ok)
	require.Equal(t, scheduler.RequestSuspected, d.Refusal)
	require.Positive(t, d.RetryAfter)
}

// TestQueuedTrialIsSent guards against a trial that is refused while it waits for a slot, so that the
// quarantine of an innocent request never ends.
func TestQueuedTrialIsSent(t *testing.T) {
	s := newHedgeScheduler(scheduler.Service{
		Name:        "s",
		Slots:       1,
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
		RetryRatio:  1,
	}, 0)
	s.SetQuarantines(0, []quarantine.Quarantine{{
		ID:           1,
		Parts:        []uint64{deadlyRequest},
		WholeRequest: true,
	}})
	now := 31 * time.Second
	var ids []uint64
	for id := uint64(1); ; id++ {
		d, ok := s.Schedule(now, scheduler.Request{
			ID:      id,
			MaxWait: time.Second,
		})
		if !ok {
			break
		}
		require.NotEmpty(t, d.Server)
		ids = append(ids, id)
	}
	_, ok := s.Schedule(now, scheduler.Request{
		ID:          99,
		Fingerprint: deadlyRequest,
		MayTry:      true,
		MaxWait:     time.Second,
	})
	require.False(t, ok, "the trial waits for a slot")
	var granted []scheduler.Decision
	for _, id := range ids {
		granted = append(granted, reportDone(s, now, id)...)
	}
	require.Contains(t, grantedIDs(granted), uint64(99))
}

func grantedIDs(ds []scheduler.Decision) []uint64 {
	var out []uint64
	for _, d := range ds {
		if d.Server != "" {
			out = append(out, d.ID)
		}
	}
	return out
}
