package ingress_test

// This file tests requests that are refused before their bodies are in.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// earlyRefuser refuses half of its requests before their bodies are in, and reads those later. It
// writes each refusal once more, in two pieces, while the next request of the connection runs.
type earlyRefuser struct {
	runs *runLog
}

func (s *earlyRefuser) serve(c *net.TCPConn) {
	copied := ""
	for br := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("Id")
		refused := rand.N(refusalDivisor) == 0
		if refused {
			copied = fmt.Sprintf("HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = io.WriteString(c, copied)
			time.Sleep(rand.N(maxRun))
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if refused {
			continue
		}
		s.runs.add(id)
		begin := rand.N(len(copied) + 1)
		_, _ = io.WriteString(c, copied[:begin])
		time.Sleep(rand.N(maxRun))
		_, _ = io.WriteString(c, copied[begin:])
		copied = ""
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok", id)
	}
}

// TestLateCopiesOfEarlyRefusals: servers that are listed under three names each refuse requests
// that must run once before their long bodies are in, and copy these refusals late, in pieces. A
// copy that counted as the answer would make a request run twice, or be refused although it ran.
func TestLateCopiesOfEarlyRefusals(t *testing.T) {
	const (
		callers, each = 8, 40
		size          = 48 << 10
	)
	s := &earlyRefuser{
		runs: &runLog{
			runs: make(map[string]int),
		},
	}
	e := &testEnv{
		t:     t,
		slots: 32,
	}
	a, b := rawServer(t, s.serve), rawServer(t, s.serve)
	e.start(ruleTextWithKey(), []string{a, a, a, b, b, b})
	var refusedThoughRun, twice, served atomic.Int32
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for i := range each {
				id := fmt.Sprintf("%d-%d", n, i)
				resp, err := e.sendUnreadBody(size, "/book/", "Id", id)
				switch {
				case err != nil:
				case resp.StatusCode == http.StatusOK:
					served.Add(1)
				case resp.StatusCode == http.StatusServiceUnavailable && s.runs.count(id) > 0:
					refusedThoughRun.Add(1)
				}
				if s.runs.count(id) > 1 {
					twice.Add(1)
				}
			}
		})
	}
	wg.Wait()
	require.Positive(t, served.Load())
	require.Zero(t, refusedThoughRun.Load(), "requests that were refused as not run, and ran")
	require.Zero(t, twice.Load(), "requests that ran twice")
}
