package workingset_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/workingset"
)

// TestSizerSurge replays a surge of five times the load: the working set grows with the
// first report, so that no instance stays above what it is planned for, and shrinks
// only long after the surge, so that waves of load do not move callers to and fro.
func TestSizerSurge(t *testing.T) {
	var s workingset.Sizer
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	calm := s.Size(0, 400)
	require.Equal(t, 20, calm)
	surge := s.Size(second(1), 2000)
	require.Equal(t, 100, surge)
	require.Equal(t, surge, s.Size(second(3), 400))
	require.Equal(t, surge, s.Size(second(20), 400))
	require.Equal(t, calm, s.Size(second(21), 400))
	require.Equal(t, 8, (&workingset.Sizer{}).Size(0, 0))
}
