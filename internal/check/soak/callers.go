package soak

// This file defines the callers: what they send, and what they check of the answers.

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

	"camphorspoke/internal/check/observed"
	"camphorspoke/platform/standin"
)

const (
	callerPause = 15 * time.Millisecond
	patience    = 2500 * time.Millisecond
	// keepAnswer is how long a caller keeps the directory's answer.
	keepAnswer = 2 * time.Second
	hostName   = "h.example"
)

// caller sends one request after the other over connections that it keeps open
// until the process at their other end is gone.
type caller struct {
	s      *Soak
	name   string
	rng    *rand.Rand
	client *http.Client

	addresses []string
	asked     time.Time
	sent      int
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
		if time.Since(c.asked) > keepAnswer {
			c.resolve(ctx)
		}
		c.request(ctx)
		time.Sleep(callerPause)
	}
	c.client.CloseIdleConnections()
}

// resolve asks some daemon where to connect.
func (c *caller) resolve(ctx context.Context) {
	c.asked = time.Now()
	at := c.s.daemons[c.rng.IntN(len(c.s.daemons))].at(directoryPort)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+standin.ResolvePath+"?name="+hostName+"&region=r&zone=a", nil)
	if err != nil {
		c.s.record.Breaks("requests can be made", err.Error())
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.s.record.Count("directory silent")
		return
	}
	defer resp.Body.Close()
	answer := standin.Addresses{}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		c.s.record.Count("directory without answer")
		return
	}
	c.addresses = answer.Addresses
}

// request sends one request to one of the addresses and checks its answer.
func (c *caller) request(ctx context.Context) {
	if len(c.addresses) == 0 {
		c.addresses = []string{c.s.daemons[0].at(frontPort)}
	}
	address := c.addresses[c.rng.IntN(len(c.addresses))]
	path := [...]string{"/book/x", "/book/x", "/read/x", "/chat/x", "/chat/x"}[c.rng.IntN(5)]
	c.sent++
	key, valid := c.s.operator.key(c.rng)
	a := observed.Attempt{
		ID:   fmt.Sprintf("%s-%d", c.name, c.sent),
		Key:  key,
		Once: path == "/book/x",
		Sent: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer cancel()
	if c.rng.IntN(40) == 0 {
		// A caller that leaves early.
		time.AfterFunc(time.Duration(c.rng.IntN(20))*time.Millisecond, cancel)
	}
	wrote := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { wrote = true },
	})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+address+path, io.NopCloser(strings.NewReader("b")))
	if err != nil {
		c.s.record.Breaks("requests can be made", err.Error())
		return
	}
	req.ContentLength = 1
	req.Host = hostName
	req.Header.Set(standin.RequestID, a.ID)
	req.Header.Set(standin.Patience, fmt.Sprint(patience.Milliseconds()))
	req.Header.Set(standin.Key, standin.KeyScheme+key)
	c.s.record.Sent(a)
	resp, err := c.client.Do(req)
	if err != nil {
		if wrote && ctx.Err() == nil {
			c.s.record.CutOff(a, address)
		}
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		if ctx.Err() == nil {
			c.s.record.CutOff(a, address)
		}
		return
	}
	c.check(a, path, valid, resp, string(body))
}

// check holds the answer against what its request must get.
func (c *caller) check(a observed.Attempt, path string, valid bool, resp *http.Response, body string) {
	switch resp.StatusCode {
	case http.StatusOK:
		c.s.record.Count("served")
		want := answerOf(a.ID)
		if path == "/chat/x" {
			want = streamOf(a.ID)
		}
		if body != want || resp.Header.Get(standin.Signature) == "" {
			c.s.record.Breaks("answers are whole and one's own", fmt.Sprintf("%s on %s got %d bytes %.80q, not %d bytes", a.ID, path, len(body), body, len(want)))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.s.record.Refused(a.ID, resp.StatusCode)
	case http.StatusNotFound, http.StatusUnauthorized:
		if valid {
			c.s.record.Breaks("proper requests are not denied", fmt.Sprintf("%s on %s got %d", a.ID, path, resp.StatusCode))
		}
		c.s.record.Count("denied")
	default:
		c.s.record.Count(fmt.Sprintf("status %d", resp.StatusCode))
	}
}

// streamOf returns the whole answer to a request for a stream.
func streamOf(id string) string {
	var b strings.Builder
	for n := 1; n <= eventsOf(id); n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}
