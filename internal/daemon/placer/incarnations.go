package placer

// This file defines how an instance finds out that a server has started anew, and when what servers
// announce was received. What is concluded from it is in package incarnation.

import (
	"time"

	"github.com/sirupsen/logrus"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
)

const (
	// maxReportDelay is for how long a report may be under way from another instance: a connection is
	// taken to have been opened this much earlier than the report says.
	maxReportDelay = 2 * time.Second
	// afterFreeze is how long after a freeze what is read may have arrived during it.
	afterFreeze = time.Second
	// healthInterval is the time between two rounds in which servers are asked for their health, and
	// maxHealthChecks the most that are asked in a round, of all services.
	healthInterval  = 250 * time.Millisecond
	maxHealthChecks = 2
	// othersHealthDelay is how much later an instance asks that is not one of the deciders of the
	// service: the deciders tell it in their decisions, so that not all instances ask a server.
	othersHealthDelay = 15 * time.Second
)

// freezes finds out when this process was not run: the ticker has then come late.
type freezes struct {
	lastTick time.Duration
	// begun and ended are those of the last freeze.
	begun, ended time.Duration
}

// tick records that the ticker runs.
func (f *freezes) tick(now time.Duration) {
	if f.lastTick != 0 && now-f.lastTick > maxLateness {
		f.begun, f.ended = f.lastTick, now
	}
	f.lastTick = now
}

// receivedAt returns the earliest time at which something may have arrived that is read now: the begin
// of a freeze, right after it.
func (f *freezes) receivedAt(now time.Duration) time.Duration {
	switch {
	case f.lastTick != 0 && now-f.lastTick > maxLateness:
		return f.lastTick
	case f.ended != 0 && now-f.ended < afterFreeze:
		return f.begun
	default:
		return now
	}
}

func (d *Schedulers) recordTick(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freezes.tick(now)
}

// receivedAt returns the earliest time at which something may have arrived that is read now.
func (d *Schedulers) receivedAt() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freezes.receivedAt(d.cfg.Now())
}

// leavingAt returns when the announcement in a report of another instance was received there. Without
// an age, from an older build, it is taken as new.
func (d *Schedulers) leavingAt(r *pb.PlaceReport) time.Duration {
	if !r.GetLeaving() {
		return 0
	}
	return d.receivedAt() - time.Duration(r.GetLeavingAgeMs())*time.Millisecond
}

// openedAt returns when, at the latest, the connection in a report of another instance was opened on
// which the server has answered; zero if the report names none.
func (d *Schedulers) openedAt(r *pb.PlaceReport) time.Duration {
	if r.GetConnectionAgeMs() == 0 {
		return 0
	}
	return d.receivedAt() - time.Duration(r.GetConnectionAgeMs())*time.Millisecond - maxReportDelay
}

// recordServing records that a server has answered without announcing that it leaves, on a connection
// that was opened at a time.
func (d *Schedulers) recordServing(service, server, address string, opened time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		s.RecordServing(d.cfg.Now(), server, address, opened)
		d.logIncarnations(service, s)
	}
}

// recordLeaving records that a server has just announced that it leaves.
func (d *Schedulers) recordLeaving(service, server, address string, at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		s.RecordLeaving(server, address, at)
	}
}

// recordBirth records the time of its start that a server has stated.
func (d *Schedulers) recordBirth(service, server, address string, bornMs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil && bornMs > 0 {
		s.RecordBirth(d.cfg.Now(), server, address, bornMs)
		d.logIncarnations(service, s)
	}
}

// logIncarnations logs which servers leave, and logs and counts their new incarnations. The caller holds mu.
func (d *Schedulers) logIncarnations(service string, s *scheduler.Scheduler) {
	for _, server := range s.TakeDepartures() {
		d.cfg.Logger.WithField("server", server).WithField("service", service).
			Info("placer: a server announced that it leaves; it gets no more requests")
	}
	for _, r := range s.TakeRestarts() {
		d.cfg.Logger.WithFields(logrus.Fields{
			"server":   r.Server,
			"service":  service,
			"evidence": r.Evidence,
			"leaving":  r.Leaving,
		}).Info("placer: a server has started anew; what was known of it before has ended")
		if d.cfg.OnRestart != nil {
			d.cfg.OnRestart(service)
		}
	}
}

// checkHealth asks servers for their health that have announced that they leave, which nothing
// confirms.
func (d *Schedulers) checkHealth() {
	now := d.cfg.Now()
	if d.cfg.CheckHealth == nil || now < d.healthAt {
		return
	}
	d.healthAt = now + healthInterval
	left := maxHealthChecks
	for _, service := range d.serviceNames() {
		delay := othersHealthDelay
		if d.entitled(service) {
			delay = 0
		}
		for _, c := range d.takeHealthChecks(service, delay, left) {
			left--
			go d.checkServer(service, c)
		}
	}
}

func (d *Schedulers) serviceNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]string, 0, len(d.services))
	for name := range d.services {
		out = append(out, name)
	}
	return out
}

func (d *Schedulers) takeHealthChecks(service string, delay time.Duration, limit int) []scheduler.HealthCheck {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		return s.TakeHealthChecks(d.cfg.Now(), delay, d.cfg.Instance, limit)
	}
	return nil
}

// checkServer asks a server for its health and records what it says.
func (d *Schedulers) checkServer(service string, c scheduler.HealthCheck) {
	asked := d.cfg.Now()
	h, ok := d.cfg.CheckHealth(service, c.Address)
	log := d.cfg.Logger.WithFields(logrus.Fields{
		"server":   c.Server,
		"service":  service,
		"answered": ok,
		"serves":   h.Serves,
		"leaving":  h.Leaving,
	})
	switch {
	case !ok || h.Server != "" && h.Server != c.Server:
	case h.Leaving:
		d.recordLeaving(service, c.Server, c.Address, d.receivedAt())
	case h.Serves:
		d.recordServing(service, c.Server, c.Address, asked)
	}
	log.Info("placer: asked a server whether it still leaves, as the list does not show it")
}
