package replica

// This file defines how a replica goes on after its disk has failed.
//
// A write or a sync that failed leaves open what is on disk, so nothing may be
// promised on it. The replica lets go of all that it held in memory and starts
// anew from the folder, as after a crash: what it has acknowledged is there, and
// what is not there was never acknowledged. What it reads is written once more
// and synced before it counts, since a failed sync may have left bytes that are
// only in memory.

import (
	"time"

	"camphorspoke/internal/world/fault"
)

// reopenPause is the pause between tries; disks recover after seconds.
const reopenPause = 250 * time.Millisecond

// reopen tries until the folder can be used again; false when the replica stops.
func (r *Replica) reopen(cause error) bool {
	r.cfg.Logger.WithError(cause).Error("control: the disk failed; the replica starts anew from it")
	r.failed.Store(&cause)
	r.status.Store(&Status{
		Role: "failed",
	})
	r.failAll()
	r.closeLog()
	r.closeLog = func() {}
	next := time.NewTicker(reopenPause)
	defer next.Stop()
	for {
		select {
		case <-r.stop:
			return false
		case <-r.inbox:
		case p := <-r.proposals:
			p.result <- outcome{
				err: fault.New(fault.NotLeader, "", "this replica's disk has failed"),
			}
		case c := <-r.changes:
			c.done <- fault.New(fault.NotLeader, "", "this replica's disk has failed")
		case <-next.C:
			if err := r.tryReopen(); err != nil {
				r.cfg.Logger.WithError(err).Warn("control: the disk can't be used yet")
				continue
			}
			r.failed.Store(nil)
			r.cfg.Logger.Info("control: the disk is used again")
			return true
		}
	}
}

func (r *Replica) tryReopen() error {
	log, contents, closeLog, err := r.cfg.Open()
	if err != nil {
		return err
	}
	r.log = log
	r.identity.Store(contents.Identity)
	r.sinceSnap, r.bytesSince = 0, 0
	r.Ledger.Reset()
	if err := r.load(contents); err != nil {
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
