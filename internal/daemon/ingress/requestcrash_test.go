package ingress_test

// This file tests requests without a prompt that crash the server which runs them.

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/portrange"
)

const (
	// deadlySuffix ends the path of a request that crashes the server which runs it.
	deadlySuffix = "deadly"
	// deadlyInterval is the time between two such requests, and soundInterval that between
	// two sound ones.
	deadlyInterval = 250 * time.Millisecond
	soundInterval  = 20 * time.Millisecond
	// crashPeriod is for how long both are sent.
	crashPeriod = 14 * time.Second
	// crashesAllowed is the number of servers that a request may crash before the rule
	// on it applies.
	crashesAllowed = 3
)

const plainRules = `service s type=plain slots=8 # t: t
route read host=h prefix=/read/ kind=safe to=s timeout=2s attempts=2 public=yes # t: t
route book host=h prefix=/book/ kind=unsafe to=s timeout=2s attempts=1 public=yes # t: t
`

// runPlain runs a request without a prompt, or crashes the server because of it. It reports
// whether the server is up.
func (s *fragileServer) runPlain(c net.Conn, r *http.Request) bool {
	deadly := strings.HasSuffix(r.URL.Path, deadlySuffix)
	if deadly {
		s.crashes.recordReached()
	}
	time.Sleep(crashDelay)
	if deadly {
		s.crash()
		return false
	}
	respondOK(c, r)
	return true
}

// TestRequestThatCrashesServers: one request, sent again and again beside sound ones, crashes each
// server that runs it. Later than stableWindow after the third crash hardly any of its
// repeats must reach a server, and sound requests are served.
func TestRequestThatCrashesServers(t *testing.T) {
	for _, route := range []string{"read", "book"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			testRequestThatCrashesServers(t, "/"+route+"/")
		})
	}
}

func testRequestThatCrashesServers(t *testing.T, prefix string) {
	crashes := &crashLog{}
	ports, release, err := portrange.New()
	require.NoError(t, err)
	t.Cleanup(release)
	var addresses []string
	for i := range 6 {
		addresses = append(addresses, newFragileServer(t, ports.Address("127.0.0.1", i), crashes).address)
	}
	e := (&testEnv{t: t}).start(plainRules, addresses)
	var sound, served atomic.Int32
	var requests sync.WaitGroup
	sendEvery := func(interval time.Duration, send func(i int)) {
		requests.Go(func() {
			for i := range int(crashPeriod / interval) {
				requests.Go(func() { send(i) })
				time.Sleep(interval)
			}
		})
	}
	sendEvery(deadlyInterval, func(int) {
		_, _, _ = e.do(prefix + deadlySuffix)
	})
	sendEvery(soundInterval, func(i int) {
		third, ok := crashes.crash(crashesAllowed)
		counted := ok && time.Since(third) > stableWindow
		resp, _, err := e.do(fmt.Sprintf("%s%d", prefix, i))
		if !counted {
			return
		}
		sound.Add(1)
		if err == nil && resp.StatusCode == http.StatusOK {
			served.Add(1)
		}
	})
	requests.Wait()
	if third, ok := crashes.crash(crashesAllowed); ok {
		require.LessOrEqual(t, crashes.reachedSince(third.Add(stableWindow)), deadlyAllowed)
	}
	require.GreaterOrEqual(t, float64(served.Load()), 0.9*float64(sound.Load()))
}
