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

// fail records a failure at a server, and that servers that were asked for it have not answered
// either, all at one time. It reports whether the instance has become isolated.
func fail(d *isolation.Detector, now time.Duration, address string, listed int) bool {
	d.Failed(isolation.Failure{
		Address: address,
		Begun:   now,
	})
	return d.NoAnswer(now, now, listed)
}

// TestSeveralServersDownAreNoIsolation: an instance that meets servers which are down, and reaches
// others in between, goes on sending.
func TestSeveralServersDownAreNoIsolation(t *testing.T) {
	var d isolation.Detector
	for i := range listed {
		now := time.Duration(i) * 100 * time.Millisecond
		require.False(t, fail(&d, now, fmt.Sprint(i), listed))
		if i%2 == 1 {
			require.False(t, d.Answered(now))
		}
	}
	require.False(t, d.Isolated())
}

// TestOneServerThatFailsAgainAndAgainIsNoIsolation: any number of failures at one server, or at the
// only one, says nothing of the instance.
func TestOneServerThatFailsAgainAndAgainIsNoIsolation(t *testing.T) {
	var d, single isolation.Detector
	for i := range 100 {
		require.False(t, fail(&d, time.Duration(i), "a", listed))
		require.False(t, fail(&single, time.Duration(i), "a", 1))
	}
}

// TestFailuresOverALongTimeAreNoIsolation: an instance with few requests meets one server that is
// down, long after another.
func TestFailuresOverALongTimeAreNoIsolation(t *testing.T) {
	var d isolation.Detector
	for i := range listed {
		require.False(t, fail(&d, time.Duration(i)*1500*time.Millisecond, fmt.Sprint(i), listed))
	}
}

// TestFailuresAloneAreNoIsolation: requests fail at all servers, as requests may crash them. Unless
// servers were asked and none has answered, nothing is concluded.
func TestFailuresAloneAreNoIsolation(t *testing.T) {
	var d isolation.Detector
	for i := range listed {
		d.Failed(isolation.Failure{
			Address: fmt.Sprint(i),
			Begun:   time.Second,
		})
	}
	require.True(t, d.Suspects(time.Second, listed))
	require.False(t, d.Isolated())
	d.Answered(time.Second)
	require.False(t, d.NoAnswer(2*time.Second, time.Second, listed))
	require.False(t, d.Isolated())
}

// TestConnectionsFromBeforeACutDoNotEndIt: a response comes on a connection that was opened before the
// cut and lives on. New connections fail all the same.
func TestConnectionsFromBeforeACutDoNotEndIt(t *testing.T) {
	var d isolation.Detector
	for i := range isolation.MinFailed {
		fail(&d, time.Second, fmt.Sprint(i), listed)
	}
	require.True(t, d.Isolated())
	require.False(t, d.Answered(900*time.Millisecond))
	require.True(t, d.Isolated())
	require.True(t, d.Answered(time.Second))
	require.False(t, d.Isolated())
}

// TestMachineIsolation: the instance is isolated from the moment at which servers that were asked have not
// answered, if it has failed at three within 2 s, or at all of fewer, since the begin of the last
// answered connection; until a connection is answered that was begun after that moment, and only
// then.
func TestMachineIsolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d isolation.Detector
		servers := rapid.IntRange(1, 5).Draw(t, "servers")
		now := time.Duration(0)
		lastFailure := make(map[string]time.Duration)
		answered := -time.Second
		isolated, isolatedAt := false, time.Duration(0)
		earlier := func(t *rapid.T) time.Duration {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			return now - time.Duration(rapid.IntRange(0, 400).Draw(t, "before"))*time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) {
				begun := earlier(t)
				address := fmt.Sprint(rapid.IntRange(0, servers-1).Draw(t, "server"))
				d.Failed(isolation.Failure{
					Address: address,
					Begun:   begun,
				})
				if last, ok := lastFailure[address]; !ok || begun > last {
					lastFailure[address] = begun
				}
			},
			"ask": func(t *rapid.T) {
				begun := earlier(t)
				recent := 0
				for _, at := range lastFailure {
					if now-at <= 2*time.Second && at > answered {
						recent++
					}
				}
				becomes := !isolated && begun > answered && servers > 1 && recent >= min(3, servers)
				require.Equal(t, becomes, d.NoAnswer(now, begun, servers))
				if becomes {
					isolated, isolatedAt = true, now
				}
			},
			"answer": func(t *rapid.T) {
				begun := earlier(t)
				ends := isolated && begun >= isolatedAt
				require.Equal(t, ends, d.Answered(begun))
				require.True(t, d.AnsweredSince(begun))
				isolated = isolated && !ends
				answered = max(answered, begun)
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
