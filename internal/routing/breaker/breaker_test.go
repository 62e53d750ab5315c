package breaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFlappingIsHeldBackLonger checks that each trip doubles the open time,
// that one probe is allowed at a time, and that a success later than resetAfter
// drops the state of the server.
func TestFlappingIsHeldBackLonger(t *testing.T) {
	var b Breaker
	var now time.Duration
	require.True(t, b.Allow(now, "s"))
	for range threshold {
		b.Failure(now, "s")
	}
	openTime := openFirst
	for range 3 {
		require.False(t, b.Allow(now+openTime-1, "s"))
		now += openTime
		require.True(t, b.Allow(now, "s"), "the probe must be allowed")
		require.False(t, b.Allow(now, "s"), "a second probe must be rejected")
		b.Failure(now, "s")
		openTime *= 2
	}
	now += openTime
	require.True(t, b.Allow(now, "s"))
	b.Success(now, "s")
	require.True(t, b.Allow(now, "s"))
	b.Success(now+2*resetAfter, "s")
	require.Empty(t, b.states)
}
