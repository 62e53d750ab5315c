package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// Host and key of the small deployment.
const (
	siteHost  = "site.example"
	clientKey = "n2ctnfzs989anu6wsjnb"
)

var lastID atomic.Uint64

// newID returns the ID of a new client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// Request is one client attempt.
type Request struct {
	ID       string
	Path     string
	Deadline time.Duration
	// PromptParts and TokenCounts are set for engines.
	PromptParts string
	TokenCounts string
}

// Answer is what the client got.
type Answer struct {
	Request Request
	Address string
	Sent    time.Duration
	Ended   time.Duration
	// Status is zero if the connection ended without a response.
	Status     int
	Signature  string
	RetryAfter string
	Header     http.Header
	Body       string
	// Err is the failure to connect or to read the response, Connected is false if there was no
	// connection.
	Err       error
	Connected bool
}

// Complete reports whether the answer is a success with its whole body.
func (a *Answer) Complete() bool {
	return a.Err == nil && a.Status == http.StatusOK && a.Signature != ""
}

// Send sends a request to a front address on a new connection.
func (e *Env) Send(address string, q Request) *Answer {
	a := &Answer{
		Request: q,
		Address: address,
	}
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	client := &http.Client{Transport: transport, Timeout: q.Deadline}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+q.Path, bytes.NewReader([]byte("{}")))
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = siteHost
	r.Header.Set("X-Attempt-Id", q.ID)
	r.Header.Set("Authorization", "Token "+clientKey)
	r.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(q.Deadline.Milliseconds()))
	if q.TokenCounts != "" {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Counts", q.TokenCounts)
		r.Header.Set("X-Prompt-Prefix", q.PromptParts)
	}
	a.Sent = e.Now()
	e.Log("sent", "id", q.ID, "path", q.Path, "to", address, "tokens", q.TokenCounts)
	resp, err := client.Do(r)
	if err == nil {
		a.Connected = true
		a.Status, a.Header = resp.StatusCode, resp.Header
		a.Signature, a.RetryAfter = resp.Header.Get("X-Response-Signature"), resp.Header.Get("Retry-After")
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.Body = string(body)
	} else if !strings.Contains(err.Error(), "refused") {
		a.Connected = true
	}
	a.Err, a.Ended = err, e.Now()
	e.Log("answered", "id", q.ID, "status", a.Status, "signature", a.Signature, "retryAfter", a.RetryAfter,
		"bytes", len(a.Body), "error", errText(err), "afterMs", (a.Ended - a.Sent).Milliseconds())
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Resolve asks the directory of a daemon for the addresses to use.
func (e *Env) Resolve(d *Daemon, zone string) ([]string, error) {
	q := url.Values{"name": {siteHost}, "region": {"region"}, "zone": {zone}}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.Directory() + "/api/resolve?" + q.Encode())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the directory answered %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, err
	}
	e.Log("resolved", "at", d.Name, "addresses", strings.Join(out.Addresses, ","), "ttlS", out.TTL)
	return out.Addresses, nil
}

// Configuration is the document of the operator.
type Configuration struct {
	Version  uint64           `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// smallConfiguration returns a configuration of one engine service and one plain one, with the
// routes /chat/ (stream), /book/ (unsafe) and /look/ (safe).
func smallConfiguration(version uint64) *Configuration {
	return &Configuration{
		Version: version,
		Routes: []map[string]any{
			{"name": "r-chat", "host": siteHost, "pathPrefix": "/chat/", "kind": "stream", "timeoutMs": 12000, "objectiveMs": 1200, "priority": 1,
				"service": "llm", "attempts": 2, "public": false, "sessionAffinity": true, "resumeStreams": false, "gapObjectiveMs": 400},
			{"name": "r-book", "host": siteHost, "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 1500, "objectiveMs": 100, "priority": 1,
				"service": "app", "attempts": 1, "public": false, "sessionAffinity": false, "resumeStreams": false},
			{"name": "r-look", "host": siteHost, "pathPrefix": "/look/", "kind": "safe", "timeoutMs": 1500, "objectiveMs": 100, "priority": 1,
				"service": "app", "attempts": 2, "public": false, "sessionAffinity": false, "resumeStreams": false},
		},
		Services: []map[string]any{
			{"name": "llm", "healthPath": "/health", "connectionLimit": 380, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvTokens": 482985, "kvBytes": 35136, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 6, "most": 2,
				"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}}}},
			{"name": "app", "healthPath": "/health", "connectionLimit": 120, "protocol": "h1", "tls": false},
		},
		Limits:  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
		Tenants: []map[string]any{{"name": "hule930", "keys": []string{clientKey}, "priority": 1}},
	}
}

// PutOnce sends a configuration to one daemon and returns the status, zero if there was none.
func (e *Env) PutOnce(d *Daemon, c *Configuration) int {
	b, err := json.Marshal(c)
	if err != nil {
		return 0
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+d.Control()+"/api/configuration/replace", "application/json", bytes.NewReader(b))
	status := 0
	if err == nil {
		status = resp.StatusCode
		resp.Body.Close()
	}
	e.Log("configuration sent", "to", d.Name, "version", c.Version, "status", status, "error", errText(err))
	return status
}

// Put sends a configuration to one daemon with a disk after another until it is acknowledged.
func (f *Fleet) Put(c *Configuration, timeout time.Duration) error {
	deadline := f.env.Now() + timeout
	pause := 100 * time.Millisecond
	for try := 0; f.env.Now() < deadline; try++ {
		d := f.Daemons[try%len(f.Daemons)]
		if f.env.PutOnce(d, c) == http.StatusOK {
			return nil
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return fmt.Errorf("configuration %d was not acknowledged within %v", c.Version, timeout)
}

// AwaitReady waits until all daemons report that they are ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	deadline := f.env.Now() + timeout
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range f.Daemons {
		for {
			resp, err := client.Get("http://" + d.Ready() + "/api/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if f.env.Now() > deadline {
				return fmt.Errorf("%s is not ready", d.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.env.Log("all machines are ready")
	return nil
}
