// Package controlserver serves the ControlService of a control replica to routers
// and other replicas over gRPC.
package controlserver

// This file defines Server.

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/manager"
	"camphorspoke/internal/control/raftlog"
	"camphorspoke/internal/control/replica"
	"camphorspoke/internal/control/tables"
	"camphorspoke/internal/edge/status"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Server implements the ControlService.
type Server struct {
	pb.UnimplementedControlServiceServer

	// Name is the name of this instance.
	Name      string
	Replica   *replica.Replica
	Manager   *manager.Manager
	Transport control.Transport
	// TableSource serves the rows of the replica's ledger.
	TableSource *tables.Source
}

var _ pb.ControlServiceServer = (*Server)(nil)

const (
	// maxLeaderWait is how long a heartbeat waits at a replica that knows no leader.
	maxLeaderWait = 250 * time.Millisecond
	// leaderPollInterval is the time between two looks for a leader.
	leaderPollInterval = 10 * time.Millisecond
)

// Heartbeat renews a router's lease. While no leader is known it waits for one: when
// all routers of a large fleet look for the leader at once, they would otherwise ask
// again and again and keep the replicas from electing it.
func (s *Server) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	s.awaitLeader(ctx)
	resp, err := s.Manager.Heartbeat(ctx, r)
	return resp, status.FromFault(err)
}

// awaitLeader waits until this replica leads or knows who does, for maxLeaderWait at
// most.
func (s *Server) awaitLeader(ctx context.Context) {
	if s.knowsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxLeaderWait)
	defer cancel()
	t := time.NewTicker(leaderPollInterval)
	defer t.Stop()
	for !s.knowsLeader() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Server) knowsLeader() bool {
	leader := s.Replica.Status().Leader
	return s.Replica.Leads() || leader != "" && leader != s.Name
}

// Propose commits a command.
func (s *Server) Propose(ctx context.Context, r *pb.ProposeRequest) (*pb.ProposeResponse, error) {
	result, err := s.Manager.Propose(ctx, r.GetCommand())
	if err != nil {
		return nil, status.FromFault(err)
	}
	return &pb.ProposeResponse{
		Result: result,
	}, nil
}

// Query reads the leader's state.
func (s *Server) Query(_ context.Context, r *pb.QueryRequest) (*pb.QueryResponse, error) {
	resp, err := s.Manager.Query(r)
	return resp, status.FromFault(err)
}

// ApplyRules applies an edit of the rule file.
func (s *Server) ApplyRules(ctx context.Context, r *pb.ApplyRulesRequest) (*pb.ApplyRulesResponse, error) {
	resp, err := s.Manager.ApplyRules(ctx, r)
	return resp, status.FromFault(err)
}

// Tables returns table rows and rules that this replica has applied.
func (s *Server) Tables(ctx context.Context, r *pb.TablesRequest) (*pb.TablesResponse, error) {
	resp, err := s.TableSource.Read(ctx, r)
	return resp, status.FromFault(err)
}

// Raft receives the Raft messages of another replica.
func (s *Server) Raft(stream grpc.ClientStreamingServer[pb.RaftRequest, pb.RaftResponse]) error {
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&pb.RaftResponse{})
		}
		if err != nil {
			return err
		}
		s.Replica.Deliver(r.GetMessage())
	}
}

// ReplicaState returns the identity and state of this replica.
func (s *Server) ReplicaState(context.Context, *pb.ReplicaStateRequest) (*pb.ReplicaStateResponse, error) {
	return s.Replica.State(), nil
}

// Form answers a request of a seed that forms a group.
func (s *Server) Form(ctx context.Context, r *pb.FormRequest) (*pb.FormResponse, error) {
	resp, err := s.Replica.Form(ctx, r)
	return resp, status.FromFault(err)
}

// ChangeReplica adds a replica as a learner, which becomes a voting member once
// it has caught up, or removes a replica.
func (s *Server) ChangeReplica(ctx context.Context, r *pb.ChangeReplicaRequest) (*pb.ChangeReplicaResponse, error) {
	if !s.Manager.Leads() {
		return nil, status.FromFault(fault.New(fault.NotLeader, s.Replica.Status().LeaderAddress, "send the request to the leader"))
	}
	var identity uint64
	if !r.GetRemove() {
		st, err := s.Transport.State(ctx, r.GetAddress())
		if err != nil {
			return nil, status.FromFault(fault.Wrap(fault.BadRequest, r.GetAddress(), err))
		}
		if st.GetInstance() != r.GetInstance() {
			return nil, status.FromFault(fault.New(fault.BadRequest, r.GetAddress(), "the replica at this address belongs to another instance"))
		}
		identity = st.GetIdentity()
	}
	err := s.Replica.CallNode(ctx, func(n *raftlog.Node, now time.Duration) error {
		if r.GetRemove() {
			return n.ProposeMembers(now, n.WithoutMember(r.GetInstance()))
		}
		next := n.WithReplica(r.GetInstance(), r.GetAddress(), identity)
		if next == nil {
			return nil
		}
		return n.ProposeMembers(now, next)
	})
	if err != nil {
		return nil, status.FromFault(err)
	}
	return &pb.ChangeReplicaResponse{}, nil
}
