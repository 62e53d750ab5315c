package router

// This file tests that an engine learns when its attempt is given up.

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/workers"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// breakingEngine ends each stream after one frame, without its last one, and runs on until
// the request is cancelled.
type breakingEngine struct {
	edge.Engine
	cancelled chan string
}

func (e *breakingEngine) Infer(_ context.Context, _ string, r *pb.InferRequest) (edge.Frames, error) {
	return &brokenFrames{
		frame: &pb.InferResponse{
			RequestId: r.GetRequestId(),
			Sequence:  r.GetResumeFrom(),
		},
	}, nil
}

func (e *breakingEngine) Cancel(_ context.Context, _, id string) error {
	e.cancelled <- id
	return nil
}

// brokenFrames is a stream of one frame that ends without an error.
type brokenFrames struct {
	frame *pb.InferResponse
}

func (f *brokenFrames) Receive() (*pb.InferResponse, bool) {
	frame := f.frame
	f.frame = nil
	return frame, frame != nil
}

func (f *brokenFrames) Err() error { return nil }
func (f *brokenFrames) Close()     {}

// TestGivenUpRequestIsCancelledAtItsEngine: an engine runs on when its stream ends early. It
// is told to stop before the request may go on at another engine.
func TestGivenUpRequestIsCancelledAtItsEngine(t *testing.T) {
	engine := &breakingEngine{
		cancelled: make(chan string, 1),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool, stop := workers.New(1)
	t.Cleanup(stop)
	r := New(Config{
		Engine: engine,
		Pool:   pool,
		Logger: log,
		Now:    func() time.Duration { return 0 },
	})
	server := &pb.BackendServer{
		Name:    "e",
		Service: "s",
	}
	err := r.streamFromEngine(t.Context(), server, 0, &pb.GenerateRequest{
		RequestId: "q",
	}, func(*pb.GenerateResponse) error { return nil })
	require.Equal(t, fault.ShortAnswer, fault.KindOf(err))
	require.Len(t, engine.cancelled, 1)
	require.Equal(t, "q", <-engine.cancelled)
}
