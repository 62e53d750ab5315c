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
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/isolation"
)

const servers = 6

// fleet is a number of servers, of which some are down and all may be cut off.
type fleet struct {
	begin   time.Time
	monitor *reachability.Monitor
	// silent is true if a failing attempt takes 100 ms, and not no time. accepting is true if its
	// connection is opened.
	silent    bool
	accepting bool
	cut       atomic.Bool
	down      sync.Map
	tries     atomic.Int32
	changes   []bool
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
		Answers: func(s isolation.Server) bool { return f.answers(s.Address) },
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

// answers opens a connection to a server, and reports whether it answers.
func (f *fleet) answers(address string) bool {
	f.tries.Add(1)
	o := backend.Outcome{
		Address: address,
		Begun:   f.now(),
		Opened:  f.accepting,
	}
	_, down := f.down.Load(address)
	if down || f.cut.Load() {
		o.Err = errors.New("no answer")
		if f.silent {
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.monitor.Record(o)
	return o.Err == nil
}

// TestServerThatIsDownHasFailed: one server is down, and the others are reached. The failure is the
// server's, and the instance is not isolated.
func TestServerThatIsDownHasFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.down.Store("0", true)
		for range 10 {
			begun := f.now()
			require.False(t, f.answers("0"))
			require.True(t, f.monitor.ServerFailed("0", begun))
			time.Sleep(50 * time.Millisecond)
		}
		require.False(t, f.monitor.Isolated())
		require.Empty(t, f.changes)
	})
}

// TestInstanceThatIsCutOffBlamesNoServer: the first failure after a cut is not the server's, whether
// connections are refused, reset or hang, and the instance is isolated until the cut ends.
func TestInstanceThatIsCutOffBlamesNoServer(t *testing.T) {
	for i := range 4 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			f.silent, f.accepting = i%2 == 1, i/2 == 1
			require.True(t, f.answers("1"))
			time.Sleep(time.Second)
			f.cut.Store(true)
			begun := f.now()
			require.False(t, f.answers("0"))
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

// TestServersThatCrashOneAfterTheOtherAreNoIsolation: requests crash three servers within a second, and
// no request is answered on a new connection in between. The other servers are asked before
// anything is concluded, and the failures are those of the servers.
func TestServersThatCrashOneAfterTheOtherAreNoIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.accepting = true
		for i := range 3 {
			f.down.Store(fmt.Sprint(i), true)
			begun := f.now()
			f.monitor.Record(backend.Outcome{
				Address: fmt.Sprint(i),
				Begun:   begun,
				Opened:  true,
				Err:     errors.New("reset"),
			})
			require.True(t, f.monitor.ServerFailed(fmt.Sprint(i), begun))
			time.Sleep(300 * time.Millisecond)
		}
		require.False(t, f.monitor.Isolated())
		require.Empty(t, f.changes)
	})
}

// TestSilenceOfAllServersIsFoundBeforeRequestsTimeOut: one request waits for an answer, and none of the
// servers answers a probe. The instance does not wait for the end of the request.
func TestSilenceOfAllServersIsFoundBeforeRequestsTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.silent, f.accepting = true, true
		f.cut.Store(true)
		f.monitor.Silent("0", f.now())
		time.Sleep(200 * time.Millisecond)
		require.True(t, f.monitor.Isolated())
		require.True(t, f.monitor.Accepted())
	})
}

// TestSlowServersAreAskedRarely: requests wait long at all times, as the servers are slow. What that costs
// in probes is bounded, however many requests there are.
func TestSlowServersAreAskedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		const span = 10 * time.Second
		for f.now() < span {
			begun := f.now()
			time.AfterFunc(500*time.Millisecond, func() { f.monitor.Silent("0", begun) })
			time.Sleep(5 * time.Millisecond)
		}
		require.False(t, f.monitor.Isolated())
		require.Less(t, f.tries.Load(), int32(25))
	})
}

// TestNoMonitor: without a monitor every failure is the server's.
func TestNoMonitor(t *testing.T) {
	var m *reachability.Monitor
	m.Record(backend.Outcome{})
	m.Silent("0", 0)
	require.False(t, m.Accepted())
	require.False(t, m.Isolated())
	require.True(t, m.ServerFailed("0", 0))
}
