package guarantee_test

import (
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
