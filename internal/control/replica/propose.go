package replica

// This file defines how commands and changes of membership are handed in.

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/control/raftlog"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
	"camphorspoke/internal/world/pack"
)

// Propose commits a command and returns its result. A NoQuorum failure means
// that the command may still be committed: ask again with the same command.
func (r *Replica) Propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	return r.ProposeIn(ctx, 0, c)
}

// ProposeIn commits a command that was decided on in a term, in that term
// only; zero is any term.
func (r *Replica) ProposeIn(ctx context.Context, term uint64, c *pb.Command) (*pb.Result, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "command", err)
	}
	p := &proposal{
		data:   pack.Codec{}.Pack(data),
		onlyIn: term,
		result: make(chan outcome, 1),
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
		return o.result, o.err
	case <-ctx.Done():
		return nil, fault.Wrap(fault.NoQuorum, r.cfg.Name, ctx.Err())
	case <-r.done:
		return nil, fault.New(fault.NoQuorum, r.cfg.Name, "this replica stopped before the answer")
	}
}

// Change runs f on the log's goroutine: transfers and changes of membership.
func (r *Replica) Change(ctx context.Context, f func(n *raftlog.Node, now time.Duration) error) error {
	c := &change{
		f:    f,
		done: make(chan error, 1),
	}
	select {
	case r.changes <- c:
	case <-ctx.Done():
		return fault.Wrap(fault.NoQuorum, r.cfg.Name, ctx.Err())
	case <-r.done:
		return fault.New(fault.NoQuorum, r.cfg.Name, "this replica has stopped")
	}
	return <-c.done
}

func (r *Replica) propose(batch []*proposal) {
	batch = slices.DeleteFunc(batch, func(p *proposal) bool {
		if p.onlyIn == 0 || p.onlyIn == r.node.Term() {
			return false
		}
		p.result <- outcome{
			err: fault.New(fault.NotLeader, r.node.Leader(), "the term in which this was decided has ended"),
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
		r.waiting[first+uint64(i)] = p
	}
}

func (r *Replica) failAll() {
	for i, p := range r.waiting {
		delete(r.waiting, i)
		p.result <- outcome{
			err: fault.New(fault.NoQuorum, r.cfg.Name, "leadership was lost before the answer"),
		}
	}
}
