package ingress_test

// This file tests the retry budget of a service whose servers crash and return under other
// names.

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/portrange"
	"camphorspoke/internal/routing/scheduler"
)

// TestRefusedConnectionsEarnNoRetries: all servers of a service are down for a while, so that each
// request meets a refused connection at each of them. A request that was placed several times is one
// request: it must not raise the number of retries that the budget allows once the servers are back.
func TestRefusedConnectionsEarnNoRetries(t *testing.T) {
	const (
		servers  = 4
		requests = 60
		// The retry budget of testEnv.
		ratio = 1
		slack = 20
	)
	ports, release, err := portrange.New()
	require.NoError(t, err)
	t.Cleanup(release)
	var addresses []string
	for i := range servers {
		addresses = append(addresses, ports.Address("127.0.0.1", i))
	}
	e := (&testEnv{
		t:     t,
		slots: 4,
	}).start(ruleTextWithKey(), addresses)
	for range requests {
		require.Equal(t, http.StatusServiceUnavailable, e.status("/book/x"))
	}
	retries := 0
	for {
		g, err := e.handler.Placer.Place(t.Context(), "s", scheduler.Request{
			Retry: true,
		})
		if err != nil {
			require.Equal(t, fault.RetryBudget, fault.KindOf(err))
			break
		}
		g.Report(scheduler.Report{
			Event: scheduler.Cancelled,
		})
		retries++
		require.LessOrEqual(t, retries, ratio*requests+slack)
	}
	require.Positive(t, retries)
}

// respondOtherServer refuses a request that is meant for another server.
func respondOtherServer(c net.Conn, r *http.Request) {
	_, _ = io.WriteString(c, "HTTP/1.1 421 X\r\nId: "+r.Header.Get("Id")+"\r\nNot-Run: 1\r\nOther: 1\r\nContent-Length: 0\r\n\r\n")
}

// TestReplacedServersAreNotTriedByEachRequest: all servers of a service are back under other names,
// and the list still has the old ones. Each name is refused a few times; after that the instance must
// not send it every request, which cannot be served there.
func TestReplacedServersAreNotTriedByEachRequest(t *testing.T) {
	const (
		// pause is the least time between two requests to a name that is known to be gone, and
		// refusals how many it gets before.
		pause    = time.Second
		refusals = 4
	)
	e := newTestEnv(t, respondOtherServer, respondOtherServer, respondOtherServer, respondOtherServer)
	start := time.Now()
	for range 300 {
		require.Equal(t, http.StatusServiceUnavailable, e.status("/book/x"))
	}
	pauses := int(time.Since(start)/pause) + 1
	require.LessOrEqual(t, e.requestCount(), 4*(refusals+pauses))
}
