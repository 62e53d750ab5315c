package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listLag is how much later than the servers' own state the platform's list shows it.
const listLag = 800 * time.Millisecond

// Entry is a backend server in the platform's list.
type Entry struct {
	ID      string  `json:"id"`
	Service string  `json:"service"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Version string  `json:"version"`
	Slots   int     `json:"slots"`
	State   string  `json:"state"`
	ColdMs  float64 `json:"coldMs"`
}

// Platform serves the list of backend servers.
type Platform struct {
	env  *Env
	addr string

	mu      sync.Mutex
	current []any
}

func newPlatform(env *Env) (*Platform, error) {
	p := &Platform{
		env: env,
	}
	l, err := net.Listen("tcp", "127.77.1.1:0")
	if err != nil {
		return nil, err
	}
	p.addr = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(p.serve))
	return p, nil
}

// Set replaces the list, which shows the change after listLag.
func (p *Platform) Set(entries ...Entry) {
	var out []any
	for _, e := range entries {
		out = append(out, e)
	}
	p.SetRaw(out)
}

// SetRaw is like Set, for entries of any form; one of type []byte is written as it is.
func (p *Platform) SetRaw(entries []any) {
	time.AfterFunc(listLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.current = entries
	})
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	entries := p.current
	p.mu.Unlock()
	if r.URL.Path != "/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var page bytes.Buffer
	page.WriteString(`{"instances":[`)
	for i, e := range entries {
		if i > 0 {
			page.WriteByte(',')
		}
		text, ok := e.([]byte)
		if !ok {
			text, _ = json.Marshal(e)
		}
		page.Write(text)
	}
	page.WriteString(`],"nextToken":null}`)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(page.Bytes())
}
