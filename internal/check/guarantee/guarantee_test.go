package guarantee_test

// This file tests that each violated guarantee is reported, and that observations
// within the bounds are not.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

func TestViolations(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	once := guarantee.Attempt{ID: "a", Key: "k", AtMostOnce: true, Sent: at(10)}
	for name, tc := range map[string]struct {
		observe    func(c *guarantee.Checker)
		violations int
	}{
		"executed once":           {func(c *guarantee.Checker) { c.Sent(once); c.Executed("a", "s1", at(10)) }, 0},
		"executed twice":          {func(c *guarantee.Checker) { c.Sent(once); c.Executed("a", "s1", at(10)); c.Executed("a", "s2", at(11)) }, 1},
		"refused, then executed":  {func(c *guarantee.Checker) { c.Sent(once); c.Refused("a", 503); c.Executed("a", "s1", at(11)) }, 1},
		"executed, then refused":  {func(c *guarantee.Checker) { c.Sent(once); c.Executed("a", "s1", at(10)); c.Refused("a", 503) }, 1},
		"refused only":            {func(c *guarantee.Checker) { c.Sent(once); c.Refused("a", 503) }, 0},
		"executed but never sent": {func(c *guarantee.Checker) { c.Executed("b", "s1", at(10)) }, 1},
		"key revoked within the bound": {func(c *guarantee.Checker) {
			c.Acknowledged(2, []string{"k"}, at(6))
			c.Sent(once)
			c.Executed("a", "s1", at(10))
		}, 0},
		"key revoked for longer than the bound": {func(c *guarantee.Checker) {
			c.Acknowledged(2, []string{"k"}, at(4))
			c.Sent(once)
			c.Executed("a", "s1", at(10))
		}, 1},
		"draining within the bound":           {func(c *guarantee.Checker) { c.Draining("s1", at(8)); c.Sent(once); c.Executed("a", "s1", at(10)) }, 0},
		"draining for longer than the bound":  {func(c *guarantee.Checker) { c.Draining("s1", at(2)); c.Sent(once); c.Executed("a", "s1", at(10)) }, 1},
		"newest version read":                 {func(c *guarantee.Checker) { c.Acknowledged(2, nil, at(1)); c.ReadVersion("d", 2, at(5)) }, 0},
		"older version read within the bound": {func(c *guarantee.Checker) { c.Acknowledged(2, nil, at(1)); c.ReadVersion("d", 1, at(2)) }, 0},
		"older version read after the bound":  {func(c *guarantee.Checker) { c.Acknowledged(2, nil, at(1)); c.ReadVersion("d", 1, at(5)) }, 1},
	} {
		checker := &guarantee.Checker{
			Bounds: guarantee.Bounds{
				Revoke:    5 * time.Second,
				Propagate: 2 * time.Second,
				Drain:     3 * time.Second,
				Recovery:  3 * time.Second,
			},
		}
		tc.observe(checker)
		require.Len(t, checker.Violations(), tc.violations, name)
	}
}

// TestBoundsDuringFaults: the bound on draining is not checked while a fault is
// active, nor within Bounds.Recovery after it, and is checked again from then on.
func TestBoundsDuringFaults(t *testing.T) {
	checker := &guarantee.Checker{
		Bounds: guarantee.Bounds{
			Drain:    time.Second,
			Recovery: time.Minute,
		},
	}
	checker.Draining("s1", time.Now().Add(-time.Hour))
	endFault := checker.BeginFault()
	checker.Sent(guarantee.Attempt{ID: "a", Sent: time.Now()})
	checker.Executed("a", "s1", time.Now())
	endFault()
	checker.Sent(guarantee.Attempt{ID: "b", Sent: time.Now()})
	checker.Executed("b", "s1", time.Now())
	require.Empty(t, checker.Violations())
	checker.Sent(guarantee.Attempt{ID: "c", Sent: time.Now().Add(2 * time.Minute)})
	checker.Executed("c", "s1", time.Now())
	require.Len(t, checker.Violations(), 1)
}
