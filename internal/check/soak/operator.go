package soak

// This file defines operator, which changes the configuration and reads it back.

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

	"camphorspoke/platform/wireformat"
)

const (
	// changeTimeout is how long a change that was not acknowledged is retried.
	changeTimeout   = 20 * time.Second
	responseTimeout = 1500 * time.Millisecond
	// revocableKeyShare is the share of requests that carry a key that may have been
	// revoked.
	revocableKeyShare = 0.1
)

// operator changes the configuration repeatedly, sometimes with two concurrent
// changes. Two keys always stay valid; a third, the spare key, is revoked and replaced
// by some of the changes.
type operator struct {
	s      *Soak
	rng    *rand.Rand
	client *http.Client

	mu          sync.Mutex
	version     uint64
	changeCount int
	spareIndex  int
}

func (s *Soak) newOperator() *operator {
	return &operator{
		s:   s,
		rng: rand.New(rand.NewPCG(s.cfg.Seed, 2)),
		client: &http.Client{
			Timeout: responseTimeout,
		},
		version: 1,
	}
}

func spareKey(n int) string { return fmt.Sprintf("spare-%d", n) }

// pickKey returns a key for a request. It is certainly valid if valid is true;
// otherwise it may have been revoked.
func (o *operator) pickKey(rng *rand.Rand) (key string, valid bool) {
	o.mu.Lock()
	spareIndex := o.spareIndex
	o.mu.Unlock()
	if rng.Float64() < revocableKeyShare {
		return spareKey(rng.IntN(spareIndex + 1)), false
	}
	return fmt.Sprintf("base-%d", rng.IntN(2)), true
}

func (o *operator) configuration() wireformat.Configuration {
	config := wireformat.Configuration{
		Version: o.version,
		Services: []wireformat.Service{
			{
				Name:           "app",
				HealthPath:     "/health",
				MaxConnections: 200,
			},
			{
				Name:           "llm",
				HealthPath:     "/health",
				MaxConnections: 200,
				Engine: &wireformat.Engine{
					Slots:       slots,
					CacheTokens: 100_000,
				},
			},
		},
		Accounts: []wireformat.Account{
			{
				Name: "acme",
				Keys: []string{"base-0", "base-1", spareKey(o.spareIndex)},
			},
		},
	}
	if o.s.cfg.ColdServers {
		for i := range config.Services {
			config.Services[i].ColdSeconds, config.Services[i].ColdPerSecond = coldTime.Seconds(), coldPerSecond
		}
	}
	route := func(name, prefix, kind, service string, attempts int, timeout time.Duration) {
		config.Routes = append(config.Routes, wireformat.Route{
			Name:      name,
			Host:      hostName,
			Prefix:    prefix,
			Kind:      kind,
			Service:   service,
			Attempts:  attempts,
			Timeout:   timeout.Milliseconds(),
			Objective: 500,
			Resumable: kind == "stream",
		})
	}
	route("book", "/book/", "unsafe", "app", 1, requestTimeout)
	route("read", "/read/", "safe", "app", 2, requestTimeout)
	route("chat", "/chat/", "stream", "llm", 2, requestTimeout)
	route("long", longPrefix, "stream", "llm", 2, chatTimeout)
	if o.s.cfg.Versions {
		route("versions", versionsPrefix, "stream", versionedService, 3, streamTimeout)
	}
	for i := range o.changeCount % 40 {
		route(fmt.Sprintf("extra-%d", i), fmt.Sprintf("/extra-%d/", i), "safe", "app", 1, requestTimeout)
	}
	return config
}

// applyChange changes the configuration, revoking the spare key if revoke is true,
// and retries until the change is acknowledged. It reports whether that happened
// within changeTimeout.
func (o *operator) applyChange(ctx context.Context, revoke bool) bool {
	o.mu.Lock()
	o.version += 1 + uint64(o.rng.IntN(5))
	o.changeCount++
	var revoked []string
	if revoke {
		revoked = []string{spareKey(o.spareIndex)}
		o.spareIndex++
	}
	config := o.configuration()
	o.mu.Unlock()
	body, err := json.Marshal(config)
	if err != nil {
		o.s.checker.AddViolation("configurations can be encoded", err.Error())
		return false
	}
	for start := time.Now(); time.Since(start) < changeTimeout && ctx.Err() == nil; {
		status := o.replace(ctx, body)
		if status == http.StatusOK {
			o.s.checker.Acknowledged(config.Version, revoked, time.Now())
			return true
		}
		if status >= 400 && status < 500 {
			o.s.checker.AddViolation("valid changes are accepted", fmt.Sprintf("version %d received status %d", config.Version, status))
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// sendInvalid sends a configuration that must be rejected: one of its routes names
// a service that does not exist.
func (o *operator) sendInvalid(ctx context.Context) {
	o.mu.Lock()
	config := o.configuration()
	o.mu.Unlock()
	config.Version += 1000
	config.Routes[0].Service = "nobody"
	body, err := json.Marshal(config)
	if err != nil {
		o.s.checker.AddViolation("configurations can be encoded", err.Error())
		return
	}
	if status := o.replace(ctx, body); status == http.StatusOK {
		o.s.checker.AddViolation("invalid configurations are rejected", fmt.Sprintf("version %d was acknowledged", config.Version))
	}
}

// replace sends a configuration to a random daemon and returns the status of the
// response, or 0 if there was none.
func (o *operator) replace(ctx context.Context, body []byte) int {
	o.mu.Lock()
	address := o.s.daemons[o.rng.IntN(len(o.s.daemons))].address(operatorPort)
	o.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wireformat.ReplacePath, bytes.NewReader(body))
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

// readBack reads the configuration of a daemon, records its version and returns the
// version, or 0 if the read fails.
func (o *operator) readBack(ctx context.Context, d *daemon) uint64 {
	sent := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address(operatorPort)+wireformat.ReadPath, nil)
	if err != nil {
		return 0
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	got := wireformat.Configuration{}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&got) != nil {
		return 0
	}
	o.s.checker.ReadVersion(d.name, got.Version, sent)
	return got.Version
}

// run sends valid and invalid changes and reads configurations back until ctx ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch o.rng.IntN(8) {
		case 0:
			o.sendInvalid(ctx)
		case 1, 2:
			o.applyChange(ctx, true)
		case 3:
			var wg sync.WaitGroup
			for range 2 {
				wg.Go(func() { o.applyChange(ctx, false) })
			}
			wg.Wait()
		default:
			o.applyChange(ctx, false)
		}
		for range 3 {
			o.readBack(ctx, o.s.daemons[o.rng.IntN(len(o.s.daemons))])
			time.Sleep(time.Duration(o.rng.IntN(300)) * time.Millisecond)
		}
	}
}
