package placer_test

// This file tests that hedges are decided by the decider, and by no other instance.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/rules/parse"
)

// placeAndFinish sends requests through an instance, so that hedges have a budget.
func placeAndFinish(t *testing.T, p *placer.Placer, n int) {
	t.Helper()
	for range n {
		g, err := p.Place(t.Context(), service, scheduler.Request{
			MaxWait: time.Second,
		})
		require.NoError(t, err)
		g.Report(scheduler.Report{
			Event: scheduler.Done,
		})
	}
}

// TestHedgeIsDecidedByTheDecider: an instance gets a copy from the decider, on another server.
// Once the decider does not answer, it gets none, although its own schedulers would have room.
func TestHedgeIsDecidedByTheDecider(t *testing.T) {
	fleet, order, v := startFleet(t, 3, 0, nil, nil)
	rules := "service llm type=engine slots=8 cache-tokens=100000 hedge=50% # t: t\n"
	f, err := parse.Rules("r", []byte(rules))
	require.NoError(t, err)
	v = v.WithRules(2, []byte(rules), f)
	for _, in := range fleet {
		in.placer.Update(v)
	}
	p := fleet[order[2]].placer
	placeAndFinish(t, p, 10)
	first, err := p.Place(t.Context(), service, scheduler.Request{
		MaxWait: time.Second,
	})
	require.NoError(t, err)
	copied := scheduler.Request{
		Tried: []string{first.Server},
	}
	g, err := p.PlaceHedge(t.Context(), service, copied)
	require.NoError(t, err)
	require.Equal(t, order[0], g.Decider)
	require.NotEqual(t, first.Server, g.Server)
	require.NotEmpty(t, g.Address)

	fleet[order[0]].stop()
	require.Eventually(t, func() bool {
		_, err := p.PlaceHedge(t.Context(), service, copied)
		return err != nil
	}, 2*time.Second, 10*time.Millisecond)
	placeAndFinish(t, p, 10)
	_, err = p.PlaceHedge(t.Context(), service, copied)
	require.Error(t, err, "neither the next instance nor this one grants a copy")
}
