package ingress_test

// This file tests repeats while a route becomes one whose requests run once.

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	safeRead   = "kind=safe to=s timeout=2s attempts=2"
	unsafeRead = "kind=unsafe to=s timeout=2s attempts=2"
)

// TestRuleChangeForbidsTheRepeatAfterRefusal: a request may have run at its first server and is
// refused by the second one, while its route becomes one whose requests run once. A third server
// could run it again.
func TestRuleChangeForbidsTheRepeatAfterRefusal(t *testing.T) {
	var e *testEnv
	var arrivals atomic.Int32
	respond := func(c net.Conn, r *http.Request) {
		switch arrivals.Add(1) {
		case 1:
			c.Close()
		case 2:
			e.changeRules(safeRead, unsafeRead)
			fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		default:
			respondOK(c, r)
		}
	}
	e = newTestEnv(t, respond, respond, respond)
	_, _, _ = e.do("/read/")
	require.EqualValues(t, 2, arrivals.Load())
}

// TestRuleChangeForbidsTheRepeatThatWaits: a request may have run at its first server, and its
// repeat waits for a slot when its route becomes one whose requests run once. A second server
// could run it again.
func TestRuleChangeForbidsTheRepeatThatWaits(t *testing.T) {
	const (
		untilChange = 150 * time.Millisecond
		untilSlot   = 20 * time.Millisecond
	)
	var e *testEnv
	var arrivals, afterChange atomic.Int32
	var changed atomic.Bool
	hold := make(chan struct{})
	change := func() {
		time.Sleep(untilChange)
		e.changeRules(safeRead, unsafeRead)
		changed.Store(true)
		time.Sleep(untilSlot)
		close(hold)
	}
	respond := func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/open/" {
			<-hold
			respondOK(c, r)
			return
		}
		if changed.Load() {
			afterChange.Add(1)
		}
		if arrivals.Add(1) > 1 {
			respondOK(c, r)
			return
		}
		go change()
		c.Close()
	}
	e = newTestEnvWithSlots(t, 1, respond, respond)
	for range 3 {
		go func() { _, _, _ = e.do("/open/") }()
	}
	require.Eventually(t, func() bool { return e.requestCount() == 3 }, 5*time.Second, time.Millisecond)
	_, _, _ = e.do("/read/")
	require.Zero(t, afterChange.Load())
	require.EqualValues(t, 1, arrivals.Load())
}
