package ingress_test

// This file tests the explanation of what would be decided on a request.

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/routing/scheduler"
)

// TestExplainSendsNothing: an explanation names route, account and servers, and no server gets
// a request. The request that follows goes to the server that was named.
func TestExplainSendsNothing(t *testing.T) {
	e := newTestEnv(t, respondOK, respondOK)
	out, err := e.handler.Explain(t.Context(), "h", "/read/x?y=1", "acme", edge.Request{})
	require.NoError(t, err)
	require.Zero(t, e.requestCount())
	require.Equal(t, "read", out.Route)
	require.Equal(t, "s", out.Service)
	require.Equal(t, "acme", out.Account)
	require.EqualValues(t, 2000, out.TimeoutMs)
	require.True(t, out.RulesFresh)
	require.True(t, out.Repeatable)
	require.Equal(t, scheduler.WouldGrant, out.Placement.Outcome)
	require.Len(t, out.Placement.Candidates, 2)
	require.Equal(t, http.StatusOK, e.status("/read/x"))
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, []string{out.Placement.Server}, e.received)
}

// TestExplainWait: while all slots are taken, a request would wait, or be refused if it may not
// wait for so long.
func TestExplainWait(t *testing.T) {
	release := make(chan struct{})
	e := newTestEnvWithSlots(t, 1, func(c net.Conn, r *http.Request) {
		<-release
		respondOK(c, r)
	})
	for range 2 {
		go func() { _, _, _ = e.do("/read/x") }()
	}
	require.Eventually(t, func() bool { return e.requestCount() == 2 }, 5*time.Second, time.Millisecond)
	explain := func(timeout time.Duration) *scheduler.Explanation {
		out, err := e.handler.Explain(t.Context(), "h", "/read/x", "", edge.Request{
			APIKey:  "secret",
			Timeout: timeout,
		})
		require.NoError(t, err)
		require.Equal(t, "acme", out.Account)
		return &out.Placement.Explanation
	}
	long, short := explain(2*time.Second), explain(100*time.Millisecond)
	close(release)
	require.Equal(t, scheduler.WouldWait, long.Outcome)
	require.Equal(t, []string{scheduler.NoSlot}, long.Candidates[0].LeftOut)
	require.Equal(t, scheduler.WouldRefuse, short.Outcome)
	require.Equal(t, scheduler.Overloaded, short.Refusal)
}

// TestExplainFailsLikeTheRequest: what the rules refuse has the failure that a caller gets.
func TestExplainFailsLikeTheRequest(t *testing.T) {
	e := newTestEnv(t, respondOK)
	for kind, c := range map[string]struct{ path, account, key string }{
		fault.UnknownRoute: {"/nowhere/", "", "secret"},
		fault.UnknownKey:   {"/read/", "", "wrong"},
		fault.BadRequest:   {"/read/", "nobody", ""},
	} {
		_, err := e.handler.Explain(t.Context(), "h", c.path, c.account, edge.Request{
			APIKey: c.key,
		})
		require.Equal(t, kind, fault.KindOf(err))
	}
}
