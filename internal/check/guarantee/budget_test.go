package guarantee_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

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
