package placer

// This file defines how the rate of cold servers is divided among the instances, and how
// cold servers are logged and counted.

import (
	"time"

	"github.com/sirupsen/logrus"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/ratelimit"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/rules/ruleset"
)

// setCold sets the cold time of a service and the rates of this instance, by its position
// in the order of deciders. Without a cold time or a rate, no server is cold.
func (c Config) setCold(svc *scheduler.Service, rule ruleset.Service, rank, instances int) {
	if rule.ColdTime <= 0 || rule.ColdRate <= 0 {
		return
	}
	division := ratelimit.Division{
		Rate:    rule.ColdRate,
		Overage: c.ColdOverage,
		Slack:   c.ColdSlack,
	}
	svc.ColdTime = rule.ColdTime
	svc.ColdRate = division.Decider(rank, instances)
	svc.AloneColdRate = division.Alone(instances)
}

// setColdListing sets what the row of a server announces.
func setColdListing(l *scheduler.Server, row *pb.BackendServer) {
	l.ColdFor = time.Duration(row.GetColdMs()) * time.Millisecond
	l.ColdIndex = row.GetColdIndex()
}

// updateCold brings the cold servers of a service up to date and logs those that have
// become cold or warm. The caller holds mu.
func (d *Schedulers) updateCold(service string, s *scheduler.Scheduler) {
	for _, c := range s.UpdateCold(d.cfg.Now()) {
		log := d.cfg.Logger.WithFields(logrus.Fields{
			"server":  c.Server,
			"service": service,
		})
		if c.Left > 0 {
			log.WithField("coldMs", c.Left.Milliseconds()).Info("placer: a server is cold; it gets requests at a limited rate")
		} else {
			log.Info("placer: a server is no longer cold")
		}
	}
}

// ColdServers returns the number of cold servers by service.
func (d *Schedulers) ColdServers() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int)
	for name, s := range d.services {
		if n := s.ColdServers(d.cfg.Now()); n > 0 {
			out[name] = n
		}
	}
	return out
}
