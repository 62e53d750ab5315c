package replica

// This file defines what the loop writes to disk and applies.

import (
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/control/raftlog"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
	"camphorspoke/internal/world/pack"
)

// work carries out what the node asks for until it asks for nothing.
func (r *Replica) work() error {
	for {
		ready := r.node.Ready()
		if ready.Empty() {
			break
		}
		if err := r.persist(&ready); err != nil {
			return err
		}
		r.node.Synced(r.Now())
		for _, m := range ready.Messages {
			if a := r.address(m.GetTo()); a != "" {
				m.FromAddress = r.cfg.Address
				r.cfg.Transport.Send(a, m)
			}
		}
		for _, e := range ready.Committed {
			r.applyEntry(e)
		}
		if err := r.maybeSnapshot(); err != nil {
			return err
		}
	}
	if !r.node.IsLeader() && len(r.waiting) > 0 {
		r.failAll()
	}
	r.publish()
	return nil
}

func (r *Replica) address(name string) string {
	for _, m := range r.node.Members().GetMembers() {
		if m.GetName() == name && m.GetAddress() != "" {
			return m.GetAddress()
		}
	}
	if a := r.heard[name]; a != "" {
		return a
	}
	return r.cfg.Peers[name]
}

func (r *Replica) persist(ready *raftlog.Ready) error {
	if ready.Snapshot != nil {
		if err := r.log.SaveSnapshot(ready.Snapshot); err != nil {
			return err
		}
		if err := r.rotate(ready.HardState); err != nil {
			return err
		}
		return r.Ledger.Restore(ready.Snapshot.GetData())
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	return r.log.Append(&pb.WalRecord{
		HardState: ready.HardState,
		Entries:   ready.Entries,
	})
}

func (r *Replica) rotate(hs *pb.RaftHardState) error {
	return r.log.Rotate(&pb.WalRecord{
		Identity:  r.identity.Load(),
		HardState: hs,
		Entries:   r.node.Retained(),
	})
}

func (r *Replica) applyEntry(e *pb.RaftEntry) {
	r.sinceSnap++
	r.bytesSince += len(e.GetData())
	result := &pb.Result{}
	if e.GetKind() == pb.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND && len(e.GetData()) > 0 {
		c, err := decodeCommand(e.GetData())
		r.cfg.Checker.Holds(err == nil, "commandsDecode", "entry %d: %v", e.GetIndex(), err)
		result = r.Ledger.Apply(e.GetIndex(), c)
	}
	p := r.waiting[e.GetIndex()]
	if p == nil {
		return
	}
	delete(r.waiting, e.GetIndex())
	if p.term != e.GetTerm() {
		p.result <- outcome{
			err: fault.New(fault.NotLeader, r.node.Leader(), "another leader's entry took the place"),
		}
		return
	}
	p.result <- outcome{
		result: result,
	}
}

// decodeCommand returns the command of an entry; what can't be decoded is a
// command without effect, at every replica alike.
func decodeCommand(data []byte) (*pb.Command, error) {
	c := &pb.Command{}
	plain, err := pack.Codec{}.Unpack(data)
	if err != nil {
		return c, err
	}
	if err := proto.Unmarshal(plain, c); err != nil {
		return &pb.Command{}, fault.Wrap(fault.DamagedLog, "command", err)
	}
	return c, nil
}

func (r *Replica) maybeSnapshot() error {
	if r.sinceSnap < r.cfg.SnapshotEvery && r.bytesSince < snapshotBytes {
		return nil
	}
	keep := uint64(keepEntries)
	if r.bytesSince >= snapshotBytes {
		keep = keepLarge
	}
	r.sinceSnap, r.bytesSince = 0, 0
	data, err := r.Ledger.Encode()
	if err != nil {
		return err
	}
	index := r.node.Applied()
	snap := &pb.RaftSnapshot{
		Index:   index,
		Term:    r.node.TermAt(index),
		Members: r.node.MembersAt(index),
		Data:    data,
	}
	if err := r.log.SaveSnapshot(snap); err != nil {
		return err
	}
	r.node.Compact(snap, keep)
	return r.rotate(r.node.HardState())
}
