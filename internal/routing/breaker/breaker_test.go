package breaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFlappingIsHeldBackLonger: each trip doubles the time a server is held
// back, one probe goes through at a time, and a calm minute forgets it all.
func TestFlappingIsHeldBackLonger(t *testing.T) {
	var b Breaker
	var now time.Duration
	require.True(t, b.Allow(now, "s"))
	for range threshold {
		b.Failure(now, "s")
	}
	held := openFirst
	for range 3 {
		require.False(t, b.Allow(now+held-1, "s"))
		now += held
		require.True(t, b.Allow(now, "s"), "the probe")
		require.False(t, b.Allow(now, "s"), "one probe at a time")
		b.Failure(now, "s")
		held *= 2
	}
	now += held
	require.True(t, b.Allow(now, "s"))
	b.Success(now, "s")
	require.True(t, b.Allow(now, "s"))
	b.Success(now+2*calmAfter, "s")
	require.Empty(t, b.rows)
}
