package ingress_test

// This file tests attempts that are given up while a part of the request body is unsent.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// pollInterval is the time between two looks at the state of a connection.
const pollInterval = 10 * time.Millisecond

// unreadBodies are sizes of request bodies in bytes, of which a part stays unsent if the server
// does not read.
var unreadBodies = []int{256 << 10, 3 << 20}

// workUntilHangup works on without reading until the kernel has received the end of the
// connection, as an engine does that looks for the end only between its steps.
func (l *workLog) workUntilHangup(c *net.TCPConn) {
	for deadline := time.Now().Add(2 * workTime); time.Now().Before(deadline) && !hungUp(c); {
		time.Sleep(pollInterval)
	}
	l.ended <- time.Now()
}

// hungUp reports whether the other side has closed or reset the connection.
func hungUp(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	up := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, perr := unix.Poll(fds, 0)
		up = perr == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return up || err != nil
}

// rawServer serves each connection to its address with a function of its own.
func rawServer(t *testing.T, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// unreadingServer responds to the first request of all with a part of a response and does not
// read its body; it answers the others.
func unreadingServer(t *testing.T, begun *atomic.Bool, log *workLog, part string, whole responder) string {
	t.Helper()
	return rawServer(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if begun.CompareAndSwap(false, true) {
			fmt.Fprintf(c, part, r.Header.Get("Id"))
			log.workUntilHangup(c)
			return
		}
		log.goesOn(func(c net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			whole(c, r)
		})(c, r)
	})
}

// sendUnreadBody sends a request with a long body and reads its response.
func (e *testEnv) sendUnreadBody(size int, path string, header ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(e.t.Context(), http.MethodPost, e.url+path, strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return nil, err
	}
	r.Host = "h"
	r.Header.Set("Id", "unread")
	r.Header.Set("Key", "secret")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := e.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// TestCloseReachesServerThatHasNotReadTheBody: a server breaks its response off before it has read
// a long body, and works on. The rest of the body is unsent, and the end of the connection would
// queue behind it, so that the server worked on beside the one that goes on with the request.
func TestCloseReachesServerThatHasNotReadTheBody(t *testing.T) {
	for name, broken := range brokenResponses {
		for _, size := range unreadBodies {
			t.Run(fmt.Sprintf("%s %d", name, size), func(t *testing.T) {
				t.Parallel()
				log := newWorkLog()
				var begun atomic.Bool
				whole := respondOK
				if broken.path == "/chat/" {
					whole = stream(3, 0)
				}
				e := &testEnv{
					t:     t,
					slots: 4,
				}
				e.start(ruleTextWithKey(), []string{
					unreadingServer(t, &begun, log, broken.response, whole),
					unreadingServer(t, &begun, log, broken.response, whole),
				})
				resp, err := e.sendUnreadBody(size, broken.path)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.Less(t, log.overlap(), maxOverlap)
			})
		}
	}
}

// awaitTrue waits until b is true, for limit at most.
func awaitTrue(b *atomic.Bool, limit time.Duration) {
	for deadline := time.Now().Add(limit); !b.Load() && time.Now().Before(deadline); {
		time.Sleep(pollInterval)
	}
}

// TestServerThatHasNotReadTheBodyStopsWithItsRequest: the caller leaves, or the deadline passes,
// while a server works that has not read a long body. The server worked on until its own end.
func TestServerThatHasNotReadTheBodyStopsWithItsRequest(t *testing.T) {
	const after = 300 * time.Millisecond
	for name, sent := range map[string]string{
		"half a head": "HTTP/1.1 200 OK\r\nId: %s\r\n",
		"event":       "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: 3000\r\n\r\nid: 1\ndata: e1\n\n",
	} {
		for _, path := range []string{"/chat/", "/read/", "/book/"} {
			for _, size := range unreadBodies {
				for _, leaves := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s %s %d leaves %t", name, path, size, leaves), func(t *testing.T) {
						t.Parallel()
						log := newWorkLog()
						var begun atomic.Bool
						e := &testEnv{
							t:     t,
							slots: 4,
						}
						e.start(ruleTextWithKey(), []string{unreadingServer(t, &begun, log, sent, respondOK)})
						wait := "1s"
						if leaves {
							e.client.Timeout = after
						} else {
							wait = after.String()
						}
						var began time.Time
						for !begun.Load() {
							// On a busy machine the time may pass before the server has the request.
							began = time.Now()
							_, _ = e.sendUnreadBody(size, path, "Wait", wait)
							awaitTrue(&begun, after)
						}
						require.Less(t, (<-log.ended).Sub(began), after+maxWorkAfterEnd)
					})
				}
			}
		}
	}
}
