package membership_test

// This file tests how an agent receives evacuations.

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/compress"
	"camphorspoke/internal/base/invariant"
	"camphorspoke/internal/control"
	"camphorspoke/internal/daemon/membership"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// script is a control client that answers heartbeats and reads of the tables with the
// messages set last.
type script struct {
	control.Client

	mu        sync.Mutex
	heartbeat *pb.HeartbeatResponse
	tables    *pb.TablesResponse
}

func (s *script) set(heartbeat *pb.HeartbeatResponse, tables *pb.TablesResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeat, s.tables = heartbeat, tables
}

func (s *script) Heartbeat(context.Context, *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeat, nil
}

func (s *script) Tables(context.Context, *pb.TablesRequest) (*pb.TablesResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables, nil
}

func evacuation(domain string, active bool) []*pb.Evacuation {
	return []*pb.Evacuation{{
		FailureDomain: domain,
		Active:        active,
	}}
}

// TestEvacuationsReachTheView: an evacuation and a rule change arrive in one answer, a second
// evacuation with the whole tables, which an instance reads when it was far behind, and the
// end of the first in a later answer. The view has each of them.
func TestEvacuationsReachTheView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		change, err := proto.Marshal(&pb.RuleChange{
			Whole: []byte("service llm type=engine slots=8 cache-tokens=100000 # t: t\n"),
		})
		require.NoError(t, err)
		s := &script{}
		s.set(&pb.HeartbeatResponse{
			Index:       2,
			Evacuations: evacuation("a", true),
			RuleVersion: 1,
			RuleChange:  compress.Codec{}.Compress(change),
		}, nil)
		log := logrus.New()
		log.SetOutput(io.Discard)
		start := time.Now()
		a, stop := membership.New(membership.Config{
			Instance:     "i",
			Control:      s,
			Logger:       log,
			Checker:      &invariant.Checker{},
			Now:          func() time.Duration { return time.Since(start) },
			Loads:        func() []*pb.LoadReport { return nil },
			OnLoads:      func([]*pb.LoadReport) {},
			OnViewChange: func(_, _ *view.View) {},
			OnHandover:   func(*pb.Assignment) {},
		})
		defer stop()
		a.Start()
		settle := func() {
			time.Sleep(3 * time.Second)
			synctest.Wait()
		}
		settle()
		require.Equal(t, []string{"a"}, a.View().EvacuatedDomains())
		require.EqualValues(t, 1, a.View().RuleVersion)

		rows, err := proto.Marshal(&pb.TableRows{
			Whole:       true,
			Evacuations: append(evacuation("a", true), append(evacuation("b", true), evacuation("c", false)...)...),
		})
		require.NoError(t, err)
		s.set(&pb.HeartbeatResponse{
			Index:        2,
			RuleVersion:  1,
			TablesBehind: true,
		}, &pb.TablesResponse{
			Index: 5,
			Rows:  compress.Codec{}.Compress(rows),
		})
		settle()
		require.Equal(t, []string{"a", "b"}, a.View().EvacuatedDomains())

		s.set(&pb.HeartbeatResponse{
			Index:       7,
			RuleVersion: 1,
			Evacuations: evacuation("a", false),
		}, nil)
		settle()
		require.Equal(t, []string{"b"}, a.View().EvacuatedDomains())
		require.EqualValues(t, 1, a.View().RuleVersion)
	})
}
