package replica

// This file defines how the event loop carries out the work of the Raft node: it
// writes to disk, sends messages, applies entries and takes snapshots.

import (
	"time"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/compress"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control/raftlog"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// slowWrite is the time from which a write to disk is logged: it is longer than an election takes,
// so that the group may lose its leader meanwhile.
const slowWrite = time.Second

// processReady carries out the node's work until there is none left, and then
// publishes the status. It returns an error if the disk failed.
func (r *Replica) processReady() error {
	for {
		ready := r.node.Ready()
		if ready.Empty() {
			break
		}
		start := r.Now()
		if err := r.persist(&ready); err != nil {
			return err
		}
		r.logSlowWrite(r.Now() - start)
		r.node.Synced(r.Now())
		for _, m := range ready.Messages {
			if a := r.address(m.GetTo()); a != "" {
				m.FromAddress = r.cfg.Address
				r.cfg.Transport.Send(a, m)
			}
		}
		for _, e := range ready.Committed {
			r.applyEntry(e)
			if e.GetKind() == pb.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS {
				r.repair(r.Now())
			}
		}
		if err := r.maybeSnapshot(); err != nil {
			return err
		}
	}
	if !r.node.IsLeader() && len(r.pending) > 0 {
		r.failPending()
	}
	r.publish()
	return nil
}

// logSlowWrite logs a write to disk that took long.
func (r *Replica) logSlowWrite(took time.Duration) {
	if took >= slowWrite {
		r.cfg.Logger.WithField("elapsedMs", took.Milliseconds()).
			Warn("control: a write to the log of the control group took long")
	}
}

// address returns the address of a replica: the one in the membership, else the
// one in its last message, else the configured one.
func (r *Replica) address(name string) string {
	for _, m := range r.node.Members().GetMembers() {
		if m.GetName() == name && m.GetAddress() != "" {
			return m.GetAddress()
		}
	}
	if a := r.senderAddresses[name]; a != "" {
		return a
	}
	return r.cfg.Peers[name]
}

// persist makes the state in ready durable. A snapshot received from the leader
// also replaces the state of the ledger.
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

// rotate starts a new log segment with the state that the snapshot lacks.
func (r *Replica) rotate(hs *pb.RaftHardState) error {
	return r.log.Rotate(&pb.WalRecord{
		Identity:  r.identity.Load(),
		Formation: r.formation.Load(),
		HardState: hs,
		Entries:   r.node.Retained(),
	})
}

// applyEntry applies a committed entry to the ledger and completes the proposal
// that waits at its index, if there is one.
func (r *Replica) applyEntry(e *pb.RaftEntry) {
	r.entriesSinceSnapshot++
	r.bytesSinceSnapshot += len(e.GetData())
	result := &pb.Result{}
	if e.GetKind() == pb.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND && len(e.GetData()) > 0 {
		c, err := decodeCommand(e.GetData())
		r.cfg.Checker.Check(err == nil, "commandsDecode", "entry %d: %v", e.GetIndex(), err)
		result = r.Ledger.Apply(e.GetIndex(), c)
	}
	p := r.pending[e.GetIndex()]
	if p == nil {
		return
	}
	delete(r.pending, e.GetIndex())
	if p.term != e.GetTerm() {
		p.result <- outcome{
			err: fault.New(fault.NotLeader, r.node.Leader(), "an entry of another leader was committed in place of the command"),
		}
		return
	}
	p.result <- outcome{
		result: result,
	}
}

// decodeCommand returns the command in an entry. For data that can't be decoded
// it returns an error and an empty command, so that the entry has no effect on
// any replica.
func decodeCommand(data []byte) (*pb.Command, error) {
	c := &pb.Command{}
	plain, err := compress.Codec{}.Decompress(data)
	if err != nil {
		return c, err
	}
	if err := proto.Unmarshal(plain, c); err != nil {
		return &pb.Command{}, fault.Wrap(fault.DamagedLog, "command", err)
	}
	return c, nil
}

// maybeSnapshot saves a snapshot and compacts the log if enough entries, by
// number or size, were applied since the last one.
func (r *Replica) maybeSnapshot() error {
	if r.entriesSinceSnapshot < r.cfg.SnapshotEvery && r.bytesSinceSnapshot < snapshotBytes {
		return nil
	}
	keep := uint64(keepEntries)
	if r.bytesSinceSnapshot >= snapshotBytes {
		keep = keepLargeEntries
	}
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
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
