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

// maybeBootstrap starts a new group. Only the replica whose name sorts first
// does it, and only when every configured replica says its disk is empty.
func (r *Replica) maybeBootstrap() {
	if r.bootstraps || !r.Status().Empty || len(r.cfg.Peers) == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(r.cfg.Peers))
	if names[0] != r.cfg.Name {
		return
	}
	r.bootstraps = true
	go func() {
		for {
			if m := r.askAll(names); m != nil {
				r.bootstrapped <- m
				return
			}
			select {
			case <-r.stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
}

// askAll returns the members of a new group, or nil unless all are empty.
func (r *Replica) askAll(names []string) *pb.RaftMembers {
	members := &pb.RaftMembers{}
	for _, name := range names {
		identity := r.identity
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
