package guarantee_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

// TestEvacuatedDomains: a request may reach a server of an evacuated failure domain in the
// time after the acknowledgement, a later one may not, unless its daemon was disturbed or the
// operator has begun to end the evacuation.
func TestEvacuatedDomains(t *testing.T) {
	for name, c := range map[string]struct {
		server     string
		after      time.Duration
		disturbed  bool
		opened     bool
		violations int
	}{
		"in time":      {server: "a1", after: 4 * time.Second},
		"too late":     {server: "a1", after: 6 * time.Second, violations: 1},
		"other domain": {server: "b1", after: 6 * time.Second},
		"disturbed":    {server: "a1", after: 6 * time.Second, disturbed: true},
		"opened":       {server: "a1", after: 6 * time.Second, opened: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := guarantee.Checker{
					Bounds: guarantee.Bounds{
						Evacuate: 5 * time.Second,
					},
				}
				checker.Located("a1", "a")
				checker.Located("b1", "b")
				checker.Evacuated("a", time.Now())
				time.Sleep(c.after)
				if c.disturbed {
					checker.Disturb("d")()
				}
				if c.opened {
					checker.Opened("a")
				}
				time.Sleep(time.Millisecond)
				checker.Sent(guarantee.Attempt{ID: "r", Address: "d", Sent: time.Now()})
				checker.Arrived("r", c.server, time.Now())
				require.Len(t, checker.Violations(), c.violations)
			})
		})
	}
}
