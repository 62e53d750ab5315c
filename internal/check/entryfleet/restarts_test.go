package entryfleet

// This file tests servers that leave and start anew under their names, at their addresses.

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServersThatRestartUnseenAreServedAgain guards against servers that got no requests ever again: they
// said that they leave, and restarted, while the platform's list showed them as ready all along.
// Until they have restarted they get nothing after the drain time.
func TestServersThatRestartUnseenAreServedAgain(t *testing.T) {
	const (
		drain = 3 * time.Second
		// recovery is the time within which all is served as before.
		recovery = 12 * time.Second
		// maxHealthChecks is the most health checks that a server gets in the 7 s in which it leaves: those
		// after 4, 5 and 7 s. Two of the three instances decide; a change of the deciders adds the third.
		maxHealthChecks = 9
	)
	for service, path := range map[string]string{"app": "/p/x", "llm": "/chat/x"} {
		t.Run(service, func(t *testing.T) {
			var servers []*pausingServer
			var entries []string
			for n := range 4 {
				s := newPausingServer(t, fmt.Sprintf("%s-%d", service, n), service, 0)
				servers = append(servers, s)
				entries = append(entries, s.entry())
			}
			f := newFleetOf(t, entries...)
			f.requireAccepted(1, 7, "k1")
			for i := 1; i <= 3; i++ {
				f.requirePathServes(i, path, "k1")
			}
			restarted := servers[:2]
			for _, s := range restarted {
				s.leaving.Store(true)
			}
			f.loadUntil(path, 7*time.Second, func() bool { return false })
			for _, s := range restarted {
				require.NotEmpty(t, s.announced)
				require.Zero(t, s.afterDrain(drain), "requests reached the server after the drain time")
				require.LessOrEqual(t, s.healthCheckCount(), maxHealthChecks)
				s.leaving.Store(false)
				s.server.CloseClientConnections()
			}
			begun := time.Now()
			f.loadUntil(path, recovery, func() bool {
				return len(restarted[0].arrivedFrom(begun)) == 3 && len(restarted[1].arrivedFrom(begun)) == 3
			})
			for _, s := range restarted {
				arrived := s.arrivedFrom(begun)
				t.Logf("%s: arrived from each instance after %v: %v, %d health checks", s.id, time.Since(begun), arrived, s.healthCheckCount())
				require.Len(t, arrived, 3, "an instance sends nothing")
			}
		})
	}
}

// loadUntil sends requests to instances at random, for a time at most or until done returns true.
func (f *fleet) loadUntil(path string, most time.Duration, done func() bool) {
	draw := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	begun := time.Now()
	for n := 0; time.Since(begun) < most && !done(); n++ {
		i := 1 + draw.IntN(3)
		wg.Go(func() { f.sendPath(i, path, fmt.Sprintf("e%d-%d-%d", i, begun.UnixMilli(), n), "k1") })
		time.Sleep(pushbackPace)
	}
	wg.Wait()
}

func (s *pausingServer) healthCheckCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthChecks
}

// arrivedFrom returns how many requests of each instance have arrived since a time.
func (s *pausingServer) arrivedFrom(begin time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int)
	for instance, times := range s.arrivals {
		for _, at := range times {
			if at.After(begin) && strings.HasPrefix(instance, "e") {
				out[instance]++
			}
		}
	}
	return out
}
