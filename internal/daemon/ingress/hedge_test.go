package ingress_test

// This file tests hedged requests: which of two attempts answers a request, and that the other
// one ends. Servers respond in the order in which they get a request, whichever they are.

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/rules/ruleset"
)

const (
	// later is how long after the copy a response comes that comes later.
	later = 150 * time.Millisecond
	// usualRequests is the number of requests before a test that show the usual times.
	usualRequests = 30
	// usualTime is how long servers take for them: longer than a request takes to arrive, so
	// that the copy arrives after the first request.
	usualTime = 25 * time.Millisecond
	// hedgeRule allows a hedge after usualRequests.
	hedgeRule = "type=plain hedge=50%"
)

// hedgeEnv is an instance, which is its own decider, with two servers.
type hedgeEnv struct {
	*testEnv
	log *logtest.Hook

	mu sync.Mutex
	// script holds what is done with the requests to come, in the order of their arrival.
	script []responder
	// closed receives the time from the arrival of a request to the end of its connection,
	// if its responder waits for that.
	closed chan time.Duration
}

// newHedgeEnv starts an instance with the rule word for its service, and sends requests to a
// path that show the usual times.
func newHedgeEnv(t *testing.T, word, path string) *hedgeEnv {
	t.Helper()
	h := &hedgeEnv{
		testEnv: &testEnv{
			t:     t,
			slots: 4,
		},
		closed: make(chan time.Duration, 2),
	}
	usual := respondOK
	if strings.HasPrefix(path, "/chat") || strings.HasPrefix(path, "/once") {
		usual = stream(3, 0)
	}
	var addresses []string
	for i := range 2 {
		addresses = append(addresses, h.backend(fmt.Sprintf("b%d", i), func(c net.Conn, r *http.Request) {
			h.next(after(usualTime, usual))(c, r)
		}))
	}
	rules := fmt.Sprintf(ruleText, ruleset.KeyDigest("secret"))
	h.start(strings.Replace(rules, "type=plain", word, 1), addresses)
	h.membership.view.Store(h.membership.View().WithTables(2, false, nil, []*pb.Instance{{Name: "i"}}))
	h.handler.Placer.Update(h.membership.View())
	h.handler.Logger, h.log = logtest.NewNullLogger()
	for range usualRequests {
		require.Equal(t, http.StatusOK, h.status(path))
	}
	require.Equal(t, usualRequests, h.requestCount())
	return h
}

// replaceServers puts servers at other addresses in the place of those of the service.
func (h *hedgeEnv) replaceServers(addresses []string) {
	var servers []*pb.BackendServer
	for i := range 2 {
		servers = append(servers, &pb.BackendServer{
			Name: fmt.Sprintf("b%d", i),
			Gone: true,
		})
	}
	for i, address := range addresses {
		servers = append(servers, &pb.BackendServer{
			Name:    fmt.Sprintf("r%d", i),
			Service: "s",
			Slots:   h.slots,
			Address: address,
		})
	}
	h.membership.view.Store(h.membership.View().WithTables(3, false, servers, nil))
	h.handler.Placer.Update(h.membership.View())
}

// next returns the responder for the next request.
func (h *hedgeEnv) next(usual responder) responder {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.script) == 0 {
		return usual
	}
	out := h.script[0]
	h.script = h.script[1:]
	return out
}

// play sets what is done with the next requests.
func (h *hedgeEnv) play(script ...responder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.script = script
}

// sent returns the number of requests that servers have got since the usual ones.
func (h *hedgeEnv) sent() int { return h.requestCount() - usualRequests }

// hang sends nothing until its connection is closed.
func (h *hedgeEnv) hang(c net.Conn, _ *http.Request) {
	began := time.Now()
	_ = c.SetReadDeadline(began.Add(workTime))
	_, _ = c.Read(make([]byte, 1))
	h.closed <- time.Since(began)
}

// requireClosed checks that servers saw their connections close within a time of their requests.
func (h *hedgeEnv) requireClosed(n int, within time.Duration) {
	h.t.Helper()
	for range n {
		select {
		case took := <-h.closed:
			require.Less(h.t, took, within)
		case <-time.After(2 * workTime):
			h.t.Fatal("a connection is still open, or no request has come")
		}
	}
}

// outcome returns a field of the log line of the last request.
func (h *hedgeEnv) outcome(field string) any {
	var last *logrus.Entry
	for _, entry := range h.log.AllEntries() {
		if entry.Message == "ingress: request ended" {
			last = entry
		}
	}
	require.NotNil(h.t, last)
	return last.Data[field]
}

// after returns a responder that waits before it responds.
func after(d time.Duration, respond responder) responder {
	return func(c net.Conn, r *http.Request) {
		time.Sleep(d)
		respond(c, r)
	}
}

// afterCopy returns a responder that waits until a copy has arrived, and for some time more.
func (h *hedgeEnv) afterCopy(d time.Duration, respond responder) responder {
	return func(c net.Conn, r *http.Request) {
		for began := time.Now(); h.sent() < 2 && time.Since(began) < workTime; {
			time.Sleep(time.Millisecond)
		}
		after(d, respond)(c, r)
	}
}

// named returns a response with a body of its own.
func named(body string) responder {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
	}
}

// TestCopyAnswersForAServerThatHangs: a request to a server that hangs ended at its deadline.
// Its copy answers it, and the server that hangs sees its connection close.
func TestCopyAnswersForAServerThatHangs(t *testing.T) {
	for path, answer := range map[string]responder{
		"/read/": named("copy"),
		"/chat/": stream(3, 0),
	} {
		t.Run(path, func(t *testing.T) {
			h := newHedgeEnv(t, hedgeRule, path)
			h.play(h.hang, answer)
			resp, body, err := h.do(path)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.NotEmpty(t, body)
			h.requireClosed(1, workTime)
			require.Equal(t, 2, h.sent())
			require.Equal(t, "won", h.outcome("hedge"))
			require.Equal(t, 2, h.outcome("runs"))
			h.mu.Lock()
			defer h.mu.Unlock()
			servers := h.received[usualRequests:]
			require.NotEqual(t, servers[0], servers[1], "the copy goes to another server")
		})
	}
}

// TestCopyAnswersForAStreamWithoutEvents: an engine sends the header of a stream, and no event.
// The header alone counted as the response, so that the stream got no copy and ended at its
// deadline.
func TestCopyAnswersForAStreamWithoutEvents(t *testing.T) {
	h := newHedgeEnv(t, hedgeRule, "/chat/")
	h.play(func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		h.hang(c, r)
	}, stream(3, 0))
	_, body, err := h.do("/chat/")
	require.NoError(t, err)
	require.Equal(t, completeStream(3), body)
	h.requireClosed(1, workTime)
	require.Equal(t, "won", h.outcome("hedge"))
	require.Equal(t, 2, h.outcome("runs"))
}

// TestNoCopyOnceAStreamHasBegun: an engine pauses after the first event. A copy would repeat it.
func TestNoCopyOnceAStreamHasBegun(t *testing.T) {
	h := newHedgeEnv(t, hedgeRule, "/chat/")
	h.play(func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: e1\n\n\n\r\n", r.Header.Get("Id"))
		time.Sleep(600 * time.Millisecond)
		fmt.Fprint(c, "0\r\n\r\n")
	}, stream(3, 0))
	_, body, err := h.do("/chat/")
	require.NoError(t, err)
	require.Contains(t, body, "data: e1")
	require.Equal(t, 1, h.sent())
	require.Nil(t, h.outcome("hedge"))
}

// TestLoserIsClosedBeforeTheAnswerIsRelayed: the winner's body takes long to arrive. The loser's
// server worked on until the end of it.
func TestLoserIsClosedBeforeTheAnswerIsRelayed(t *testing.T) {
	h := newHedgeEnv(t, hedgeRule, "/read/")
	slowBody := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nx", r.Header.Get("Id"))
		time.Sleep(workTime)
		_, _ = c.Write([]byte("y"))
	}
	h.play(h.hang, slowBody)
	_, body, err := h.do("/read/")
	require.NoError(t, err)
	require.Equal(t, "xy", body)
	h.requireClosed(1, maxOverlap)
}

// TestFirstServerAnswersAfterTheCopyWasSent: only one response is relayed, and the copy ends.
func TestFirstServerAnswersAfterTheCopyWasSent(t *testing.T) {
	h := newHedgeEnv(t, hedgeRule, "/read/")
	h.play(h.afterCopy(later, named("first")), h.hang)
	_, body, err := h.do("/read/")
	require.NoError(t, err)
	require.Equal(t, "first", body)
	h.requireClosed(1, workTime)
	require.Equal(t, "lost", h.outcome("hedge"))
	require.Equal(t, 2, h.sent())
}

// TestFailuresOfOneAttempt: an attempt that fails or is rejected while the other one is in
// progress does not end the request.
func TestFailuresOfOneAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		first, copied responder
		copyWins      bool
	}{
		"first gets an error status":    {respondServerError, named("ok"), true},
		"first breaks off":              {closeConnection, named("ok"), true},
		"first is refused in doubt":     {respondUnproved, named("ok"), true},
		"first is rejected":             {respondNotRun, named("ok"), true},
		"the copy is rejected":          {named("ok"), respondNotRun, false},
		"the copy breaks off":           {named("ok"), closeConnection, false},
		"the copy gets an error status": {named("ok"), respondServerError, false},
		"the copy is not signed":        {named("ok"), respondUnsigned, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHedgeEnv(t, hedgeRule, "/read/")
			hedge := "lost"
			if c.copyWins {
				hedge = "won"
				h.play(h.afterCopy(0, c.first), after(later, c.copied))
			} else {
				h.play(h.afterCopy(later, c.first), c.copied)
			}
			resp, body, err := h.do("/read/")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, "ok", body)
			require.Equal(t, 2, h.sent())
			require.Equal(t, hedge, h.outcome("hedge"))
		})
	}
}

// TestBothAttemptsFail: the failure states that the request did not run only if both servers
// have proved it, and the copy counts as one of the attempts of the route, which are two.
func TestBothAttemptsFail(t *testing.T) {
	for name, c := range map[string]struct {
		first, copied responder
		kind          string
	}{
		"both break off":                     {closeConnection, closeConnection, fault.LinkBroken},
		"first is rejected, copy breaks off": {respondNotRun, closeConnection, ""},
		"first breaks off, copy is rejected": {closeConnection, respondNotRun, ""},
		"both are rejected":                  {respondNotRun, respondNotRun, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHedgeEnv(t, hedgeRule, "/read/")
			h.play(h.afterCopy(later, c.first), c.copied, closeConnection, closeConnection, closeConnection, closeConnection, closeConnection)
			resp, _, err := h.do("/read/")
			require.NoError(t, err)
			kind, runs := resp.Header.Get("Kind"), h.outcome("runs").(int)
			require.LessOrEqual(t, runs, 2)
			require.Equal(t, runs == 0, resp.StatusCode == http.StatusServiceUnavailable, "kind %s after %d runs", kind, runs)
			if c.kind != "" {
				require.Equal(t, c.kind, kind)
				require.Equal(t, 2, h.sent())
			}
		})
	}
}

// TestCallerGoneEndsBothAttempts: both servers see their connections close soon after the caller
// has left.
func TestCallerGoneEndsBothAttempts(t *testing.T) {
	h := newHedgeEnv(t, hedgeRule, "/read/")
	h.play(h.hang, h.hang)
	const leavesAfter = 600 * time.Millisecond
	h.client.Timeout = leavesAfter
	_, _, err := h.do("/read/")
	require.Error(t, err)
	h.requireClosed(2, leavesAfter+maxOverlap)
	require.Equal(t, 2, h.sent())
}

// TestNoCopy: requests that get no copy wait for their only server.
func TestNoCopy(t *testing.T) {
	for name, c := range map[string]struct {
		word, path string
	}{
		"unsafe":                     {hedgeRule, "/book/"},
		"stream that can't resume":   {hedgeRule, "/once/"},
		"route with one attempt":     {hedgeRule, "/open/"},
		"no hedging":                 {"type=plain", "/read/"},
		"hedging is off":             {"type=plain hedge=0%", "/read/"},
		"budget of less than a copy": {"type=plain hedge=2%", "/read/"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHedgeEnv(t, c.word, c.path)
			answer := named("ok")
			if c.path == "/once/" {
				answer = stream(3, 0)
			}
			h.play(after(600*time.Millisecond, answer), respondServerError)
			require.Equal(t, http.StatusOK, h.status(c.path))
			require.Equal(t, 1, h.sent())
		})
	}
}

// TestRuleChangeForbidsTheCopy: a route becomes one whose requests run once while a request of
// it is at a server. The copy was allowed when the request was admitted.
func TestRuleChangeForbidsTheCopy(t *testing.T) {
	h := newHedgeEnv(t, hedgeRule, "/read/")
	h.play(func(c net.Conn, r *http.Request) {
		after(600*time.Millisecond, respondOK)(c, r)
	}, respondServerError)
	h.changeRulesAtSend("kind=safe to=s timeout=2s attempts=2", "kind=unsafe to=s timeout=2s attempts=2")
	require.Equal(t, http.StatusOK, h.status("/read/"))
	require.Equal(t, 1, h.sent())
	require.Equal(t, "refused", h.outcome("hedge"))
}

// changeRulesAtSend changes the rules when the next request reaches a server.
func (h *hedgeEnv) changeRulesAtSend(old, changed string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	respond := h.script[0]
	h.script[0] = func(c net.Conn, r *http.Request) {
		h.changeRules(old, changed)
		respond(c, r)
	}
}

// TestNoCopyWhileTheServiceIsLoaded: while most slots are taken, a copy would delay other
// requests.
func TestNoCopyWhileTheServiceIsLoaded(t *testing.T) {
	h := newHedgeEnv(t, hedgeRule, "/read/")
	const requests = 6
	var script []responder
	for range requests {
		script = append(script, after(1200*time.Millisecond, respondOK))
	}
	h.play(script...)
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() { _, _, _ = h.do("/book/") })
	}
	require.Eventually(t, func() bool { return h.sent() == requests }, time.Second, time.Millisecond)
	h.play(after(600*time.Millisecond, respondOK))
	require.Equal(t, http.StatusOK, h.status("/read/"))
	require.Equal(t, "refused", h.outcome("hedge"))
	require.Equal(t, requests+1, h.sent())
	wg.Wait()
}
