package guarantee_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

// TestRequestsThatCrashServers: a check that counted each ID, daemon or server by itself would
// miss a request that goes on to crash servers; one that counted from the first crash, or the
// sends of daemons that had no time to learn of it, would find violations where there are none.
func TestRequestsThatCrashServers(t *testing.T) {
	for name, c := range map[string]struct {
		crashes int
		// wait is the time from the last crash to the later sends.
		wait      time.Duration
		later     int
		content   string
		disturbed string
		// sinceDisturbance is the time from the end of the disturbance to the later sends.
		sinceDisturbance time.Duration
		violations       int
	}{
		"too often, at long intervals":       {crashes: 3, wait: time.Hour, later: 4, content: "c", violations: 1},
		"as often as allowed":                {crashes: 3, wait: 4 * time.Second, later: 3, content: "c"},
		"soon after the third crash":         {crashes: 3, wait: 2 * time.Second, later: 9, content: "c"},
		"two crashes":                        {crashes: 2, wait: 4 * time.Second, later: 9, content: "c"},
		"another request":                    {crashes: 3, wait: 4 * time.Second, later: 9, content: "other"},
		"a request that crashes nothing":     {crashes: 3, wait: 4 * time.Second, later: 9},
		"from a daemon disturbed just then":  {crashes: 3, wait: 4 * time.Second, later: 9, content: "c", disturbed: "d1", sinceDisturbance: 2 * time.Second},
		"from a daemon disturbed before":     {crashes: 3, wait: 4 * time.Second, later: 9, content: "c", disturbed: "d1", sinceDisturbance: 4 * time.Second, violations: 1},
		"while another daemon is disturbed":  {crashes: 3, wait: 4 * time.Second, later: 9, content: "c", disturbed: "d2", violations: 1},
		"while the links to servers degrade": {crashes: 3, wait: 4 * time.Second, later: 9, content: "c", violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var checker guarantee.Checker
				n := 0
				arrive := func(content string) string {
					n++
					id := fmt.Sprint(n)
					checker.Sent(guarantee.Attempt{ID: id, Content: content, Address: "d1"})
					checker.Reached(id, fmt.Sprintf("s%d", n), time.Now())
					return id
				}
				for range c.crashes {
					checker.Crashed(arrive("c"), time.Now())
				}
				endDisturbance := checker.Disturb(c.disturbed)
				time.Sleep(c.wait - c.sinceDisturbance)
				endDisturbance()
				time.Sleep(c.sinceDisturbance)
				for range c.later {
					arrive(c.content)
				}
				checker.CheckCrashers()
				require.Len(t, checker.Violations(), c.violations)
			})
		})
	}
}
