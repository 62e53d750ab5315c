package placer_test

// This file tests that a quarantine found by the decider holds at every instance.

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/placer"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
)

// recorder stands in for the log of the control group.
type recorder struct {
	mu   sync.Mutex
	rows []*pb.Quarantine
	// failures is how often recording still fails.
	failures int
}

func (r *recorder) record(_ context.Context, q *pb.Quarantine) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures > 0 {
		r.failures--
		return fault.New(fault.NoQuorum, "", "")
	}
	r.rows = append(r.rows, q)
	return nil
}

func (r *recorder) recorded() []*pb.Quarantine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows
}

// endEngines sends requests with a prompt prefix that each end their engine.
func endEngines(t *testing.T, p *placer.Placer, prefix uint64) {
	t.Helper()
	for i := range uint64(3) {
		g, err := p.Place(t.Context(), service, newRequest(prefix, 9000+i))
		require.NoError(t, err)
		g.Report(scheduler.Report{
			Event: scheduler.Started,
		})
		time.Sleep(10 * time.Millisecond)
		g.Report(scheduler.Report{
			Event: scheduler.Down,
		})
		time.Sleep(150 * time.Millisecond)
	}
}

// TestQuarantineOutlivesTheDecider: the decider stops after it has recorded a quarantine.
// The other instances, which have received the record, refuse the prompt at once, and
// take prompts without the part.
func TestQuarantineOutlivesTheDecider(t *testing.T) {
	rec := &recorder{
		failures: 1,
	}
	fleet, order, v := newRecordingFleet(t, 4, rec.record)
	requester := fleet[order[3]].placer
	endEngines(t, requester, 100)
	_, err := requester.Place(t.Context(), service, newRequest(100, 1))
	require.Equal(t, fault.PromptQuarantined, fault.KindOf(err))
	require.False(t, fault.MayHaveRun(err))
	require.Eventually(t, func() bool { return len(rec.recorded()) == 1 }, 5*time.Second, 10*time.Millisecond)
	require.Contains(t, rec.recorded()[0].GetParts(), uint64(100))
	next := v.WithQuarantines(false, rec.recorded())
	for _, in := range fleet {
		in.placer.Update(next)
	}
	fleet[order[0]].stop()
	fleet[order[1]].stop()
	_, err = requester.Place(t.Context(), service, newRequest(100, 2))
	require.Equal(t, fault.PromptQuarantined, fault.KindOf(err))
	_, err = requester.Place(t.Context(), service, newRequest(200, 3))
	require.NoError(t, err)
	released := next.WithQuarantines(false, []*pb.Quarantine{{
		Service:  service,
		Id:       rec.recorded()[0].GetId(),
		Released: true,
	}})
	for _, in := range fleet {
		in.placer.Update(released)
	}
	_, err = requester.Place(t.Context(), service, newRequest(100, 4))
	require.NoError(t, err, "an operator has released it")
}

// requestWith returns a request without a prompt.
func requestWith(fingerprint uint64) scheduler.Request {
	return scheduler.Request{
		Fingerprint: fingerprint,
		MaxWait:     time.Second,
	}
}

// crashServersWith sends a request from one instance after the other until it is refused, each time
// to a server that crashes, and returns how many did and the refusal.
func crashServersWith(t *testing.T, requesters []*placer.Placer, fingerprint uint64) (int, error) {
	t.Helper()
	for n := 0; ; n++ {
		g, err := requesters[n%len(requesters)].Place(t.Context(), service, requestWith(fingerprint))
		if err != nil {
			return n, err
		}
		g.Report(scheduler.Report{
			Event: scheduler.Down,
		})
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRequestQuarantineOutlivesTheDecider: one request crashes servers, each time from another
// instance. It is quarantined after the second for all instances, also those that decide alone
// once the deciders have stopped, until an operator ends it; a trial crashes a third server.
func TestRequestQuarantineOutlivesTheDecider(t *testing.T) {
	const fingerprint = 99
	rec := &recorder{
		failures: 1,
	}
	fleet, order, v := newRecordingFleet(t, 4, rec.record)
	requesters := []*placer.Placer{fleet[order[2]].placer, fleet[order[3]].placer}
	crashed, err := crashServersWith(t, requesters, fingerprint)
	require.Equal(t, 2, crashed)
	var held *fault.Fault
	require.ErrorAs(t, err, &held)
	require.Equal(t, fault.RequestQuarantined, held.Kind)
	require.False(t, fault.MayHaveRun(err))
	time.Sleep(held.RetryAfter + 100*time.Millisecond)
	crashed, err = crashServersWith(t, requesters, fingerprint)
	require.Equal(t, 1, crashed)
	require.Equal(t, fault.RequestQuarantined, fault.KindOf(err))
	require.Eventually(t, func() bool { return len(rec.recorded()) == 2 }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, uint32(1), rec.recorded()[1].GetFailedTrials())
	require.True(t, rec.recorded()[0].GetWholeRequest())
	next := v.WithQuarantines(false, rec.recorded())
	for _, in := range fleet {
		in.placer.Update(next)
	}
	fleet[order[0]].stop()
	fleet[order[1]].stop()
	for _, p := range requesters {
		_, err = p.Place(t.Context(), service, requestWith(fingerprint))
		require.Equal(t, fault.RequestQuarantined, fault.KindOf(err))
		_, err = p.Place(t.Context(), service, requestWith(fingerprint+1))
		require.NoError(t, err)
	}
	released := next.WithQuarantines(false, []*pb.Quarantine{{
		Service:  service,
		Id:       rec.recorded()[0].GetId(),
		Released: true,
	}})
	for _, in := range fleet {
		in.placer.Update(released)
	}
	_, err = requesters[0].Place(t.Context(), service, requestWith(fingerprint))
	require.NoError(t, err, "an operator has released it")
}

// TestNextDeciderKnowsOfCrashes guards against a decider that takes over and waits for two crashes of its
// own: the decider is lost after each crash.
func TestNextDeciderKnowsOfCrashes(t *testing.T) {
	const fingerprint = 99
	rec := &recorder{}
	fleet, order, _ := newRecordingFleet(t, 5, rec.record)
	requester := fleet[order[4]].placer
	for i := range 2 {
		g, err := requester.Place(t.Context(), service, requestWith(fingerprint))
		require.NoError(t, err)
		g.Report(scheduler.Report{
			Event: scheduler.Down,
		})
		time.Sleep(100 * time.Millisecond)
		fleet[order[i]].stop()
	}
	_, err := requester.Place(t.Context(), service, requestWith(fingerprint))
	require.Equal(t, fault.RequestQuarantined, fault.KindOf(err))
	_, err = requester.Place(t.Context(), service, requestWith(fingerprint+1))
	require.NoError(t, err)
}
