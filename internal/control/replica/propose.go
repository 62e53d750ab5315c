package replica

// This file defines how callers propose commands and change the membership.

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/compress"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control/raftlog"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Propose commits a command and returns its result. An error of kind NoQuorum
// means that the command may still be committed; the caller should retry with
// the same command. The result of a command that is acknowledged to an operator is
// held back while the group is being repaired; see awaitRepair.
func (r *Replica) Propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	return r.ProposeInTerm(ctx, 0, c)
}

// ProposeInTerm is like Propose, but fails unless the current term is the given one.
// A leader uses it for decisions that are valid only in the term in which it made
// them. Zero allows any term.
func (r *Replica) ProposeInTerm(ctx context.Context, term uint64, c *pb.Command) (*pb.Result, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "command", err)
	}
	p := &proposal{
		ctx:          ctx,
		data:         compress.Codec{}.Compress(data),
		requiredTerm: term,
		result:       make(chan outcome, 1),
	}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, fault.Wrap(fault.NotLeader, r.cfg.Name, ctx.Err())
	case <-r.done:
		return nil, fault.New(fault.NotLeader, r.cfg.Name, "this replica has stopped")
	}
	select {
	case o := <-p.result:
		if o.err == nil && acknowledgedOutside(c) {
			o.err = r.awaitRepair(ctx, p.term)
		}
		return o.result, o.err
	case <-ctx.Done():
		return nil, fault.Wrap(fault.NoQuorum, r.cfg.Name, ctx.Err())
	case <-r.done:
		return nil, fault.New(fault.NoQuorum, r.cfg.Name, "this replica stopped before the command was committed; it may still be committed")
	}
}

// CallNode calls f with the node in the event loop and returns its error. It is
// meant for leadership transfers and membership changes.
func (r *Replica) CallNode(ctx context.Context, f func(n *raftlog.Node, now time.Duration) error) error {
	c := &nodeCall{
		f:    f,
		done: make(chan error, 1),
	}
	select {
	case r.nodeCalls <- c:
	case <-ctx.Done():
		return fault.Wrap(fault.NoQuorum, r.cfg.Name, ctx.Err())
	case <-r.done:
		return fault.New(fault.NoQuorum, r.cfg.Name, "this replica has stopped")
	}
	return <-c.done
}

// propose passes a batch of proposals to the node. It drops those whose callers have left,
// and fails those whose required term is not the current one, and all if this replica is
// not the leader.
func (r *Replica) propose(batch []*proposal) {
	batch = slices.DeleteFunc(batch, func(p *proposal) bool {
		// A caller that has left may have proposed the opposite since, elsewhere.
		if p.ctx.Err() != nil {
			return true
		}
		if p.requiredTerm == 0 || p.requiredTerm == r.node.Term() {
			return false
		}
		p.result <- outcome{
			err: fault.New(fault.NotLeader, r.node.Leader(), "the term for which the command was proposed has ended"),
		}
		return true
	})
	if len(batch) == 0 {
		return
	}
	data := make([][]byte, len(batch))
	for i, p := range batch {
		data[i] = p.data
	}
	first, term, err := r.node.Propose(r.Now(), data...)
	for i, p := range batch {
		if err != nil {
			p.result <- outcome{
				err: err,
			}
			continue
		}
		p.term = term
		r.pending[first+uint64(i)] = p
	}
}

// failPending fails all proposals that are not committed yet.
func (r *Replica) failPending() {
	for i, p := range r.pending {
		delete(r.pending, i)
		p.result <- outcome{
			err: fault.New(fault.NoQuorum, r.cfg.Name, "this replica lost leadership before the command was committed; it may still be committed"),
		}
	}
}
