package ingress_test

// This file tests how much memory unfinished responses of faulty servers take.

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/heap"
)

const (
	// manyRequests is how many requests get a response without end at the same time.
	manyRequests = 96
	// requestOverhead is the memory, in bytes, that a request and its connections take in
	// this process, besides what is buffered of its response.
	requestOverhead = 160 << 10
	// endlessPart is how much of an event or a body comes at once, in bytes: less than the
	// largest one that is buffered.
	endlessPart = 900 << 10
)

// TestEndlessResponsesStayWithinTheMemory: faulty servers send many responses that do not
// end. What is held of all of them stays within the memory for responses, and the requests for
// a sound server are served meanwhile.
func TestEndlessResponsesStayWithinTheMemory(t *testing.T) {
	for _, c := range []struct {
		path  string
		begin string
		sound responder
	}{
		{"/chat/", "id: 1\ndata: e1\n\nid: 2\ndata: ", stream(3, 0)},
		{"/read/", "", respondOK},
	} {
		t.Run(c.path, func(t *testing.T) {
			part := bytes.Repeat([]byte("x"), endlessPart)
			var stalled atomic.Int32
			endless := func(conn net.Conn, r *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\n%s", r.Header.Get("Id"), c.begin)
				if _, err := conn.Write(part); err != nil {
					return
				}
				stalled.Add(1)
				_, _ = conn.Read(make([]byte, 1))
				stalled.Add(-1)
			}
			e := newTestEnvWithSlots(t, manyRequests, endless, endless, endless, endless, endless, c.sound)
			before := heap.InUse()
			var served atomic.Int32
			var wg sync.WaitGroup
			for range manyRequests {
				wg.Go(func() {
					if _, err := e.doTo(io.Discard, c.path); err == nil {
						served.Add(1)
					}
				})
			}
			time.Sleep(time.Second)
			require.LessOrEqual(t, heap.InUse()-before, responseBudget+manyRequests*requestOverhead)
			t.Logf("%d responses stall, %d requests are served", stalled.Load(), served.Load())
			require.Positive(t, served.Load(), "requests for the sound server are served")
			wg.Wait()
		})
	}
}
