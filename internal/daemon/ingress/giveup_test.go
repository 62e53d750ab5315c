package ingress_test

// This file tests that a server learns when its attempt is given up, before another server
// goes on with the request.

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxOverlap is how long a server may still be at work on a request after another
	// server has gone on with it.
	maxOverlap = 400 * time.Millisecond
	// workTime is how long a server works on if nobody tells it to stop.
	workTime = 1200 * time.Millisecond
)

// workLog records when servers ended their work on an attempt that was given up, and when
// another server went on with the request.
type workLog struct {
	mu     sync.Mutex
	ended  chan time.Time
	wentOn time.Time
}

func newWorkLog() *workLog {
	return &workLog{
		ended: make(chan time.Time, 1),
	}
}

// workUntilClosed works on after its response, as an engine does that generates on, until
// the caller closes the connection.
func (l *workLog) workUntilClosed(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(workTime))
	_, _ = c.Read(make([]byte, 1))
	l.ended <- time.Now()
}

// goesOn returns a responder that records when it gets the request.
func (l *workLog) goesOn(respond responder) responder {
	return func(c net.Conn, r *http.Request) {
		l.mu.Lock()
		l.wentOn = time.Now()
		l.mu.Unlock()
		respond(c, r)
	}
}

// overlap returns how long the first server was at work beside the second one.
func (l *workLog) overlap() time.Duration {
	ended := <-l.ended
	l.mu.Lock()
	defer l.mu.Unlock()
	return ended.Sub(l.wentOn)
}

// brokenResponses are responses, by the way in which they break off, after which another
// server has to go on; %s is the ID of the request. Their server keeps the connection open.
var brokenResponses = map[string]struct {
	path     string
	response string
}{
	"stream in chunks ends inside an event": {
		path:     "/chat/",
		response: "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: e1\n\ni\r\n0\r\n\r\n",
	},
	"stream with a length ends inside an event": {
		path:     "/chat/",
		response: "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: 17\r\n\r\nid: 1\ndata: e1\n\ni",
	},
	"stream that is kept ends inside an event": {
		path:     "/chat/",
		response: "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: 17\r\n\r\nid: 1\ndata: e1\n\ni",
	},
	"stream ends before its first event": {
		path:     "/chat/",
		response: "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nid",
	},
	"chunk without a length": {
		path:     "/chat/",
		response: "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: e1\n\ni\r\nzz\r\n",
	},
	"stream without a signature": {
		path:     "/chat/",
		response: "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nid",
	},
	"stream without a signature or a body": {
		path:     "/chat/",
		response: "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
	},
	"refusal of a stream without a statement": {
		path:     "/chat/",
		response: "HTTP/1.1 503 X\r\nId: %s\r\nContent-Length: 4\r\n\r\nbusy",
	},
	"server error in place of a stream": {
		path:     "/chat/",
		response: "HTTP/1.1 500 X\r\nId: %s\r\nSigned: 1\r\nContent-Length: 4\r\n\r\noops",
	},
	"server error for a safe request": {
		path:     "/read/",
		response: "HTTP/1.1 500 X\r\nId: %s\r\nSigned: 1\r\nContent-Length: 4\r\n\r\noops",
	},
	"server error without a body": {
		path:     "/read/",
		response: "HTTP/1.1 500 X\r\nId: %s\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n",
	},
	"refusal of a safe request without statement": {
		path:     "/read/",
		response: "HTTP/1.1 503 X\r\nId: %s\r\nContent-Length: 4\r\n\r\nbusy",
	},
	"success without a signature": {
		path:     "/read/",
		response: "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nno",
	},
	"no HTTP": {
		path:     "/read/",
		response: "nonsense\r\nId: %s\r\n\r\n",
	},
}

// TestGivenUpAttemptEndsBeforeAnotherGoesOn: a server whose response was no whole answer
// keeps working until it sees the connection close. While it works, no other server may go
// on with the request.
func TestGivenUpAttemptEndsBeforeAnotherGoesOn(t *testing.T) {
	for name, broken := range brokenResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := newWorkLog()
			whole := respondOK
			if broken.path == "/chat/" {
				whole = stream(3, 0)
			}
			first := true
			respond := func(c net.Conn, r *http.Request) {
				log.mu.Lock()
				breaksOff := first
				first = false
				log.mu.Unlock()
				if !breaksOff {
					log.goesOn(whole)(c, r)
					return
				}
				fmt.Fprintf(c, broken.response, r.Header.Get("Id"))
				log.workUntilClosed(c)
			}
			e := newTestEnv(t, respond, respond)
			_, _, err := e.do(broken.path)
			require.NoError(t, err)
			require.Equal(t, 2, e.requestCount())
			require.Less(t, log.overlap(), maxOverlap)
		})
	}
}

// TestWholeAnswerKeepsTheConnection: a connection is reused after a whole answer, in each
// way in which one is relayed, and after a server has stated that it did not run the request.
func TestWholeAnswerKeepsTheConnection(t *testing.T) {
	const bodyLength = 3 << 20
	for name, c := range map[string]struct {
		path    string
		respond responder
	}{
		"stream":      {"/chat/", stream(3, 0)},
		"short body":  {"/read/", respondOK},
		"final error": {"/book/", respondServerError},
		"not run": {"/book/", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", r.Header.Get("Id"))
		}},
		"long body": {"/read/", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), bodyLength, strings.Repeat("x", bodyLength))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			connections := make(map[net.Conn]bool)
			e := newTestEnv(t, func(conn net.Conn, r *http.Request) {
				mu.Lock()
				connections[conn] = true
				mu.Unlock()
				c.respond(conn, r)
			})
			for i := range 3 {
				// A connection carries each ID once.
				_, _, err := e.do(c.path, "Id", fmt.Sprintf("whole-%d", i))
				require.NoError(t, err)
			}
			require.GreaterOrEqual(t, e.requestCount(), 3)
			mu.Lock()
			defer mu.Unlock()
			require.Len(t, connections, 1)
		})
	}
}

// TestRuleChangeForbidsTheRepeat: a route is made one whose requests run once while a request
// of it is at a server. What fails there is not sent to another server, by the rules that have
// come into force meanwhile.
func TestRuleChangeForbidsTheRepeat(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		old      string
		changed  string
		arrivals int
	}{
		"safe becomes unsafe": {
			path:     "/read/",
			old:      "kind=safe to=s timeout=2s attempts=2",
			changed:  "kind=unsafe to=s timeout=2s attempts=2",
			arrivals: 1,
		},
		"no longer resumable": {
			path:     "/chat/",
			old:      "attempts=2 resume=yes",
			changed:  "attempts=2",
			arrivals: 1,
		},
		"another route changes": {
			path:     "/read/",
			old:      "attempts=2 resume=yes",
			changed:  "attempts=2",
			arrivals: 2,
		},
		"unsafe becomes safe": {
			path:     "/book/",
			old:      "kind=unsafe to=s timeout=2s attempts=1",
			changed:  "kind=safe to=s timeout=2s attempts=2",
			arrivals: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var e *testEnv
			respond := func(conn net.Conn, _ *http.Request) {
				e.changeRules(c.old, c.changed)
				conn.Close()
			}
			e = newTestEnv(t, respond, respond)
			_, _, _ = e.do(c.path)
			require.Equal(t, c.arrivals, e.requestCount())
		})
	}
}

// maxWorkAfterEnd is how long a server may still be at work after the caller has left or the
// request has timed out.
const maxWorkAfterEnd = 500 * time.Millisecond

// TestServerStopsWithItsRequest: a server sees its connection close soon after the caller has
// left or the deadline has passed, whatever part of its response it has sent.
func TestServerStopsWithItsRequest(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nId: x1\r\nSigned: 1\r\nContent-Length: 3000000\r\n\r\n"
		event = "id: 1\ndata: e1\n\n"
		stray = "HTTP/1.1 200 OK\r\nId: other\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nno"
		after = 300 * time.Millisecond
	)
	for name, sent := range map[string]string{
		"nothing":            "",
		"half a head":        "HTTP/1.1 200 OK\r\nId: x1\r\n",
		"stray response":     stray,
		"head":               head,
		"event":              head + event,
		"event and a part":   head + event + "id: 2",
		"more than a buffer": head + strings.Repeat("x", maxInBuffer),
	} {
		for _, path := range []string{"/chat/", "/read/", "/book/"} {
			for _, leaves := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s leaves %t", name, path, leaves), func(t *testing.T) {
					t.Parallel()
					log := newWorkLog()
					e := newTestEnv(t, func(c net.Conn, _ *http.Request) {
						_, _ = c.Write([]byte(sent))
						log.workUntilClosed(c)
					})
					wait := "1s"
					if leaves {
						e.client.Timeout = after
					} else {
						wait = after.String()
					}
					began := time.Now()
					_, _, _ = e.do(path, "Wait", wait)
					require.Less(t, (<-log.ended).Sub(began), after+maxWorkAfterEnd)
				})
			}
		}
	}
}

// maxInBuffer is more of a body than is read before its header is relayed, in bytes.
const maxInBuffer = 2 << 20
