package connguard_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/edge/connguard"
	"camphorspoke/internal/routing/connlimit"
)

// pipes is a listener of connections in memory.
type pipes struct {
	conns chan net.Conn
}

func (p *pipes) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial() net.Conn {
	client, server := net.Pipe()
	p.conns <- server
	return client
}

// env is a guarded server.
type env struct {
	*pipes
	guard     *connguard.Guard
	headBytes atomic.Int64
	reasons   chan string
}

func serve(t *testing.T, budget connlimit.Budget, h http.HandlerFunc) *env {
	e := &env{
		pipes: &pipes{
			conns: make(chan net.Conn),
		},
		reasons: make(chan string, 100),
	}
	start := time.Now()
	e.headBytes.Store(16 << 10)
	e.guard = &connguard.Guard{
		Limits: func() connguard.Limits {
			return connguard.LimitsFor(int(e.headBytes.Load()), 3*time.Second, 15*time.Second)
		},
		Now:     func() time.Duration { return time.Since(start) },
		OnClose: func(reason string) { e.reasons <- reason },
		Budget:  budget,
	}
	s := &http.Server{
		Handler: h,
	}
	e.guard.Protect(s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(e.guard.Listener(e.pipes))
	}()
	t.Cleanup(func() {
		close(e.conns)
		_ = s.Close()
		<-done
	})
	return e
}

// send writes text beside the reading of the response, as a pipe holds no bytes.
func send(c net.Conn, text string) {
	go func() { _, _ = io.WriteString(c, text) }()
}

func requireStatus(t *testing.T, r *bufio.Reader, status int) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, status, resp.StatusCode)
}

// get is a request with a head of the given size.
func get(bytes int) string {
	const head = "GET / HTTP/1.1\r\nHost: h\r\nX: "
	return head + strings.Repeat("x", bytes-len(head)-4) + "\r\n\r\n"
}

func ok(http.ResponseWriter, *http.Request) {}

// TestHeadLimitInForce guards against a limit that is not the configured one, or that
// connections keep when it changes.
func TestHeadLimitInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := serve(t, connlimit.Budget{}, ok)
		c := e.dial()
		defer c.Close()
		r := bufio.NewReader(c)
		for range 3 {
			send(c, get(32<<10))
			requireStatus(t, r, http.StatusOK)
		}
		e.headBytes.Store(64 << 10)
		send(c, get(16<<10))
		requireStatus(t, r, http.StatusOK)
		send(c, get(128<<10))
		requireStatus(t, r, http.StatusOK)
		send(c, get(129<<10))
		requireStatus(t, r, http.StatusRequestHeaderFieldsTooLarge)
		require.Equal(t, connguard.ReasonHeadTooLarge, <-e.reasons)
		time.Sleep(time.Minute)
		require.Empty(t, e.reasons, "one reason for one connection")
	})
}

// TestHeadOfManyLinesIsRefusedOnce guards against heads whose fields take far more memory than
// bytes, and against a refused connection that is read again.
func TestHeadOfManyLinesIsRefusedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := serve(t, connlimit.Budget{}, ok)
		c := e.dial()
		defer c.Close()
		send(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 6000))
		requireStatus(t, bufio.NewReader(c), http.StatusRequestHeaderFieldsTooLarge)
		time.Sleep(time.Minute)
		require.Len(t, e.reasons, 1)
		require.Zero(t, e.guard.Open())
	})
}

// TestSlowClientsWithinTheLimits guards against times that end a client within the
// documented ones: three seconds for a head, twelve between requests, and a long response.
func TestSlowClientsWithinTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := serve(t, connlimit.Budget{}, func(w http.ResponseWriter, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			time.Sleep(time.Minute)
			if err != nil || len(b) != 5 || r.Context().Err() != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		c := e.dial()
		defer c.Close()
		r := bufio.NewReader(c)
		for range 2 {
			for _, part := range []string{"POST / HTTP/1.1\r\nHost: h\r\n", "Content-Length: 5\r\n\r\n", "12", "345"} {
				send(c, part)
				time.Sleep(2900 * time.Millisecond)
			}
			requireStatus(t, r, http.StatusOK)
			time.Sleep(12 * time.Second)
		}
		require.Equal(t, 1, e.guard.Open())
	})
}

// TestStalledClientsAreGivenUp guards against heads and bodies that stop and hold their
// connection for good, and idle connections without end.
func TestStalledClientsAreGivenUp(t *testing.T) {
	for text, want := range map[string]string{
		"GET / HTTP/1.1\r\n": connguard.ReasonHeadTime,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12": connguard.ReasonBodyTime,
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n":                         "",
		"":                                                          "",
	} {
		synctest.Test(t, func(t *testing.T) {
			e := serve(t, connlimit.Budget{}, func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); r.ContentLength > 0 {
					require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				}
			})
			c := e.dial()
			defer c.Close()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			send(c, text)
			time.Sleep(time.Minute)
			synctest.Wait()
			require.Zero(t, e.guard.Open(), "%q", text)
			if want != "" {
				require.Equal(t, want, <-e.reasons)
			}
		})
	}
}

// TestFullListenerServesNewClients guards against connections without a request that keep
// others from being accepted, and checks that one with a request is never closed for others.
func TestFullListenerServesNewClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		finish := make(chan struct{})
		e := serve(t, connlimit.Budget{
			Connections: 4,
		}, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-finish
			}
		})
		busy := e.dial()
		defer busy.Close()
		send(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		for range 20 {
			defer e.dial().Close()
		}
		synctest.Wait()
		require.Equal(t, 4, e.guard.Open())
		c := e.dial()
		defer c.Close()
		send(c, get(100))
		requireStatus(t, bufio.NewReader(c), http.StatusOK)
		close(finish)
		requireStatus(t, bufio.NewReader(busy), http.StatusOK)
	})
}

// TestCostlyHeadsAreRefusedAsNotRun guards against many heads that take more memory than
// there is: those that find no room get 503 before the handler, and small ones are served.
func TestCostlyHeadsAreRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		finish := make(chan struct{})
		var costly atomic.Int64
		e := serve(t, connlimit.Budget{
			HeldBytes: 64 << 10,
		}, func(_ http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X") != "" && len(r.Header.Get("X")) > 1000 {
				costly.Add(1)
				<-finish
			}
		})
		first := e.dial()
		defer first.Close()
		send(first, get(30<<10))
		synctest.Wait()
		second := e.dial()
		defer second.Close()
		send(second, get(30<<10))
		resp, err := http.ReadResponse(bufio.NewReader(second), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.EqualValues(t, 1, costly.Load())
		small := e.dial()
		defer small.Close()
		send(small, get(100))
		requireStatus(t, bufio.NewReader(small), http.StatusOK)
		close(finish)
		requireStatus(t, bufio.NewReader(first), http.StatusOK)
	})
}

// TestLimitsFor: no limit is below the configured one.
func TestLimitsFor(t *testing.T) {
	for _, headBytes := range []int{1, 1000, 16 << 10, 200 << 10} {
		l := connguard.LimitsFor(headBytes, 3*time.Second, 15*time.Second)
		require.Greater(t, l.HeadBytes, headBytes, fmt.Sprint(headBytes))
		require.GreaterOrEqual(t, l.HeadLines, headBytes/4)
		require.Greater(t, l.HeadTime, 3*time.Second)
		require.Greater(t, l.IdleTime, 12*time.Second)
	}
	require.Equal(t, 64<<10, connguard.LimitsFor(0, 0, 0).HeadBytes)
}

// BenchmarkRequest measures a request on a connection that is reused.
func BenchmarkRequest(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("guarded=%t", guarded), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			s := &http.Server{
				Handler: http.HandlerFunc(ok),
			}
			defer s.Close()
			if guarded {
				start := time.Now()
				g := &connguard.Guard{
					Limits: func() connguard.Limits { return connguard.LimitsFor(0, 0, 0) },
					Now:    func() time.Duration { return time.Since(start) },
				}
				g.Protect(s)
				l = g.Listener(l)
			}
			go func() { _ = s.Serve(l) }()
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(b, err)
			defer c.Close()
			r := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n\r\n")
				require.NoError(b, err)
				resp, err := http.ReadResponse(r, nil)
				require.NoError(b, err)
				resp.Body.Close()
			}
		})
	}
}
