package replica

// This file defines how a replica recovers after its disk has failed.
//
// After a failed write or sync it is unknown what is on disk, so the replica must
// not acknowledge anything based on it. It discards its state in memory and
// reloads it from the data folder, as after a crash: everything acknowledged is
// there, and what is not there was never acknowledged. It then writes and syncs
// the loaded state again before using it, since a failed sync may have left
// data that is readable but only in the page cache.

import (
	"time"

	"camphorspoke/internal/base/fault"
)

// reopenRetryInterval is the pause between attempts to reopen the storage. It is
// short compared with the seconds that a failed disk takes to recover.
const reopenRetryInterval = 250 * time.Millisecond

// reopen retries until the storage can be used again. Until then it drops
// messages and rejects proposals. It returns false if the replica is stopped.
func (r *Replica) reopen(cause error) bool {
	r.cfg.Logger.WithError(cause).Error("control: the disk failed; reloading the replica from it")
	r.failed.Store(&cause)
	r.status.Store(&Status{
		Role: "failed",
	})
	r.failPending()
	r.closeLog()
	r.closeLog = func() {}
	next := time.NewTicker(reopenRetryInterval)
	defer next.Stop()
	for {
		select {
		case <-r.stop:
			return false
		case <-r.inbox:
		case p := <-r.proposals:
			p.result <- outcome{
				err: fault.New(fault.NotLeader, "", "the disk of this replica has failed"),
			}
		case c := <-r.nodeCalls:
			c.done <- fault.New(fault.NotLeader, "", "the disk of this replica has failed")
		case <-next.C:
			if err := r.tryReopen(); err != nil {
				r.cfg.Logger.WithError(err).Warn("control: reopening the storage failed; will retry")
				continue
			}
			r.failed.Store(nil)
			r.cfg.Logger.Info("control: the disk has recovered; the replica is running again")
			return true
		}
	}
}

// tryReopen makes one attempt to open the storage, load it and write the loaded
// state to a new segment.
func (r *Replica) tryReopen() error {
	log, contents, closeLog, err := r.cfg.Open()
	if err != nil {
		return err
	}
	r.log = log
	r.identity.Store(contents.Identity)
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
	r.Ledger.Reset()
	if err := r.load(contents, nil); err != nil {
		closeLog()
		return err
	}
	if err := r.rotate(r.node.HardState()); err != nil {
		closeLog()
		return err
	}
	r.closeLog = closeLog
	return nil
}
