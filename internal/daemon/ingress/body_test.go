package ingress_test

// This file tests bodies of requests that are announced and don't arrive.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/boottime"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/bodymemory"
	"camphorspoke/internal/edge/connguard"
	"camphorspoke/internal/rules/ruleset"
)

// announceBody sends a head that announces a body, and the beginning of the body.
func announceBody(t *testing.T, url string, length int, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "POST /book/ HTTP/1.1\r\nHost: h\r\nId: x\r\nKey: secret\r\nContent-Length: %d\r\n\r\n%s", length, body)
	require.NoError(t, err)
	return c
}

// TestAnnouncedBodiesHoldNoMemory guards against bodies that are announced and never sent,
// for which other requests found no memory.
func TestAnnouncedBodiesHoldNoMemory(t *testing.T) {
	e := newTestEnv(t, respondOK)
	e.handler.Bodies = &bodymemory.Budget{
		Bytes: 64 << 10,
	}
	for range 20 {
		announceBody(t, e.url, 4<<10, "")
	}
	// The heads have arrived once the gate counts their requests.
	require.Eventually(t, func() bool { return e.handler.Gate.Count() == 20 }, 5*time.Second, time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(announceBody(t, e.url, 3000, strings.Repeat("b", 3000))), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode, resp.Header.Get("Kind"))
}

// TestStalledBodyIsRefusedAsNotRun guards against a body that stops and holds its request for
// good. The caller gets a refusal, and no server gets the request.
func TestStalledBodyIsRefusedAsNotRun(t *testing.T) {
	e := newTestEnv(t, respondOK)
	limits := connguard.LimitsFor(0, 0, 0)
	limits.BodyTime = 100 * time.Millisecond
	guard := &connguard.Guard{
		Limits:  func() connguard.Limits { return limits },
		Now:     boottime.New().Now,
		OnClose: func(string) {},
	}
	s := httptest.NewUnstartedServer(e.handler)
	guard.Protect(s.Config)
	s.Listener = guard.Listener(s.Listener)
	s.Start()
	defer s.Close()
	for _, body := range []string{"", "some"} {
		resp, err := http.ReadResponse(bufio.NewReader(announceBody(t, s.URL, 4<<10, body)), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, fault.BodyTimedOut, resp.Header.Get("Kind"))
		require.True(t, resp.Close)
	}
	require.Zero(t, e.requestCount())
	require.False(t, fault.MayHaveRun(fault.New(fault.BodyTimedOut, "", "")))
}

// TestBodiesOfEverySizeArrive guards against a body that is cut, or accepted above the limit,
// where a part that is read by itself ends.
func TestBodiesOfEverySizeArrive(t *testing.T) {
	sendBodies(t, 100_000, 1, 511, 512, 513, 4095, 4096, 4097, 65_535, 65_536, 65_537, 99_999, 100_000, 100_001)
	// With a limit below the size of the first read, a longer body was passed on without its end.
	sendBodies(t, 20, 1, 19, 20, 21, 700)
	sendBodies(t, 512, 511, 512, 513, 5000)
}

// sendBodies sends bodies of several sizes, each with and without its length announced, to an
// instance with a limit on their size.
func sendBodies(t *testing.T, limit int, sizes ...int) {
	t.Helper()
	received := make(chan string, 1)
	e := newTestEnv(t)
	e.start(fmt.Sprintf("ingress callers body-bytes=%d # t: t\n"+ruleText, limit, ruleset.KeyDigest("secret")), []string{e.wholeBodies(received)})
	for _, size := range sizes {
		for _, chunked := range []bool{false, true} {
			sent := strings.Repeat("0123456789", size/10+1)[:size]
			var body io.Reader = strings.NewReader(sent)
			if chunked {
				body = io.MultiReader(body)
			}
			r, err := http.NewRequest(http.MethodPost, e.url+"/book/", body)
			require.NoError(t, err)
			r.Host = "h"
			r.Header.Set("Id", fmt.Sprintf("x%d-%t", size, chunked))
			r.Header.Set("Key", "secret")
			resp, err := e.client.Do(r)
			require.NoError(t, err)
			resp.Body.Close()
			if size > limit {
				require.Equal(t, fault.BodyTooLarge, resp.Header.Get("Kind"), "%d %t", size, chunked)
				continue
			}
			require.Equal(t, http.StatusOK, resp.StatusCode, "%d %t %s", size, chunked, resp.Header.Get("Kind"))
			require.Equal(t, sent, <-received, "%d %t", size, chunked)
		}
	}
}

// wholeBodies starts a backend server that passes on the bodies that it receives.
func (e *testEnv) wholeBodies(received chan<- string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		received <- string(b)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
	}))
	e.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
