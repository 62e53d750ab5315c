package durations_test

// This file tests which requests are accepted shortly before a stop.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/durations"
)

func TestFits(t *testing.T) {
	var e durations.Estimator
	require.True(t, e.Fits("r", time.Second, time.Second))
	require.False(t, e.Fits("r", time.Second, 900*time.Millisecond), "a route without recorded requests is assumed to take its timeout")
	e.Observe("r", 400*time.Millisecond)
	require.True(t, e.Fits("r", time.Second, 500*time.Millisecond))
	require.False(t, e.Fits("r", time.Second, 490*time.Millisecond))
	for range 2000 {
		e.Observe("r", 20*time.Millisecond)
	}
	require.True(t, e.Fits("r", time.Second, 50*time.Millisecond), "shorter requests must reduce the recorded maximum")
}
