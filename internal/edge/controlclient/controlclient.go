// Package controlclient calls the leader of the control group over gRPC.
//
// The client sends each request to the presumed leader. A replica that is not
// the leader returns the leader's address, if it has one. If a replica does not
// respond in time, the client tries the next address.
package controlclient

// This file defines Client.

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcstatus "google.golang.org/grpc/status"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control"
	"camphorspoke/internal/edge/link"
	"camphorspoke/internal/edge/status"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff between attempts.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 120 * time.Millisecond
	// attemptTimeout bounds one attempt, so that an unresponsive replica is
	// skipped.
	attemptTimeout = time.Second
	// heartbeatAttemptTimeout bounds one attempt of a heartbeat. It is shorter,
	// so that an unresponsive leader leaves time to try the other replicas.
	heartbeatAttemptTimeout = 300 * time.Millisecond
	// applyAttemptTimeout bounds one attempt of a rule edit, which waits for
	// routers to acknowledge the new version.
	applyAttemptTimeout = 5 * time.Second
	// tablesAttemptTimeout bounds one attempt to read the tables. It is long enough
	// for a replica that limits the rate at which it sends them.
	tablesAttemptTimeout = 3 * time.Second
)

// Client sends requests to the presumed leader and follows the leader addresses
// that replicas return.
type Client struct {
	seeds       []string
	dialOptions []grpc.DialOption

	mu sync.Mutex
	// addresses are the seeds, the addresses last given to SetReplicas, and
	// former seeds until the next call of SetReplicas.
	addresses []string
	conns     map[string]*grpc.ClientConn
	// leader is the address of the presumed leader; empty if unknown.
	leader string
	// nextIndex selects the address to try while the leader is unknown.
	nextIndex int
}

var _ control.Client = (*Client)(nil)

// New returns a client of the replicas at addresses. The returned function
// closes its connections.
func New(addresses []string, opts ...grpc.DialOption) (*Client, func()) {
	c := &Client{
		seeds:     addresses,
		addresses: addresses,
		dialOptions: link.GRPCDialOptions(append([]grpc.DialOption{
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

// SetSeeds replaces the addresses that are always tried. The former seeds are
// still tried until the next call of SetReplicas.
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

// SetReplicas sets the addresses of replicas to try besides the seeds. They
// replace those of an earlier call.
func (c *Client) SetReplicas(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Clone(c.seeds)
	for _, a := range addresses {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	c.addresses = all
}

// target returns the address of the next attempt and a client for it: the
// leader if known, otherwise each of c.addresses in turn.
func (c *Client) target() (string, pb.ControlServiceClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.leader
	if addr == "" {
		if len(c.addresses) == 0 {
			return "", nil, fault.New(fault.NoQuorum, "control", "no control replica is configured")
		}
		addr = c.addresses[c.nextIndex%len(c.addresses)]
		c.nextIndex++
	}
	client, err := c.clientFor(addr)
	return addr, client, err
}

// clientFor returns a client for the replica at an address. The caller holds mu.
func (c *Client) clientFor(addr string) (pb.ControlServiceClient, error) {
	conn := c.conns[addr]
	if conn == nil {
		var err error
		if conn, err = grpc.NewClient(addr, c.dialOptions...); err != nil {
			return nil, fault.Wrap(fault.NoQuorum, addr, err)
		}
		c.conns[addr] = conn
	}
	return pb.NewControlServiceClient(conn), nil
}

// hasLeader reports whether the address of a leader is known.
func (c *Client) hasLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != ""
}

// SetLeader records the address of a replica that announced itself as leader.
func (c *Client) SetLeader(address string) { c.setLeader(address) }

func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// call runs f against the leader, following leader addresses, until f succeeds,
// fails with a kind that is not retryable, or ctx ends. Each attempt is bounded
// by timeout.
func (c *Client) call(ctx context.Context, timeout time.Duration, retryable func(kind fault.Kind) bool, f func(context.Context, pb.ControlServiceClient) error) error {
	delay := minRetryDelay
	redirected := false
	for {
		err := c.attempt(ctx, timeout, f)
		if err == nil {
			return nil
		}
		if !retryable(fault.KindOf(err)) {
			return err
		}
		// The first redirect is followed at once; replicas that redirect to one another
		// are not queried without a pause.
		redirected = !redirected && c.hasLeader() && fault.KindOf(err) == fault.NotLeader
		if redirected && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// attempt runs f once and updates the presumed leader from its result.
func (c *Client) attempt(ctx context.Context, timeout time.Duration, f func(context.Context, pb.ControlServiceClient) error) error {
	addr, client, err := c.target()
	if err != nil {
		return err
	}
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = f(attemptCtx, client)
	if err == nil {
		c.setLeader(addr)
		return nil
	}
	failure, ok := status.ToFault(err)
	if !ok {
		c.setLeader("")
		return fault.Wrap(fault.NoQuorum, addr, err)
	}
	if failure.Kind == fault.NotLeader {
		c.setLeader(failure.Subject)
	}
	return failure
}

// retryIfUndecided allows a retry after any failure other than a final rejection
// of the request, even if an earlier attempt may have been executed.
func retryIfUndecided(k fault.Kind) bool { return k == fault.NotLeader || k == fault.NoQuorum }

// retryIfNotLeader allows a retry only if the replica rejected the request because
// it is not the leader.
func retryIfNotLeader(k fault.Kind) bool { return k == fault.NotLeader }

// Propose commits cmd. It retries while the outcome of earlier attempts is
// unknown. An order is not idempotent and is retried only if the replica
// rejected it because it is not the leader.
func (c *Client) Propose(ctx context.Context, cmd *pb.Command) (*pb.Result, error) {
	retryable := retryIfUndecided
	if cmd.GetPlaceOrder() != nil {
		retryable = retryIfNotLeader
	}
	var out *pb.ProposeResponse
	err := c.call(ctx, attemptTimeout, retryable, func(ctx context.Context, cl pb.ControlServiceClient) (err error) {
		out, err = cl.Propose(ctx, &pb.ProposeRequest{
			Command: cmd,
		})
		return err
	})
	return out.GetResult(), err
}

// Heartbeat sends a heartbeat to the leader, or to one replica after another
// while the leader is unknown or does not respond, until one accepts it or
// finally rejects it, or ctx ends.
func (c *Client) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	var out *pb.HeartbeatResponse
	err := c.call(ctx, heartbeatAttemptTimeout, retryIfUndecided, func(ctx context.Context, cl pb.ControlServiceClient) (err error) {
		out, err = cl.Heartbeat(ctx, r)
		return err
	})
	return out, err
}

// Query reads the leader's state.
func (c *Client) Query(ctx context.Context, q *pb.QueryRequest) (*pb.QueryResponse, error) {
	var out *pb.QueryResponse
	err := c.call(ctx, attemptTimeout, retryIfUndecided, func(ctx context.Context, cl pb.ControlServiceClient) (err error) {
		out, err = compressed(ctx, q, cl.Query)
		return err
	})
	return out, err
}

// compressed makes a call whose request or response may be large. A replica of an older build that
// does not know the compression is called without it.
func compressed[Q, R any](ctx context.Context, request Q, call func(context.Context, Q, ...grpc.CallOption) (R, error)) (R, error) {
	response, err := call(ctx, request, link.Compressed())
	if grpcstatus.Code(err) == codes.Unimplemented {
		return call(ctx, request)
	}
	return response, err
}

// ApplyRules sends a rule edit to the leader. An edit whose response was lost
// is retried; this is safe because the leader recognises a repeated edit and
// returns the result of the first.
func (c *Client) ApplyRules(ctx context.Context, r *pb.ApplyRulesRequest) (*pb.ApplyRulesResponse, error) {
	var out *pb.ApplyRulesResponse
	err := c.call(ctx, applyAttemptTimeout, retryIfUndecided, func(ctx context.Context, cl pb.ControlServiceClient) (err error) {
		out, err = compressed(ctx, r, cl.ApplyRules)
		return err
	})
	return out, err
}

// Tables reads table rows and rules from the known replicas in random order, the presumed
// leader last, until one of them responds.
func (c *Client) Tables(ctx context.Context, r *pb.TablesRequest) (*pb.TablesResponse, error) {
	var err error = fault.New(fault.NoQuorum, "control", "no control replica is configured")
	for _, addr := range c.tableSources() {
		var resp *pb.TablesResponse
		if resp, err = c.tablesFrom(ctx, addr, r); err == nil {
			return resp, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// tableSources returns the known addresses in random order, the presumed leader
// last: its link carries the heartbeats of all routers.
func (c *Client) tableSources() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return a == c.leader })
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if c.leader != "" {
		out = append(out, c.leader)
	}
	return out
}

func (c *Client) tablesFrom(ctx context.Context, addr string, r *pb.TablesRequest) (*pb.TablesResponse, error) {
	c.mu.Lock()
	client, err := c.clientFor(addr)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, tablesAttemptTimeout)
	defer cancel()
	resp, err := client.Tables(ctx, r)
	if err != nil {
		return nil, fault.Wrap(fault.NoQuorum, addr, err)
	}
	if resp.GetIndex() <= r.GetSeenIndex() && resp.GetRuleVersion() <= r.GetRuleVersion() {
		return nil, fault.New(fault.NoQuorum, addr, "the replica has applied no newer rows or rules")
	}
	return resp, nil
}

// ChangeReplica sends a membership change of the control group to the leader.
func (c *Client) ChangeReplica(ctx context.Context, r *pb.ChangeReplicaRequest) error {
	return c.call(ctx, attemptTimeout, retryIfNotLeader, func(ctx context.Context, cl pb.ControlServiceClient) error {
		_, err := cl.ChangeReplica(ctx, r)
		return err
	})
}
