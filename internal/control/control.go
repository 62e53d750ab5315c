// Package control names the interfaces of the control group: the replicas that
// hold what must survive. The packages below it are its parts.
package control

// This file defines the interfaces between the control group and its users.

import (
	"context"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Transport carries messages between replicas. It may lose, repeat and
// reorder them.
type Transport interface {
	// Send must not block.
	Send(address string, m *pb.RaftMessage)
	// State asks a replica who it is.
	State(ctx context.Context, address string) (*pb.ReplicaStateResponse, error)
}

// Storage keeps a replica's log. What a call has returned for is durable.
type Storage interface {
	Append(rec *pb.WalRecord) error
	// Rotate starts a new segment with everything that a snapshot lacks.
	Rotate(head *pb.WalRecord) error
	SaveSnapshot(s *pb.RaftSnapshot) error
}

// Client reaches the leader of the control group, wherever it is.
type Client interface {
	Propose(ctx context.Context, c *pb.Command) (*pb.Result, error)
	Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error)
	Query(ctx context.Context, q *pb.QueryRequest) (*pb.QueryResponse, error)
	ApplyRules(ctx context.Context, r *pb.ApplyRulesRequest) (*pb.ApplyRulesResponse, error)
	ChangeReplica(ctx context.Context, r *pb.ChangeReplicaRequest) error
}
