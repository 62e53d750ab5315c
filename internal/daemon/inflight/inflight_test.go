package inflight_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/inflight"
)

// TestNoRequestEntersOnceIdleIsDecided: a request that arrived while an instance decided that
// none was in flight was passed on and cut off. None may be inside once the gate has closed.
func TestNoRequestEntersOnceIdleIsDecided(t *testing.T) {
	for range 200 {
		var g inflight.Gate
		var inside, refused atomic.Int64
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for refused.Load() == 0 {
					if !g.Enter() {
						refused.Add(1)
						return
					}
					inside.Add(1)
					inside.Add(-1)
					g.Leave()
				}
			})
		}
		for !g.CloseIfIdle() {
			continue
		}
		require.Zero(t, inside.Load())
		require.False(t, g.Enter())
		require.Zero(t, g.Count())
		wg.Wait()
	}
}

// TestCloseCountsWhatIsCut: at the end of the grace period the gate closes with requests in
// flight, and those are counted until they leave.
func TestCloseCountsWhatIsCut(t *testing.T) {
	var g inflight.Gate
	require.True(t, g.Enter())
	require.False(t, g.CloseIfIdle())
	g.Close()
	require.Equal(t, 1, g.Count())
	require.False(t, g.Enter())
	g.Leave()
	require.Zero(t, g.Count())
	require.True(t, g.CloseIfIdle())
}
