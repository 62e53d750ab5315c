package soak

// This file defines the operator, who changes the configuration and reads it back.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"camphorspoke/platform/standin"
)

const (
	// changeLimit is how long a change is sent again without an answer.
	changeLimit = 20 * time.Second
	answerLimit = 1500 * time.Millisecond
	// oldKeyShare is how many requests carry a key that may have been taken away.
	oldKeyShare = 0.1
)

// operator makes changes one after the other. Two keys always stay, a third one
// is taken away and replaced at times.
type operator struct {
	s      *Soak
	rng    *rand.Rand
	client *http.Client

	mu      sync.Mutex
	version uint64
	round   int
	spare   int
}

func (s *Soak) newOperator() *operator {
	return &operator{
		s:   s,
		rng: rand.New(rand.NewPCG(s.cfg.Seed, 2)),
		client: &http.Client{
			Timeout: answerLimit,
		},
		version: 1,
	}
}

func spareKey(n int) string { return fmt.Sprintf("spare-%d", n) }

// key returns a key for a request, and whether it is sure to be valid.
func (o *operator) key(rng *rand.Rand) (key string, valid bool) {
	o.mu.Lock()
	spare := o.spare
	o.mu.Unlock()
	if rng.Float64() < oldKeyShare {
		return spareKey(rng.IntN(spare + 1)), false
	}
	return fmt.Sprintf("base-%d", rng.IntN(2)), true
}

func (o *operator) document() standin.Configuration {
	d := standin.Configuration{
		Version: o.version,
		Services: []standin.Service{
			{
				Name:        "app",
				Health:      "/health",
				Connections: 200,
			},
			{
				Name:        "llm",
				Health:      "/health",
				Connections: 200,
				Engine: &standin.Engine{
					Slots:       slots,
					CacheTokens: 100_000,
				},
			},
		},
		Accounts: []standin.Account{
			{
				Name: "acme",
				Keys: []string{"base-0", "base-1", spareKey(o.spare)},
			},
		},
	}
	route := func(name, prefix, kind, service string, attempts int) {
		d.Routes = append(d.Routes, standin.Route{
			Name:      name,
			Host:      hostName,
			Prefix:    prefix,
			Kind:      kind,
			Service:   service,
			Attempts:  attempts,
			Timeout:   patience.Milliseconds(),
			Objective: 500,
			Resumes:   kind == "stream",
		})
	}
	route("book", "/book/", "unsafe", "app", 1)
	route("read", "/read/", "safe", "app", 2)
	route("chat", "/chat/", "stream", "llm", 2)
	for i := range o.round % 40 {
		route(fmt.Sprintf("extra-%d", i), fmt.Sprintf("/extra-%d/", i), "safe", "app", 1)
	}
	return d
}

// change makes a change and sends it until it is acknowledged; false when it is
// not in time.
func (o *operator) change(ctx context.Context, revoke bool) bool {
	o.mu.Lock()
	o.version += 1 + uint64(o.rng.IntN(5))
	o.round++
	var revoked []string
	if revoke {
		revoked = []string{spareKey(o.spare)}
		o.spare++
	}
	d := o.document()
	o.mu.Unlock()
	body, err := json.Marshal(d)
	if err != nil {
		o.s.record.Breaks("configurations can be written", err.Error())
		return false
	}
	for start := time.Now(); time.Since(start) < changeLimit && ctx.Err() == nil; {
		status := o.put(ctx, body)
		if status == http.StatusOK {
			o.s.record.Acknowledged(d.Version, revoked, time.Now())
			return true
		}
		if status >= 400 && status < 500 {
			o.s.record.Breaks("proper changes are accepted", fmt.Sprintf("version %d got %d", d.Version, status))
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// invalid sends a configuration that must be refused.
func (o *operator) invalid(ctx context.Context) {
	o.mu.Lock()
	d := o.document()
	o.mu.Unlock()
	d.Version += 1000
	d.Routes[0].Service = "nobody"
	body, err := json.Marshal(d)
	if err != nil {
		o.s.record.Breaks("configurations can be written", err.Error())
		return
	}
	if status := o.put(ctx, body); status == http.StatusOK {
		o.s.record.Breaks("invalid configurations are refused", fmt.Sprintf("version %d was acknowledged", d.Version))
	}
}

// put sends a configuration to some daemon; 0 when there was no answer.
func (o *operator) put(ctx context.Context, body []byte) int {
	o.mu.Lock()
	at := o.s.daemons[o.rng.IntN(len(o.s.daemons))].at(operatorPort)
	o.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+standin.ReplacePath, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// read reads the configuration back from a daemon; 0 when it gives none.
func (o *operator) read(ctx context.Context, d *daemon) uint64 {
	sent := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.at(operatorPort)+standin.ReadPath, nil)
	if err != nil {
		return 0
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	got := standin.Configuration{}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&got) != nil {
		return 0
	}
	o.s.record.Read(d.name, got.Version, sent)
	return got.Version
}

// run makes changes and reads them back until ctx ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch o.rng.IntN(8) {
		case 0:
			o.invalid(ctx)
		case 1, 2:
			o.change(ctx, true)
		case 3:
			var wg sync.WaitGroup
			for range 2 {
				wg.Go(func() { o.change(ctx, false) })
			}
			wg.Wait()
		default:
			o.change(ctx, false)
		}
		for range 3 {
			o.read(ctx, o.s.daemons[o.rng.IntN(len(o.s.daemons))])
			time.Sleep(time.Duration(o.rng.IntN(300)) * time.Millisecond)
		}
	}
}
