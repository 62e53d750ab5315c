// Package edge names the outside interfaces of the system. One package below
// it adapts each of them, so that another format touches no decision.
package edge

// This file defines the interfaces to the platform and to backend servers.

import (
	"context"
	"net/http"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
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

// Request is what a caller says of a request beside its method, path and body.
type Request struct {
	// ID names one attempt of the caller.
	ID string
	// Key is the secret by which the caller's account is known.
	Key string
	// Patience is how long the caller waits; zero is not said.
	Patience time.Duration
	// LastEvent is the last event that the caller has, when it resumes a stream.
	LastEvent string
	Prompt    Prompt
}

// Prompt describes the input of a model engine.
type Prompt struct {
	Model string
	// Tokens and MaxOutput are the tokens read and at most generated.
	Tokens    int
	MaxOutput int
	// Parts are the pieces of the prompt, in order. Requests share all but the
	// last one.
	Parts []Part
}

// Part is one piece of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Forwarding is what this system tells a backend server of a request.
type Forwarding struct {
	// Server is the only backend server that may run the request.
	Server  string
	Account string
	// Left is how long the caller still waits.
	Left      time.Duration
	LastEvent string
	// Urgency is 0 to 9, 0 first; below zero nothing is said.
	Urgency int
	// FetchFrom is the address of another engine from which the server reads
	// what it lacks of the prompt; empty to read nothing.
	FetchFrom string
}

// Answer is what the head of a backend server's answer says.
type Answer struct {
	// ID is the request that is answered.
	ID string
	// NotRun is the backend server's word that the request did not run.
	NotRun bool
	// Signed is true when the answer carries the backend server's signature.
	Signed  bool
	HasLoad bool
	Running int
	Waiting int
}

// Dialect is how callers and backend servers word requests and answers.
type Dialect interface {
	Request(r *http.Request) (Request, error)
	// Forward writes what the backend server is told over what the caller sent.
	Forward(h http.Header, f Forwarding)
	Answer(status int, h http.Header) Answer
	// Refuse writes a failure to the caller.
	Refuse(w http.ResponseWriter, f *fault.Fault)
}

// Directory tells callers where to connect.
type Directory interface {
	// Addresses returns where callers in a failure domain connect.
	Addresses(failureDomain string) []string
	// Ready reports whether this instance takes callers.
	Ready() bool
}

// Rulebook takes whole rule files under revisions.
type Rulebook interface {
	// Replace puts rules in force unless the revision held is as high. source
	// is the text that they were made from.
	Replace(ctx context.Context, revision uint64, rules, source []byte) error
	// Source returns the newest revision and its text.
	Source(ctx context.Context) (revision uint64, source []byte, err error)
}

// Endpoints are the calls that the platform, its callers and its operator make at
// an entry instance, beside the requests themselves.
type Endpoints interface {
	// Ready serves the readiness check.
	Ready() http.Handler
	// Resolve serves the directory.
	Resolve() http.Handler
	// Configuration serves the operator.
	Configuration() http.Handler
}

// CacheReader reads what an engine keeps in memory.
type CacheReader interface {
	// Kept returns the parts of prompts that the engine at address keeps. The
	// question delays the engine's work a little.
	Kept(ctx context.Context, address string) ([]Part, error)
}
