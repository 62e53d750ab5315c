package soak

// This file defines backend servers of two software versions in one service, which break off
// streams before their first events.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"time"
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
	// versionedEvents is the number of events of a stream.
	versionedEvents        = 20
	versionedEventInterval = 15 * time.Millisecond
	// One in breakInterval executions breaks off before its first event, at most maxBreakDelay
	// after the head of its response.
	breakInterval = 3
	maxBreakDelay = 20 * time.Millisecond
	// traceFile is the file with the traces of streams, below the directory of the soak.
	traceFile = "streams.txt"
)

// softwareVersions are the versions of the servers' software. Servers of other services and
// configurations are of the first.
var softwareVersions = [...]string{"v1", "v2"}

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
