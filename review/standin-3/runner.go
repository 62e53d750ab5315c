package main

// This file is the stand-in of a runner.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// runnerIdle is how long a runner keeps an idle connection open.
	runnerIdle = 5 * time.Second
	// workTime is how long a request runs, or a stream until its first event.
	workTime = 15 * time.Millisecond
	// answerBytes is the size of the answer of a plain service.
	answerBytes = 800
)

// run is one run of a request at a runner.
type run struct {
	runner, attempt, tenant, signature, version string
}

// ledger holds all runs by attempt.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]run)
	}
	l.runs[r.attempt] = append(l.runs[r.attempt], r)
}

// of returns the runs of an attempt.
func (l *ledger) of(attempt string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[attempt]...)
}

// runner is the stand-in of one runner. It is sound: it answers every request, and each start is a new
// incarnation.
type runner struct {
	id, service, zone, address string
	ledger                     *ledger
	rec                        *recorder
	// pieces is the number of events of a stream, gap the time between two; a plain service has none.
	pieces int
	gap    time.Duration

	mu       sync.Mutex
	version  string
	state    string
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	inFlight sync.WaitGroup
}

// newRunner starts a runner at a free port.
func newRunner(rec *recorder, l *ledger, id, service, zone, ip string) (*runner, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id:      id,
		service: service,
		zone:    zone,
		address: ln.Addr().String(),
		ledger:  l,
		rec:     rec,
		version: "v1",
		state:   "ready",
	}
	r.begin(ln)
	return r, nil
}

// begin begins an incarnation.
func (r *runner) begin(ln net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.conns, r.born = ln, make(map[net.Conn]bool), time.Now().UnixMilli()
	r.rec.note("runner %s (%s) starts at %s with software %s", r.id, r.service, r.address, r.version)
	go r.serve(ln)
}

func (r *runner) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.handle(c)
	}
}

// crash ends the incarnation: its connections are reset, and its port has no listener.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.note("runner %s crashes", r.id)
	r.listener.Close()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// stop ends the incarnation once it has answered what it has taken.
func (r *runner) stop() {
	r.mu.Lock()
	r.listener.Close()
	r.mu.Unlock()
	r.inFlight.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.note("runner %s stops", r.id)
	for c := range r.conns {
		c.Close()
	}
}

// restart begins another incarnation under the same id and at the same address.
func (r *runner) restart() error {
	for range 100 {
		ln, err := net.Listen("tcp", r.address)
		if err == nil {
			r.begin(ln)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("the address of %s is taken", r.id)
}

func (r *runner) set(change func(r *runner)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// leaving reports whether the runner leaves.
func (r *runner) leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == "draining"
}

// handle serves a connection.
func (r *runner) handle(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		c.Close()
	}()
	b := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(runnerIdle))
		if _, err := b.Peek(1); err != nil {
			return
		}
		r.inFlight.Add(1)
		again := r.answer(c, b)
		r.inFlight.Done()
		if !again {
			return
		}
	}
}

// answer answers one request, and reports whether the connection stays open.
func (r *runner) answer(c net.Conn, b *bufio.Reader) bool {
	q, err := http.ReadRequest(b)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false
	}
	attempt := q.Header.Get("X-Attempt-Id")
	expected := q.Header.Get("X-Expected-Instance")
	r.mu.Lock()
	born := r.born
	r.mu.Unlock()
	switch {
	case q.URL.Path == "/health" && r.leaving():
		return r.write(c, http.StatusServiceUnavailable, map[string]string{"X-Instance-Id": r.id, "X-Not-Executed": "1"}, "")
	case q.URL.Path == "/health" || q.Method == http.MethodOptions:
		return r.write(c, http.StatusOK, map[string]string{"X-Instance-Id": r.id}, "")
	case q.URL.Path == "/api/kv-list":
		return r.write(c, http.StatusOK, nil, fmt.Sprintf(`{"epoch":%d,"nextToken":0,"born":%d,"held":[]}`, born, born))
	case q.URL.Path == "/api/report":
		return r.write(c, http.StatusOK, nil, fmt.Sprintf(`{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":482985,"handles":0,"born":%d}`, born))
	case attempt == "":
		return r.write(c, http.StatusBadRequest, map[string]string{"X-Not-Executed": "1"}, "")
	case expected != "" && expected != r.id:
		return r.write(c, http.StatusMisdirectedRequest, map[string]string{"X-Attempt-Id": attempt}, "")
	}
	x := run{
		runner:    r.id,
		attempt:   attempt,
		tenant:    q.Header.Get("X-Tenant"),
		signature: fmt.Sprintf("%016x", rand.Uint64()),
	}
	r.mu.Lock()
	x.version = r.version
	r.mu.Unlock()
	r.ledger.add(x)
	r.rec.note("run %s at %s (%s, software %s) %s %s tenant=%q body=%d last=%q", attempt, r.id, r.service, x.version, q.Method, q.RequestURI, x.tenant, len(body), q.Header.Get("Last-Event-Id"))
	time.Sleep(workTime)
	if r.pieces > 0 {
		return r.writeStream(c, q, x)
	}
	text := attempt + " " + strings.Repeat("x", answerBytes)
	return r.write(c, http.StatusOK, map[string]string{"X-Attempt-Id": attempt, "X-Response-Signature": x.signature}, text)
}

// write writes an answer with a length, and reports whether the connection stays open.
func (r *runner) write(c net.Conn, status int, header map[string]string, body string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	open := !r.leaving()
	if open {
		fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\n", int(runnerIdle.Seconds()))
	} else {
		b.WriteString("Server-Leaving: 1\r\nConnection: close\r\n")
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c, b.String())
	return err == nil && open
}

// writeStream writes the events after the last one that the request names, in chunks.
func (r *runner) writeStream(c net.Conn, q *http.Request, x run) bool {
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=%d\r\n\r\n", x.attempt, x.signature, int(runnerIdle.Seconds()))
	for i := from + 1; i <= r.pieces && err == nil; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, x.version)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(r.gap)
	}
	if err != nil {
		return false
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
