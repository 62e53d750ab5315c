// Package daemon defines the interfaces through which the components of a router
// call other routers.
package daemon

// This file defines Peers and ForwardStream.

import (
	"context"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// ForwardStream receives the response messages of a forwarded generate request.
type ForwardStream interface {
	Recv() (*pb.ForwardGenerateResponse, error)
}

// Peers calls other routers, given their peer addresses.
type Peers interface {
	ForwardGenerate(ctx context.Context, address string, r *pb.ForwardGenerateRequest) (ForwardStream, error)
	ForwardCall(ctx context.Context, address string, r *pb.ForwardCallRequest) (*pb.ForwardCallResponse, error)
	RuleVersion(ctx context.Context, address string, r *pb.RuleVersionRequest) (*pb.RuleVersionResponse, error)
	Handover(ctx context.Context, address string, r *pb.HandoverRequest) error
}
