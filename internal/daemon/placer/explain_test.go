package placer_test

// This file tests that an explanation comes from the decider.

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge/peer"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
)

// ExplainPlacement serves the explanations of an instance, as peerserver does.
func (i *instance) ExplainPlacement(_ context.Context, r *pb.ExplainPlacementRequest) (*pb.ExplainPlacementResponse, error) {
	b, err := json.Marshal(i.placer.Schedulers().ExplainAsk(r.GetAsk()))
	return &pb.ExplainPlacementResponse{
		Json: b,
	}, err
}

// TestExplanationComesFromTheDecider: the decider knows which engine has a prefix cached, and an
// instance that has seen no request of it does not.
func TestExplanationComesFromTheDecider(t *testing.T) {
	fleet, order, v := startFleet(t, 3, 0, nil, nil)
	g, err := fleet[order[1]].placer.Place(t.Context(), service, newRequest(100, 1))
	require.NoError(t, err)
	g.Report(scheduler.Report{
		Event: scheduler.Started,
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	peers, closePeers := peer.New(nil)
	defer closePeers()
	p, stop := placer.New(placer.Config{
		Now:         func() time.Duration { return time.Second },
		RetryWindow: 10 * time.Second,
		Instance:    order[2],
		Peers:       peers,
		Explainer:   peers,
		Logger:      log,
	})
	defer stop()
	p.Update(v)
	out, err := p.Explain(t.Context(), service, newRequest(100, 2))
	require.NoError(t, err)
	require.Equal(t, order[0], out.Decider)
	require.Equal(t, scheduler.WouldGrant, out.Outcome)
	require.Equal(t, g.Server, out.Server)
	require.Equal(t, 8500, out.Candidates[0].CachedTokens)
	require.Len(t, out.Candidates, 3)
	fleet[order[0]].stop()
	_, err = p.Explain(t.Context(), service, newRequest(100, 3))
	require.Error(t, err, "the decider does not answer")
}
