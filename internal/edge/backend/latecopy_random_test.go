package backend_test

// This file tests refusals under random copies, repeats of IDs and cancellations.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge/backend"
)

// copyingServer refuses a third of its requests, and writes copies of earlier refusals of a
// connection before, together with or after its responses to later requests. It answers some
// requests before it has read their bodies.
type copyingServer struct {
	mu sync.Mutex
	// ran holds the sends that ran, by the unique header of each.
	ran map[string]bool
}

func (s *copyingServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var refusals []string
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		early := rand.N(3) == 0
		if !early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		out := ""
		if len(refusals) > 0 && rand.N(3) == 0 {
			out = refusals[rand.N(len(refusals))]
			if rand.N(2) == 0 {
				io.WriteString(c, out)
				out = ""
				time.Sleep(rand.N(2 * time.Millisecond))
			}
		}
		id := r.Header.Get("X-Id")
		if rand.N(3) == 0 {
			body := fmt.Sprintf("%0*d", rand.N(40), 0)
			refusal := fmt.Sprintf("HTTP/1.1 421 X\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
			refusals = append(refusals, refusal)
			out += refusal
		} else {
			s.mu.Lock()
			s.ran[r.Header.Get("Send")] = true
			s.mu.Unlock()
			out += fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok", id)
		}
		if len(refusals) > 0 && rand.N(6) == 0 {
			out += refusals[rand.N(len(refusals))]
		}
		io.WriteString(c, out)
		if early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	}
}

// TestRefusalsAreTrueUnderRandomCopies: IDs repeat on all connections, also at the same time, and
// bodies are short, long or cut by a cancellation. A refusal, or the failure that nothing was
// sent, must never be reported for a send that ran.
func TestRefusalsAreTrueUnderRandomCopies(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &copyingServer{
		ran: make(map[string]bool),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	p := pool(t)
	results := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	notRun := make(map[string]string)
	for worker := range 4 {
		wg.Go(func() {
			for i := range 1500 {
				unique := fmt.Sprintf("%d-%d", worker, i)
				result := sendOnce(t, p, l.Addr().String(), unique)
				mu.Lock()
				results[result]++
				if result == "refused" || result == fault.Unreachable {
					notRun[unique] = result
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	// A request that was cancelled may still be read by the server.
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Log(results)
	require.Greater(t, results["refused"], 500)
	for unique, result := range notRun {
		require.False(t, s.ran[unique], "send %s was reported as %s and ran", unique, result)
	}
}

// sendOnce sends a request with one of few IDs and returns what became of it.
func sendOnce(t *testing.T, p *backend.Pool, address, unique string) string {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if rand.N(8) == 0 {
		time.AfterFunc(rand.N(time.Millisecond), cancel)
	}
	req := request(fmt.Sprint(rand.N(40)))
	req.Header.Set("Send", unique)
	if rand.N(4) == 0 {
		req.Body = make([]byte, rand.N(2<<20))
	}
	resp, err := p.Send(ctx, address, req)
	if err != nil {
		return fault.KindOf(err)
	}
	defer resp.Close()
	status := resp.Status
	if _, err := io.Copy(io.Discard, resp); err == nil {
		resp.Keep()
	}
	if status == http.StatusMisdirectedRequest {
		return "refused"
	}
	return "ran"
}
