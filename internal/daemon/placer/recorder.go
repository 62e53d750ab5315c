package placer

// This file defines how quarantined parts of prompts and requests are recorded for all instances.
// The schedulers of the decider find them; the log of the control group holds them, so
// that they outlive the decider, and all instances receive them with the tables.

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/quarantine"
	"camphorspoke/internal/routing/scheduler"
)

const (
	// maxUnrecorded is how many changes may wait to be recorded.
	maxUnrecorded = 256
	// recordTimeout bounds one attempt to record a change, and recordInterval is the
	// time until the next one.
	recordTimeout  = 2 * time.Second
	recordInterval = 500 * time.Millisecond
)

// quarantines returns the rows of one service for its scheduler.
func quarantines(rows map[uint64]*pb.Quarantine) []quarantine.Quarantine {
	var out []quarantine.Quarantine
	for id, q := range rows {
		out = append(out, quarantine.Quarantine{
			ID:           id,
			Parts:        slices.Clone(q.GetParts()),
			WholeRequest: q.GetWholeRequest(),
			FailedTrials: int(q.GetFailedTrials()),
		})
	}
	return out
}

// recordChanges queues the changes of a scheduler to be recorded. The caller holds mu.
func (d *Schedulers) recordChanges(service string, s *scheduler.Scheduler) {
	for _, q := range s.TakeQuarantineChanges() {
		log := d.cfg.Logger.WithFields(logrus.Fields{
			"service":      service,
			"quarantine":   strconv.FormatUint(q.ID, 16),
			"parts":        prefixcache.FormatIDs(q.Parts),
			"wholeRequest": q.WholeRequest,
			"failedTrials": q.FailedTrials,
		})
		switch {
		case q.Released:
			log.Info("placer: a quarantine has ended")
		case q.Suspected():
			log.Warn("placer: two servers in a row have crashed under a request; it is held off until a trial")
		case q.WholeRequest:
			log.Warn("placer: a request that crashes the servers which run it is quarantined")
		default:
			log.Warn("placer: parts of prompts that crash the servers which answer them are quarantined")
		}
		select {
		case d.changes <- &pb.Quarantine{
			Service:      service,
			Id:           q.ID,
			Parts:        q.Parts,
			WholeRequest: q.WholeRequest,
			FailedTrials: uint32(q.FailedTrials),
			Released:     q.Released,
			Source:       d.cfg.Instance,
		}:
		default:
			log.Error("placer: too many changes of quarantines wait to be recorded, one is left out")
		}
	}
}

// runRecorder records the changes, each until it succeeds.
func (p *Placer) runRecorder() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case c := <-p.schedulers.changes:
			p.record(c)
		}
	}
}

// record records one change, with retries until it succeeds or the placer stops.
func (p *Placer) record(c *pb.Quarantine) {
	if p.cfg.Record == nil {
		return
	}
	for failed := false; ; failed = true {
		ctx, cancel := context.WithTimeout(p.ctx, recordTimeout)
		err := p.cfg.Record(ctx, c)
		cancel()
		if err == nil || p.ctx.Err() != nil {
			return
		}
		if !failed {
			p.cfg.Logger.WithError(err).WithField("service", c.GetService()).
				Warn("placer: recording a quarantine failed; it is tried again")
		}
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(recordInterval):
		}
	}
}
