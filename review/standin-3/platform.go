package main

// This file is the stand-in of the platform's list.

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listLag is how long the list lags, as on the users' sheets.
const listLag = 800 * time.Millisecond

// platform serves the list of runners.
type platform struct {
	rec     *recorder
	address string
	runners []*runner

	mu    sync.Mutex
	pages []page
	down  bool
}

// page is the list as it was at a time.
type page struct {
	at   time.Time
	text []byte
}

// newPlatform starts the platform with an empty list.
func newPlatform(rec *recorder) (*platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{
		rec:     rec,
		address: l.Addr().String(),
	}
	p.changed()
	s := &http.Server{
		Handler:           p,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = s.Serve(l) }()
	return p, nil
}

// ServeHTTP serves the list as it was when the lag began. While the platform is down it answers 503.
func (p *platform) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || q.URL.Path != "/instances" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	shown := p.pages[0]
	for _, s := range p.pages {
		if time.Since(s.at) >= listLag {
			shown = s
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(shown.text)
}

// changed records the list as it is now.
func (p *platform) changed() {
	entries := []map[string]any{}
	for _, r := range p.runners {
		r.mu.Lock()
		entries = append(entries, map[string]any{
			"id": r.id, "service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": 64, "state": r.state, "coldMs": 0,
			"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		})
		r.mu.Unlock()
	}
	text, err := json.Marshal(map[string]any{"instances": entries, "nextToken": nil})
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pages = append(p.pages, page{
		at:   time.Now(),
		text: text,
	})
}

// setDown begins or ends an outage of the platform.
func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.rec.note("platform down: %v", down)
}
