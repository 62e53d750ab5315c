package server

// This file defines how an entry instance reloads its settings, and how it is drained
// before it stops.

import (
	"context"
	"slices"
	"strings"
	"time"

	"camphorspoke/internal/routing/durations"
)

// watchSettings reloads the settings on a signal, and periodically because they may
// change without one.
func (e *entry) watchSettings(stop <-chan struct{}) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		case <-e.instance.adapters.Reload:
		}
		e.reload()
	}
}

// reload applies the settings that may change while the process runs: the seed
// addresses of the control group.
func (e *entry) reload() {
	next, err := e.instance.adapters.Settings()
	if err != nil {
		e.instance.log.WithError(err).Error("daemon: reading the changed settings failed; keeping the current ones")
		return
	}
	if slices.Equal(next.Entry.Seeds, e.currentSettings.Load().Seeds) {
		return
	}
	e.currentSettings.Store(&next.Entry)
	e.instance.control.SetSeeds(next.Entry.Seeds)
	e.instance.log.WithField("seeds", strings.Join(next.Entry.Seeds, ",")).Info("daemon: settings reloaded")
}

// shutdownState reports whether this instance is leaving, since when, and the time left
// until it exits.
func (e *entry) shutdownState() (s durations.Shutdown, leaving bool) {
	if !e.leaving.Load() {
		return durations.Shutdown{}, false
	}
	now := e.instance.now()
	return durations.Shutdown{
		Since: now - time.Duration(e.leaveTime.Load()),
		Left:  time.Duration(e.exitTime.Load()) - now,
	}, true
}

// drain prepares the instance for shutdown. It leaves the directory at once, keeps
// accepting connections for minListenTime because callers may still hold an older
// directory response, and then waits for the requests in flight, until the grace
// period less exitMargin has passed. On return no request is accepted any more.
func (e *entry) drain(ctx context.Context) {
	start := e.instance.now()
	deadline := start + e.instance.cfg.Entry.Grace - exitMargin
	e.leaveTime.Store(int64(start))
	e.exitTime.Store(int64(deadline))
	e.leaving.Store(true)
	e.instance.agent.SetLeaving()
	if e.instance.replica != nil {
		go e.instance.transferLeadership(ctx)
	}
	for e.instance.now() < min(start+minListenTime, deadline) {
		time.Sleep(drainPollInterval)
	}
	for !e.handler.Gate.CloseIfIdle() && e.instance.now() < deadline {
		time.Sleep(drainPollInterval)
	}
	e.handler.Gate.Close()
	e.finishResponses()
}

// finishResponses waits until the responses of requests that have ended are written, and
// closes the connections of callers. Connections with a request in flight are closed after
// flushTimeout.
func (e *entry) finishResponses() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := e.front.Shutdown(ctx); err != nil {
		e.instance.log.WithField("inFlight", e.handler.Gate.Count()).WithError(err).Warn("daemon: connections of callers are still in use after the drain; they are cut off")
	}
}
