package lateness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/lateness"
)

// TestCurrentDecays guards against a process that was late once and counts as late for good,
// and against a small lateness that hides a large one.
func TestCurrentDecays(t *testing.T) {
	var l lateness.Tracker
	require.Zero(t, l.Current(time.Second))
	l.Record(time.Second, 80*time.Millisecond)
	l.Record(time.Second, 10*time.Millisecond)
	require.Equal(t, 80*time.Millisecond, l.Current(time.Second))
	require.Equal(t, 40*time.Millisecond, l.Current(1500*time.Millisecond))
	l.Record(2*time.Second, 30*time.Millisecond)
	require.Equal(t, 30*time.Millisecond, l.Current(2*time.Second))
	l.Record(10*time.Second, -5*time.Millisecond)
	require.Less(t, l.Current(10*time.Second), time.Millisecond)
}
