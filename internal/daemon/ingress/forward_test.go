package ingress_test

// This file tests the requests of an instance that is cut off from all servers while callers and
// other instances reach it.

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/reachability"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/isolation"
)

// cutServers is the number of servers that an instance lists and does not reach.
const cutServers = 4

// newCutEnv returns an instance whose connections to all servers are refused. The others are the
// addresses of the instances that it may forward to.
func newCutEnv(t *testing.T, others ...string) *testEnv {
	t.Helper()
	var addresses []string
	for range cutServers {
		addresses = append(addresses, closedAddress(t))
	}
	e := &testEnv{
		t:     t,
		slots: 4,
	}
	return e.start(ruleTextWithKey(), addresses).forwardTo(addresses, others...)
}

// closedAddress returns an address at which connections are refused.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// forwardTo lets the instance forward requests to the instances at the given addresses while it
// reaches none of its servers.
func (e *testEnv) forwardTo(servers []string, others ...string) *testEnv {
	e.t.Helper()
	var instances []*pb.Instance
	for i, address := range others {
		instances = append(instances, &pb.Instance{
			Name:          fmt.Sprintf("o%d", i),
			CallerAddress: strings.TrimPrefix(address, "http://"),
		})
	}
	var listed []isolation.Server
	for _, address := range servers {
		listed = append(listed, isolation.Server{
			Address: address,
			Service: "s",
		})
	}
	monitor, stop := reachability.New(reachability.Config{
		Now:     e.handler.Now,
		Accepts: e.handler.Pool.Accepts,
		Servers: func() []isolation.Server { return listed },
		Logger:  e.handler.Logger,
	})
	e.t.Cleanup(stop)
	e.handler.Pool.OnDial = monitor.Record
	v := e.membership.View()
	e.membership.view.Store(v.WithTables(v.Index+1, false, nil, instances))
	return e
}

// TestCallersOfInstanceCutOffFromAllServersAreServed: an instance reaches no server, while its callers
// and another instance reach it. Its callers get whole answers of the servers that the other one
// reaches, and each request runs once. Before, they were refused until the cut ended.
func TestCallersOfInstanceCutOffFromAllServersAreServed(t *testing.T) {
	const requests = 20
	other := newTestEnv(t, respondOK, respondOK)
	e := newCutEnv(t, other.url)
	for i := range requests {
		path := []string{"/read/", "/book/"}[i%2]
		resp, body, err := e.do(path)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "for acme", body)
		require.Empty(t, resp.Header.Get("Camphorspoke-Forwarded"))
	}
	require.Equal(t, requests, other.requestCount())
	streams := newTestEnv(t, stream(5, 0))
	e = newCutEnv(t, streams.url)
	_, body, err := e.do("/chat/")
	require.NoError(t, err)
	require.Equal(t, completeStream(5), body)
}
