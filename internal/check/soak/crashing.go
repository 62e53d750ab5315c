package soak

// This file defines requests that crash the backend servers which execute them, and the
// callers that send them again and again.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"camphorspoke/internal/check/guarantee"
)

const (
	// crashCallerCount is the number of callers whose requests crash servers. Each sends
	// one request, and every other one of them an unsafe request.
	crashCallerCount = 2
	// maxCrashPause is the longest pause between two requests of such a caller.
	maxCrashPause = time.Second
	// crashMark begins the bodies of the requests that crash servers, harmlessMark those
	// of requests that are the same but for a part of the body. One in harmlessInterval is
	// of these.
	crashMark        = "crash"
	harmlessMark     = "sound"
	harmlessInterval = 5
	// maxPadding is the largest number of bytes after the mark.
	maxPadding = 20_000
	// crashDelay is how long a server executes such a request before it crashes, minDowntime
	// and maxDowntime how long it is down then, and maxCrashListLag the longest time until
	// the list shows its new name after that.
	crashDelay      = 40 * time.Millisecond
	minDowntime     = time.Second
	maxDowntime     = 3 * time.Second
	maxCrashListLag = time.Second
	// crashSequence selects the random sequence of the first of these callers.
	crashSequence = 3000
)

// crashCaller sends one request again and again to random daemons, each time with another ID.
type crashCaller struct {
	*caller
	path       string
	padding    string
	atMostOnce bool
}

func (s *Soak) newCrashCaller(n int) *crashCaller {
	c := s.newCaller(crashSequence + n)
	return &crashCaller{
		caller:     c,
		path:       fmt.Sprintf("%scrash?n=%d", [...]string{"/read/", "/book/"}[n%2], n),
		padding:    strings.Repeat("p", c.rng.IntN(maxPadding)),
		atMostOnce: n%2 == 1,
	}
}

func (c *crashCaller) run(ctx context.Context) {
	time.Sleep(time.Duration(c.rng.Int64N(int64(c.s.cfg.FaultDuration / 4))))
	for ctx.Err() == nil {
		if time.Since(c.lastResolve) > resolveInterval {
			c.resolve(ctx)
		}
		c.request(ctx)
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxCrashPause))))
	}
	c.client.CloseIdleConnections()
}

// request sends the request to a random address, or one that is harmless.
func (c *crashCaller) request(ctx context.Context) {
	if len(c.addresses) == 0 {
		return
	}
	c.requestCount++
	a := guarantee.Attempt{
		ID: fmt.Sprintf("%s-%d", c.name, c.requestCount),
		// Both keys are of one client account.
		Key:        fmt.Sprintf("base-%d", c.rng.IntN(2)),
		AtMostOnce: c.atMostOnce,
		Address:    c.addresses[c.rng.IntN(len(c.addresses))],
		Service:    "app",
		Sent:       time.Now(),
	}
	mark := crashMark
	if c.rng.IntN(harmlessInterval) == 0 {
		mark = harmlessMark
		c.s.checker.Count("sent on " + c.path)
	} else {
		a.Content = c.path
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	c.send(ctx, a, c.path, true, strings.NewReader(mark+c.padding))
}

// crash crashes the server under a request: after crashDelay all of its connections break, and
// others are refused for a while. Then it is another incarnation at its address, which the
// list shows later.
func (b *backend) crash(id, serverID string) {
	time.Sleep(crashDelay)
	now := time.Now()
	b.checker.Ended(id, serverID, now)
	if !b.down.CompareAndSwap(false, true) {
		panic(http.ErrAbortHandler) // it is down already
	}
	defer b.checker.BeginFault()()
	b.checker.Crashed(id, now)
	b.log("crash", serverID+" under "+id)
	n := b.beginIncarnation()
	err := b.proxy.refuse(minDowntime + rand.N(maxDowntime-minDowntime))
	b.down.Store(false)
	if err != nil {
		b.checker.AddViolation("faults can be injected", err.Error())
		return
	}
	go b.proxy.serve()
	time.AfterFunc(rand.N(maxCrashListLag), func() { b.list(n) })
}
