package reachability_test

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/reachability"
	"camphorspoke/internal/routing/isolation"
)

const servers = 6

// fleet is a number of servers, of which some are down and all may be cut off.
type fleet struct {
	begin   time.Time
	monitor *reachability.Monitor
	// silent is true if a failing attempt takes 100 ms, and not no time.
	silent  bool
	cut     atomic.Bool
	down    sync.Map
	tries   atomic.Int32
	changes []bool
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		begin: time.Now(),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var stop func()
	f.monitor, stop = reachability.New(reachability.Config{
		Now:     f.now,
		Accepts: f.accepts,
		Servers: func() []isolation.Server {
			var out []isolation.Server
			for i := range servers {
				out = append(out, isolation.Server{
					Address: fmt.Sprint(i),
				})
			}
			return out
		},
		OnChange: func(isolated bool) { f.changes = append(f.changes, isolated) },
		Logger:   log,
	})
	t.Cleanup(stop)
	return f
}

func (f *fleet) now() time.Duration { return time.Since(f.begin) }

func (f *fleet) accepts(address string) bool {
	f.tries.Add(1)
	begun := f.now()
	_, down := f.down.Load(address)
	var err error
	if down || f.cut.Load() {
		err = errors.New("no connection")
		if f.silent {
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.monitor.Record(address, begun, err)
	return err == nil
}

// TestServerThatIsDownHasFailed: one server is down, and the others are reached. The failure is the
// server's, and the instance is not isolated.
func TestServerThatIsDownHasFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.down.Store("0", true)
		for range 10 {
			begun := f.now()
			require.False(t, f.accepts("0"))
			require.True(t, f.monitor.ServerFailed("0", begun))
			time.Sleep(50 * time.Millisecond)
		}
		require.False(t, f.monitor.Isolated())
		require.Empty(t, f.changes)
	})
}

// TestInstanceThatIsCutOffBlamesNoServer: the first failure after a cut is not the server's, whether
// connections are refused or hang, and the instance is isolated until the cut ends.
func TestInstanceThatIsCutOffBlamesNoServer(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			f.silent = silent
			require.True(t, f.accepts("1"))
			time.Sleep(time.Second)
			f.cut.Store(true)
			begun := f.now()
			require.False(t, f.accepts("0"))
			require.False(t, f.monitor.ServerFailed("0", begun))
			require.True(t, f.monitor.Isolated())
			require.Less(t, f.now()-begun, 400*time.Millisecond)
			tries := f.tries.Load()
			time.Sleep(10 * time.Second)
			require.Less(t, f.tries.Load()-tries, int32(130), "an isolated instance tries a few servers a second")
			f.cut.Store(false)
			time.Sleep(600 * time.Millisecond)
			require.False(t, f.monitor.Isolated())
			require.Equal(t, []bool{true, false}, f.changes)
		})
	}
}

// TestFailuresAtTheSameTimeShareTheirProbes: a hundred requests that fail at once try few servers.
func TestFailuresAtTheSameTimeShareTheirProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.silent = true
		f.cut.Store(true)
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() { require.False(t, f.monitor.ServerFailed("0", f.now())) })
		}
		wg.Wait()
		require.Less(t, f.tries.Load(), int32(7))
	})
}

// TestNoMonitor: without a monitor every failure is the server's.
func TestNoMonitor(t *testing.T) {
	var m *reachability.Monitor
	m.Record("0", 0, nil)
	require.False(t, m.Isolated())
	require.True(t, m.ServerFailed("0", 0))
}
