package forwarding_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/forwarding"
)

func instances(n int, domain string, cpuMilli uint32) []forwarding.Instance {
	var out []forwarding.Instance
	for i := range n {
		out = append(out, forwarding.Instance{
			Name:          fmt.Sprint(domain, i),
			FailureDomain: domain,
			CPUMilli:      cpuMilli,
		})
	}
	return out
}

// TestLargeInstancesTakeMore: requests that stay in flight are spread in proportion to the processor
// shares, so that no small instance is flooded.
func TestLargeInstancesTakeMore(t *testing.T) {
	list := append(instances(4, "small", 130), instances(2, "large", 520)...)
	var p forwarding.Picker
	counts := make(map[string]int)
	const requests = 1560
	for range requests {
		i, ok := p.Pick(0, list, "other")
		require.True(t, ok)
		counts[i.Name]++
	}
	for _, i := range list {
		fair := requests * float64(i.CPUMilli) / (4*130 + 2*520)
		require.InDelta(t, fair, float64(counts[i.Name]), 0.25*fair, i.Name)
	}
}

// TestOwnDomainIsPreferred: with equal load, more of the requests stay in the failure domain.
func TestOwnDomainIsPreferred(t *testing.T) {
	list := append(instances(3, "a", 130), instances(3, "b", 130)...)
	var p forwarding.Picker
	near := 0
	for range 1000 {
		i, _ := p.Pick(0, list, "a")
		if i.FailureDomain == "a" {
			near++
		}
		p.Ended(0, i.Name, forwarding.Answered)
	}
	require.Greater(t, near, 600)
}

// TestInstanceThatRefusedGetsNoneForAWhile: it is passed over, also if it is the only one, and then
// tried again.
func TestInstanceThatRefusedGetsNoneForAWhile(t *testing.T) {
	list := instances(2, "a", 0)
	var p forwarding.Picker
	first, ok := p.Pick(0, list, "a")
	require.True(t, ok)
	p.Ended(0, first.Name, forwarding.Refused)
	second, ok := p.Pick(0, list, "a")
	require.True(t, ok)
	require.NotEqual(t, first.Name, second.Name)
	p.Ended(0, second.Name, forwarding.Refused)
	_, ok = p.Pick(400*time.Millisecond, list, "a")
	require.False(t, ok)
	_, ok = p.Pick(500*time.Millisecond, list, "a")
	require.True(t, ok)
}

// TestInstanceThatBreaksConnectionsGetsFewRequests: each request that is sent to it is lost. It is tried
// again at longer and longer intervals, until it answers.
func TestInstanceThatBreaksConnectionsGetsFewRequests(t *testing.T) {
	list := instances(1, "a", 0)
	var p forwarding.Picker
	var sent []time.Duration
	for now := time.Duration(0); now < 25*time.Second; now += 10 * time.Millisecond {
		if _, ok := p.Pick(now, list, "a"); ok {
			sent = append(sent, now)
			p.Ended(now, list[0].Name, forwarding.Broken)
		}
	}
	const second = time.Second
	require.Equal(t, []time.Duration{0, second / 2, 3 * second / 2, 7 * second / 2, 15 * second / 2, 31 * second / 2, 47 * second / 2}, sent)
	_, ok := p.Pick(40*second, list, "a")
	require.True(t, ok)
	p.Ended(40*second, list[0].Name, forwarding.Answered)
	_, ok = p.Pick(40*second, list, "a")
	require.True(t, ok)
	p.Ended(40*second, list[0].Name, forwarding.Broken)
	_, ok = p.Pick(40*second+second/2, list, "a")
	require.True(t, ok)
}
