package bodymemory_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/bodymemory"
)

const megabyte = 1 << 20

// TestLargeBodiesStayWithinTheBudget: 800 bodies of 4 MB at once hold no more than the budget,
// those that find no room are refused as not run, and small requests are all served.
func TestLargeBodiesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bodymemory.Budget{
			Bytes: 64 * megabyte,
		}
		var refused, small atomic.Int64
		var held, peak int64
		var mu sync.Mutex
		hold := func(bytes int64) {
			mu.Lock()
			defer mu.Unlock()
			held += bytes
			peak = max(peak, held)
		}
		var wg sync.WaitGroup
		for i := range 800 {
			wg.Go(func() {
				release, err := b.Reserve(context.Background(), fmt.Sprintf("a%d", i%4), 4*megabyte)
				if err != nil {
					require.Equal(t, fault.Overloaded, fault.KindOf(err))
					require.False(t, fault.MayHaveRun(err))
					refused.Add(1)
					return
				}
				defer release(0)
				hold(4 * megabyte)
				time.Sleep(100 * time.Millisecond)
				hold(-4 * megabyte)
			})
			wg.Go(func() {
				release, err := b.Reserve(context.Background(), "a0", 1000)
				if err == nil {
					small.Add(1)
					time.Sleep(100 * time.Millisecond)
					release(0)
				}
			})
		}
		wg.Wait()
		require.LessOrEqual(t, peak, int64(64*megabyte))
		require.NotZero(t, refused.Load())
		require.EqualValues(t, 800, small.Load())
	})
}

// TestOneAccountLeavesMemoryForOthers: an account that sends many large bodies does not keep
// another one from sending its own.
func TestOneAccountLeavesMemoryForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bodymemory.Budget{
			Bytes: 64 * megabyte,
		}
		var releases []func(int)
		for {
			release, err := b.Reserve(t.Context(), "greedy", 4*megabyte)
			if err != nil {
				break
			}
			releases = append(releases, release)
		}
		release, err := b.Reserve(t.Context(), "other", 4*megabyte)
		require.NoError(t, err)
		release(0)
		for _, release := range releases {
			release(0)
			release(0)
		}
		for range releases {
			_, err := b.Reserve(t.Context(), "greedy", 4*megabyte)
			require.NoError(t, err, "all memory is free again")
		}
	})
}

// TestBodyLargerThanTheBudget: a body of any allowed size is served while nothing else is held.
func TestBodyLargerThanTheBudget(t *testing.T) {
	b := &bodymemory.Budget{
		Bytes: megabyte,
	}
	release, err := b.Reserve(t.Context(), "a", 4*megabyte)
	require.NoError(t, err)
	release(0)
	var unlimited bodymemory.Budget
	_, err = unlimited.Reserve(t.Context(), "a", 1<<40)
	require.NoError(t, err)
}
