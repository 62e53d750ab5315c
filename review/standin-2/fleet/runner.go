package fleet

// This file defines the platform's list of runners, and a runner.

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Entry is an entry of the platform's list.
type Entry struct {
	Service string  `json:"service"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Version string  `json:"version"`
	Slots   int     `json:"slots"`
	State   string  `json:"state"`
	ColdMs  float64 `json:"coldMs"`
	ID      string  `json:"id"`
}

// List is the platform's list of runners.
type List struct {
	Address string

	server *http.Server
	lag    time.Duration
	mu     sync.Mutex
	// versions holds the list as of each change.
	versions []version
}

// version is the list from a time on.
type version struct {
	from    time.Time
	entries []Entry
}

func newList(f *Fleet) (*List, error) {
	l, err := net.Listen("tcp", f.Subnet+".200:0")
	if err != nil {
		return nil, err
	}
	out := &List{Address: l.Addr().String(), lag: f.Site.ListLag}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		out.mu.Lock()
		entries := out.shown()
		out.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "nextToken": nil})
	})
	out.server = &http.Server{Handler: mux}
	go out.server.Serve(l)
	return out, nil
}

// shown returns the entries as of a lag ago. The caller holds mu.
func (l *List) shown() []Entry {
	out := []Entry{}
	for _, v := range l.versions {
		if time.Since(v.from) >= l.lag {
			out = v.entries
		}
	}
	return out
}

// Set replaces the list.
func (l *List) Set(entries ...Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{from: time.Now(), entries: entries})
}

// Close stops the list.
func (l *List) Close() { l.server.Close() }

// Runner is a runner of a service. It answers like a sound one unless Handle does otherwise.
type Runner struct {
	Entry
	// Handle runs a request; nil answers 200 with a short body.
	Handle func(w http.ResponseWriter, r *http.Request)

	fleet  *Fleet
	server *http.Server
	// Running counts the requests in progress.
	Running atomic.Int32
	born    atomic.Int64
}

// NewRunner starts a runner of a service on the loopback address with the given last number.
func (f *Fleet) NewRunner(id, service, zone, version string, slots int, handle func(w http.ResponseWriter, r *http.Request)) (*Runner, error) {
	l, err := net.Listen("tcp", f.Subnet+".201:0")
	if err != nil {
		return nil, err
	}
	l = &cutListener{Listener: l, fleet: f}
	r := &Runner{
		Entry: Entry{
			Service: service,
			Address: l.Addr().String(),
			Zone:    zone,
			Version: version,
			Slots:   slots,
			State:   "ready",
			ID:      id,
		},
		Handle: handle,
		fleet:  f,
	}
	r.serveOn(l)
	return r, nil
}

// serveOn serves on a listener.
func (r *Runner) serveOn(l net.Listener) {
	r.born.Store(time.Now().UnixMilli())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", r.ID)
	})
	mux.HandleFunc("GET /api/report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":%d,"kvUsed":0,"kvTotal":90000,"handles":0,"born":%d}`, r.Running.Load(), r.born.Load())
	})
	mux.HandleFunc("GET /api/kv-list", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"epoch":1,"nextToken":0,"held":[]}`)
	})
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(l)
}

// Stop ends the runner.
func (r *Runner) Stop() { r.server.Close() }

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	id := req.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	h.Set("Keep-Alive", "timeout=5")
	if want := req.Header.Get("X-Expected-Instance"); want != "" && want != r.ID {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.fleet.Logf("runner %s runs %s", r.ID, id)
	r.Running.Add(1)
	defer r.Running.Add(-1)
	h.Set("X-Response-Signature", r.ID+"."+id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", r.Running.Load(), r.Slots))
	if r.Handle != nil {
		r.Handle(w, req)
		return
	}
	fmt.Fprintf(w, "done %s by %s", id, r.ID)
}
