package guarantee_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

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
