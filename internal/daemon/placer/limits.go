package placer

// This file defines how the limits that servers name are divided among the instances, and how
// they are logged and counted.

import (
	"github.com/sirupsen/logrus"

	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/serverlimit"
)

// setLimitShares sets the shares of this instance of what servers that name a limit take, by
// its position in the order of deciders, and the number of instances.
func setLimitShares(svc *scheduler.Service, rank, instances int) {
	svc.LimitShare = serverlimit.DeciderShare(rank, instances)
	svc.AloneLimitShare = serverlimit.AloneShare(instances)
	svc.Instances = instances
}

// logLimits logs the limits that servers of a service have named, changed or ended. The caller
// holds mu.
func (d *Schedulers) logLimits(service string, s *scheduler.Scheduler) {
	for _, c := range s.TakeLimitChanges() {
		log := d.cfg.Logger.WithFields(logrus.Fields{
			"server":         c.Server,
			"service":        service,
			"limitPerSecond": c.Now.PerSecond,
		})
		switch {
		case !c.Now.Named:
			log.WithField("limitPerSecond", c.Before.PerSecond).Info("placer: a server no longer names a limit")
		case c.Before.Named:
			log.Info("placer: a server has changed its limit")
		default:
			log.Info("placer: a server names a limit; requests to it are limited to that rate over all instances")
		}
	}
}

// recordLimit records what the decider of a service has received of the limit of a server.
func (d *Schedulers) recordLimit(service, server string, st serverlimit.Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		s.RecordLimit(d.cfg.Now(), server, st)
	}
}

// limit returns what a server has stated of its limit, as far as this instance has received it.
func (d *Schedulers) limit(service, server string) serverlimit.Statement {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		return s.Limit(d.cfg.Now(), server)
	}
	return serverlimit.Statement{}
}

// LimitedServers returns the number of servers that name a limit, by service.
func (d *Schedulers) LimitedServers() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int)
	for name, s := range d.services {
		if n := s.LimitedServers(); n > 0 {
			out[name] = n
		}
	}
	return out
}
