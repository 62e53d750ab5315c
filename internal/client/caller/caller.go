// Package caller is how a caller uses the fleet: it asks the directory which
// addresses to use, keeps the answer for as long as it may, and resumes an
// answer that breaks off through another address.
package caller

// This file defines Caller.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
	"camphorspoke/internal/routing/stream"
	"camphorspoke/internal/world/fault"
)

const (
	lookupLimit = 2 * time.Second
	maxTries    = 12
	pauseFirst  = 50 * time.Millisecond
	pauseMax    = 800 * time.Millisecond
)

// Caller sends requests to a fleet. Set Seeds before use.
type Caller struct {
	// Seeds are addresses to ask the directory at.
	Seeds []string

	mu      sync.Mutex
	kept    map[target]answer
	next    int
	clients map[string]camphorspokev1connect.CallerServiceClient
}

type target struct {
	service, chat, account string
}

type answer struct {
	addresses []string
	until     time.Time
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

// Addresses returns which addresses to use for a chat, best first.
func (c *Caller) Addresses(ctx context.Context, service, chat, account string) ([]string, error) {
	t := target{
		service: service,
		chat:    chat,
		account: account,
	}
	c.mu.Lock()
	a, ok := c.kept[t]
	c.mu.Unlock()
	if ok && time.Now().Before(a.until) {
		return a.addresses, nil
	}
	return c.ask(ctx, t)
}

func (c *Caller) ask(ctx context.Context, t target) ([]string, error) {
	var last error
	for range c.Seeds {
		c.mu.Lock()
		seed := c.Seeds[c.next%len(c.Seeds)]
		c.next++
		c.mu.Unlock()
		askCtx, cancel := context.WithTimeout(ctx, lookupLimit)
		r, err := c.client(seed).Lookup(askCtx, connect.NewRequest(&pb.LookupRequest{
			Service:       t.service,
			Chat:          t.chat,
			ClientAccount: t.account,
		}))
		cancel()
		if err != nil {
			last = err
			if !passing(err) {
				return nil, err
			}
			continue
		}
		c.mu.Lock()
		if c.kept == nil {
			c.kept = make(map[target]answer)
		}
		c.kept[t] = answer{
			addresses: r.Msg.GetAddresses(),
			until:     time.Now().Add(time.Duration(r.Msg.GetKeepMs()) * time.Millisecond),
		}
		c.mu.Unlock()
		return r.Msg.GetAddresses(), nil
	}
	return nil, last
}

func (c *Caller) forget(t target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.kept, t)
}

// passing reports whether another address or a later try may do better.
func passing(err error) bool {
	switch fault.KindOf(err) {
	case fault.UnknownService, fault.UnknownAccount, fault.UnknownKind, fault.BadChat, fault.BadRequest,
		fault.BadKey, fault.KeyExpired, fault.BodyTooLarge, fault.NotRun, fault.KeyNotRun, fault.ClaimSettled:
		return false
	}
	return true
}

// Generate delivers the whole answer to a request, in order and each frame
// once, or returns the failure that ended it.
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
	return c.try(ctx, t, func(address string) error {
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

// Call runs a call. One that may not be repeated is sent again with the same
// key, which the fleet answers with the recorded outcome.
func (c *Caller) Call(ctx context.Context, req *pb.CallRequest) (*pb.CallResponse, error) {
	t := target{
		service: req.GetService(),
		chat:    "call",
		account: req.GetClientAccount(),
	}
	var resp *pb.CallResponse
	err := c.try(ctx, t, func(address string) error {
		r, err := c.client(address).Call(ctx, connect.NewRequest(req))
		if err == nil {
			resp = r.Msg
		}
		return err
	})
	return resp, err
}

// try runs f against the addresses for t until it succeeds, fails for good, or
// the tries are used up.
func (c *Caller) try(ctx context.Context, t target, f func(address string) error) error {
	var last error
	pause := pauseFirst
	for tries := 0; tries < maxTries; {
		addresses, err := c.Addresses(ctx, t.service, t.chat, t.account)
		if err != nil {
			last = err
			tries++
		}
		for _, address := range addresses {
			tries++
			last = f(address)
			if last == nil || !passing(last) || ctx.Err() != nil {
				return last
			}
		}
		if last != nil && !passing(last) {
			return last
		}
		c.forget(t)
		select {
		case <-ctx.Done():
			return last
		case <-time.After(pause):
		}
		pause = min(2*pause, pauseMax)
	}
	return last
}
