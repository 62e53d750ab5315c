package placer

// This file defines how services whose servers are brittle are logged and counted.

import "camphorspoke/internal/routing/scheduler"

// logBrittle logs that the servers of a service are brittle or no longer are. The caller holds mu.
func (d *Schedulers) logBrittle(service string, s *scheduler.Scheduler) {
	isBrittle, changed := s.TakeBrittleChange()
	if !changed {
		return
	}
	log := d.cfg.Logger.WithField("service", service)
	if isBrittle {
		log.Warn("placer: the servers of a service say that they fall over if they refuse too much; they get no more requests than they have slots for")
		return
	}
	log.Info("placer: the servers of a service no longer say that they fall over if they refuse too much")
}

// brittle reports whether the servers of a service are brittle, as far as this instance has received it.
func (d *Schedulers) brittle(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	return s != nil && s.Brittle()
}

// BrittleServices returns 1 for each service whose servers are brittle.
func (d *Schedulers) BrittleServices() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int)
	for name, s := range d.services {
		if s.Brittle() {
			out[name] = 1
		}
	}
	return out
}
