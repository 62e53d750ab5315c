package durations_test

// This file tests which requests are accepted shortly before a stop.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/durations"
)

func TestFits(t *testing.T) {
	var b durations.Estimator
	require.True(t, b.Fits("r", time.Second, time.Second))
	require.False(t, b.Fits("r", time.Second, 900*time.Millisecond), "a route without recorded requests is assumed to take its timeout")
	b.Observe("r", 400*time.Millisecond)
	require.True(t, b.Fits("r", time.Second, 500*time.Millisecond))
	require.False(t, b.Fits("r", time.Second, 490*time.Millisecond))
	for range 2000 {
		b.Observe("r", 20*time.Millisecond)
	}
	require.True(t, b.Fits("r", time.Second, 50*time.Millisecond), "shorter requests must reduce the recorded maximum")
}
