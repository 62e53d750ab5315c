package guarantee_test

// This file tests the check of pauses that backend servers ask for.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

// TestRequestsInAPause: more than two requests of one daemon between half a second after a
// refusal and the end of its pause are reported, unless the daemon was disturbed.
func TestRequestsInAPause(t *testing.T) {
	start := time.Now()
	for name, tc := range map[string]struct {
		arrivals   []time.Duration
		address    string
		disturbed  bool
		leaves     bool
		violations int
	}{
		"in transit":        {arrivals: []time.Duration{0, 100, 200, 499}, address: "d1"},
		"two in the pause":  {arrivals: []time.Duration{600, 700, 3000, 3100}, address: "d1"},
		"in the pause":      {arrivals: []time.Duration{600, 700, 2999}, address: "d1", violations: 1},
		"of another daemon": {arrivals: []time.Duration{600, 700, 800, 900}, address: "d2"},
		"disturbed":         {arrivals: []time.Duration{600, 700, 800, 900}, address: "d1", disturbed: true},
		"refusal lost":      {arrivals: []time.Duration{600, 700, 800, 900}, address: "d1", leaves: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := &guarantee.Checker{}
			c.Sent(guarantee.Attempt{ID: "a", Address: "d1", LeavesEarly: tc.leaves})
			c.Sent(guarantee.Attempt{ID: "b", Address: tc.address})
			if tc.disturbed {
				defer c.Disturb("d1")()
			}
			c.PushedBack("a", "s", start, 3*time.Second)
			for _, at := range tc.arrivals {
				c.Arrived("b", "s", start.Add(at*time.Millisecond))
			}
			require.Len(t, c.Violations(), tc.violations)
		})
	}
}
