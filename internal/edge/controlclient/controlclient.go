// Package controlclient reaches the leader of the control group.
package controlclient

// This file defines Client.

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"camphorspoke/internal/control"
	"camphorspoke/internal/edge/link"
	"camphorspoke/internal/edge/status"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

const (
	retryFirst = 20 * time.Millisecond
	retryMax   = 120 * time.Millisecond
	// attemptLimit bounds one try, so that a frozen replica is passed over.
	attemptLimit = time.Second
	// heartbeatTry bounds one try of a heartbeat, so that a silent leader
	// leaves time to ask the others.
	heartbeatTry = 300 * time.Millisecond
	// applyLimit bounds one try of a rule edit, which waits for routers.
	applyLimit = 5 * time.Second
)

// Client sends to the replica that led last and follows hints to the leader.
type Client struct {
	seeds []string
	dial  []grpc.DialOption

	mu sync.Mutex
	// addresses are the seeds and what was learned since.
	addresses []string
	conns     map[string]*grpc.ClientConn
	leader    string
	next      int
}

var _ control.Client = (*Client)(nil)

// New returns a client of the replicas at addresses. The clean-up function
// closes its connections.
func New(addresses []string, opts ...grpc.DialOption) (*Client, func()) {
	c := &Client{
		seeds:     addresses,
		addresses: addresses,
		dial: link.GRPC(append([]grpc.DialOption{
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64 << 20)),
		}, opts...)...),
		conns: make(map[string]*grpc.ClientConn),
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

// SetSeeds replaces the addresses that are always tried.
func (c *Client) SetSeeds(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		if !slices.Contains(c.addresses, a) {
			c.addresses = append(c.addresses, a)
		}
	}
	c.seeds = addresses
}

// Learn adds the addresses of replicas that are not among the seeds; what was
// learned before is replaced.
func (c *Client) Learn(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := slices.Clone(c.seeds)
	for _, a := range addresses {
		if !slices.Contains(next, a) {
			next = append(next, a)
		}
	}
	c.addresses = next
}

// target returns the address to try next and a client for it.
func (c *Client) target() (string, pb.ControlServiceClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.leader
	if addr == "" {
		if len(c.addresses) == 0 {
			return "", nil, fault.New(fault.NoQuorum, "control", "no control replica is configured")
		}
		addr = c.addresses[c.next%len(c.addresses)]
		c.next++
	}
	conn := c.conns[addr]
	if conn == nil {
		var err error
		if conn, err = grpc.NewClient(addr, c.dial...); err != nil {
			return addr, nil, fault.Wrap(fault.NoQuorum, addr, err)
		}
		c.conns[addr] = conn
	}
	return addr, pb.NewControlServiceClient(conn), nil
}

// LearnLeader takes the word of the replica at an address that it leads.
func (c *Client) LearnLeader(address string) { c.setLeader(address) }

func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// call runs f against the leader, following hints, until it answers, fails for
// good, or ctx ends.
func (c *Client) call(ctx context.Context, limit time.Duration, again func(kind fault.Kind) bool, f func(context.Context, pb.ControlServiceClient) error) error {
	wait := retryFirst
	for {
		err := c.try(ctx, limit, f)
		if err == nil {
			return nil
		}
		if !again(fault.KindOf(err)) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, retryMax)
	}
}

func (c *Client) try(ctx context.Context, limit time.Duration, f func(context.Context, pb.ControlServiceClient) error) error {
	addr, client, err := c.target()
	if err != nil {
		return err
	}
	tryCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err = f(tryCtx, client)
	if err == nil {
		c.setLeader(addr)
		return nil
	}
	flt, ok := status.ToFault(err)
	if !ok {
		c.setLeader("")
		return fault.Wrap(fault.NoQuorum, addr, err)
	}
	if flt.Kind == fault.NotLeader {
		c.setLeader(flt.Subject)
	}
	return flt
}

func unlessDecided(k fault.Kind) bool { return k == fault.NotLeader || k == fault.NoQuorum }
func onlyNotLeader(k fault.Kind) bool { return k == fault.NotLeader }

// Propose commits c, asking again while the answer is unknown; an order,
// which must not be placed twice, is sent again only when it was not taken.
func (c *Client) Propose(ctx context.Context, cmd *pb.Command) (*pb.Result, error) {
	again := unlessDecided
	if cmd.GetPlaceOrder() != nil {
		again = onlyNotLeader
	}
	var out *pb.ProposeResponse
	err := c.call(ctx, attemptLimit, again, func(ctx context.Context, cl pb.ControlServiceClient) (err error) {
		out, err = cl.Propose(ctx, &pb.ProposeRequest{
			Command: cmd,
		})
		return err
	})
	return out.GetResult(), err
}

// Heartbeat asks the leader, and the others while it is silent, until ctx ends.
func (c *Client) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	var out *pb.HeartbeatResponse
	err := c.call(ctx, heartbeatTry, unlessDecided, func(ctx context.Context, cl pb.ControlServiceClient) (err error) {
		out, err = cl.Heartbeat(ctx, r)
		return err
	})
	return out, err
}

// Query reads the leader's state.
func (c *Client) Query(ctx context.Context, q *pb.QueryRequest) (*pb.QueryResponse, error) {
	var out *pb.QueryResponse
	err := c.call(ctx, attemptLimit, unlessDecided, func(ctx context.Context, cl pb.ControlServiceClient) (err error) {
		out, err = cl.Query(ctx, q)
		return err
	})
	return out, err
}

// ApplyRules hands an edit to the leader. An edit whose answer was lost is
// sent again: the same change gets its first answer.
func (c *Client) ApplyRules(ctx context.Context, r *pb.ApplyRulesRequest) (*pb.ApplyRulesResponse, error) {
	var out *pb.ApplyRulesResponse
	err := c.call(ctx, applyLimit, unlessDecided, func(ctx context.Context, cl pb.ControlServiceClient) (err error) {
		out, err = cl.ApplyRules(ctx, r)
		return err
	})
	return out, err
}

// ChangeReplica hands a change of membership to the leader.
func (c *Client) ChangeReplica(ctx context.Context, r *pb.ChangeReplicaRequest) error {
	return c.call(ctx, attemptLimit, onlyNotLeader, func(ctx context.Context, cl pb.ControlServiceClient) error {
		_, err := cl.ChangeReplica(ctx, r)
		return err
	})
}
