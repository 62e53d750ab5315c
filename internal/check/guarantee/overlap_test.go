package guarantee_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

// TestRequestAtTwoServers checks which executions of a request may overlap: those that end
// shortly after another server has begun, and those whose daemon was disturbed.
func TestRequestAtTwoServers(t *testing.T) {
	for _, c := range []struct {
		name       string
		overlap    time.Duration
		disturbed  bool
		violations int
	}{
		{"the first ended before the second began", -time.Millisecond, false, 0},
		{"the first ended shortly after", 400 * time.Millisecond, false, 0},
		{"the first was still at work", 401 * time.Millisecond, false, 1},
		{"the daemon was frozen", time.Second, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var checker guarantee.Checker
			checker.Sent(guarantee.Attempt{
				ID:      "a",
				Address: "d",
			})
			began := time.Now()
			checker.Executed("a", "s1", began)
			if c.disturbed {
				checker.Disturb("d")()
			}
			wentOn := began.Add(time.Second)
			checker.Executed("a", "s2", wentOn)
			checker.Ended("a", "s1", wentOn.Add(c.overlap))
			checker.Ended("a", "s2", wentOn.Add(2*time.Second))
			require.Len(t, checker.Violations(), c.violations)
		})
	}
}
