package coldstart_test

// This file tests the cold period of one server.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/coldstart"
)

// TestColdPeriods: an announcement counts down with each response, and does not shorten a
// longer period. A value out of range ends in the end.
func TestColdPeriods(t *testing.T) {
	var p coldstart.Period
	require.False(t, p.Cold(0))
	require.True(t, p.Begin(time.Second, 3*time.Second))
	require.False(t, p.Begin(2*time.Second, time.Second))
	require.Equal(t, time.Second, p.Left(3*time.Second))
	require.False(t, p.Cold(4*time.Second))
	require.True(t, p.Begin(4*time.Second, 1000*time.Hour))
	require.False(t, p.Cold(4*time.Second+coldstart.MaxPeriod))
}
