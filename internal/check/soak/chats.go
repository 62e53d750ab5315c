package soak

// This file defines chatCaller, which holds chats that take seconds.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"camphorspoke/internal/check/guarantee"
)

const (
	// longPrefix is the path of long chats; the number of events follows it.
	longPrefix        = "/long/"
	longEventInterval = 60 * time.Millisecond
	// chatTimeout is longer than a grace period.
	chatTimeout = 12 * time.Second
	// shortChat and longChat are the largest numbers of events of a chat while chats are
	// short and while they are long, and phaseChats is the number of chats in each phase.
	shortChat  = 15
	longChat   = 140
	phaseChats = 8
	// maxBodyParts is the largest number of chunks in which a request is sent, and
	// maxPartPause the longest pause between them.
	maxBodyParts = 3
	maxPartPause = 400 * time.Millisecond
	chatPause    = 50 * time.Millisecond
	// chatSequence selects the random sequence of the first chat caller.
	chatSequence = 2000
)

// chatCaller holds one chat after another over persistent connections, and sends its
// requests in chunks with pauses. Its chats are short for a while and then long.
type chatCaller struct {
	*caller
	// lifetime is how long it uses the addresses that a directory returned.
	lifetime time.Duration
}

func (s *Soak) newChatCaller(n int) *chatCaller {
	c := &chatCaller{
		caller:   s.newCaller(chatSequence + n),
		lifetime: resolveInterval,
	}
	if n%3 == 0 {
		c.lifetime *= 3
	}
	return c
}

func (c *chatCaller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(c.lastResolve) > c.lifetime {
			c.resolve(ctx)
		}
		limit := shortChat
		if n/phaseChats%2 == 1 {
			limit = longChat
		}
		c.chat(ctx, 1+c.rng.IntN(limit))
		time.Sleep(chatPause)
	}
	c.client.CloseIdleConnections()
}

// chat sends a request for a chat with a number of events and checks the response.
func (c *chatCaller) chat(ctx context.Context, events int) {
	if len(c.addresses) == 0 {
		c.addresses = []string{c.s.daemons[0].address(frontPort)}
	}
	c.requestCount++
	a := guarantee.Attempt{
		ID:      fmt.Sprintf("%s-%d", c.name, c.requestCount),
		Key:     "base-0",
		Address: c.addresses[c.rng.IntN(len(c.addresses))],
		Service: "llm",
		Sent:    time.Now(),
		Long:    true,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), chatTimeout)
	defer cancel()
	resp, body, err := c.exchange(ctx, &a, events)
	switch {
	case err != nil:
		if !a.LastByteSent.IsZero() && ctx.Err() == nil {
			c.s.checker.Interrupted(a)
		}
	case resp.StatusCode != http.StatusOK:
		c.checkResponse(a, longPrefix, true, resp, "")
	case string(body) != streamBody(a.ID, events):
		c.s.checker.AddViolation("responses are complete and belong to their request", fmt.Sprintf("%s received %d bytes %.80q of %d events", a.ID, len(body), body, events))
	default:
		c.s.checker.Count("chats served")
	}
}

// exchange sends the request of an attempt and reads the whole response. It records when
// the last byte of the request was sent.
func (c *chatCaller) exchange(ctx context.Context, a *guarantee.Attempt, events int) (*http.Response, []byte, error) {
	// The response may come before the whole request was sent.
	var lastByteSent atomic.Pointer[time.Time]
	defer func() {
		if at := lastByteSent.Load(); at != nil {
			a.LastByteSent = *at
		}
	}()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) {
			now := time.Now()
			lastByteSent.Store(&now)
		},
	})
	req, err := newRequest(ctx, *a, longPrefix+strconv.Itoa(events), chatTimeout, c.newSlowBody())
	if err != nil {
		return nil, nil, err
	}
	c.s.checker.Sent(*a)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// slowBody is a body that is sent in parts with pauses, each as a chunk.
type slowBody struct {
	rng   *rand.Rand
	parts int
}

func (c *chatCaller) newSlowBody() io.Reader {
	return &slowBody{
		rng:   rand.New(rand.NewPCG(c.rng.Uint64(), 0)),
		parts: 1 + c.rng.IntN(maxBodyParts),
	}
}

// Read returns the next part of the body.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	time.Sleep(time.Duration(b.rng.Int64N(int64(maxPartPause))))
	return copy(p, strings.Repeat("prompt ", 100)), nil
}
