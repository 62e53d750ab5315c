package scheduler_test

// This file tests requests that crash the servers which run them while the decider changes.

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/quarantine"
	"camphorspoke/internal/routing/scheduler"
)

const (
	// recordDelay is the time from a change of a quarantine to its receipt by all deciders.
	recordDelay = 300 * time.Millisecond
	// repeatInterval is the time between two repeats of the deadly request.
	repeatInterval = 500 * time.Millisecond
)

// deciders are schedulers that decide for one service in turn, and the record of their
// quarantines.
type deciders struct {
	t      *testing.T
	now    time.Duration
	nextID uint64
	// schedulers holds the deciders that run.
	schedulers []*scheduler.Scheduler
	// rows are recorded, pending are the changes on their way there with their times.
	rows    map[uint64]quarantine.Quarantine
	pending []pendingChange
	// crashes and lateSends are counted as by crashFleet.
	crashes, lateSends int
	third              time.Duration
}

type pendingChange struct {
	at     time.Duration
	by     *scheduler.Scheduler
	change quarantine.Quarantine
}

func newDeciders(t *testing.T, n int) *deciders {
	d := &deciders{
		t:    t,
		rows: make(map[uint64]quarantine.Quarantine),
	}
	for range n {
		d.schedulers = append(d.schedulers, d.newScheduler())
	}
	return d
}

func (d *deciders) newScheduler() *scheduler.Scheduler {
	s := scheduler.New(scheduler.Service{
		Name:        "s",
		LoadBound:   2,
		RetryWindow: 10 * time.Second,
		RetryRatio:  0.2,
		RetrySlack:  20,
	})
	var servers []scheduler.Server
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		servers = append(servers, scheduler.Server{
			Name:      name,
			Slots:     6,
			Accepting: true,
		})
	}
	s.SetServers(0, servers)
	return s
}

// replace replaces a decider, whose changes that are not recorded are lost, by a new one.
func (d *deciders) replace(i int) {
	lost := d.schedulers[i]
	d.pending = slices.DeleteFunc(d.pending, func(p pendingChange) bool { return p.by == lost })
	d.schedulers[i] = d.newScheduler()
	d.schedulers[i].SetQuarantines(d.now, slices.Collect(maps.Values(d.rows)))
}

// record takes over the changes of all deciders and passes the recorded ones to all, merged as
// by the ledger.
func (d *deciders) record() {
	for _, s := range d.schedulers {
		for _, c := range s.TakeQuarantineChanges() {
			d.pending = append(d.pending, pendingChange{
				at:     d.now + recordDelay,
				by:     s,
				change: c,
			})
		}
	}
	changed := false
	d.pending = slices.DeleteFunc(d.pending, func(p pendingChange) bool {
		if d.now < p.at {
			return false
		}
		changed = true
		if p.change.Released {
			delete(d.rows, p.change.ID)
			return true
		}
		p.change.FailedTrials = max(p.change.FailedTrials, d.rows[p.change.ID].FailedTrials)
		d.rows[p.change.ID] = p.change
		return true
	})
	if !changed {
		return
	}
	for _, s := range d.schedulers {
		s.SetQuarantines(d.now, slices.Collect(maps.Values(d.rows)))
	}
}

// send sends the deadly request through one decider. It reports the event of its end
// crashRunTime later, and returns whether the request was sent.
func (d *deciders) send(i int, end scheduler.Event) bool {
	s := d.schedulers[i]
	d.nextID++
	decision, ok := s.Schedule(d.now, scheduler.Request{
		ID:          d.nextID,
		Fingerprint: deadlyRequest,
		MayTry:      true,
	})
	require.True(d.t, ok)
	if decision.Server == "" {
		d.record()
		return false
	}
	if d.crashes >= 3 && d.now > d.third+crashWindow {
		d.lateSends++
		d.t.Logf("late send %d, %v after the third crash", d.lateSends, (d.now - d.third).Round(time.Second))
	}
	d.now += crashRunTime
	if end == scheduler.Down {
		d.crashes++
		if d.crashes == 3 {
			d.third = d.now
		}
	}
	s.Report(d.now, d.nextID, scheduler.Report{
		Event: end,
	})
	d.record()
	return true
}

// repeat sends the deadly request again and again for some time, each time through the decider
// that next returns.
func (d *deciders) repeat(period time.Duration, next func() int) {
	for end := d.now + period; d.now < end; {
		d.send(next(), scheduler.Down)
		d.now += repeatInterval
		d.record()
	}
}

func first() int { return 0 }

// TestCrashesCountWhenTheDeciderIsLost guards against a new decider that knows nothing of the
// servers which have crashed under a request.
func TestCrashesCountWhenTheDeciderIsLost(t *testing.T) {
	for name, crashes := range map[string]int{
		"after the second crash": 2,
		"after the third crash":  3,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeciders(t, 1)
			for d.crashes < crashes {
				d.send(0, scheduler.Down)
				d.now += repeatInterval
			}
			// The caller comes again some seconds later.
			d.now += 4 * time.Second
			d.record()
			d.replace(0)
			d.repeat(2*time.Hour, first)
			t.Logf("%d crashes, %d sends later than %v after the third", d.crashes, d.lateSends, crashWindow)
			require.LessOrEqual(t, d.lateSends, crashSends)
		})
	}
}

// TestTrialCountsWhenTheDeciderIsLost guards against a trial that a new decider repeats, as the lost
// one had not recorded its outcome.
func TestTrialCountsWhenTheDeciderIsLost(t *testing.T) {
	d := newDeciders(t, 1)
	d.repeat(25*time.Second, first)
	require.Equal(t, 3, d.crashes)
	for d.crashes == 3 {
		d.send(0, scheduler.Down)
		d.now += 20 * time.Millisecond
		d.record()
	}
	d.replace(0)
	d.repeat(3*time.Hour, first)
	t.Logf("%d crashes, %d sends later than %v after the third", d.crashes, d.lateSends, crashWindow)
	require.LessOrEqual(t, d.lateSends, crashSends)
}

// TestTrialsOfTwoDeciders guards against trials of several deciders of which each is counted once.
func TestTrialsOfTwoDeciders(t *testing.T) {
	d := newDeciders(t, 2)
	d.repeat(25*time.Second, first)
	require.Equal(t, 3, d.crashes)
	turn := 0
	d.repeat(3*time.Hour, func() int {
		turn++
		return turn % 2
	})
	t.Logf("%d crashes, %d sends later than %v after the third", d.crashes, d.lateSends, crashWindow)
	require.LessOrEqual(t, d.lateSends, crashSends)
}

// TestCrashesAtTwoDecidersAddUp guards against two deciders that are asked in turn, of which each
// waits for three crashes of its own.
func TestCrashesAtTwoDecidersAddUp(t *testing.T) {
	d := newDeciders(t, 2)
	turn := 0
	d.repeat(2*time.Hour, func() int {
		turn++
		return turn % 2
	})
	t.Logf("%d crashes, %d sends later than %v after the third", d.crashes, d.lateSends, crashWindow)
	require.LessOrEqual(t, d.lateSends, crashSends)
}

// TestServerErrorDoesNotEndARequestQuarantine guards against an error status, also one of a server that
// did not begin to run the request, after which the request may crash three servers again.
func TestServerErrorDoesNotEndARequestQuarantine(t *testing.T) {
	d := newDeciders(t, 1)
	d.repeat(25*time.Second, first)
	require.Equal(t, 3, d.crashes)
	for !d.send(0, scheduler.Failed) {
		d.now += repeatInterval
	}
	d.repeat(2*time.Minute, first)
	t.Logf("%d crashes, %d sends later than %v after the third", d.crashes, d.lateSends, crashWindow)
	require.LessOrEqual(t, d.lateSends, crashSends)
}

// TestRequestIsRecordedAfterTheThirdCrash guards against a verdict that waits for the next repeat: if
// the decider is lost before that, no other instance knows of the three crashes.
func TestRequestIsRecordedAfterTheThirdCrash(t *testing.T) {
	d := newDeciders(t, 1)
	for d.crashes < 3 {
		d.send(0, scheduler.Down)
		d.now += repeatInterval
	}
	d.schedulers[0].Tick(d.now)
	d.record()
	d.now += time.Second
	d.record()
	require.Len(t, d.rows, 1)
}

// TestUnsentTrialIsNotCounted guards against a request whose trials are used up while there is no
// server that could run them.
func TestUnsentTrialIsNotCounted(t *testing.T) {
	d := newDeciders(t, 1)
	d.repeat(25*time.Second, first)
	require.Equal(t, 3, d.crashes)
	var before []int
	for _, q := range d.rows {
		before = append(before, q.FailedTrials)
	}
	d.now += 20 * time.Second
	d.schedulers[0].SetServers(0, nil) // all servers are down when the trial is due
	require.False(t, d.send(0, scheduler.Down))
	d.now += 2 * time.Minute
	require.False(t, d.send(0, scheduler.Down))
	d.now += time.Second
	d.record()
	var after []int
	for _, q := range d.rows {
		after = append(after, q.FailedTrials)
	}
	require.Equal(t, before, after)
}

// TestLongStreamsOfOneRequestReconnect guards against callers with the same request, each of which holds
// a stream for minutes, that are admitted one every few seconds after a server has crashed by
// itself.
func TestLongStreamsOfOneRequestReconnect(t *testing.T) {
	d := newDeciders(t, 1)
	s := d.schedulers[0]
	const callers = 10
	granted := make(map[uint64]bool)
	for id := range uint64(callers) {
		decision, _ := s.Schedule(d.now, scheduler.Request{
			ID:          id + 1,
			Fingerprint: 7,
		})
		require.NotEmpty(t, decision.Server)
		granted[id+1] = true
		s.Report(d.now, id+1, scheduler.Report{
			Event: scheduler.Started,
		})
	}
	d.now += time.Second
	for id := range granted {
		s.Report(d.now, id, scheduler.Report{
			Event: scheduler.Down,
		})
	}
	connected, next := 0, uint64(100)
	for start := d.now; d.now < start+5*time.Second && connected < callers; d.now += 100 * time.Millisecond {
		for range callers - connected {
			next++
			decision, _ := s.Schedule(d.now, scheduler.Request{
				ID:          next,
				Fingerprint: 7,
			})
			if decision.Server != "" {
				connected++
				s.Report(d.now, next, scheduler.Report{
					Event: scheduler.Started,
				})
			}
		}
		s.Tick(d.now)
	}
	t.Logf("%d of %d callers have a stream after 5 s", connected, callers)
	require.Equal(t, callers, connected)
}
