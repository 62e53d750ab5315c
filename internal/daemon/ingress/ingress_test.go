package ingress_test

// This file sends requests through a handler to backend servers that answer, reject,
// close the connection or never answer. It checks how often a request is sent and
// which response the caller receives.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/rules/ruleset"
)

func TestForwardsRequest(t *testing.T) {
	e := newTestEnv(t, respondOK)
	resp, body, err := e.do("/read/x?y=1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "for acme", body, "the account is forwarded, the key is not")
	require.Equal(t, "1", resp.Header.Get("Signed"))
}

func TestRouteAuthorization(t *testing.T) {
	e := newTestEnv(t, respondOK)
	require.Equal(t, http.StatusOK, e.status("/open/x", "Key", "wrong"))
	resp, _, err := e.do("/read/x", "Key", "wrong")
	require.NoError(t, err)
	require.Equal(t, fault.UnknownKey, resp.Header.Get("Kind"))
	resp, _, err = e.do("/nowhere/x")
	require.NoError(t, err)
	require.Equal(t, fault.UnknownRoute, resp.Header.Get("Kind"))
	require.Equal(t, 1, e.requestCount())
}

// TestRulesWithoutAccountsRefuseEveryKey guards against routes that are open to every caller once the
// last account is gone.
func TestRulesWithoutAccountsRefuseEveryKey(t *testing.T) {
	e := newTestEnv(t, respondOK)
	e.changeRules(fmt.Sprintf("account acme share=1 keys=%s", ruleset.KeyDigest("secret")), "account - share=1 keys=-")
	for _, key := range []string{"secret", "other", "-", ""} {
		resp, _, err := e.do("/read/x", "Key", key)
		require.NoError(t, err)
		require.Equal(t, fault.UnknownKey, resp.Header.Get("Kind"), key)
	}
	require.Zero(t, e.requestCount())
	_, body, err := e.do("/open/x")
	require.NoError(t, err)
	require.Equal(t, "for ", body)
	e.changeRules("account - share=1 keys=- # t: t", "")
	require.Equal(t, http.StatusOK, e.status("/read/x", "Key", "other"))
}

// TestUnconfirmedRules: an instance whose rules are not confirmed to be in force
// serves requests without a key on public routes. It refuses all others with a retry delay, and never
// reports a route or a key as unknown.
func TestUnconfirmedRules(t *testing.T) {
	e := newTestEnv(t, respondOK)
	e.membership.stale.Store(true)
	require.Equal(t, http.StatusOK, e.status("/open/x", "Key", ""))
	for _, path := range []string{"/read/x", "/nowhere/x", "/open/x"} {
		resp, _, err := e.do(path)
		require.NoError(t, err)
		require.Equal(t, fault.RulesStale, resp.Header.Get("Kind"))
		require.NotEmpty(t, resp.Header.Get("Retry"))
	}
	require.Equal(t, 1, e.requestCount())
}

// TestWaitsForRuleConfirmation: shortly after a start a request waits until the rules
// are confirmed, and is then served. Without a confirmation it is refused after a
// fraction of a second. Requests without a key on public routes do not wait.
func TestWaitsForRuleConfirmation(t *testing.T) {
	e := newTestEnv(t, respondOK)
	e.membership.stale.Store(true)
	e.membership.freshSoon.Store(true)
	time.AfterFunc(50*time.Millisecond, func() { e.membership.stale.Store(false) })
	require.Equal(t, http.StatusOK, e.status("/read/x"))
	e.membership.stale.Store(true)
	start := time.Now()
	require.Equal(t, http.StatusOK, e.status("/open/x", "Key", ""))
	require.Less(t, time.Since(start), 200*time.Millisecond)
	start = time.Now()
	resp, _, err := e.do("/read/x")
	require.NoError(t, err)
	require.Equal(t, fault.RulesStale, resp.Header.Get("Kind"))
	require.Less(t, time.Since(start), 900*time.Millisecond)
}

// TestShutdownRefusesLongRequests: shortly before an instance stops, it refuses
// requests of a route whose recent requests took longer than the time left, as not
// run, and still serves those of a faster route.
func TestShutdownRefusesLongRequests(t *testing.T) {
	slow := func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/book/long" {
			time.Sleep(400 * time.Millisecond)
		}
		respondOK(c, r)
	}
	e := newTestEnv(t, slow)
	require.Equal(t, http.StatusOK, e.status("/book/long"))
	require.Equal(t, http.StatusOK, e.status("/read/x"))
	ends := time.Now().Add(300 * time.Millisecond)
	e.stopsAt.Store(&ends)
	resp, _, err := e.do("/book/long")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, fault.Leaving, resp.Header.Get("Kind"))
	require.NotEmpty(t, resp.Header.Get("Retry"))
	require.True(t, resp.Close)
	require.Equal(t, http.StatusOK, e.status("/read/x"))
	require.Equal(t, 3, e.requestCount())
}

// TestLateRequestThatMayOutlastTheStopIsRefused: after the first seconds of a shutdown a request
// is refused as not run if its timeout ends after the stop, although requests of its route
// were short so far; one whose caller waits for less is accepted.
func TestLateRequestThatMayOutlastTheStopIsRefused(t *testing.T) {
	e := newTestEnv(t, respondOK)
	require.Equal(t, http.StatusOK, e.status("/book/x"))
	ends := time.Now().Add(1500 * time.Millisecond)
	e.stopsAt.Store(&ends)
	require.Equal(t, http.StatusOK, e.status("/book/x"))
	e.leavingFor.Store(int64(4 * time.Second))
	require.Equal(t, http.StatusServiceUnavailable, e.status("/book/x"))
	require.Equal(t, http.StatusOK, e.status("/book/x", "Wait", "1s"))
	require.Equal(t, 3, e.requestCount())
}

// TestBodyThatEndsLateInTheGracePeriodIsRefused: a request arrives early in a shutdown, when
// the usual duration of its route decides, and its body in chunks ends late. It was passed on
// and cut off at the end of the grace period. It is refused as not run unless it must end in
// time.
func TestBodyThatEndsLateInTheGracePeriodIsRefused(t *testing.T) {
	e := newTestEnv(t, respondOK)
	require.Equal(t, http.StatusOK, e.status("/book/x"))
	ends := time.Now().Add(1500 * time.Millisecond)
	e.stopsAt.Store(&ends)
	e.leavingFor.Store(int64(2 * time.Second))
	chunked := func(wait string) int {
		body, writer := io.Pipe()
		go func() {
			_, _ = io.WriteString(writer, "first")
			time.Sleep(100 * time.Millisecond)
			e.leavingFor.Store(int64(4 * time.Second))
			_, _ = io.WriteString(writer, "last")
			_ = writer.Close()
		}()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.url+"/book/x", body)
		require.NoError(t, err)
		r.Host = "h"
		r.Header.Set("Id", "x1")
		r.Header.Set("Key", "secret")
		if wait != "" {
			r.Header.Set("Wait", wait)
		}
		resp, err := e.client.Do(r)
		require.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	require.Equal(t, http.StatusServiceUnavailable, chunked(""))
	require.Equal(t, 1, e.requestCount())
	e.leavingFor.Store(int64(2 * time.Second))
	require.Equal(t, http.StatusOK, chunked("1s"))
	require.Equal(t, 2, e.requestCount())
}

// TestChunkedBodiesHoldWhatTheyTake: each body in chunks of more than 64 KB held the memory of
// the largest allowed body until its request had ended, so that seven of one account refused
// all others.
func TestChunkedBodiesHoldWhatTheyTake(t *testing.T) {
	release := make(chan struct{})
	hold := func(c net.Conn, r *http.Request) {
		<-release
		respondOK(c, r)
	}
	e := newTestEnv(t, hold, hold, hold, hold)
	const callers = 12
	statuses := make(chan int, callers)
	for range callers {
		go func() {
			// The type of the reader hides the length, so that the body is sent in chunks.
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", 100<<10)))
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.url+"/read/x", body)
			if err != nil {
				statuses <- 0
				return
			}
			r.Host = "h"
			r.Header.Set("Id", "x1")
			r.Header.Set("Key", "secret")
			resp, err := e.client.Do(r)
			if err != nil {
				statuses <- 0
				return
			}
			resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	time.AfterFunc(time.Second, func() { close(release) })
	overloaded := 0
	for range callers {
		if <-statuses != http.StatusOK {
			overloaded++
		}
	}
	require.Zero(t, overloaded)
}

// TestRequestAfterTheDrainIsRefused: a stopping instance found no request in flight, and one
// that arrived before its connections were closed was passed on and cut off. It must be
// refused as not run.
func TestRequestAfterTheDrainIsRefused(t *testing.T) {
	e := newTestEnv(t, respondOK)
	require.Equal(t, http.StatusOK, e.status("/book/x"))
	ends := time.Now().Add(time.Minute)
	e.stopsAt.Store(&ends)
	require.Eventually(t, e.handler.Gate.CloseIfIdle, time.Second, time.Millisecond)
	resp, _, err := e.do("/book/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close, "the caller must use another connection")
	require.NotEmpty(t, resp.Header.Get("Retry"))
	require.Equal(t, 1, e.requestCount())
	require.Zero(t, e.handler.Gate.Count())
}

// TestServerThatNeverAnswersIsEjected: a server accepts connections and requests and answers
// none. The requests that time out there count against it, so that others are not sent there
// at the same rate for ever.
func TestServerThatNeverAnswersIsEjected(t *testing.T) {
	e := newTestEnv(t, neverRespond, respondOK)
	timedOut := 0
	for range 30 {
		if e.status("/book/x", "Wait", "700ms") != http.StatusOK {
			timedOut++
		}
	}
	require.LessOrEqual(t, timedOut, 3)
}

// TestOutcomes checks, for each way in which backend servers fail, the caller's
// response and how often the request was sent.
func TestOutcomes(t *testing.T) {
	const notRun, mayHaveRun = http.StatusServiceUnavailable, http.StatusBadGateway
	for _, c := range []struct {
		name     string
		path     string
		servers  []responder
		status   int
		arrivals int
	}{
		{"unsafe, connection closed: not retried", "/book/", []responder{closeConnection, closeConnection}, mayHaveRun, 1},
		{"unsafe, no answer", "/book/", []responder{neverRespond, neverRespond}, mayHaveRun, 1},
		{"unsafe, rejected by all", "/book/", []responder{respondNotRun, respondNotRun}, notRun, 2},
		{"unsafe, server error", "/book/", []responder{respondServerError, respondServerError}, http.StatusInternalServerError, 1},
		{"unsafe, unsigned response", "/book/", []responder{respondUnsigned, respondUnsigned}, mayHaveRun, 1},
		{"unsafe, refusal without proof", "/book/", []responder{respondUnproved, respondUnproved}, mayHaveRun, 1},
		{"safe, refusal without proof: retried once", "/read/", []responder{respondUnproved, respondUnproved}, mayHaveRun, 2},
		{"stream that must not resume, refusal without proof", "/once/", []responder{respondUnproved, respondUnproved}, mayHaveRun, 1},
		{"safe, connection closed: retried once", "/read/", []responder{closeConnection, closeConnection}, mayHaveRun, 2},
		{"safe, server error: retried once", "/read/", []responder{respondServerError, respondServerError}, http.StatusInternalServerError, 2},
		{"safe, three connections closed: two attempts", "/read/", []responder{closeConnection, closeConnection, closeConnection}, mayHaveRun, 2},
		{"safe, rejected by all", "/read/", []responder{respondNotRun, respondNotRun}, notRun, 2},
		{"stream that must not resume", "/once/", []responder{closeConnection, closeConnection}, mayHaveRun, 1},
		{"no server", "/read/", nil, notRun, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEnv(t, c.servers...)
			require.Equal(t, c.status, e.status(c.path, "Wait", "500ms"))
			require.Equal(t, c.arrivals, e.requestCount())
		})
	}
}

// TestRetriesOnHealthyServer: a request that may be retried is served as long as one
// server is healthy, however the other one fails.
func TestRetriesOnHealthyServer(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		other responder
	}{
		"unsafe, rejected":        {"/book/", respondNotRun},
		"safe, connection closed": {"/read/", closeConnection},
		"safe, server error":      {"/read/", respondServerError},
		"safe, unsigned response": {"/read/", respondUnsigned},
	} {
		t.Run(name, func(t *testing.T) {
			for range 4 {
				e := newTestEnv(t, c.other, respondOK)
				require.Equal(t, http.StatusOK, e.status(c.path))
			}
		})
	}
}

// TestAddressOfAnotherServer: another server has taken over the address of one that is
// still listed, and rejects what is sent to that one. While the other servers have no
// slot free, callers must not be sent there over and over until the list is read again.
func TestAddressOfAnotherServer(t *testing.T) {
	respondOther := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nNot-Run: 1\r\nOther: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	}
	respondLate := func(c net.Conn, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		respondOK(c, r)
	}
	e := newTestEnv(t, respondOther, respondLate)
	start := time.Now()
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for range 20 {
				_, _, _ = e.do("/read/x")
			}
		})
	}
	callers.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	misdirected := 0
	for _, name := range e.received {
		if name == "b0" {
			misdirected++
		}
	}
	// One each 100 ms, and those in flight when the first one is rejected.
	require.LessOrEqual(t, misdirected, int(time.Since(start)/(100*time.Millisecond))+8)
}

// TestRouteTimeout: a request that exceeds the timeout of its route fails shortly
// after it.
func TestRouteTimeout(t *testing.T) {
	e := newTestEnv(t, neverRespond)
	start := time.Now()
	resp, _, err := e.do("/fast/")
	require.NoError(t, err)
	require.Equal(t, fault.TimedOut, resp.Header.Get("Kind"))
	require.Less(t, time.Since(start), 700*time.Millisecond, "fails within 500 ms after the route's timeout")
}

// stream returns a responder that sends events up to last, beginning after the event
// that the request names. If breakAfter is above zero, it closes the connection in
// the middle of the event after that many events.
func stream(last, breakAfter int) responder {
	return func(c net.Conn, r *http.Request) {
		from := 0
		fmt.Sscanf(r.Header.Get("Last"), "%d", &from)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		chunk := func(s string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }
		for i := from + 1; i <= last; i++ {
			if breakAfter > 0 && i > from+breakAfter {
				chunk(fmt.Sprintf("id: %d\nda", i))
				c.Close()
				return
			}
			chunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
		}
		io.WriteString(c, "0\r\n\r\n")
	}
}

// completeStream returns the body of a stream of n events.
func completeStream(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i+1, i+1)
	}
	return b.String()
}

// TestStreamResumesOnAnotherServer: a stream that breaks off in the middle of an
// event is resumed after the last complete event, and the caller receives one
// complete stream.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	for range 4 {
		e := newTestEnv(t, stream(5, 2), stream(5, 4))
		_, body, err := e.do("/chat/")
		require.NoError(t, err)
		require.Equal(t, completeStream(5), body)
		require.Equal(t, 2, e.requestCount())
	}
}

// TestNonResumableStream: the caller receives the complete events before the break
// and then a truncated body, so that the stream does not look complete.
func TestNonResumableStream(t *testing.T) {
	e := newTestEnv(t, stream(5, 2), stream(5, 2))
	_, body, err := e.do("/once/")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, completeStream(2), body)
	require.Equal(t, 1, e.requestCount())
}

// TestCallerResumes: the ID of the last event that the caller has received is
// forwarded with its request, so that the server continues after that event.
func TestCallerResumes(t *testing.T) {
	e := newTestEnv(t, stream(4, 0))
	_, body, err := e.do("/chat/", "Last", "2")
	require.NoError(t, err)
	require.Equal(t, "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", body)
}

// TestCallerDisconnects: when the caller disconnects, the connection to the backend
// server is closed, so that the server stops working on the request.
func TestCallerDisconnects(t *testing.T) {
	closed := make(chan struct{})
	e := newTestEnv(t, func(c net.Conn, _ *http.Request) {
		c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url+"/read/", nil)
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Key", "secret")
	_, err = e.client.Do(r)
	require.True(t, errors.Is(err, context.DeadlineExceeded))
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the backend server is still open after 5 s")
	}
}
