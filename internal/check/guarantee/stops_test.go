package guarantee_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

// TestCutsAroundAPlannedStop checks which requests a stopping daemon may cut off: only long
// ones that were wholly sent in the first 3 s, and only at the end of the grace period.
func TestCutsAroundAPlannedStop(t *testing.T) {
	for _, c := range []struct {
		name string
		// sent, lastByte and cut are counted from the begin of the stop.
		sent, lastByte, cut time.Duration
		long, executed      bool
		violations          int
	}{
		{"long, early, cut at the end", time.Second, 2 * time.Second, 7300 * time.Millisecond, true, true, 0},
		{"long, early, cut before the end", time.Second, 2 * time.Second, 6 * time.Second, true, true, 1},
		{"long, body ends late", time.Second, 3100 * time.Millisecond, 7300 * time.Millisecond, true, true, 1},
		{"short, early, cut at the end", time.Second, time.Second, 7300 * time.Millisecond, false, true, 1},
		{"not executed, closed at once", 6 * time.Second, 6 * time.Second, 6100 * time.Millisecond, true, false, 0},
		{"not executed, closed after it had time to be read", 6 * time.Second, 6 * time.Second, 6300 * time.Millisecond, true, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var checker guarantee.Checker
				stop := time.Now()
				checker.Stopping("d", 8*time.Second)
				time.Sleep(c.sent)
				a := guarantee.Attempt{
					ID:           "a",
					Address:      "d",
					Sent:         time.Now(),
					LastByteSent: stop.Add(c.lastByte),
					Long:         c.long,
				}
				checker.Sent(a)
				time.Sleep(time.Until(stop.Add(c.lastByte)))
				if c.executed {
					checker.Executed("a", "s", time.Now())
				}
				time.Sleep(time.Until(stop.Add(c.cut)))
				checker.Interrupted(a)
				require.Len(t, checker.Violations(), c.violations)
			})
		})
	}
}

// TestRepeatsBeyondTheBudget: repeats count within any window, against the requests of the
// window or of one shortly before.
func TestRepeatsBeyondTheBudget(t *testing.T) {
	for _, c := range []struct {
		repeats, violations int
	}{{20, 0}, {31, 1}} {
		synctest.Test(t, func(t *testing.T) {
			var checker guarantee.Checker
			for i := range 100 {
				checker.Sent(guarantee.Attempt{ID: fmt.Sprint(i), Service: "s", Sent: time.Now()})
				time.Sleep(10 * time.Millisecond)
			}
			for i := range 100 {
				checker.Arrived(fmt.Sprint(i), "s1", time.Now())
				if i < c.repeats {
					checker.Arrived(fmt.Sprint(i), "s2", time.Now())
				}
			}
			checker.CheckBudget(guarantee.Budget{
				Window: 10 * time.Second,
				Ratio:  0.2,
				Slack:  10,
			})
			require.Len(t, checker.Violations(), c.violations)
		})
	}
}

// TestAnnouncedDepartures: a request that was sent in the drain time after a server announced
// its departure may reach it, a later one may not, unless its daemon was disturbed.
func TestAnnouncedDepartures(t *testing.T) {
	for _, c := range []struct {
		daemon     string
		after      time.Duration
		disturbed  bool
		violations int
	}{{"d", 2 * time.Second, false, 0}, {"d", 4 * time.Second, false, 1}, {"other", 4 * time.Second, false, 0}, {"d", 4 * time.Second, true, 0}} {
		synctest.Test(t, func(t *testing.T) {
			checker := guarantee.Checker{
				Bounds: guarantee.Bounds{
					Drain: 3 * time.Second,
				},
			}
			checker.Sent(guarantee.Attempt{ID: "a", Address: "d", Sent: time.Now()})
			checker.Announced("a", "s", time.Now())
			time.Sleep(c.after)
			if c.disturbed {
				checker.Disturb("d")()
			}
			time.Sleep(time.Millisecond)
			checker.Sent(guarantee.Attempt{ID: "b", Address: c.daemon, Sent: time.Now()})
			checker.Arrived("b", "s", time.Now())
			require.Len(t, checker.Violations(), c.violations)
		})
	}
}
