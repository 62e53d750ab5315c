package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRetriesDoNotMultiplyASurge: when all of an account's requests fail and
// each wants retries, at most the given share and a fixed burst is sent again.
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
	require.False(t, b.Spend("other", "s"), "an account that sent nothing has no retries")
}

func TestBackoffIsBounded(t *testing.T) {
	for attempt := range 40 {
		d := Backoff(attempt)
		require.Positive(t, d)
		require.LessOrEqual(t, d, backoffMax)
	}
}
