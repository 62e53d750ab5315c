package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that reached a backend server.
type Run struct {
	ID      string
	Server  string
	Path    string
	Arrived time.Duration
	// Executed is true if the server worked on the request.
	Executed bool
	// Ended is true if the server finished its answer, Cut is when the other side closed the
	// connection before that.
	Ended bool
	Cut   time.Duration
}

// Server is a stand-in for a backend server: an engine if stride is above zero, a plain
// service otherwise.
type Server struct {
	env     *Env
	ID      string
	Service string
	Zone    string
	Slots   int
	Addr    string
	// Stride is how many tokens an event of a stream holds, and EventInterval the time
	// between two events.
	Stride        int
	EventInterval time.Duration
	// Work is how long a request to a plain service takes.
	Work time.Duration
	// Answer, if set, answers a request that was executed in place of the usual answer.
	Answer func(w http.ResponseWriter, r *http.Request, run *Run) bool

	leaving atomic.Bool
	running atomic.Int64
	http    *http.Server

	mu   sync.Mutex
	runs []*Run
}

func (s *Server) start(env *Env, address string) error {
	s.env = env
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.Addr = l.Addr().String()
	s.http = &http.Server{Handler: s, IdleTimeout: 5 * time.Second}
	go s.http.Serve(l)
	return nil
}

// Stop ends the server with all its connections.
func (s *Server) Stop() {
	s.env.Log("server ends", "server", s.ID)
	s.http.Close()
}

// Leave makes the server say in its answers that it leaves.
func (s *Server) Leave() {
	s.env.Log("server leaves", "server", s.ID)
	s.leaving.Store(true)
}

// Entry returns the server's entry in the platform's list.
func (s *Server) Entry() Entry {
	state := "ready"
	if s.leaving.Load() {
		state = "draining"
	}
	return Entry{
		ID:      s.ID,
		Service: s.Service,
		Address: s.Addr,
		Zone:    s.Zone,
		Version: "v1",
		Slots:   s.Slots,
		State:   state,
	}
}

// Runs returns the requests that reached the server.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, len(s.runs))
	for i, r := range s.runs {
		out[i] = *r
	}
	return out
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	} else {
		h.Set("Keep-Alive", "timeout=5")
	}
	switch r.URL.Path {
	case "/health":
		h.Set("X-Instance-Id", s.ID)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/api/kv-list":
		io.WriteString(w, `{"epoch":1,"nextToken":0,"held":[]}`)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/api/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.serveRequest(w, r)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	run := &Run{
		ID:      r.Header.Get("X-Attempt-Id"),
		Server:  s.ID,
		Path:    r.URL.Path,
		Arrived: s.env.Now(),
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	h := w.Header()
	h.Set("X-Attempt-Id", run.ID)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.ID {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		s.env.Log("rejected", "server", s.ID, "id", run.ID, "expected", expected)
		return
	}
	s.env.Log("arrived", "server", s.ID, "id", run.ID, "path", run.Path, "deadline", r.Header.Get("X-Deadline-Milliseconds"))
	s.running.Add(1)
	defer s.running.Add(-1)
	s.update(func() { run.Executed = true })
	if s.Answer != nil && s.Answer(w, r, run) {
		return
	}
	if s.Stride > 0 {
		s.stream(w, r, run)
		return
	}
	time.Sleep(s.Work)
	s.setSignature(h, run)
	fmt.Fprintf(w, "done %s", run.ID)
	s.finish(run)
}

func (s *Server) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Server) finish(run *Run) {
	s.update(func() { run.Ended = true })
	s.env.Log("ran", "server", s.ID, "id", run.ID)
}

func (s *Server) setSignature(h http.Header, run *Run) {
	h.Set("X-Response-Signature", s.ID+"."+run.ID)
	if s.Stride > 0 {
		h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.Slots))
	}
}

// stream writes the events of a request, as many as its output tokens need.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, run *Run) {
	_, most, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, err := strconv.Atoi(most)
	if err != nil {
		tokens = s.Stride
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	s.setSignature(h, run)
	events := (tokens + s.Stride - 1) / s.Stride
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			s.update(func() { run.Cut = s.env.Now() })
			s.env.Log("cut", "server", s.ID, "id", run.ID, "events", i-1, "of", events)
			return
		case <-time.After(s.EventInterval):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d of %d\n\n", i, run.ID, i, events)
		if http.NewResponseController(w).Flush() != nil {
			s.update(func() { run.Cut = s.env.Now() })
			s.env.Log("cut", "server", s.ID, "id", run.ID, "events", i-1, "of", events)
			return
		}
	}
	s.finish(run)
}
