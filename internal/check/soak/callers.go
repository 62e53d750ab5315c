package soak

// This file defines caller, which sends requests and checks the responses.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"camphorspoke/internal/check/guarantee"
	"camphorspoke/platform/wireformat"
)

const (
	requestPause   = 15 * time.Millisecond
	requestTimeout = 2500 * time.Millisecond
	// resolveInterval is how long a caller uses the addresses that the directory
	// returned.
	resolveInterval = 2 * time.Second
	hostName        = "h.example"
)

// caller sends one request after another over persistent connections, which stay
// open until the process at the other end closes them.
type caller struct {
	s      *Soak
	name   string
	rng    *rand.Rand
	client *http.Client

	addresses    []string
	lastResolve  time.Time
	requestCount int
}

func (s *Soak) newCaller(n int) *caller {
	return &caller{
		s:    s,
		name: fmt.Sprintf("c%d", n),
		rng:  rand.New(rand.NewPCG(s.cfg.Seed, uint64(100+n))),
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 2,
			},
		},
	}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if time.Since(c.lastResolve) > resolveInterval {
			c.resolve(ctx)
		}
		c.request(ctx)
		time.Sleep(requestPause)
	}
	c.client.CloseIdleConnections()
}

// resolve queries the directory of a random daemon for the addresses to connect to.
// If it fails, the addresses that the caller already has stay in use.
func (c *caller) resolve(ctx context.Context) {
	c.lastResolve = time.Now()
	address := c.s.daemons[c.rng.IntN(len(c.s.daemons))].address(directoryPort)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+wireformat.ResolvePath+"?name="+hostName+"&region=r&zone=a", nil)
	if err != nil {
		c.s.checker.AddViolation("requests can be created", err.Error())
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.s.checker.Count("directory unreachable")
		return
	}
	defer resp.Body.Close()
	resolved := wireformat.Addresses{}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&resolved) != nil || len(resolved.Addresses) == 0 {
		c.s.checker.Count("directory answer unusable")
		return
	}
	c.addresses = resolved.Addresses
}

// request sends one request to a random address and checks its response.
func (c *caller) request(ctx context.Context) {
	if len(c.addresses) == 0 {
		c.addresses = []string{c.s.daemons[0].address(frontPort)}
	}
	address := c.addresses[c.rng.IntN(len(c.addresses))]
	path := [...]string{"/book/x", "/book/x", "/read/x", "/chat/x", "/chat/x"}[c.rng.IntN(5)]
	c.requestCount++
	key, valid := c.s.operator.pickKey(c.rng)
	a := guarantee.Attempt{
		ID:         fmt.Sprintf("%s-%d", c.name, c.requestCount),
		Key:        key,
		AtMostOnce: path == "/book/x",
		Address:    address,
		Service:    "app",
		Sent:       time.Now(),
	}
	if path == "/chat/x" {
		a.Service = "llm"
	}
	a.LeavesEarly = c.rng.IntN(40) == 0
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	if a.LeavesEarly {
		time.AfterFunc(time.Duration(c.rng.IntN(20))*time.Millisecond, cancel)
	}
	c.s.checker.Count("sent on " + path)
	c.send(ctx, a, path, valid, strings.NewReader("b"))
}

// send sends the request of an attempt and checks the response.
func (c *caller) send(ctx context.Context, a guarantee.Attempt, path string, valid bool, body *strings.Reader) {
	wrote := false
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { wrote = true },
	})
	req, err := newRequest(tracedCtx, a, path, requestTimeout, io.NopCloser(body))
	if err != nil {
		c.s.checker.AddViolation("requests can be created", err.Error())
		return
	}
	req.ContentLength = body.Size()
	c.s.checker.Sent(a)
	resp, err := c.client.Do(req)
	if err != nil {
		if wrote && ctx.Err() == nil {
			c.s.checker.Interrupted(a)
		}
		return
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		if ctx.Err() == nil {
			c.s.checker.Interrupted(a)
		}
		return
	}
	c.checkResponse(a, path, valid, resp, string(got))
}

// newRequest returns the request of an attempt. A body that is no bytes.Reader,
// bytes.Buffer or strings.Reader is sent in chunks.
func newRequest(ctx context.Context, a guarantee.Attempt, path string, timeout time.Duration, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+path, body)
	if err != nil {
		return nil, err
	}
	req.Host = hostName
	req.Header.Set(wireformat.RequestIDHeader, a.ID)
	req.Header.Set(wireformat.DeadlineHeader, fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set(wireformat.AuthorizationHeader, wireformat.AuthorizationScheme+a.Key)
	return req, nil
}

// checkResponse compares a response with the one that its request must receive;
// valid is true if the request's key cannot have been revoked.
func (c *caller) checkResponse(a guarantee.Attempt, path string, valid bool, resp *http.Response, body string) {
	switch resp.StatusCode {
	case http.StatusOK:
		c.s.checker.Count("served")
		c.s.checker.Count("served on " + path)
		want := responseBody(a.ID)
		if path == "/chat/x" {
			want = streamBody(a.ID, eventCount(a.ID))
		}
		if body != want || resp.Header.Get(wireformat.SignatureHeader) == "" {
			c.s.checker.AddViolation("responses are complete and belong to their request", fmt.Sprintf("%s on %s received %d bytes %.80q, expected %d bytes", a.ID, path, len(body), body, len(want)))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.s.checker.Refused(a.ID, resp.StatusCode)
	case http.StatusNotFound, http.StatusUnauthorized:
		if valid {
			c.s.checker.AddViolation("valid requests are not denied", fmt.Sprintf("%s on %s received status %d", a.ID, path, resp.StatusCode))
		}
		c.s.checker.Count("denied")
	default:
		c.s.checker.Count(fmt.Sprintf("status %d", resp.StatusCode))
	}
}

// streamBody returns the complete event stream that answers a request.
func streamBody(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(formatEvent(id, n))
	}
	return b.String()
}
