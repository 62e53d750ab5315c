// Package rafttransport carries messages between control replicas over one
// gRPC stream for each peer.
package rafttransport

// This file defines Transport.

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"camphorspoke/internal/control"
	"camphorspoke/internal/edge/link"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

const (
	queueLength = 1024
	redialAfter = 100 * time.Millisecond
	maxMessage  = 256 << 20
)

// Transport sends to replicas by address; what can't be sent is dropped.
type Transport struct {
	dial   []grpc.DialOption
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
}

var _ control.Transport = (*Transport)(nil)

type peer struct {
	conn  *grpc.ClientConn
	queue chan *pb.RaftMessage
}

// New returns a transport; the clean-up function closes its connections.
func New(opts ...grpc.DialOption) (*Transport, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		dial: link.GRPC(append([]grpc.DialOption{
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

func (t *Transport) peer(address string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[address]; p != nil {
		return p
	}
	conn, err := grpc.NewClient(address, t.dial...)
	if err != nil {
		return nil
	}
	p := &peer{
		conn:  conn,
		queue: make(chan *pb.RaftMessage, queueLength),
	}
	t.peers[address] = p
	t.wg.Go(func() { t.pump(p) })
	return p
}

// Send queues m, or drops it when the queue is full.
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

func (t *Transport) pump(p *peer) {
	for t.ctx.Err() == nil {
		t.stream(p)
		select {
		case <-t.ctx.Done():
		case <-time.After(redialAfter):
		}
	}
}

// stream sends from the queue until the stream breaks.
func (t *Transport) stream(p *peer) {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	s, err := pb.NewControlServiceClient(p.conn).Raft(ctx)
	if err != nil {
		// The next try comes soon, and must not wait for the library's pause.
		p.conn.ResetConnectBackoff()
		drop(p.queue)
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

// drop empties a queue whose peer is away: old messages are of no use to it.
func drop(q chan *pb.RaftMessage) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

// State asks the replica at address who it is.
func (t *Transport) State(ctx context.Context, address string) (*pb.ReplicaStateResponse, error) {
	p := t.peer(address)
	if p == nil {
		return nil, fault.New(fault.BadSetting, address, "not an address")
	}
	r, err := pb.NewControlServiceClient(p.conn).ReplicaState(ctx, &pb.ReplicaStateRequest{})
	if err != nil {
		return nil, fault.Wrap(fault.NoQuorum, address, err)
	}
	return r, nil
}
