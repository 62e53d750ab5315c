package main

// This file is the stand-in of a client.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, target, key, body string
	header                        map[string]string
	deadline                      time.Duration
}

// answer is what a client got. complete is true if the answer came to its end.
type answer struct {
	status   int
	body     string
	complete bool
	err      error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// book returns a request of the unsafe route.
func book(key string) *request {
	return &request{
		id:       newID(),
		method:   http.MethodPost,
		target:   "/book/visit",
		key:      key,
		body:     "visit",
		deadline: 1500 * time.Millisecond,
	}
}

// chat returns a request of the resumable stream.
func chat(key string, deadline time.Duration) *request {
	return &request{
		id: newID(), method: http.MethodPost, target: "/chat/talk", key: key, body: "prompt", deadline: deadline,
		header: map[string]string{"X-Model": "m", "X-Token-Counts": "1000,240", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:600,%x:400", rand.Uint32())},
	}
}

// send sends a request to a daemon on a new connection, and reads the answer.
func send(rec *recorder, d *daemon, q *request) answer {
	rec.note("sent %s to %s: %s %s key=%q %v", q.id, d.name, q.method, q.target, q.key, q.header)
	a := exchange(d.address(frontPort), q)
	rec.note("answer %s: %d complete=%v err=%v body %d bytes", q.id, a.status, a.complete, a.err, len(a.body))
	return a
}

// head returns the head of the request.
func (q *request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nContent-Length: %d\r\n", q.method, q.target, host, q.id, q.deadline.Milliseconds(), len(q.body))
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", q.key)
	}
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n")
	return b.String()
}

func exchange(address string, q *request) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(c, q.head()+q.body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	return answer{
		status:   resp.StatusCode,
		body:     string(text),
		complete: err == nil,
		err:      err,
	}
}
