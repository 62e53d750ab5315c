// Package caller implements a client of the fleet. It queries the directory for
// the addresses to send a chat's requests to, caches the result for the time
// that the directory allows, and resumes an interrupted response through
// another address.
package caller

// This file defines Caller.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
	"camphorspoke/internal/routing/stream"
)

const (
	lookupTimeout  = 2 * time.Second
	maxAttempts    = 12
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
)

// Caller sends requests to a fleet. Set Seeds before use.
type Caller struct {
	// Seeds are the addresses of the daemons whose directory is queried.
	Seeds []string

	mu            sync.Mutex
	cachedLookups map[target]lookupResult
	nextSeed      int
	clients       map[string]camphorspokev1connect.CallerServiceClient
}

type target struct {
	service, chat, account string
}

type lookupResult struct {
	addresses []string
	expiry    time.Time
}

func (c *Caller) client(address string) camphorspokev1connect.CallerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = make(map[string]camphorspokev1connect.CallerServiceClient)
	}
	if c.clients[address] == nil {
		c.clients[address] = camphorspokev1connect.NewCallerServiceClient(&http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		}, "http://"+address)
	}
	return c.clients[address]
}

// Addresses returns the addresses to send a chat's requests to, best first. It
// queries the directory unless a cached result is still valid.
func (c *Caller) Addresses(ctx context.Context, service, chat, account string) ([]string, error) {
	t := target{
		service: service,
		chat:    chat,
		account: account,
	}
	c.mu.Lock()
	cached, ok := c.cachedLookups[t]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.expiry) {
		return cached.addresses, nil
	}
	return c.lookup(ctx, t)
}

func (c *Caller) lookup(ctx context.Context, t target) ([]string, error) {
	var lastErr error
	for range c.Seeds {
		c.mu.Lock()
		seed := c.Seeds[c.nextSeed%len(c.Seeds)]
		c.nextSeed++
		c.mu.Unlock()
		lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
		r, err := c.client(seed).Lookup(lookupCtx, connect.NewRequest(&pb.LookupRequest{
			Service:       t.service,
			Chat:          t.chat,
			ClientAccount: t.account,
		}))
		cancel()
		if err != nil {
			lastErr = err
			if !retryable(err) {
				return nil, err
			}
			continue
		}
		c.mu.Lock()
		if c.cachedLookups == nil {
			c.cachedLookups = make(map[target]lookupResult)
		}
		c.cachedLookups[t] = lookupResult{
			addresses: r.Msg.GetAddresses(),
			expiry:    time.Now().Add(time.Duration(r.Msg.GetKeepMs()) * time.Millisecond),
		}
		c.mu.Unlock()
		return r.Msg.GetAddresses(), nil
	}
	return nil, lastErr
}

func (c *Caller) dropCached(t target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cachedLookups, t)
}

// retryable reports whether the request may succeed at another address or on a
// later attempt.
func retryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.UnknownService, fault.UnknownAccount, fault.UnknownKind, fault.BadChat, fault.BadRequest,
		fault.BadKey, fault.KeyExpired, fault.BodyTooLarge, fault.NotRun, fault.KeyNotRun, fault.ClaimSettled:
		return false
	}
	return true
}

// Generate calls deliver with each frame of the response, in order and exactly
// once. If an attempt fails midway, the next one resumes after the last frame
// delivered. It returns an error unless the response was complete.
func (c *Caller) Generate(ctx context.Context, req *pb.GenerateRequest, deliver func(*pb.GenerateResponse)) error {
	t := target{
		service: req.GetService(),
		chat:    req.GetChat(),
		account: req.GetClientAccount(),
	}
	a := &stream.Assembler{
		RequestID: req.GetRequestId(),
		Next:      req.GetResumeFrom(),
	}
	return c.withRetries(ctx, t, func(address string) error {
		req.ResumeFrom = a.Next
		s, err := c.client(address).Generate(ctx, connect.NewRequest(req))
		if err != nil {
			return err
		}
		defer s.Close()
		for s.Receive() {
			ready, err := a.Accept(s.Msg())
			if err != nil {
				return err
			}
			for _, f := range ready {
				deliver(f)
			}
		}
		if a.Done() {
			return nil
		}
		if s.Err() != nil {
			return s.Err()
		}
		return a.Close()
	})
}

// Call executes a call. Retries of a non-idempotent call carry the same request
// key, so that the fleet returns the recorded outcome instead of executing the
// call again.
func (c *Caller) Call(ctx context.Context, req *pb.CallRequest) (*pb.CallResponse, error) {
	t := target{
		service: req.GetService(),
		chat:    "call",
		account: req.GetClientAccount(),
	}
	var resp *pb.CallResponse
	err := c.withRetries(ctx, t, func(address string) error {
		r, err := c.client(address).Call(ctx, connect.NewRequest(req))
		if err == nil {
			resp = r.Msg
		}
		return err
	})
	return resp, err
}

// withRetries runs f against the addresses for t until it succeeds, fails with
// an error that is not retryable, the context ends or maxAttempts is reached.
func (c *Caller) withRetries(ctx context.Context, t target, f func(address string) error) error {
	var lastErr error
	backoff := initialBackoff
	for attempts := 0; attempts < maxAttempts; {
		addresses, err := c.Addresses(ctx, t.service, t.chat, t.account)
		if err != nil {
			lastErr = err
			attempts++
		}
		for _, address := range addresses {
			attempts++
			lastErr = f(address)
			if lastErr == nil || !retryable(lastErr) || ctx.Err() != nil {
				return lastErr
			}
		}
		if lastErr != nil && !retryable(lastErr) {
			return lastErr
		}
		c.dropCached(t)
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return lastErr
}
