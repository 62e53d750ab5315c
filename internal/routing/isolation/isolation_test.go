package isolation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/routing/isolation"
)

const listed = 8

// TestSeveralServersDownAreNoIsolation: an instance that meets servers which are down, and reaches
// others in between, goes on sending.
func TestSeveralServersDownAreNoIsolation(t *testing.T) {
	var d isolation.Detector
	for i := range listed {
		now := time.Duration(i) * 100 * time.Millisecond
		require.False(t, d.Failed(now, fmt.Sprint(i), listed))
		if i%2 == 1 {
			require.False(t, d.Connected(now))
		}
	}
	require.False(t, d.Isolated())
}

// TestOneServerThatFailsAgainAndAgainIsNoIsolation: any number of failures at one server, or at the
// only one, says nothing of the instance.
func TestOneServerThatFailsAgainAndAgainIsNoIsolation(t *testing.T) {
	var d, single isolation.Detector
	for i := range 100 {
		require.False(t, d.Failed(time.Duration(i), "a", listed))
		require.False(t, single.Failed(time.Duration(i), "a", 1))
	}
}

// TestFailuresOverALongTimeAreNoIsolation: an instance with few requests meets one server that is
// down, long after another.
func TestFailuresOverALongTimeAreNoIsolation(t *testing.T) {
	var d isolation.Detector
	for i := range listed {
		require.False(t, d.Failed(time.Duration(i)*1500*time.Millisecond, fmt.Sprint(i), listed))
	}
}

// TestMachineIsolation: the instance is isolated from the moment at which it has failed at three servers
// within 2 s, or at all of fewer, until a connection opens, and only then.
func TestMachineIsolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d isolation.Detector
		servers := rapid.IntRange(1, 5).Draw(t, "servers")
		now := time.Duration(0)
		lastFailure := make(map[string]time.Duration)
		isolated := false
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
				address := fmt.Sprint(rapid.IntRange(0, servers-1).Draw(t, "server"))
				lastFailure[address] = now
				recent := 0
				for _, at := range lastFailure {
					if now-at <= 2*time.Second {
						recent++
					}
				}
				becomes := !isolated && servers > 1 && recent >= min(3, servers)
				require.Equal(t, becomes, d.Failed(now, address, servers))
				isolated = isolated || becomes
			},
			"connect": func(t *rapid.T) {
				begun := now - time.Duration(rapid.IntRange(0, 400).Draw(t, "ms"))*time.Millisecond
				require.Equal(t, isolated, d.Connected(begun))
				require.True(t, d.ConnectedSince(begun))
				isolated = false
				clear(lastFailure)
			},
			"": func(t *rapid.T) { require.Equal(t, isolated, d.Isolated()) },
		})
	})
}

// TestSampleSpansServicesAndDomains: a service or a failure domain that is down as a whole leaves a
// server of another one in the sample.
func TestSampleSpansServicesAndDomains(t *testing.T) {
	var servers []isolation.Server
	for i := range 60 {
		servers = append(servers, isolation.Server{
			Address:       fmt.Sprint("m", i),
			Service:       "model",
			FailureDomain: fmt.Sprint(i % 3),
		})
	}
	servers = append(servers, isolation.Server{
		Address:       "p",
		Service:       "plain",
		FailureDomain: "0",
	})
	for range 100 {
		domains := make(map[string]bool)
		groups := make(map[isolation.Server]bool)
		for _, s := range isolation.Sample(servers, "m1", 3) {
			require.NotEqual(t, "m1", s.Address)
			domains[s.FailureDomain] = true
			s.Address = ""
			groups[s] = true
		}
		require.Len(t, groups, 3)
		require.Greater(t, len(domains), 1)
	}
	require.Empty(t, isolation.Sample(servers[:1], "m0", 3))
}
