// Package daemon names the interfaces between the parts of a daemon.
package daemon

// This file defines the interfaces to the other routers.

import (
	"context"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// ForwardStream yields the messages of a forwarded request.
type ForwardStream interface {
	Recv() (*pb.ForwardGenerateResponse, error)
}

// Peers reaches the other routers by their peer address.
type Peers interface {
	ForwardGenerate(ctx context.Context, address string, r *pb.ForwardGenerateRequest) (ForwardStream, error)
	ForwardCall(ctx context.Context, address string, r *pb.ForwardCallRequest) (*pb.ForwardCallResponse, error)
	RuleVersion(ctx context.Context, address string, r *pb.RuleVersionRequest) (*pb.RuleVersionResponse, error)
	Handover(ctx context.Context, address string, r *pb.HandoverRequest) error
}
