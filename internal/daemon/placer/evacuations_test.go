package placer_test

// This file tests that an instance sends nothing to evacuated failure domains, whatever the
// decider has received.

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/view"
)

// newDomainFleet starts a fleet whose engine e0 is in failure domain a, and e1 and e2 in b.
func newDomainFleet(t *testing.T, n int, c *caches) (map[string]*instance, []string, *view.View) {
	t.Helper()
	var reader edge.CacheReader
	if c != nil {
		reader = c
	}
	fleet, order, v := startFleet(t, n, 0, reader, nil)
	v = v.WithTables(2, false, []*pb.BackendServer{server("e0", "a"), server("e1", "b"), server("e2", "b")}, nil)
	for _, in := range fleet {
		in.placer.Update(v)
	}
	return fleet, order, v
}

func server(name, domain string) *pb.BackendServer {
	return &pb.BackendServer{
		Name:          name,
		Service:       service,
		Address:       name + ":1",
		FailureDomain: domain,
	}
}

func evacuate(v *view.View, domain string, active bool) *view.View {
	return v.WithEvacuations(false, []*pb.Evacuation{{
		FailureDomain: domain,
		Active:        active,
	}})
}

// TestStaleDeciderSendsNothingToEvacuatedDomain: an instance has an evacuation that has not
// reached the decider. The decider must grant its requests other servers at once; those of
// the decider itself still go everywhere.
func TestStaleDeciderSendsNothingToEvacuatedDomain(t *testing.T) {
	fleet, order, v := newDomainFleet(t, 3, nil)
	requester := fleet[order[2]].placer
	requester.Update(evacuate(v, "b", true))
	for n := range uint64(8) {
		g, err := requester.Place(t.Context(), service, newRequest(100+n, 1000+n))
		require.NoError(t, err)
		require.Equal(t, "e0", g.Server)
		require.Equal(t, order[0], g.Decider)
		require.Zero(t, g.Withdrawn)
	}
	g, err := fleet[order[0]].placer.Place(t.Context(), service, newRequest(200, 2000))
	require.NoError(t, err)
	require.NotEqual(t, "e0", g.Server)
}

// TestOldDeciderSendsNothingToEvacuatedDomain: the decider is of a build that does not read
// the excluded domains of a request. The instance withdraws its grant and gets another one.
func TestOldDeciderSendsNothingToEvacuatedDomain(t *testing.T) {
	fleet, order, v := newDomainFleet(t, 3, nil)
	fleet[order[0]].ignoresExclusions.Store(true)
	requester := fleet[order[2]].placer
	requester.Update(evacuate(v, "b", true))
	withdrawn := 0
	for n := range uint64(6) {
		g, err := requester.Place(t.Context(), service, newRequest(100+n, 1000+n))
		require.NoError(t, err)
		require.Equal(t, "e0", g.Server)
		withdrawn += g.Withdrawn
	}
	require.NotZero(t, withdrawn)
}

// TestGrantedRequestIsPlacedAnew: a request waits at a decider that does not have the
// evacuation yet, which begins at the instance of the request meanwhile. The decider grants
// it a slot in the evacuated domain, and the instance must place it again.
func TestGrantedRequestIsPlacedAnew(t *testing.T) {
	fleet, order, v := newDomainFleet(t, 3, nil)
	requester := fleet[order[2]].placer
	var inA, inB []*placer.Grant
	for n := range uint64(24) {
		g, err := requester.Place(t.Context(), service, newRequest(100+n, 1000+n))
		require.NoError(t, err)
		if g.Server == "e0" {
			inA = append(inA, g)
		} else {
			inB = append(inB, g)
		}
	}
	type result struct {
		grant *placer.Grant
		err   error
	}
	results := make(chan result, 1)
	go func() {
		req := newRequest(300, 3000)
		req.MaxWait = 5 * time.Second
		g, err := requester.Place(context.Background(), service, req)
		results <- result{grant: g, err: err}
	}()
	time.Sleep(100 * time.Millisecond)
	requester.Update(evacuate(v, "b", true))
	done := scheduler.Report{
		Event: scheduler.Done,
	}
	inB[0].Report(done)
	time.Sleep(100 * time.Millisecond)
	inA[0].Report(done)
	r := <-results
	require.NoError(t, r.err)
	require.Equal(t, "e0", r.grant.Server)
	require.Equal(t, 1, r.grant.Withdrawn)
}

// TestAloneInstanceObeysItsView: no decider answers, and the instance decides alone.
func TestAloneInstanceObeysItsView(t *testing.T) {
	fleet, order, v := newDomainFleet(t, 4, nil)
	for _, name := range order[:2] {
		fleet[name].stop()
	}
	alone := fleet[order[3]].placer
	alone.Update(evacuate(v, "b", true))
	decidedAlone := 0
	for n := range uint64(6) {
		g, err := alone.Place(t.Context(), service, newRequest(100+n, 1000+n))
		require.NoError(t, err)
		require.Equal(t, "e0", g.Server)
		if g.Alone {
			decidedAlone++
		}
	}
	require.NotZero(t, decidedAlone)
}

// TestQueueIsRefusedOnceAllIsEvacuated: a request waits while its instance learns that all
// failure domains are evacuated. It is refused well before its time is up, with the time
// after which to retry.
func TestQueueIsRefusedOnceAllIsEvacuated(t *testing.T) {
	fleet, order, v := newDomainFleet(t, 1, nil)
	p := fleet[order[0]].placer
	for n := range uint64(24) {
		_, err := p.Place(t.Context(), service, newRequest(100+n, 1000+n))
		require.NoError(t, err)
	}
	errs := make(chan error, 1)
	go func() {
		req := newRequest(300, 3000)
		req.MaxWait = time.Minute
		_, err := p.Place(context.Background(), service, req)
		errs <- err
	}()
	time.Sleep(50 * time.Millisecond)
	p.Update(evacuate(evacuate(v, "a", true), "b", true))
	select {
	case err := <-errs:
		var f *fault.Fault
		require.ErrorAs(t, err, &f)
		require.Equal(t, fault.NoEngine, f.Kind)
		require.NotZero(t, f.RetryAfter)
	case <-time.After(10 * time.Second):
		t.Fatal("the request still waits")
	}
}

// TestServerThatJoinsEvacuatedDomain: the platform starts a server in a failure domain while
// that is evacuated. It gets nothing until the evacuation ends, and then does.
func TestServerThatJoinsEvacuatedDomain(t *testing.T) {
	fleet, order, v := newDomainFleet(t, 1, nil)
	p := fleet[order[0]].placer
	v = evacuate(v, "c", true).WithTables(3, false, []*pb.BackendServer{server("e3", "c")}, nil)
	servers := func(first uint64) map[string]bool {
		used := make(map[string]bool)
		for n := range uint64(12) {
			g, err := p.Place(t.Context(), service, newRequest(first+n, first+n))
			require.NoError(t, err)
			used[g.Server] = true
			defer g.Report(scheduler.Report{
				Event: scheduler.Done,
			})
		}
		return used
	}
	p.Update(v)
	require.Equal(t, map[string]bool{"e0": true, "e1": true, "e2": true}, servers(1000))
	p.Update(evacuate(v, "c", false))
	require.Contains(t, servers(2000), "e3")
}

// TestEvacuatedEngineIsNotQueried: a new decider queries the engines for their cached
// prefixes, which an evacuated engine must not receive either.
func TestEvacuatedEngineIsNotQueried(t *testing.T) {
	c := &caches{}
	fleet, order, v := newDomainFleet(t, 1, c)
	p := fleet[order[0]].placer
	p.Update(evacuate(v, "b", true))
	_, err := p.Place(t.Context(), service, newRequest(100, 1))
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	require.EqualValues(t, 1, c.queries.Load())
}
