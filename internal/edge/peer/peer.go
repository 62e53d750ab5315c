// Package peer reaches the other routers over gRPC. Forwarded requests and
// control traffic use connections of their own, so that each is counted as
// what it is.
package peer

// This file defines Client.

import (
	"context"
	"errors"
	"io"
	"sync"

	"google.golang.org/grpc"

	"camphorspoke/internal/daemon"
	"camphorspoke/internal/edge/link"
	"camphorspoke/internal/edge/status"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

const maxMessage = 16 << 20

// Client reaches routers by peer address.
type Client struct {
	control grpc.DialOption

	mu    sync.Mutex
	conns map[connKey]*grpc.ClientConn
}

type connKey struct {
	address string
	control bool
}

var _ daemon.Peers = (*Client)(nil)

// New returns a client; control is the dial option of control connections.
// The clean-up function closes all connections.
func New(control grpc.DialOption) (*Client, func()) {
	c := &Client{
		control: control,
		conns:   make(map[connKey]*grpc.ClientConn),
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

func (c *Client) at(address string, control bool) (pb.PeerServiceClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := connKey{
		address: address,
		control: control,
	}
	if conn := c.conns[k]; conn != nil {
		return pb.NewPeerServiceClient(conn), nil
	}
	opts := link.GRPC(grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)))
	if control && c.control != nil {
		opts = append(opts, c.control)
	}
	conn, err := grpc.NewClient(address, opts...)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, address, err)
	}
	c.conns[k] = conn
	return pb.NewPeerServiceClient(conn), nil
}

type forwardStream struct {
	grpc.ServerStreamingClient[pb.ForwardGenerateResponse]
}

// Recv returns the next message, with the peer's fault as such.
func (s forwardStream) Recv() (*pb.ForwardGenerateResponse, error) {
	m, err := s.ServerStreamingClient.Recv()
	if err == nil || errors.Is(err, io.EOF) {
		return m, err
	}
	return nil, typed(err)
}

// typed returns the fault that err carries, or err itself.
func typed(err error) error {
	if f, ok := status.ToFault(err); ok {
		return f
	}
	return err
}

// ForwardGenerate opens the stream of a forwarded request.
func (c *Client) ForwardGenerate(ctx context.Context, address string, r *pb.ForwardGenerateRequest) (daemon.ForwardStream, error) {
	p, err := c.at(address, false)
	if err != nil {
		return nil, err
	}
	s, err := p.ForwardGenerate(ctx, r)
	if err != nil {
		return nil, typed(err)
	}
	return forwardStream{
		ServerStreamingClient: s,
	}, nil
}

// ForwardCall forwards a call.
func (c *Client) ForwardCall(ctx context.Context, address string, r *pb.ForwardCallRequest) (*pb.ForwardCallResponse, error) {
	p, err := c.at(address, false)
	if err != nil {
		return nil, err
	}
	resp, err := p.ForwardCall(ctx, r)
	if err != nil {
		return nil, typed(err)
	}
	return resp, nil
}

// RuleVersion asks a router which rule version it holds.
func (c *Client) RuleVersion(ctx context.Context, address string, r *pb.RuleVersionRequest) (*pb.RuleVersionResponse, error) {
	p, err := c.at(address, true)
	if err != nil {
		return nil, err
	}
	return p.RuleVersion(ctx, r)
}

// Handover passes soft tables to a server's next owner.
func (c *Client) Handover(ctx context.Context, address string, r *pb.HandoverRequest) error {
	p, err := c.at(address, true)
	if err != nil {
		return err
	}
	_, err = p.Handover(ctx, r)
	return err
}

// Place opens the stream to the instance of another instance.
func (c *Client) Place(ctx context.Context, address string) (pb.PeerService_PlaceClient, error) {
	p, err := c.at(address, true)
	if err != nil {
		return nil, err
	}
	s, err := p.Place(ctx)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, address, err)
	}
	return s, nil
}

// Acquaint exchanges with another instance where the control group and its leader are.
func (c *Client) Acquaint(ctx context.Context, address string, control []string, leader string) ([]string, error) {
	p, err := c.at(address, true)
	if err != nil {
		return nil, err
	}
	r, err := p.Acquaint(ctx, &pb.AcquaintRequest{
		Leader:           leader,
		ControlAddresses: control,
	})
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, address, err)
	}
	return r.GetControlAddresses(), nil
}
