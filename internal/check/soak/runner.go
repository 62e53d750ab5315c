package soak

// This file defines the stand-ins for backend servers and the platform's list.

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

	"camphorspoke/internal/check/observed"
	"camphorspoke/platform/standin"
)

const (
	// workTime is how long a request runs, eventGap the pause between events.
	workTime  = 12 * time.Millisecond
	eventGap  = 4 * time.Millisecond
	maxEvents = 30
	slots     = 8
)

// runner stands in for a backend server, which is reached through a proxy.
type runner struct {
	id      string
	service string
	record  *observed.Record
	http    *httptest.Server
	proxy   *proxy
	// grey is true while half of all requests fail.
	grey    atomic.Bool
	leaving atomic.Bool
}

func newRunner(id, service string, record *observed.Record) (*runner, error) {
	r := &runner{
		id:      id,
		service: service,
		record:  record,
	}
	r.http = httptest.NewServer(r)
	var err error
	if r.proxy, err = newProxy(strings.TrimPrefix(r.http.URL, "http://")); err != nil {
		r.http.Close()
		return nil, err
	}
	return r, nil
}

func (r *runner) close() {
	r.proxy.close()
	r.http.CloseClientConnections()
	r.http.Close()
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		w.Header().Set(standin.ServerName, r.id)
		return
	}
	if strings.HasPrefix(req.URL.Path, standin.EnginePaths) {
		io.WriteString(w, standin.NothingKept)
		return
	}
	id := req.Header.Get(standin.RequestID)
	w.Header().Set(standin.RequestID, id)
	if req.Header.Get(standin.OnlyServer) != r.id {
		w.Header().Set(standin.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	r.record.Ran(id, r.id, time.Now())
	w.Header().Set(standin.Signature, r.id)
	if r.grey.Load() && rand.IntN(2) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(req.URL.Path, "/chat/") {
		r.stream(w, req, id)
		return
	}
	time.Sleep(workTime)
	io.WriteString(w, answerOf(id))
}

// answerOf returns the body of the answer to a request.
func answerOf(id string) string { return strings.Repeat(id+" ", 40) }

// eventsOf returns how many events the answer to a request has.
func eventsOf(id string) int { return 1 + len(id)*7%maxEvents }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

func (r *runner) stream(w http.ResponseWriter, req *http.Request, id string) {
	last, err := strconv.Atoi(req.Header.Get(standin.LastEvent))
	if err != nil {
		last = 0 // no event was seen yet
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= eventsOf(id); n++ {
		if req.Context().Err() != nil {
			return
		}
		if _, err := io.WriteString(w, event(id, n)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// listing stands in for the platform's list.
type listing struct {
	record *observed.Record
	http   *httptest.Server
	// down is true while the list answers nothing of use.
	down atomic.Bool

	mu      sync.Mutex
	runners []*runner
}

func newListing(record *observed.Record) *listing {
	l := &listing{
		record: record,
	}
	l.http = httptest.NewServer(l)
	return l
}

func (l *listing) add(r *runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runners = append(l.runners, r)
}

func (l *listing) remove(r *runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.runners {
		if o == r {
			l.runners = append(l.runners[:i:i], l.runners[i+1:]...)
			return
		}
	}
}

// all returns the runners that are listed.
func (l *listing) all() []*runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*runner(nil), l.runners...)
}

// ServeHTTP writes the list, with an entry that names nothing.
func (l *listing) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if l.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := standin.List{
		Entries: []any{"no entry"},
	}
	for _, r := range l.all() {
		state := standin.Open
		if r.leaving.Load() {
			state = standin.Leaving
		}
		out.Entries = append(out.Entries, standin.Entry{
			ID:      r.id,
			Service: r.service,
			Address: r.proxy.address(),
			Domain:  "a",
			Slots:   slots,
			State:   state,
		})
	}
	if err := json.NewEncoder(w).Encode(out); err != nil {
		l.record.Count("list not written")
	}
}
