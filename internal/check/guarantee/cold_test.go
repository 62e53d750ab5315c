package guarantee_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/guarantee"
)

// TestColdArrivals: a check that counted over a longer or shorter time than a second, or over
// all servers, would find violations where there are none, or miss them.
func TestColdArrivals(t *testing.T) {
	var c guarantee.Checker
	start := time.Now()
	for n := range 10 {
		at := start.Add(time.Duration(n) * 500 * time.Millisecond)
		c.ColdArrival("a", "s1", at, 2)
		c.ColdArrival("b", "s2", at, 2)
	}
	require.Empty(t, c.Violations())
	c.ColdArrival("c", "s1", start.Add(4900*time.Millisecond), 2)
	require.Len(t, c.Violations(), 1)
}
