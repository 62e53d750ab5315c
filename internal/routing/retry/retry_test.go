package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRetriesDoNotMultiplyASurge checks that if all requests of an account fail
// and are retried as often as allowed, the retries are at most the given share
// of the requests plus a fixed burst.
func TestRetriesDoNotMultiplyASurge(t *testing.T) {
	var b Budget
	retries := 0
	for range 10_000 {
		b.Earn("a", "s", 10)
		for b.Spend("a", "s") {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 10_000/10+burst)
	require.False(t, b.Spend("other", "s"), "an account without requests must have no retries")
}

func TestBackoffIsBounded(t *testing.T) {
	for attempt := range 40 {
		d := Backoff(attempt)
		require.Positive(t, d)
		require.LessOrEqual(t, d, backoffMax)
	}
}
