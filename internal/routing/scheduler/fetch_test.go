package scheduler_test

// This file replays requests whose prefix is kept elsewhere than where they run.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

func fetching(domains ...string) (*scheduler.Scheduler, []scheduler.Server) {
	s := scheduler.New(scheduler.Service{
		Name:        "llm",
		Engine:      true,
		Slots:       8,
		CacheTokens: 100_000,
		Fetches:     true,
		Bound:       2,
		RetryWindow: 10 * time.Second,
	})
	var servers []scheduler.Server
	for i, d := range domains {
		servers = append(servers, scheduler.Server{
			Name:          string(rune('a' + i)),
			FailureDomain: d,
			Open:          true,
		})
	}
	s.SetServers(servers)
	return s, servers
}

// TestLeavingServerGivesItsPrefix: a subject whose home leaves is read from there,
// not anew.
func TestLeavingServerGivesItsPrefix(t *testing.T) {
	s, servers := fetching("x", "x", "y")
	first, _ := s.Ask(0, scheduler.Ask{ID: 1, Parts: prompt(100, 1001), Wait: time.Second})
	require.Empty(t, first.FetchFrom)
	done(s, 100*time.Millisecond, 1)
	for i := range servers {
		servers[i].Open = servers[i].Name != first.Server
	}
	s.SetServers(servers)
	next, _ := s.Ask(time.Second, scheduler.Ask{ID: 2, Parts: prompt(100, 1002), Wait: time.Second})
	require.NotEqual(t, first.Server, next.Server)
	require.Equal(t, first.Server, next.FetchFrom)
	done(s, 1100*time.Millisecond, 2)
	again, _ := s.Ask(2*time.Second, scheduler.Ask{ID: 3, Parts: prompt(100, 1003), Wait: time.Second})
	require.Equal(t, next.Server, again.Server)
	require.Empty(t, again.FetchFrom)
}

// TestFetchSource: nothing is read from a server that was found down, and of two
// that keep as much the one in the failure domain of the reader gives it.
func TestFetchSource(t *testing.T) {
	s, servers := fetching("x", "x", "y", "y")
	for _, name := range []string{"a", "c"} {
		s.Adopt(0, 0, name, prompt(100, 1000)[:2])
	}
	closed := func(names string) {
		for i := range servers {
			servers[i].Open = names != "" && servers[i].Name == names
		}
		s.SetServers(servers)
	}
	closed("b")
	d, _ := s.Ask(0, scheduler.Ask{ID: 1, Parts: prompt(100, 1001), Wait: time.Second})
	require.Equal(t, "a", d.FetchFrom)
	closed("d")
	d, _ = s.Ask(0, scheduler.Ask{ID: 2, Parts: prompt(100, 1002), Wait: time.Second})
	require.Equal(t, "c", d.FetchFrom)

	s, _ = fetching("x", "x")
	d, _ = s.Ask(0, scheduler.Ask{ID: 1, Parts: prompt(100, 1001), Wait: time.Second})
	s.Report(time.Millisecond, 1, scheduler.Report{Event: scheduler.Unreachable})
	d, _ = s.Ask(2*time.Millisecond, scheduler.Ask{ID: 2, Parts: prompt(100, 1002), Tried: []string{d.Server}, Wait: time.Second})
	require.NotEmpty(t, d.Server)
	require.Empty(t, d.FetchFrom)
}
