package soak

// This file defines streamCaller, which leaves streams and takes them up again at other daemons.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"camphorspoke/internal/check/guarantee"
	"camphorspoke/platform/wireformat"
)

const (
	// streamCallerCount is the number of callers that take up streams. Together they have fewer
	// streams than the servers have slots.
	streamCallerCount = 32
	streamTimeout     = 6 * time.Second
	streamPause       = 10 * time.Millisecond
	// One in leaveInterval attempts is left by its caller after 1 to maxEventsLeft events.
	leaveInterval = 2
	maxEventsLeft = 6
	// maxStreamAttempts is the most attempts of a caller at a stream.
	maxStreamAttempts = 6
	// streamSequence selects the random sequence of the first caller that takes up streams.
	streamSequence = 4000
)

// notExecuted are the statuses which state that a request was not executed.
var notExecuted = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// streamCaller holds one stream after another. It leaves some of them and takes them up again
// at other daemons at once.
type streamCaller struct {
	*caller
	// address is the daemon of the latest attempt.
	address string
}

func (s *Soak) newStreamCaller(n int) *streamCaller {
	return &streamCaller{
		caller: s.newCaller(streamSequence + n),
	}
}

func (c *streamCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if time.Since(c.lastResolve) > resolveInterval {
			c.resolve(ctx)
		}
		c.hold(ctx)
		time.Sleep(streamPause)
	}
	c.client.CloseIdleConnections()
}

// hold holds a stream, with further attempts until it ends, is refused or has no event.
func (c *streamCaller) hold(ctx context.Context) {
	stream, received := "", 0
	for n := range maxStreamAttempts {
		a := c.nextAttempt(stream)
		stream = a.Stream
		ended := c.attempt(ctx, a, &received)
		if ended || received == 0 {
			return
		}
		if n == maxStreamAttempts-1 {
			c.s.checker.Count("streams given up")
		}
	}
}

// nextAttempt returns an attempt at another daemon than that of the latest one, if the directory
// returned several. It is the first of a new stream if stream is empty.
func (c *streamCaller) nextAttempt(stream string) guarantee.Attempt {
	if len(c.addresses) == 0 {
		c.addresses = []string{c.s.daemons[0].address(frontPort)}
	}
	i := c.rng.IntN(len(c.addresses))
	if c.addresses[i] == c.address {
		i = (i + 1) % len(c.addresses)
	}
	c.address = c.addresses[i]
	c.requestCount++
	a := guarantee.Attempt{
		ID:      fmt.Sprintf("%s-%d", c.name, c.requestCount),
		Key:     "base-0",
		Address: c.address,
		Service: versionedService,
		Sent:    time.Now(),
		Stream:  stream,
		// It may leave.
		LeavesEarly: true,
	}
	if stream == "" {
		a.Stream = a.ID
	}
	return a
}

// attempt sends the request of an attempt for the events after those received, and adds those
// that it receives. It reports whether the stream has ended or was refused.
func (c *streamCaller) attempt(ctx context.Context, a guarantee.Attempt, received *int) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), streamTimeout)
	defer cancel()
	req, err := newRequest(ctx, a, versionsPrefix+"x", streamTimeout, strings.NewReader("b"))
	if err != nil {
		c.s.checker.AddViolation("requests can be created", err.Error())
		return true
	}
	if *received > 0 {
		req.Header.Set(wireformat.LastEventHeader, fmt.Sprint(*received))
		req.Header.Set(resumesHeader, a.Stream)
		c.s.checker.Count("streams taken up")
	}
	c.s.checker.Sent(a)
	resp, err := c.client.Do(req)
	if err != nil {
		c.s.checker.Count("stream attempts without a response")
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.refused(a, resp.StatusCode, *received > 0)
	}
	return c.receive(a, resp.Body, received)
}

// refused records a response without a stream, and reports whether it states that the request
// was not executed. After another the stream may be taken up again.
func (c *streamCaller) refused(a guarantee.Attempt, status int, takenUp bool) bool {
	if !slices.Contains(notExecuted, status) {
		c.s.checker.Count(fmt.Sprintf("stream attempts with status %d", status))
		return false
	}
	c.s.checker.Refused(a.ID, status)
	if takenUp {
		c.s.checker.Count("streams taken up and refused")
	}
	return true
}

// receive reads events until the response ends or the caller leaves. It reports whether the
// response is complete.
func (c *streamCaller) receive(a guarantee.Attempt, body io.Reader, received *int) bool {
	leaveAfter := *received + 1 + c.rng.IntN(maxEventsLeft)
	if leaveAfter >= versionedEvents || c.rng.IntN(leaveInterval) != 0 {
		leaveAfter = math.MaxInt
	}
	r := bufio.NewReader(body)
	for *received < leaveAfter {
		event, err := readEvent(r)
		if errors.Is(err, io.EOF) {
			if event != "" {
				c.record(a, event)
			}
			c.s.checker.StreamEnded(a.ID, versionedEvents)
			return true
		}
		if err != nil {
			c.s.checker.Count("stream attempts broken off")
			return false
		}
		*received++
		c.record(a, event)
	}
	c.s.checker.Count("stream attempts left")
	return false
}

// readEvent reads an event with the empty line at its end.
func readEvent(r *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := r.ReadString('\n')
		event.WriteString(line)
		if err != nil || line == "\n" {
			return event.String(), err
		}
	}
}

// record records an event, and a violation if it is not one of the stream.
func (c *streamCaller) record(a guarantee.Attempt, event string) {
	e := guarantee.StreamEvent{
		Attempt: a.ID,
		At:      time.Now(),
	}
	var stream string
	_, err := fmt.Sscanf(event, "id: %d\ndata: %s %s\n\n", &e.Number, &stream, &e.Version)
	if err != nil || event != formatVersionedEvent(a.Stream, e.Number, e.Version) {
		c.s.checker.AddViolation("events belong to their stream", fmt.Sprintf("%s received %.80q", a.ID, event))
	}
	c.s.checker.ReceivedEvent(e)
}
