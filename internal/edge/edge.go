// Package edge defines the interfaces between this system and its environment:
// the platform, callers and backend servers. Each external format is implemented
// by an adapter of its own, so that supporting another format changes no routing
// or control code.
package edge

// This file defines the interfaces to the platform and to backend servers.

import (
	"context"
	"net/http"
	"time"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/serverlimit"
)

// Platform lists the live and leaving backend servers. The list may lag behind
// their actual state. With a fault of kind PartialList, List returns the servers that it
// could read.
type Platform interface {
	List(ctx context.Context) ([]*pb.ListedServer, error)
}

// Frames is the stream of frames of one response of an engine.
type Frames interface {
	// Receive returns the next frame, or false at the end or on a failure.
	Receive() (*pb.InferResponse, bool)
	// Err returns the failure that ended the stream early, or nil.
	Err() error
	Close()
}

// Engine calls model engines by address.
type Engine interface {
	Infer(ctx context.Context, address string, r *pb.InferRequest) (Frames, error)
	Cancel(ctx context.Context, address, requestID string) error
	ExportCache(ctx context.Context, address, chat string) (*pb.ExportCacheResponse, error)
	ImportCache(ctx context.Context, address string, r *pb.ImportCacheRequest) error
	CacheEvents(ctx context.Context, address string, after uint64) ([]*pb.CacheEvent, error)
	Load(ctx context.Context, address string) (*pb.LoadResponse, error)
	Order(ctx context.Context, address string, r *pb.OrderRequest) error
}

// PlainService calls servers of a service whose calls are unary and routed
// independently of one another.
type PlainService interface {
	// Call sends a call. A fault of kind NotRun proves that the backend server
	// did not execute it; after any other failure it may have been executed.
	Call(ctx context.Context, address string, c Call) ([]byte, error)
}

// Call is one call of a plain service.
type Call struct {
	ClientAccount string
	Name          string
	// Key is the request key; empty for an idempotent call sent without one.
	Key  string
	Body []byte
}

// Request holds the metadata that a caller sends with a request besides its
// method, path and body.
type Request struct {
	// ID identifies one attempt of the caller.
	ID string
	// APIKey is the secret key that identifies the client account.
	APIKey string
	// Timeout is the caller's timeout; zero if it sent none.
	Timeout time.Duration
	// LastEventID is the ID of the last event received, if the caller resumes a
	// stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of a stream that
	// this one takes up again; empty if the caller names none.
	Resumes string
	Prompt  Prompt
}

// Prompt describes the input of a model engine.
type Prompt struct {
	Model string
	// Tokens is the number of input tokens, MaxOutputTokens the maximum number
	// of generated tokens.
	Tokens          int
	MaxOutputTokens int
	// Parts are the parts of the prompt, in order. Other requests may share
	// any but the last one.
	Parts []Part
}

// MaxPartTokens is the largest number of tokens of a part of a prompt. Sums over the parts
// of one prompt stay far below the range of an int.
const MaxPartTokens = 1_000_000_000

// Part is a part of a prompt that a prefix cache can hold; equal parts have the
// same ID.
type Part struct {
	ID     uint64
	Tokens int
}

// Forwarding holds the metadata that this system sends to a backend server with
// a request.
type Forwarding struct {
	// Server is the only backend server that may run the request.
	Server  string
	Account string
	// TimeLeft is the time left until the caller's timeout.
	TimeLeft    time.Duration
	LastEventID string
	// Urgency is 0 (most urgent) to 9; if negative, none is sent.
	Urgency int
	// FetchFrom is the address of an engine from which the server fetches the
	// cached prefix that it lacks; empty to fetch nothing.
	FetchFrom string
}

// PeerForwarding holds the metadata that changes in a request which another instance serves in the
// place of this one.
type PeerForwarding struct {
	// TimeLeft is the time left until the caller's timeout.
	TimeLeft time.Duration
	// LastEventID and Resumes, if not empty, replace what the caller sent.
	LastEventID string
	Resumes     string
}

// Execution is what a response proves about the execution of its request.
type Execution int

const (
	// InDoubt means that the response proves nothing: the request may have run. Such a
	// response is not relayed.
	InDoubt Execution = iota
	// NotRun means that the backend server states that it did not execute the request.
	NotRun
	// Ran means that the response is the outcome of the execution, or a failure of the
	// backend server that promises nothing to the caller.
	Ran
)

// ResponseInfo holds the metadata of a backend server's response.
type ResponseInfo struct {
	// ID is the ID of the request that the response belongs to.
	ID        string
	Execution Execution
	// OtherServer is true if another backend server than the expected one responded,
	// which has not executed the request: the expected one has left the address.
	OtherServer bool
	// Signed is true if the response carries the backend server's signature.
	Signed bool
	// HasLoad is true if the server reported its load: the numbers of Running
	// and Waiting requests.
	HasLoad bool
	Running int
	Waiting int
	// WorkPercent is how long work takes on the server at this moment, in percent of the
	// usual time; zero if the server did not state it.
	WorkPercent int
	// RetryAfter is for how long the backend server asks this instance to send it
	// nothing; zero if it does not. BadRetryAfter is the text of a value that cannot be
	// read as such a time.
	RetryAfter    time.Duration
	BadRetryAfter string
	// UnreadableHeaders names the headers of which a value cannot be read.
	UnreadableHeaders []string
	// Leaving is true if the backend server announces that it leaves.
	Leaving bool
	// ColdFor is for how long the backend server announces to stay cold; zero if it does not.
	ColdFor time.Duration
	// Brittle is how many requests the backend server refuses in a second, for want of room, before
	// it falls over; zero if it does not say that it is brittle. BrittleKnown is true if it says so,
	// or would have said so in this response.
	Brittle      float64
	BrittleKnown bool
	// Limit is what the response says of the limit of its server.
	Limit serverlimit.Statement
}

// Health is what a backend server says when it is asked how it is.
type Health struct {
	// Server is the name of the server that answers; empty if it does not say.
	Server string
	// Serves is true if the server takes requests and does not announce that it leaves.
	Serves bool
	// Leaving is true if it announces that it leaves.
	Leaving bool
}

// Dialect encodes and decodes the metadata of HTTP requests and responses in the
// format of the platform's callers and backend servers.
type Dialect interface {
	// ParseRequest decodes the metadata of a caller's request.
	ParseRequest(r *http.Request) (Request, error)
	// SetForwardHeaders sets the headers of the request to the backend server. h
	// holds the caller's headers; those that a caller may not set are replaced or
	// removed.
	SetForwardHeaders(h http.Header, f Forwarding)
	// SetPeerHeaders sets the headers of a request that another instance serves in the place of
	// this one. h holds the caller's headers, of which all others are kept.
	SetPeerHeaders(h http.Header, p PeerForwarding)
	// ParseResponse decodes the metadata of a backend server's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ParseHealth decodes the answer of a backend server that was asked for its health.
	ParseHealth(status int, h http.Header) Health
	// WriteError writes an error response to the caller.
	WriteError(w http.ResponseWriter, f *fault.Fault)
}

// Directory lists the addresses that callers connect to.
type Directory interface {
	// Addresses returns the addresses for callers in a failure domain, at most limit.
	Addresses(failureDomain string, limit int) []string
	// Ready reports whether this instance accepts requests of callers.
	Ready() bool
}

// RuleStore stores complete rule files, each with a revision number.
type RuleStore interface {
	// Replace puts rules into force unless the current revision is equal or
	// higher. source is the text that the rules were converted from.
	Replace(ctx context.Context, revision uint64, rules, source []byte) error
	// Elsewhere returns the operator address of the instance that should read or replace the rule
	// file in the place of this one, as it is large; empty if this one should. bytes is the size of
	// the source, or zero if it is unknown.
	Elsewhere(bytes int) (address string)
	// Source returns the current revision and its source text.
	Source(ctx context.Context) (revision uint64, source []byte, err error)
}

// Evacuator starts and ends evacuations of failure domains.
type Evacuator interface {
	// Evacuate starts the evacuation of a failure domain if active is true, and ends it
	// otherwise. It returns nil once that is committed, also if it was so before. An
	// unknown failure domain is a fault of kind UnknownFailureDomain and changes
	// nothing. After any other failure the change may still take effect, but only if it
	// was proposed before ctx ended.
	Evacuate(ctx context.Context, domain string, active bool, reason string) error
}

// Endpoints are the HTTP handlers of an entry instance that serve the platform,
// callers and the operator, besides the handler of the requests themselves.
type Endpoints interface {
	// Ready serves the readiness check.
	Ready() http.Handler
	// Resolve serves the addresses that callers connect to.
	Resolve() http.Handler
	// Configuration serves the operator: reads and replacements of the rule file, and
	// evacuations.
	Configuration() http.Handler
}

// CacheReader reads the content of an engine's prefix cache.
type CacheReader interface {
	// ReadCache returns what the engine at address has cached. The query slightly delays the
	// engine's work.
	ReadCache(ctx context.Context, address string) (Cache, error)
}

// BirthReader reads when a server was started.
type BirthReader interface {
	// ReadBirth returns when the server at address was started, in Unix milliseconds; zero if it does
	// not say.
	ReadBirth(ctx context.Context, address string) (bornMs int64, err error)
}

// Cache is the content of an engine's prefix cache.
type Cache struct {
	Parts []Part
	// BornMs is when the engine was started, in Unix milliseconds; zero if it does not say.
	BornMs int64
}
