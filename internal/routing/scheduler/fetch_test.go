package scheduler_test

// This file tests requests whose prefix is cached on another server than the one that
// runs them.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/scheduler"
)

func newFetchScheduler(domains ...string) (*scheduler.Scheduler, []scheduler.Server) {
	s := scheduler.New(scheduler.Service{
		Name:            "llm",
		Engine:          true,
		Slots:           8,
		CacheTokens:     100_000,
		FetchesPrefixes: true,
		LoadBound:       2,
		RetryWindow:     10 * time.Second,
	})
	var servers []scheduler.Server
	for i, d := range domains {
		servers = append(servers, scheduler.Server{
			Name:          string(rune('a' + i)),
			FailureDomain: d,
			Accepting:     true,
		})
	}
	s.SetServers(0, servers)
	return s, servers
}

// TestPrefixFetchedFromClosedServer checks that a request whose prefix is cached on a
// server that takes no new work fetches the prefix from there instead of prefilling
// it again.
func TestPrefixFetchedFromClosedServer(t *testing.T) {
	s, servers := newFetchScheduler("x", "x", "y")
	first, _ := s.Schedule(0, scheduler.Request{ID: 1, Parts: prompt(100, 1001), MaxWait: time.Second})
	require.Empty(t, first.FetchFrom)
	reportDone(s, 100*time.Millisecond, 1)
	for i := range servers {
		servers[i].Accepting = servers[i].Name != first.Server
	}
	s.SetServers(0, servers)
	next, _ := s.Schedule(time.Second, scheduler.Request{ID: 2, Parts: prompt(100, 1002), MaxWait: time.Second})
	require.NotEqual(t, first.Server, next.Server)
	require.Equal(t, first.Server, next.FetchFrom)
	reportDone(s, 1100*time.Millisecond, 2)
	again, _ := s.Schedule(2*time.Second, scheduler.Request{ID: 3, Parts: prompt(100, 1003), MaxWait: time.Second})
	require.Equal(t, next.Server, again.Server)
	require.Empty(t, again.FetchFrom)
}

// TestFetchSource checks that, of two servers with equally long cached prefixes, the
// one in the failure domain of the fetching server is the source, and that no prefix
// is fetched from a server that was unreachable.
func TestFetchSource(t *testing.T) {
	s, servers := newFetchScheduler("x", "x", "y", "y")
	for _, name := range []string{"a", "c"} {
		s.Adopt(0, name, scheduler.Request{
			Parts: prompt(100, 1000)[:2],
		})
	}
	acceptingOnly := func(name string) {
		for i := range servers {
			servers[i].Accepting = name != "" && servers[i].Name == name
		}
		s.SetServers(0, servers)
	}
	acceptingOnly("b")
	d, _ := s.Schedule(0, scheduler.Request{ID: 1, Parts: prompt(100, 1001), MaxWait: time.Second})
	require.Equal(t, "a", d.FetchFrom)
	acceptingOnly("d")
	d, _ = s.Schedule(0, scheduler.Request{ID: 2, Parts: prompt(100, 1002), MaxWait: time.Second})
	require.Equal(t, "c", d.FetchFrom)

	s, _ = newFetchScheduler("x", "x")
	d, _ = s.Schedule(0, scheduler.Request{ID: 1, Parts: prompt(100, 1001), MaxWait: time.Second})
	s.Report(time.Millisecond, 1, scheduler.Report{Event: scheduler.Unreachable})
	d, _ = s.Schedule(2*time.Millisecond, scheduler.Request{ID: 2, Parts: prompt(100, 1002), Tried: []string{d.Server}, MaxWait: time.Second})
	require.NotEmpty(t, d.Server)
	require.Empty(t, d.FetchFrom)
}

// TestFetchOnlyWhatWasRead: a prefix is fetched only from a server that has read it to
// its end; until then the decision says that it is being read.
func TestFetchOnlyWhatWasRead(t *testing.T) {
	s := scheduler.New(scheduler.Service{
		Name:            "llm",
		Engine:          true,
		Slots:           1,
		CacheTokens:     100_000,
		FetchesPrefixes: true,
		LoadBound:       2,
		RetryWindow:     10 * time.Second,
	})
	listServers(s, 3, 0)
	schedule := func(id uint64) scheduler.Decision {
		d, ok := s.Schedule(0, scheduler.Request{ID: id, Parts: prompt(100, 1000+id), MaxWait: time.Second})
		require.True(t, ok)
		return d
	}
	first := schedule(1)
	require.Equal(t, scheduler.ReuseCached, first.Reuse)
	second := schedule(2)
	require.NotEqual(t, first.Server, second.Server)
	require.Empty(t, second.FetchFrom)
	require.Equal(t, scheduler.ReuseBeingRead, second.Reuse)
	require.Equal(t, 8500, second.RereadTokens)
	reportStarted(s, 0, 1)
	third := schedule(3)
	require.Equal(t, first.Server, third.FetchFrom)
	require.Equal(t, scheduler.ReuseFetched, third.Reuse)
	require.Zero(t, third.RereadTokens)
}
