// Package edge names the outside interfaces of the system. One package below
// it adapts each of them, so that another format touches no decision.
package edge

// This file defines the interfaces to the platform and to backend servers.

import (
	"context"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Platform gives the lagging list of live and leaving backend servers.
type Platform interface {
	List(ctx context.Context) ([]*pb.ListedServer, error)
}

// Frames yields the frames of one answer of an engine.
type Frames interface {
	// Receive returns the next frame; false at the end or on a failure.
	Receive() (*pb.InferResponse, bool)
	// Err returns the failure that ended the frames early, or nil.
	Err() error
	Close()
}

// Engine is a model engine.
type Engine interface {
	Infer(ctx context.Context, address string, r *pb.InferRequest) (Frames, error)
	Cancel(ctx context.Context, address, requestID string) error
	ExportCache(ctx context.Context, address, chat string) (*pb.ExportCacheResponse, error)
	ImportCache(ctx context.Context, address string, r *pb.ImportCacheRequest) error
	CacheEvents(ctx context.Context, address string, after uint64) ([]*pb.CacheEvent, error)
	Load(ctx context.Context, address string) (*pb.LoadResponse, error)
	Order(ctx context.Context, address string, r *pb.OrderRequest) error
}

// PlainService is a service whose calls are routed one by one.
type PlainService interface {
	// Call runs a call. A fault of kind NotRun is proof that the backend
	// server did not run it; any other failure leaves it in doubt.
	Call(ctx context.Context, address string, c Call) ([]byte, error)
}

// Call is one call of a plain service.
type Call struct {
	ClientAccount string
	Name          string
	// Key is the request key; empty for an idempotent call without one.
	Key  string
	Body []byte
}
