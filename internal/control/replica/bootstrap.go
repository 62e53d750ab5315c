package replica

// This file defines how a new group starts.

import (
	"context"
	"maps"
	"slices"
	"time"

	"camphorspoke/internal/control/raftlog"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	askPause  = 100 * time.Millisecond
	joinPause = 700 * time.Millisecond
)

// maybeBootstrap starts a new group. Only the replica whose name sorts first
// does it, and only when every configured replica says its disk is empty.
func (r *Replica) maybeBootstrap() {
	if r.bootstraps || !r.Status().Empty {
		return
	}
	if len(r.cfg.Seeds) > 0 {
		r.bootstrapBySeeds()
		return
	}
	if len(r.cfg.Peers) == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(r.cfg.Peers))
	if names[0] != r.cfg.Name {
		return
	}
	r.formWith(func() *pb.RaftMembers { return r.askAll(names) })
}

// formWith asks until ask gives the members of a new group.
func (r *Replica) formWith(ask func() *pb.RaftMembers) {
	r.bootstraps = true
	go func() {
		for {
			if m := ask(); m != nil {
				r.bootstrapped <- m
				return
			}
			select {
			case <-r.stop:
				return
			case <-time.After(askPause):
			}
		}
	}()
}

// askAll returns the members of a new group, or nil unless all are empty.
func (r *Replica) askAll(names []string) *pb.RaftMembers {
	members := &pb.RaftMembers{}
	for _, name := range names {
		identity := r.identity.Load()
		if name != r.cfg.Name {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			st, err := r.cfg.Transport.State(ctx, r.cfg.Peers[name])
			cancel()
			if err != nil || !st.GetEmpty() || st.GetInstance() != name {
				return nil
			}
			identity = st.GetIdentity()
		}
		members.Members = append(members.Members, &pb.RaftMember{
			Name:     name,
			Address:  r.cfg.Peers[name],
			Identity: identity,
		})
	}
	return members
}

// bootstrapBySeeds starts a new group at the system's first start. Only the
// seed whose address sorts first does it, and only when every seed says that
// its disk is empty: two groups can't form, as both would need every seed.
func (r *Replica) bootstrapBySeeds() {
	if !r.cfg.FirstStart || slices.Min(r.cfg.Seeds) != r.cfg.Address {
		return
	}
	r.formWith(r.askSeeds)
}

// askSeeds returns the members of a new group, or nil unless all are empty.
func (r *Replica) askSeeds() *pb.RaftMembers {
	members := &pb.RaftMembers{}
	for _, address := range r.cfg.Seeds {
		if address == r.cfg.Address {
			members.Members = append(members.Members, &pb.RaftMember{
				Name:     r.cfg.Name,
				Address:  address,
				Identity: r.identity.Load(),
			})
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		st, err := r.cfg.Transport.State(ctx, address)
		cancel()
		if err != nil || !st.GetEmpty() || st.GetIdentity() == 0 {
			return nil
		}
		members.Members = append(members.Members, &pb.RaftMember{
			Name:     st.GetInstance(),
			Address:  address,
			Identity: st.GetIdentity(),
		})
	}
	return members
}

// joinLoop asks the leader to take this replica in, as long as no leader
// speaks to it: its disk is empty, or it was dropped while it was away.
func (r *Replica) joinLoop() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(joinPause):
		}
		if r.Status().Leader != "" {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if err := r.cfg.Join(ctx); err != nil {
			r.cfg.Logger.WithError(err).Debug("control: not taken in yet")
		}
		cancel()
	}
}

// bootstrap writes the first entry, unless a group was joined meanwhile.
func (r *Replica) bootstrap(m *pb.RaftMembers) {
	if r.node.Term() != 0 || r.node.LastIndex() != 0 {
		return
	}
	e, err := raftlog.BootstrapEntry(m)
	if err != nil {
		r.cfg.Logger.WithError(err).Error("control: cannot start a group")
		return
	}
	st := raftlog.Stored{
		HardState: &pb.RaftHardState{
			Term: 1,
		},
		Entries: []*pb.RaftEntry{e},
	}
	if err := r.log.Append(&pb.WalRecord{
		HardState: st.HardState,
		Entries:   st.Entries,
	}); err != nil {
		r.cfg.Logger.WithError(err).Error("control: cannot start a group")
		return
	}
	r.node = r.newNode(st)
	r.cfg.Logger.Infof("control: started a group of %d", len(m.GetMembers()))
}
