package soak

// This file defines backend servers of two software versions in one service, which break off
// streams before their first events, and streamCaller, which leaves streams and takes them up
// again at other daemons.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"camphorspoke/internal/check/guarantee"
	"camphorspoke/platform/wireformat"
)

const (
	// versionedService is the service whose servers are of two versions, and versionsPrefix the
	// path of the streams that are taken up again.
	versionedService = "llm"
	versionsPrefix   = "/versions/"
	// resumesHeader holds the ID of the attempt that brought the first event of a stream.
	resumesHeader = "Resumes"
	// versionedServerCount is the number of servers of versionedService.
	versionedServerCount = 8
	// streamCallerCount is the number of callers that take up streams. Together they have fewer
	// streams than the servers have slots.
	streamCallerCount = 32
	// versionedEvents is the number of events of a stream.
	versionedEvents        = 20
	versionedEventInterval = 15 * time.Millisecond
	streamTimeout          = 6 * time.Second
	streamPause            = 10 * time.Millisecond
	// One in breakInterval executions breaks off before its first event, at most maxBreakDelay
	// after the head of its response.
	breakInterval = 3
	maxBreakDelay = 20 * time.Millisecond
	// One in leaveInterval attempts is left by its caller after 1 to maxEventsLeft events.
	leaveInterval = 2
	maxEventsLeft = 6
	// maxStreamAttempts is the most attempts of a caller at a stream.
	maxStreamAttempts = 6
	// streamSequence selects the random sequence of the first caller that takes up streams.
	streamSequence = 4000
	// traceFile is the file with the traces of streams, below the directory of the soak.
	traceFile = "streams.txt"
)

// softwareVersions are the versions of the servers' software. Servers of other services and
// configurations are of the first.
var softwareVersions = [...]string{"v1", "v2"}

// notExecuted are the statuses which state that a request was not executed.
var notExecuted = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// firstServices returns the services of the servers that exist from the begin.
func (s *Soak) firstServices() []string {
	services := []string{"app", "llm", "app", "llm", "app", "llm"}
	if s.cfg.Versions {
		for range versionedServerCount - 3 {
			services = append(services, versionedService)
		}
	}
	return services
}

// nextVersion returns the version of the next server of versionedService: they alternate.
func (s *Soak) nextVersion() string {
	n := 0
	for _, b := range s.backends {
		if b.service == versionedService {
			n++
		}
	}
	return softwareVersions[n%len(softwareVersions)]
}

// retrySlack returns the slack of the retry budget of each service.
func (s *Soak) retrySlack() float64 {
	if s.cfg.Versions {
		return versionsRetrySlack
	}
	return retrySlack
}

// keepTraces writes the traces of the streams that violate a guarantee beside the logs of the
// daemons.
func (s *Soak) keepTraces() {
	traces := s.checker.StreamTraces()
	if traces == "" {
		return
	}
	if err := os.WriteFile(filepath.Join(s.cfg.Dir, traceFile), []byte(traces), 0o600); err != nil {
		s.checker.AddViolation("traces can be written", err.Error())
	}
}

// formatVersionedEvent returns an event that names its stream and the version of its server.
func formatVersionedEvent(stream string, n int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, stream, version)
}

// serveVersionedStream writes the events of a stream after those that the caller has, or breaks
// it off before the first of them.
func (b *backend) serveVersionedStream(w http.ResponseWriter, req *http.Request, id string) {
	stream := id
	if begun := req.Header.Get(resumesHeader); begun != "" {
		stream = begun
	}
	w.Header().Set("Content-Type", "text/event-stream")
	next := lastEvent(req) + 1
	if next <= versionedEvents && rand.IntN(breakInterval) == 0 {
		b.resetBeforeEvent(w, formatVersionedEvent(stream, next, b.version))
		return
	}
	for n := next; n <= versionedEvents && req.Context().Err() == nil; n++ {
		if writeFlushed(w, formatVersionedEvent(stream, n, b.version)) != nil {
			return
		}
		time.Sleep(versionedEventInterval)
	}
}

func writeFlushed(w http.ResponseWriter, text string) error {
	if _, err := io.WriteString(w, text); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// resetBeforeEvent resets the connection after the head of the response, in half of all cases
// inside the event.
func (b *backend) resetBeforeEvent(w http.ResponseWriter, event string) {
	written := ""
	if rand.IntN(2) == 0 {
		written = event[:rand.IntN(len(event))]
	}
	if writeFlushed(w, written) != nil {
		return // the daemon has closed the connection
	}
	time.Sleep(rand.N(maxBreakDelay))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		b.checker.Count("connection could not be taken over")
		return
	}
	closeWithReset(conn)
	b.checker.Count("streams broken off before an event")
}

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

// nextAttempt returns an attempt at another daemon than that of the latest one. It is the first
// of a new stream if stream is empty.
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
		if err == io.EOF {
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
