// Package control defines the interfaces of the control group: the replicas that
// hold the durable state of the fleet in a Raft log. The packages below it
// implement the log, its storage, the state machine and the leader's work.
package control

// This file defines the interfaces between the control group and its users.

import (
	"context"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Transport carries Raft messages between replicas. It may lose, duplicate and
// reorder them.
type Transport interface {
	// Send sends m to the replica at address, on a best-effort basis. It must
	// not block.
	Send(address string, m *pb.RaftMessage)
	// State queries the identity and state of the replica at address.
	State(ctx context.Context, address string) (*pb.ReplicaStateResponse, error)
	// Form sends a request of the formation of a group to the seed at address.
	Form(ctx context.Context, address string, r *pb.FormRequest) (*pb.FormResponse, error)
}

// Storage stores a replica's log and snapshots. Once a call has returned without
// an error, what it wrote is durable.
type Storage interface {
	Append(rec *pb.WalRecord) error
	// Rotate starts a new log segment, whose first record head holds everything
	// that the last snapshot does not cover.
	Rotate(head *pb.WalRecord) error
	SaveSnapshot(s *pb.RaftSnapshot) error
}

// Client sends requests to the leader of the control group, which it locates
// itself.
type Client interface {
	Propose(ctx context.Context, c *pb.Command) (*pb.Result, error)
	Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error)
	Query(ctx context.Context, q *pb.QueryRequest) (*pb.QueryResponse, error)
	ApplyRules(ctx context.Context, r *pb.ApplyRulesRequest) (*pb.ApplyRulesResponse, error)
	ChangeReplica(ctx context.Context, r *pb.ChangeReplicaRequest) error
	// Tables reads table rows from any replica, preferably not from the leader.
	Tables(ctx context.Context, r *pb.TablesRequest) (*pb.TablesResponse, error)
}
