// Package engine calls model engines over Connect.
//
// Responses do not name the call that they answer. Calls whose response says what was done, or
// whose cache it holds, each have a connection of their own: on a kept one, a late copy of an
// earlier response could be taken for theirs.
package engine

// This file defines Client.

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"camphorspoke/internal/edge"
	"camphorspoke/internal/edge/link"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
)

// maxMessageBytes is the largest message that is read of an engine. A faulty one may send a
// message without end.
const maxMessageBytes = 8 << 20

// Client calls engines by address. The zero value is ready to use.
type Client struct {
	// HTTP sends the calls that keep connections; if nil, a client of link.HTTPClient does.
	HTTP connect.HTTPClient

	// defaultHTTP is the client that is used if HTTP is nil, made on the first use.
	defaultOnce sync.Once
	defaultHTTP *http.Client

	// clients holds an EngineServiceClient for each address, and unpooled one whose calls each
	// have a connection of their own.
	clients  sync.Map
	unpooled sync.Map
}

var _ edge.Engine = (*Client)(nil)

// clientFor returns the client for calls that keep connections.
func (c *Client) clientFor(address string) camphorspokev1connect.EngineServiceClient {
	hc := c.HTTP
	if hc == nil {
		c.defaultOnce.Do(func() { c.defaultHTTP = link.HTTPClient() })
		hc = c.defaultHTTP
	}
	return loadOrStore(&c.clients, address, hc)
}

// unpooledFor returns the client for calls that each have a connection of their own.
func (c *Client) unpooledFor(address string) camphorspokev1connect.EngineServiceClient {
	return loadOrStore(&c.unpooled, address, link.UnpooledHTTPClient())
}

// loadOrStore returns the client for an address, which sends its calls with hc if it is new.
func loadOrStore(clients *sync.Map, address string, hc connect.HTTPClient) camphorspokev1connect.EngineServiceClient {
	if v, ok := clients.Load(address); ok {
		return v.(camphorspokev1connect.EngineServiceClient)
	}
	v, _ := clients.LoadOrStore(address, camphorspokev1connect.NewEngineServiceClient(hc, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes)))
	return v.(camphorspokev1connect.EngineServiceClient)
}

type frameStream struct {
	stream *connect.ServerStreamForClient[pb.InferResponse]
}

func (f frameStream) Receive() (*pb.InferResponse, bool) {
	if !f.stream.Receive() {
		return nil, false
	}
	return f.stream.Msg(), true
}

func (f frameStream) Err() error { return f.stream.Err() }
func (f frameStream) Close()     { f.stream.Close() }

// Infer starts a request and returns the stream of its response.
func (c *Client) Infer(ctx context.Context, address string, r *pb.InferRequest) (edge.Frames, error) {
	s, err := c.clientFor(address).Infer(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return frameStream{
		stream: s,
	}, nil
}

// Cancel cancels a request.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, err := c.unpooledFor(address).Cancel(ctx, connect.NewRequest(&pb.CancelRequest{
		RequestId: requestID,
	}))
	return err
}

// ExportCache returns the KV cache of a chat.
func (c *Client) ExportCache(ctx context.Context, address, chat string) (*pb.ExportCacheResponse, error) {
	r, err := c.unpooledFor(address).ExportCache(ctx, connect.NewRequest(&pb.ExportCacheRequest{
		Chat: chat,
	}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// ImportCache loads the KV cache of a chat into an engine.
func (c *Client) ImportCache(ctx context.Context, address string, r *pb.ImportCacheRequest) error {
	_, err := c.unpooledFor(address).ImportCache(ctx, connect.NewRequest(r))
	return err
}

// CacheEvents returns the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]*pb.CacheEvent, error) {
	r, err := c.clientFor(address).CacheEvents(ctx, connect.NewRequest(&pb.CacheEventsRequest{
		After: after,
	}))
	if err != nil {
		return nil, err
	}
	return r.Msg.GetEvents(), nil
}

// Load returns the load that the engine reports, which may be out of date.
func (c *Client) Load(ctx context.Context, address string) (*pb.LoadResponse, error) {
	r, err := c.clientFor(address).Load(ctx, connect.NewRequest(&pb.LoadRequest{}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// Order sends an order with its fencing number.
func (c *Client) Order(ctx context.Context, address string, r *pb.OrderRequest) error {
	_, err := c.unpooledFor(address).Order(ctx, connect.NewRequest(r))
	return err
}
