// Package peer calls the PeerService of other routers over gRPC. Forwarded
// requests and control traffic use separate connections, so that the bytes of
// each are counted separately.
package peer

// This file defines Client.

import (
	"context"
	"errors"
	"io"
	"sync"

	"google.golang.org/grpc"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon"
	"camphorspoke/internal/edge/link"
	"camphorspoke/internal/edge/status"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/streamversion"
)

// maxMessage is the largest gRPC message, in bytes, sent or received.
const maxMessage = 16 << 20

// Client calls routers by peer address.
type Client struct {
	// controlOption is set on control connections only; it may be nil.
	controlOption grpc.DialOption

	mu    sync.Mutex
	conns map[connKey]*grpc.ClientConn
}

// connKey identifies a connection; control is false for forwarded requests.
type connKey struct {
	address string
	control bool
}

var _ daemon.Peers = (*Client)(nil)

// New returns a client; controlOption is an additional dial option of control
// connections, or nil. The returned function closes all connections.
func New(controlOption grpc.DialOption) (*Client, func()) {
	c := &Client{
		controlOption: controlOption,
		conns:         make(map[connKey]*grpc.ClientConn),
	}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

func (c *Client) clientFor(address string, control bool) (pb.PeerServiceClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := connKey{
		address: address,
		control: control,
	}
	if conn := c.conns[k]; conn != nil {
		return pb.NewPeerServiceClient(conn), nil
	}
	opts := link.GRPCDialOptions(grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)))
	if control && c.controlOption != nil {
		opts = append(opts, c.controlOption)
	}
	conn, err := grpc.NewClient(address, opts...)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, address, err)
	}
	c.conns[k] = conn
	return pb.NewPeerServiceClient(conn), nil
}

// forwardStream is the response stream of a forwarded request.
type forwardStream struct {
	grpc.ServerStreamingClient[pb.ForwardGenerateResponse]
}

// Recv returns the next message. A fault of the peer is returned as a
// *fault.Fault.
func (s forwardStream) Recv() (*pb.ForwardGenerateResponse, error) {
	m, err := s.ServerStreamingClient.Recv()
	if err == nil || errors.Is(err, io.EOF) {
		return m, err
	}
	return nil, toFault(err)
}

// toFault returns the fault that a gRPC error contains, or err itself.
func toFault(err error) error {
	if f, ok := status.ToFault(err); ok {
		return f
	}
	return err
}

// ForwardGenerate forwards a request and returns the stream of its response.
func (c *Client) ForwardGenerate(ctx context.Context, address string, r *pb.ForwardGenerateRequest) (daemon.ForwardStream, error) {
	p, err := c.clientFor(address, false)
	if err != nil {
		return nil, err
	}
	s, err := p.ForwardGenerate(ctx, r)
	if err != nil {
		return nil, toFault(err)
	}
	return forwardStream{
		ServerStreamingClient: s,
	}, nil
}

// ForwardCall forwards a call of a plain service.
func (c *Client) ForwardCall(ctx context.Context, address string, r *pb.ForwardCallRequest) (*pb.ForwardCallResponse, error) {
	p, err := c.clientFor(address, false)
	if err != nil {
		return nil, err
	}
	resp, err := p.ForwardCall(ctx, r)
	if err != nil {
		return nil, toFault(err)
	}
	return resp, nil
}

// RuleVersion returns the rule version that a router holds.
func (c *Client) RuleVersion(ctx context.Context, address string, r *pb.RuleVersionRequest) (*pb.RuleVersionResponse, error) {
	p, err := c.clientFor(address, true)
	if err != nil {
		return nil, err
	}
	return p.RuleVersion(ctx, r)
}

// Handover sends a backend server's soft state to its next owner.
func (c *Client) Handover(ctx context.Context, address string, r *pb.HandoverRequest) error {
	p, err := c.clientFor(address, true)
	if err != nil {
		return err
	}
	_, err = p.Handover(ctx, r)
	return err
}

// Place opens a stream of placement requests to another instance.
func (c *Client) Place(ctx context.Context, address string) (pb.PeerService_PlaceClient, error) {
	p, err := c.clientFor(address, true)
	if err != nil {
		return nil, err
	}
	s, err := p.Place(ctx)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, address, err)
	}
	return s, nil
}

// Acquaint sends another instance the given addresses of the control group and,
// if this instance's replica leads, its address. It returns the control
// group addresses that the other instance has.
func (c *Client) Acquaint(ctx context.Context, address string, controlAddresses []string, leader string) ([]string, error) {
	p, err := c.clientFor(address, true)
	if err != nil {
		return nil, err
	}
	r, err := p.Acquaint(ctx, &pb.AcquaintRequest{
		Leader:           leader,
		ControlAddresses: controlAddresses,
	})
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, address, err)
	}
	return r.GetControlAddresses(), nil
}

// ExplainPlacement returns what another instance would decide on a request now, as JSON.
func (c *Client) ExplainPlacement(ctx context.Context, address string, ask *pb.PlaceAsk) ([]byte, error) {
	p, err := c.clientFor(address, true)
	if err != nil {
		return nil, err
	}
	r, err := p.ExplainPlacement(ctx, &pb.ExplainPlacementRequest{
		Ask: ask,
	})
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, address, err)
	}
	return r.GetJson(), nil
}

// StreamRecord returns the record of the version that began a stream, or false if the other
// instance has no record.
func (c *Client) StreamRecord(ctx context.Context, address, service string, stream uint64) (record streamversion.Record, known bool, err error) {
	p, err := c.clientFor(address, true)
	if err != nil {
		return record, false, err
	}
	r, err := p.StreamVersion(ctx, &pb.StreamVersionRequest{
		Service: service,
		Stream:  stream,
	})
	if err != nil {
		return record, false, fault.Wrap(fault.Unreachable, address, err)
	}
	return streamversion.Record{
		Version: r.GetVersion(),
		Begun:   r.GetBegun(),
	}, r.GetKnown(), nil
}
