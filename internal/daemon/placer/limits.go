package placer

// This file defines how the limits that servers name are divided among the instances, and how
// they are logged and counted.

import "camphorspoke/internal/routing/serverlimit"

// learnLimit records what the decider of a service knows of the limit of a server.
func (d *Schedulers) learnLimit(service, server string, st serverlimit.Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		s.LearnLimit(d.cfg.Now(), server, st)
	}
}

// limit returns what a server has said of its limit, as far as this instance knows.
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
