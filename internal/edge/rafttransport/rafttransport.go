// Package rafttransport sends Raft messages between control replicas over one
// gRPC stream for each peer.
package rafttransport

// This file defines Transport.

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control"
	"camphorspoke/internal/edge/link"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// maxQueued is the maximum number of messages queued for one peer.
	maxQueued = 1024
	// redialDelay is the pause before a failed stream is opened again.
	redialDelay = 100 * time.Millisecond
	// maxMessage is the largest message sent, in bytes.
	maxMessage = 256 << 20
)

// Transport sends messages to replicas by address. Messages that can't be sent
// are dropped.
type Transport struct {
	dialOptions []grpc.DialOption
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
}

var _ control.Transport = (*Transport)(nil)

// peer is a replica to which messages are sent.
type peer struct {
	conn  *grpc.ClientConn
	queue chan *pb.RaftMessage
}

// New returns a transport. The returned function closes its connections.
func New(opts ...grpc.DialOption) (*Transport, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		dialOptions: link.GRPCDialOptions(append([]grpc.DialOption{
			grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(maxMessage)),
		}, opts...)...),
		ctx:    ctx,
		cancel: cancel,
		peers:  make(map[string]*peer),
	}
	return t, t.close
}

func (t *Transport) close() {
	t.cancel()
	t.wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		p.conn.Close()
	}
}

// peer returns the peer at address, and connects to it on first use. It returns
// nil if the address is invalid.
func (t *Transport) peer(address string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[address]; p != nil {
		return p
	}
	conn, err := grpc.NewClient(address, t.dialOptions...)
	if err != nil {
		return nil
	}
	p := &peer{
		conn:  conn,
		queue: make(chan *pb.RaftMessage, maxQueued),
	}
	t.peers[address] = p
	t.wg.Go(func() { t.sendLoop(p) })
	return p
}

// Send queues m for the replica at address, or drops it if the queue is full.
func (t *Transport) Send(address string, m *pb.RaftMessage) {
	p := t.peer(address)
	if p == nil {
		return
	}
	select {
	case p.queue <- m:
	default:
	}
}

// sendLoop sends the messages queued for p until the transport is closed. It
// opens a new stream after each failure.
func (t *Transport) sendLoop(p *peer) {
	for t.ctx.Err() == nil {
		t.sendUntilError(p)
		select {
		case <-t.ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// sendUntilError opens a stream to p and sends queued messages until it fails.
func (t *Transport) sendUntilError(p *peer) {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	s, err := pb.NewControlServiceClient(p.conn).Raft(ctx)
	if err != nil {
		// sendLoop retries after redialDelay; without the reset, that attempt
		// would wait for gRPC's own backoff.
		p.conn.ResetConnectBackoff()
		discardQueued(p.queue)
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			if s.Send(&pb.RaftRequest{
				Message: m,
			}) != nil {
				return
			}
		}
	}
}

// discardQueued empties the queue of a peer that can't be reached; outdated Raft
// messages are of no use to it.
func discardQueued(q chan *pb.RaftMessage) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

// State returns the identity and state of the replica at address.
func (t *Transport) State(ctx context.Context, address string) (*pb.ReplicaStateResponse, error) {
	p := t.peer(address)
	if p == nil {
		return nil, fault.New(fault.BadSetting, address, "invalid replica address")
	}
	r, err := pb.NewControlServiceClient(p.conn).ReplicaState(ctx, &pb.ReplicaStateRequest{})
	if err != nil {
		return nil, fault.Wrap(fault.NoQuorum, address, err)
	}
	return r, nil
}

// Form sends a request of the formation of a group to the seed at address.
func (t *Transport) Form(ctx context.Context, address string, r *pb.FormRequest) (*pb.FormResponse, error) {
	p := t.peer(address)
	if p == nil {
		return nil, fault.New(fault.BadSetting, address, "invalid replica address")
	}
	resp, err := pb.NewControlServiceClient(p.conn).Form(ctx, r)
	if err != nil {
		return nil, fault.Wrap(fault.NoQuorum, address, err)
	}
	return resp, nil
}
