package ingress_test

// This file tests the requests of an instance that is cut off from all servers while callers and
// other instances reach it.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"camphorspoke/internal/daemon/ingress"
	"camphorspoke/internal/daemon/reachability"
	"camphorspoke/internal/edge/backend"
	"camphorspoke/internal/routing/forwarding"
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
		address, _ := closedAddress(t)
		addresses = append(addresses, address)
	}
	e := &testEnv{
		t:     t,
		slots: 4,
	}
	return e.start(ruleTextWithKey(), addresses).forwardTo(addresses, others...)
}

// closedAddress returns an address at which connections are refused. The port stays reserved, so that
// no other listener gets it, until the test ends or release is called.
func closedAddress(t *testing.T) (address string, release func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	release = sync.OnceFunc(func() { unix.Close(fd) })
	t.Cleanup(release)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{
		Addr: [4]byte{127, 0, 0, 1},
	}))
	bound, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port), release
}

// forwardTo lets the instance forward requests to the instances at the given addresses while it
// reaches none of its servers.
func (e *testEnv) forwardTo(servers []string, others ...string) *testEnv {
	e.t.Helper()
	var instances []forwarding.Instance
	for i, address := range others {
		instances = append(instances, forwarding.Instance{
			Name:    fmt.Sprintf("o%d", i),
			Address: strings.TrimPrefix(address, "http://"),
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
		Answers: func(s isolation.Server) bool { return e.handler.Pool.Probe(s.Address, s.HealthPath) },
		Servers: func() []isolation.Server { return listed },
		Logger:  e.handler.Logger,
	})
	e.t.Cleanup(stop)
	e.handler.Pool.OnConnection, e.handler.Pool.OnSilence = monitor.Record, monitor.Silent
	peers := &backend.Pool{
		Now: e.handler.Now,
	}
	e.t.Cleanup(peers.Close)
	e.handler.Forwarding = ingress.Forwarding{
		Monitor:   monitor,
		Pool:      peers,
		Instances: func() []forwarding.Instance { return instances },
	}
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

// TestServerDoesNotReceiveTheMarkOfForwardedRequests: a server gets the headers of the caller, and
// none that instances exchange.
func TestServerDoesNotReceiveTheMarkOfForwardedRequests(t *testing.T) {
	var marked atomic.Bool
	other := newTestEnv(t, func(c net.Conn, r *http.Request) {
		marked.Store(marked.Load() || r.Header.Get("Camphorspoke-Forwarded") != "")
		respondOK(c, r)
	})
	e := newCutEnv(t, other.url)
	require.Equal(t, http.StatusOK, e.status("/read/"))
	require.False(t, marked.Load())
}

// TestInstancesThatAllReachNoServerRefuseAtOnce: no instance reaches a server. A request is not
// handed from one to the next; it is refused at once as not run, with a time.
func TestInstancesThatAllReachNoServerRefuseAtOnce(t *testing.T) {
	other := newCutEnv(t)
	require.Equal(t, http.StatusServiceUnavailable, other.status("/read/"))
	e := newCutEnv(t, other.url, other.url)
	start := time.Now()
	resp, _, err := e.do("/book/")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "isolated", resp.Header.Get("Kind"))
	require.NotEmpty(t, resp.Header.Get("Retry"))
	require.Empty(t, resp.Header.Get("Camphorspoke-Forward-Refused"))
	require.Less(t, time.Since(start), time.Second)
}

// TestRefusingInstanceIsPassedOver: one of two other instances takes no requests. What it refuses
// goes to the other one.
func TestRefusingInstanceIsPassedOver(t *testing.T) {
	cut := newCutEnv(t)
	require.Equal(t, http.StatusServiceUnavailable, cut.status("/read/"))
	other := newTestEnv(t, respondOK)
	closed, _ := closedAddress(t)
	e := newCutEnv(t, cut.url, other.url, closed)
	for range 10 {
		require.Equal(t, http.StatusOK, e.status("/book/"))
	}
	require.Equal(t, 10, other.requestCount())
}

// TestForwardedRequestGoesBackIfTheOtherInstanceIsCutOffToo: an instance finds out with a forwarded
// request that it reaches no server either. The request goes to a third one, and is not tried at one server
// after the other.
func TestForwardedRequestGoesBackIfTheOtherInstanceIsCutOffToo(t *testing.T) {
	other := newTestEnv(t, respondOK)
	for range 10 {
		cut := newCutEnv(t)
		e := newCutEnv(t, cut.url, other.url)
		require.Equal(t, http.StatusOK, e.status("/book/"))
	}
	require.Equal(t, 10, other.requestCount())
}

// peerThat returns an instance that does something with each connection on which it has read a request,
// and its address.
func peerThat(t *testing.T, respond responder) (peer *testEnv, address string) {
	t.Helper()
	peer = &testEnv{
		t: t,
	}
	return peer, peer.backend("peer", respond)
}

// TestForwardedRequestIsSentOnceIfTheLinkBreaks: the connection to the other instance breaks once the
// request was sent, so that it may have run. The caller is not told that it has not, and no other
// instance gets it.
func TestForwardedRequestIsSentOnceIfTheLinkBreaks(t *testing.T) {
	for _, path := range []string{"/book/", "/read/"} {
		peer, breaking := peerThat(t, closeConnection)
		e := newCutEnv(t, breaking, breaking)
		require.Equal(t, http.StatusBadGateway, e.status(path))
		require.Equal(t, 1, peer.requestCount())
	}
}

// TestInstanceThatResetsForwardedRequestsIsPassedOver: connections to one of two other instances are accepted
// and reset. What is sent there may have run and is lost, so that it gets few requests. Before, it
// got half of them for as long as it went on.
func TestInstanceThatResetsForwardedRequestsIsPassedOver(t *testing.T) {
	const requests = 40
	resetting := newCutSwitch(t, 1, respondOK)
	cut := acceptedCuts["reset once a byte has come"]
	resetting.cut.Store(&cut)
	other := newTestEnv(t, respondOK, respondOK)
	e := newCutEnv(t, resetting.addresses[0], other.url)
	lost := 0
	for range requests {
		if status := e.status("/book/"); status != http.StatusOK {
			require.Equal(t, http.StatusBadGateway, status)
			lost++
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.LessOrEqual(t, lost, 3)
}

// TestForwardedResponseThatBreaksOffLooksBroken: the connection to the other instance breaks within the
// response. What the caller gets does not look complete.
func TestForwardedResponseThatBreaksOffLooksBroken(t *testing.T) {
	_, breaking := peerThat(t, stream(5, 2))
	e := newCutEnv(t, breaking)
	_, body, err := e.do("/chat/")
	require.Error(t, err)
	require.Equal(t, completeStream(2), body)
}

// TestStreamGoesOnAtAnotherInstanceAfterACut: an instance is cut off from all servers in the middle of
// a stream. Another one goes on after the last event that the caller has, and knows by the name of the
// attempt which stream it is. A request that may run once only does not go on.
func TestStreamGoesOnAtAnotherInstanceAfterACut(t *testing.T) {
	var resumes atomic.Value
	other := newTestEnv(t, func(c net.Conn, r *http.Request) {
		resumes.Store(r.Header.Get("Resumes"))
		stream(5, 0)(c, r)
	})
	closed, _ := closedAddress(t)
	alsoClosed, _ := closedAddress(t)
	for path, whole := range map[string]bool{"/chat/": true, "/once/": false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			l.Close()
			stream(5, 2)(c, r)
		}()
		addresses := []string{l.Addr().String(), closed, alsoClosed}
		e := &testEnv{
			t:     t,
			slots: 4,
		}
		e.start(ruleTextWithKey(), addresses[:1]).forwardTo(addresses, other.url)
		_, body, err := e.do(path)
		if !whole {
			require.Error(t, err)
			require.Equal(t, completeStream(2), body)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, completeStream(5), body)
		require.Equal(t, "x1", resumes.Load())
	}
}

// TestServersAreNotBlamedByInstanceCutOff: an instance that is cut off does not report its failures as
// those of servers. Once the cut ends, it sends requests to them at once.
func TestServersAreNotBlamedByInstanceCutOff(t *testing.T) {
	other := newTestEnv(t, respondOK)
	address, release := closedAddress(t)
	closed, _ := closedAddress(t)
	alsoClosed, _ := closedAddress(t)
	e := &testEnv{
		t:     t,
		slots: 4,
	}
	e.start(ruleTextWithKey(), []string{address}).forwardTo([]string{address, closed, alsoClosed}, other.url)
	for range 5 {
		require.Equal(t, http.StatusOK, e.status("/book/"))
	}
	release()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	var own atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if r.Method == http.MethodPost { // not a probe
						own.Add(1)
					}
					respondOK(c, r)
				}
			}()
		}
	}()
	t.Cleanup(func() { l.Close() })
	require.Eventually(t, func() bool { return !e.handler.Forwarding.Monitor.Isolated() }, 2*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, e.status("/book/"))
	require.EqualValues(t, 1, own.Load())
}

// TestForwardedRequestIsCountedOnce: an instance had its request placed before it found out that it reaches
// no server. Counted again at the other instance, the request would earn repeats twice.
func TestForwardedRequestIsCountedOnce(t *testing.T) {
	var marks sync.Map
	_, peer := peerThat(t, func(c net.Conn, r *http.Request) {
		marks.Store(r.Header.Get("Id"), r.Header.Get("Camphorspoke-Forwarded"))
		respondOK(c, r)
	})
	e := newCutEnv(t, peer)
	for range 2 {
		require.Equal(t, http.StatusOK, e.status("/read/"))
	}
	first, _ := marks.Load("x1")
	require.Equal(t, "0,counted", first)
	second, _ := marks.Load("x2")
	require.Equal(t, "0", second)

	// At the other instance, only requests that are counted there earn repeats.
	const requests = 20
	for mark, wanted := range map[string]int{"0": requests, "0,counted": 0} {
		other := &testEnv{
			t:           t,
			slots:       4,
			retryWindow: 2 * time.Second,
			retryRatio:  1,
		}
		other.start(ruleTextWithKey(), []string{other.backend("b0", respondServerError), other.backend("b1", respondServerError)})
		for range requests {
			other.do("/open/", "Camphorspoke-Forwarded", mark)
		}
		// The budget counts requests in whole buckets of a twentieth of the window.
		time.Sleep(250 * time.Millisecond)
		repeated := 0
		for range requests {
			before := other.requestCount()
			other.do("/read/", "Camphorspoke-Forwarded", "0,counted")
			repeated += other.requestCount() - before - 1
		}
		if wanted == 0 {
			require.Zero(t, repeated)
		} else {
			require.Positive(t, repeated)
		}
	}
}
