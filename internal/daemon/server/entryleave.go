package server

// This file defines how an entry instance takes changed settings and how it is
// emptied before it stops.

import (
	"context"
	"slices"
	"strings"
	"time"
)

// reloads reads the settings again when it is told to, and every so often, as
// they may change without a signal.
func (e *entry) reloads(stop <-chan struct{}) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		case <-e.in.outside.Reload:
		}
		e.reload()
	}
}

// reload takes the settings that may change while the process runs: where the
// control group is found, and what is logged.
func (e *entry) reload() {
	next, err := e.in.outside.Settings()
	if err != nil {
		e.in.log.WithError(err).Error("daemon: the changed settings can't be used; the old ones stay")
		return
	}
	if slices.Equal(next.Entry.Seeds, e.seeds.Load().Seeds) {
		return
	}
	e.seeds.Store(&next.Entry)
	e.in.control.SetSeeds(next.Entry.Seeds)
	e.in.log.WithField("seeds", strings.Join(next.Entry.Seeds, ",")).Info("daemon: settings reloaded")
}

// ending returns how much time is left until this instance ends, if it leaves.
func (e *entry) ending() (left time.Duration, leaving bool) {
	if !e.leaving.Load() {
		return 0, false
	}
	return time.Duration(e.ends.Load()) - e.in.now(), true
}

// leave empties the instance: it leaves the directory at once, serves what
// callers bring that still hold an older answer, finishes, and ends in time.
func (e *entry) leave(ctx context.Context) {
	start := e.in.now()
	last := start + e.in.set.Entry.Grace - exitMargin
	e.ends.Store(int64(last))
	e.leaving.Store(true)
	e.in.agent.Leave()
	if e.in.replica != nil {
		go e.in.transferLeadership(ctx)
	}
	for e.in.now() < min(start+keepListening, last) {
		time.Sleep(idlePoll)
	}
	for e.inFlight.Load() > 0 && e.in.now() < last {
		time.Sleep(idlePoll)
	}
}
