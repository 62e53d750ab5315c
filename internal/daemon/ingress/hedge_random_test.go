package ingress_test

// This file sends many hedged requests at once to servers that respond in random ways.

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// executions counts the executions of each request by its ID.
type executions struct {
	mu   sync.Mutex
	byID map[string]int
}

func (x *executions) add(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.byID[id]++
}

func (x *executions) count(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.byID[id]
}

// TestHedgedRequestsRunWithinTheirAttempts: whatever two servers do with a request at the same
// time, it runs at two of them at most, which are the attempts of its routes, at one if it may
// not be repeated, and at none if its caller is told so. A response is whole and its own.
func TestHedgedRequestsRunWithinTheirAttempts(t *testing.T) {
	const (
		requests = 600
		callers  = 12
		servers  = 6
	)
	h := newHedgeEnv(t, hedgeRule, "/read/")
	ran := &executions{
		byID: make(map[string]int),
	}
	random := func(c net.Conn, r *http.Request) {
		id, stream := r.Header.Get("Id"), strings.HasPrefix(r.URL.Path, "/chat/")
		behaviour := rand.IntN(30)
		if behaviour < 1 {
			respondNotRun(c, r)
			return
		}
		ran.add(id)
		switch {
		case behaviour == 1:
			closeConnection(c, r)
		case behaviour == 2:
			respondServerError(c, r)
		case behaviour == 3:
			respondUnproved(c, r)
		case behaviour < 6:
			_ = c.SetReadDeadline(time.Now().Add(workTime))
			_, _ = c.Read(make([]byte, 1))
			closeConnection(c, r)
		case behaviour == 6 && stream:
			respondEvents(c, r, 2)
			closeConnection(c, r)
		case stream:
			time.Sleep(rand.N(2 * usualTime))
			respondEvents(c, r, 3)
			fmt.Fprint(c, "0\r\n\r\n")
		default:
			time.Sleep(rand.N(2 * usualTime))
			named("for "+id)(c, r)
		}
	}
	var addresses []string
	for i := range servers {
		addresses = append(addresses, h.backend(fmt.Sprintf("r%d", i), random))
	}
	h.replaceServers(addresses)
	var next, ranTwice atomic.Int32
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for n := next.Add(1); n <= requests; n = next.Add(1) {
				path := []string{"/read/", "/read/", "/chat/", "/book/"}[n%4]
				id := fmt.Sprintf("q%d", n)
				resp, body, err := h.do(path, "Id", id, "Wait", "1s")
				runs := ran.count(id)
				if runs == 2 {
					ranTwice.Add(1)
				}
				most := 2
				if path == "/book/" {
					most = 1
				}
				if runs > most {
					t.Errorf("%s of %s ran %d times", id, path, runs)
				}
				switch {
				case err != nil:
				case resp.StatusCode == http.StatusServiceUnavailable && runs > 0:
					t.Errorf("%s ran %d times and its caller was told that it did not", id, runs)
				case resp.StatusCode == http.StatusOK && path == "/chat/" && body != strings.ReplaceAll(completeStream(3), "data: e", "data: "+id+" e"):
					t.Errorf("%s has a stream of another request, or not all of it: %q", id, body)
				case resp.StatusCode == http.StatusOK && path != "/chat/" && body != "for "+id:
					t.Errorf("%s has the response %q", id, body)
				}
			}
		})
	}
	wg.Wait()
	require.Positive(t, ranTwice.Load())
	won := 0
	for _, entry := range h.log.AllEntries() {
		if entry.Data["hedge"] == "won" {
			won++
		}
	}
	t.Logf("%d requests ran twice, %d were answered by their copy", ranTwice.Load(), won)
	require.Positive(t, won)
}

// respondEvents sends the header of a stream and its events up to the last one, from the one on
// after which the stream is resumed.
func respondEvents(c net.Conn, r *http.Request, last int) {
	id := r.Header.Get("Id")
	from, _ := strconv.Atoi(r.Header.Get("Last"))
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for i := from + 1; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s e%d\n\n", i, id, i)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
}
