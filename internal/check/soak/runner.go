package soak

// This file defines the stand-ins for backend servers and for the platform's list
// of them.

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"camphorspoke/internal/check/guarantee"
	"camphorspoke/platform/wireformat"
)

const (
	// executionTime is how long a plain request takes, eventInterval the pause
	// between the events of a stream.
	executionTime = 12 * time.Millisecond
	eventInterval = 4 * time.Millisecond
	maxEvents     = 30
	chatPrefix    = "/chat/"
	// eventBegin is the length of the part of an event inside which a stream ends, in bytes.
	eventBegin = 6
	// maxExecution is how long a server executes a request after it has ended its stream
	// inside an event, if the daemon does not close the connection.
	maxExecution = 2 * time.Second
	slots        = 8
	// oddEntryMark stands in the list where an odd entry is put.
	oddEntryMark = "oddEntry"
)

// backend is a stand-in for a backend server, which daemons reach through a proxy.
type backend struct {
	// name begins the ID of each incarnation.
	name    string
	service string
	domain  string
	// version is that of its software.
	version string
	// incarnation is the number of the current incarnation, and listed of the one that the
	// list shows.
	incarnation atomic.Int64
	listed      atomic.Int64
	// incarnationMu guards the changes of both.
	incarnationMu sync.Mutex
	// repeatsRefusals is true if late copies of its refusals are sent.
	repeatsRefusals bool
	checker         *guarantee.Checker
	log             func(event, detail string)
	server          *httptest.Server
	proxy           *proxy
	// partlyFailing is true while about half of all requests fail after their execution: with
	// status 500, with a status of a refusal, or with a response that breaks off.
	partlyFailing atomic.Bool
	draining      atomic.Bool
	// replaced is true once it is being replaced by another.
	replaced atomic.Bool
	// leaving is true while it announces in its responses that it leaves.
	leaving atomic.Bool
	// pauseMs is the pause, in milliseconds, with which it refuses all requests; zero if
	// it refuses none.
	pauseMs atomic.Int64
	// cold is the time in which it is cold.
	cold coldPeriod
	// down is true while it refuses connections.
	down atomic.Bool
	// executing waits for the requests that it executes.
	executing sync.WaitGroup
}

// newBackend starts a backend server behind a proxy at an address.
func (s *Soak) newBackend(name, service, domain, address string) (*backend, error) {
	b := &backend{
		name:    name,
		service: service,
		domain:  domain,
		checker: s.checker,
		log:     s.log,
	}
	b.checker.Located(b.id(), domain)
	b.server = httptest.NewUnstartedServer(b)
	b.server.Config.ConnContext = withRefusals
	b.server.Start()
	var err error
	if b.proxy, err = newProxy(strings.TrimPrefix(b.server.URL, "http://"), address); err != nil {
		b.server.Close()
		return nil, err
	}
	return b, nil
}

func (b *backend) close() {
	b.proxy.close()
	b.server.CloseClientConnections()
	b.server.Close()
}

// ServeHTTP answers health checks and engine queries and executes requests. It
// refuses a request that is addressed to another server, and states in the response
// that the request was not executed.
func (b *backend) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	serverID := b.id()
	if req.URL.Path == "/health" {
		b.serveHealth(w, serverID)
		return
	}
	if strings.HasPrefix(req.URL.Path, wireformat.EnginePathPrefix) {
		io.WriteString(w, wireformat.EmptyCacheResponse)
		return
	}
	id := req.Header.Get(wireformat.RequestIDHeader)
	w.Header().Set(wireformat.RequestIDHeader, id)
	b.checker.Reached(id, serverID, time.Now())
	if req.Header.Get(wireformat.ExpectedServerHeader) != serverID {
		b.refuse(w, req, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	now := time.Now()
	b.checker.Arrived(id, serverID, now)
	b.announceCold(w, id, now)
	if b.leaving.Load() {
		w.Header().Set(wireformat.LeavingHeader, "1")
		b.checker.Announced(id, serverID, now)
	}
	if pause := time.Duration(b.pauseMs.Load()) * time.Millisecond; pause > 0 {
		b.checker.PushedBack(id, serverID, now, pause)
		w.Header().Set(wireformat.RetryAfterHeader, fmt.Sprint(pause.Seconds()))
		b.refuse(w, req, http.StatusServiceUnavailable)
		return
	}
	b.checker.Executed(id, serverID, now)
	b.executing.Add(1)
	defer b.executing.Done()
	if strings.HasPrefix(string(body), crashMark) {
		b.crash(id, serverID)
		return
	}
	defer func() { b.checker.Ended(id, serverID, time.Now()) }()
	b.repeatRefusal(req)
	w.Header().Set(wireformat.SignatureHeader, serverID)
	if b.partlyFailing.Load() && rand.IntN(2) == 0 {
		b.fail(w, req, id)
		return
	}
	if strings.HasPrefix(req.URL.Path, chatPrefix) {
		b.serveStream(w, req, id, eventCount(id), eventInterval)
		return
	}
	if length, ok := strings.CutPrefix(req.URL.Path, longPrefix); ok {
		events, err := strconv.Atoi(length)
		if err != nil {
			b.checker.AddViolation("paths are passed on unchanged", req.URL.Path)
		}
		b.serveStream(w, req, id, events, longEventInterval)
		return
	}
	if strings.HasPrefix(req.URL.Path, versionsPrefix) {
		b.serveVersionedStream(w, req, id)
		return
	}
	time.Sleep(executionTime)
	io.WriteString(w, responseBody(id))
}

// serveHealth answers a health check: with 200 while the server does not leave. One that announces that it
// leaves says so in all its responses.
func (b *backend) serveHealth(w http.ResponseWriter, serverID string) {
	w.Header().Set(wireformat.ServerNameHeader, serverID)
	if b.leaving.Load() {
		w.Header().Set(wireformat.LeavingHeader, "1")
	}
	if b.leaving.Load() || b.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// fail fails a request that was executed. A refusal does not state that it was not.
func (b *backend) fail(w http.ResponseWriter, req *http.Request, id string) {
	if isStream(req) && rand.IntN(2) == 0 {
		b.endInsideEvent(w, req, id)
		return
	}
	switch rand.IntN(3) {
	case 0:
		w.WriteHeader(http.StatusInternalServerError)
	case 1:
		w.Header().Del(wireformat.SignatureHeader)
		w.WriteHeader([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}[rand.IntN(3)])
	default:
		b.breakOff(w, id)
	}
}

// breakOff writes a part of a response, in a random framing, and closes the connection.
func (b *backend) breakOff(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		b.checker.Count("connection could not be taken over")
		return
	}
	defer conn.Close()
	text := b.formatResponse(id, responseBody(id))
	if _, err := io.WriteString(conn, text[:rand.IntN(len(text)-1)]); err != nil {
		b.checker.Count("response part not written")
	}
}

// isStream reports whether the response to a request is a stream.
func isStream(req *http.Request) bool {
	return strings.HasPrefix(req.URL.Path, chatPrefix) || strings.HasPrefix(req.URL.Path, longPrefix)
}

// endInsideEvent ends the body of a stream inside an event, in a proper framing, and then
// continues to execute the request until the daemon closes the connection.
func (b *backend) endInsideEvent(w http.ResponseWriter, req *http.Request, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		b.checker.Count("connection could not be taken over")
		return
	}
	defer conn.Close()
	begin := formatEvent(id, lastEvent(req)+1)[:eventBegin]
	if _, err := io.WriteString(conn, b.formatResponse(id, begin)); err != nil {
		b.checker.Count("response part not written")
		return
	}
	if err := conn.SetReadDeadline(time.Now().Add(maxExecution)); err != nil {
		b.checker.Count("deadline not set")
		return
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		b.checker.Count("executed after the end of a stream until a reset or its own end")
		return
	}
	b.checker.Count("executed after the end of a stream until the close")
}

// formatResponse returns a whole response in a random framing.
func (b *backend) formatResponse(id, body string) string {
	framing := [...]string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	}[rand.IntN(2)]
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s", wireformat.RequestIDHeader, id, wireformat.SignatureHeader, b.id(), framing)
}

// responseBody returns the response body of a plain request.
func responseBody(id string) string { return strings.Repeat(id+" ", 40) }

// eventCount returns the number of events in the stream that answers a request.
func eventCount(id string) int { return 1 + len(id)*7%maxEvents }

func formatEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// lastEvent returns the number of the last event that the caller has, zero if it has none.
func lastEvent(req *http.Request) int {
	last, err := strconv.Atoi(req.Header.Get(wireformat.LastEventHeader))
	if err != nil {
		return 0 // not a resumed stream
	}
	return last
}

func (b *backend) serveStream(w http.ResponseWriter, req *http.Request, id string, events int, interval time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := lastEvent(req) + 1; n <= events; n++ {
		if req.Context().Err() != nil {
			return
		}
		if _, err := io.WriteString(w, formatEvent(id, n)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// serverList is a stand-in for the platform's list of backend servers.
type serverList struct {
	checker *guarantee.Checker
	server  *httptest.Server
	// unavailable is true while the list answers with status 503.
	unavailable atomic.Bool

	mu       sync.Mutex
	backends []*backend
}

func newServerList(checker *guarantee.Checker) *serverList {
	l := &serverList{
		checker: checker,
	}
	l.server = httptest.NewServer(l)
	return l
}

func (l *serverList) add(b *backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backends = append(l.backends, b)
}

func (l *serverList) remove(b *backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, listed := range l.backends {
		if listed == b {
			l.backends = append(l.backends[:i:i], l.backends[i+1:]...)
			return
		}
	}
}

// all returns a copy of the listed backend servers.
func (l *serverList) all() []*backend {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*backend(nil), l.backends...)
}

// oddEntries are bytes that another writer may leave in the place of an entry.
var oddEntries = []string{`"no entry"`, `no entry here`, `{"id`, `[`, `{"id":"i-0","service":"app","address":"127.0.0.1:9","state":"ready"}`, `"`}

// ServeHTTP writes the list. Its first entry is malformed, which the daemons must
// tolerate.
func (l *serverList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if l.unavailable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := wireformat.List{
		Entries: []any{oddEntryMark},
	}
	for _, b := range l.all() {
		state := wireformat.StateReady
		if b.draining.Load() {
			state = wireformat.StateDraining
		}
		out.Entries = append(out.Entries, wireformat.Entry{
			ID:            b.incarnationID(b.listed.Load()),
			Service:       b.service,
			Address:       b.proxy.address,
			FailureDomain: b.domain,
			Slots:         slots,
			State:         state,
			Version:       b.version,
			WarmUpMs:      float64(b.cold.left(time.Now()).Milliseconds()),
		})
	}
	page, err := json.Marshal(out)
	if err != nil {
		l.checker.AddViolation("the list can be encoded", err.Error())
		return
	}
	odd := oddEntries[rand.IntN(len(oddEntries))]
	if _, err := io.WriteString(w, strings.Replace(string(page), strconv.Quote(oddEntryMark), odd, 1)); err != nil {
		l.checker.Count("list response failed")
	}
}
