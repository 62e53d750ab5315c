package replica

// This file defines how replicas form a new group and how a replica joins an
// existing one.

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/control/raftlog"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	bootstrapRetryInterval = 100 * time.Millisecond
	joinRetryInterval      = 700 * time.Millisecond
)

// maybeBootstrap begins to form a new group of the configured Peers if this replica
// is empty and its name sorts first. The group is formed once every one of them
// reports that its disk is empty. Seeds form a group in another way; see formBySeeds.
func (r *Replica) maybeBootstrap() {
	if r.bootstrapping || !r.Status().Empty || len(r.cfg.Peers) == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(r.cfg.Peers))
	if names[0] != r.cfg.Name {
		return
	}
	r.formGroup(func() *pb.RaftMembers { return r.queryPeers(names) })
}

// formGroup calls query until it returns the members of a new group, and passes
// them to the event loop.
func (r *Replica) formGroup(query func() *pb.RaftMembers) {
	r.bootstrapping = true
	go func() {
		for r.Status().Empty {
			if m := query(); m != nil {
				r.newGroupMembers <- m
				return
			}
			select {
			case <-r.stop:
				return
			case <-time.After(bootstrapRetryInterval):
			}
		}
	}()
}

// queryPeers returns the members of a new group of all configured replicas, or
// nil unless each of them reports that it is empty.
func (r *Replica) queryPeers(names []string) *pb.RaftMembers {
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

// joinLoop requests to join the group whenever no leader sends messages to this
// replica. That is so if its disk is empty, or if it was removed from the group
// while it was unreachable.
func (r *Replica) joinLoop() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(joinRetryInterval):
		}
		if r.Status().Leader != "" {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if err := r.cfg.Join(ctx); err != nil {
			r.cfg.Logger.WithError(err).Debug("control: request to join the group failed; will retry")
		}
		cancel()
	}
}

// bootstrap stores the first entry of a new group and restarts the node from it.
// It does nothing if this replica has joined a group meanwhile. It keeps a term and a vote
// that another member of the group has brought. It returns an error if the disk failed.
func (r *Replica) bootstrap(m *pb.RaftMembers) error {
	if r.node.LastIndex() != 0 {
		return nil
	}
	e, err := raftlog.BootstrapEntry(m)
	if err != nil {
		r.cfg.Logger.WithError(err).Error("control: cannot encode the members of the new group")
		return nil
	}
	hs := proto.CloneOf(r.node.HardState())
	hs.Term = max(hs.GetTerm(), 1)
	st := raftlog.Stored{
		HardState: hs,
		Entries:   []*pb.RaftEntry{e},
	}
	if err := r.log.Append(&pb.WalRecord{
		HardState: st.HardState,
		Entries:   st.Entries,
	}); err != nil {
		return err
	}
	r.node = r.newNode(st)
	r.cfg.Logger.Infof("control: started a new group of %d replicas", len(m.GetMembers()))
	return nil
}
