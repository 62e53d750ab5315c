package ingress_test

// This file tests the retry budget of a service whose servers crash and return under other
// names.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/portrange"
)

// TestRefusedConnectionsEarnNoRetries: all servers of a service are down for a while, so that each
// request meets a refused connection at each of them. Then they are back under other names, and
// refuse the requests for the old ones. A request that was placed several times is one request: it
// must not raise the number of retries that the budget allows.
func TestRefusedConnectionsEarnNoRetries(t *testing.T) {
	const (
		servers  = 4
		whenDown = 60
		whenBack = 100
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
	for range whenDown {
		require.Equal(t, http.StatusServiceUnavailable, e.status("/book/x"))
	}
	require.Zero(t, e.requestCount())
	for i, address := range addresses {
		e.backendAt(address, fmt.Sprintf("new%d", i), respondOtherServer)
	}
	arrived := 0
	for range whenBack {
		before := e.requestCount()
		require.Equal(t, http.StatusServiceUnavailable, e.status("/book/x"))
		if e.requestCount() > before {
			arrived++
		}
	}
	repeats := e.requestCount() - arrived
	require.Positive(t, repeats)
	require.LessOrEqual(t, repeats, ratio*(whenDown+whenBack)+slack)
}

// respondOtherServer refuses a request that is meant for another server.
func respondOtherServer(c net.Conn, r *http.Request) {
	_, _ = io.WriteString(c, "HTTP/1.1 421 X\r\nId: "+r.Header.Get("Id")+"\r\nNot-Run: 1\r\nOther: 1\r\nContent-Length: 0\r\n\r\n")
}
