// Package plain simulates a plain service. It counts how often each request key
// was executed, so that a test can detect duplicate executions.
package plain

// This file defines Service.

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Service is a simulated service; the zero value works.
type Service struct {
	// Delay is the duration of a call.
	Delay time.Duration

	mu         sync.Mutex
	executions map[string]int
	calls      int
	refuseNext int
}

// ServeHTTP serves calls under /call/ and the execution counts under /counts. Each
// request to /refuse makes one more of the next calls fail with status 503 and
// the Not-Run header, without being executed.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/call/"):
		s.call(w, r)
	case r.URL.Path == "/counts":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.executions)
	case r.URL.Path == "/refuse":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refuseNext++
	default:
		http.NotFound(w, r)
	}
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "request body truncated", http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	if s.refuseNext > 0 {
		s.refuseNext--
		s.mu.Unlock()
		w.Header().Set("Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.executions == nil {
		s.executions = make(map[string]int)
	}
	s.calls++
	if key != "" {
		s.executions[key]++
	}
	s.mu.Unlock()
	time.Sleep(s.Delay)
	_, _ = w.Write(append([]byte("ok "), body...))
}

// Executions returns how often calls with the given request key were executed.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}
