package entryfleet

// This file tests that an instance stops in time whatever the peers of its connections do.

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/stall"
)

const (
	// preface is how a connection of HTTP/2 begins: the text, and settings without entries.
	preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	// call is the begin of a call on such a connection: headers that announce 100 bytes, of which
	// 3 come.
	call = preface + "\x00\x00\x64\x01\x04\x00\x00\x00\x01" + "\x83\x86\x44"
)

// silentPeers are the first bytes of connections whose peers then do nothing.
var silentPeers = map[string]string{
	"nothing":                   "",
	"part of the preface":       preface[:10],
	"the preface":               preface,
	"part of a call":            call,
	"part of the head":          "POST /p/x HTTP/1.1\r\nHost: h.exa",
	"part of the body":          "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\nContent-Length: 100\r\n\r\nabc",
	"response that is not read": "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
}

// TestStopEndsBesideSilentPeers guards against an instance that does not exit within its grace period
// because a peer of a connection, on any of its ports, sends nothing, stops in the middle, or does not
// read.
func TestStopEndsBesideSilentPeers(t *testing.T) {
	const grace = 3 * time.Second // as in fleet.start
	f := newFleet(t)
	f.requireAccepted(1, 7, "k1")
	f.requireServes(3, "k1")
	var open atomic.Int32
	for offset := range configurationPort + 1 {
		for name, first := range silentPeers {
			c, err := net.Dial("tcp", f.addr(3, offset))
			if err != nil {
				continue // no listener
			}
			t.Cleanup(func() { c.Close() })
			require.NoError(t, c.(*net.TCPConn).SetReadBuffer(1024), name)
			_, err = fmt.Fprint(c, first)
			require.NoError(t, err, name)
			open.Add(1)
		}
	}
	t.Logf("%d connections", open.Load())
	require.GreaterOrEqual(t, int(open.Load()), 7*len(silentPeers), "all ports have a listener")
	time.Sleep(300 * time.Millisecond)
	machine, stopMonitor := stall.New(nil)
	defer stopMonitor()
	begun := time.Now()
	f.stop(3)
	took := time.Since(begun)
	t.Logf("stopped after %v", took)
	if machine.Stalled(begun, time.Now()) {
		// The clean-up has 0.7 s of the grace period, and was not run for a part of it.
		require.LessOrEqual(t, took, grace+2*time.Second)
		return
	}
	require.LessOrEqual(t, took, grace)
}
