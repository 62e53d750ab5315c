package surge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/surge"
)

// play records a number of requests per second for each account, from one time to another.
func play(t *surge.Tracker, from, to time.Duration, perSecond map[string]int) {
	for now := from; now < to; now += 10 * time.Millisecond {
		for name, n := range perSecond {
			before, after := int(now/(10*time.Millisecond))*n/100, (int(now/(10*time.Millisecond))+1)*n/100
			for range after - before {
				t.Record(now, name)
			}
		}
	}
}

// TestSurge guards against a surging account that is not found, one that is large at all times
// and counts as surging, and one that counts so after it has returned to its usual rate.
func TestSurge(t *testing.T) {
	var tr surge.Tracker
	usual := map[string]int{"large": 200, "a": 20, "b": 20, "small": 1}
	play(&tr, 0, 20*time.Second, usual)
	for name := range usual {
		require.False(t, tr.Surging(20*time.Second, name), name)
	}
	play(&tr, 20*time.Second, 25*time.Second, map[string]int{"large": 200, "a": 120, "b": 20, "small": 5})
	require.True(t, tr.Surging(25*time.Second, "a"))
	require.Equal(t, []string{"a"}, tr.TakeNew())
	require.Empty(t, tr.TakeNew())
	for _, name := range []string{"large", "b", "small", "unknown"} {
		require.False(t, tr.Surging(25*time.Second, name), name)
	}
	play(&tr, 25*time.Second, 35*time.Second, usual)
	require.False(t, tr.Surging(35*time.Second, "a"))
}

// TestSurgeLasts guards against a surge that counts as the usual rate after a few seconds, and
// against an account that has grown for good and is held back for ever.
func TestSurgeLasts(t *testing.T) {
	var tr surge.Tracker
	play(&tr, 0, 20*time.Second, map[string]int{"a": 50, "b": 20})
	play(&tr, 20*time.Second, 50*time.Second, map[string]int{"a": 50, "b": 120})
	require.True(t, tr.Surging(50*time.Second, "b"))
	play(&tr, 50*time.Second, 10*time.Minute, map[string]int{"a": 50, "b": 120})
	require.False(t, tr.Surging(10*time.Minute, "b"))
}

// TestNoSurgeWithoutHistory guards against accounts that count as surging when traffic begins.
func TestNoSurgeWithoutHistory(t *testing.T) {
	var tr surge.Tracker
	require.False(t, tr.Surging(0, "a"))
	play(&tr, time.Hour, time.Hour+5*time.Second, map[string]int{"a": 100})
	require.False(t, tr.Surging(time.Hour+5*time.Second, "a"))
	play(&tr, time.Hour+5*time.Second, time.Hour+30*time.Second, map[string]int{"a": 100})
	require.False(t, tr.Surging(time.Hour+30*time.Second, "a"))
}

// TestAccountsAreBounded guards against a table that grows with every name.
func TestAccountsAreBounded(t *testing.T) {
	var tr surge.Tracker
	for i := range 200_000 {
		tr.Record(time.Duration(i)*time.Millisecond, fmt.Sprint(i))
	}
	require.LessOrEqual(t, tr.Accounts(), 60_000)
}
