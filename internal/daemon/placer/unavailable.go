package placer

// This file defines how an instance gives back a grant of a decider that has not received what the
// server has announced: that this instance is to send it nothing for a while, that it leaves, or its
// limit. This and the evacuations in the instance's view hold whoever decides, as they are looked at
// between the decision and the send.

import (
	"time"

	"github.com/sirupsen/logrus"

	"camphorspoke/internal/routing/incarnation"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/serverlimit"
)

// maxReportedAge is the age up to which a limit is reported to a decider that has not received it.
// An instance that has sent the server nothing for longer does not know whether it still holds.
const maxReportedAge = 30 * time.Second

// unavailability is why a server must not get a request of this instance.
type unavailability struct {
	// pauseLeft is how much is left of the time for which the server has asked this
	// instance to send it nothing.
	pauseLeft time.Duration
	// leaving is true if the server has announced that it leaves, last at leavingSince, or this instance
	// has it as leaving. A decider that is cut off from the control group may not have received
	// either.
	leaving      bool
	leavingSince time.Duration
	// drained is true if this instance has the server as drained by an operator.
	drained bool
	// evacuated is true if this instance has the failure domain of the server as
	// evacuated.
	evacuated bool
	domain    string
	// limit is the limit of the server if the decider had not received it.
	limit serverlimit.Statement
	// otherVersion is true if the server has another version than the one that the request is
	// bound to.
	otherVersion bool
}

func (u unavailability) any() bool {
	return u.otherVersion || u.pauseLeft > 0 || u.leaving || u.drained || u.evacuated || u.limit.Named
}

// unavailable returns why this instance must not send a request to a server of a service; the zero value
// if it may.
func (p *Placer) unavailable(service, server string) unavailability {
	u := p.schedulers.announced(service, server)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.view.Servers[server]
	if s.GetLeaving() && !u.leaving {
		// The list shows it somewhat late, and the server may be back soon after the list does.
		u.leaving, u.leavingSince = true, p.cfg.Now()-incarnation.ListLag
	}
	u.drained = s.GetDrained()
	u.evacuated = p.view.IsEvacuated(s)
	u.domain = s.GetFailureDomain()
	return u
}

// announced returns what a server has announced of itself, to this instance or to those for which it
// decides.
func (d *Schedulers) announced(service, server string) unavailability {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if s == nil {
		return unavailability{}
	}
	since, leaving := s.LeavingSince(server)
	return unavailability{
		pauseLeft:    s.PauseLeft(d.cfg.Now(), server, d.cfg.Instance),
		leaving:      leaving,
		leavingSince: since,
	}
}

// unreportedLimit returns the limit that the server of a grant has named, if another instance made
// the choice without knowing of it. This instance has learned what that decider knows, so that
// a limit that is known here is newer.
func (p *Placer) unreportedLimit(g *Grant) serverlimit.Statement {
	if g.stream == nil || g.Limit.Named {
		return serverlimit.Statement{}
	}
	st := p.schedulers.limit(g.service, g.Server)
	if !st.Named || st.Age > maxReportedAge {
		return serverlimit.Statement{}
	}
	return st
}

// excludedDomains returns the failure domains that this instance has as evacuated.
func (p *Placer) excludedDomains() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.EvacuatedDomains()
}

// serversIn returns the servers of a service in a failure domain.
func (p *Placer) serversIn(service, domain string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, s := range p.view.Servers {
		if s.GetService() == service && s.GetFailureDomain() == domain && !s.GetGone() {
			out = append(out, s.GetName())
		}
	}
	return out
}

// withdraw gives back a grant whose server must not get a request of this instance. It
// reports a pause, an announcement to leave or a limit to the schedulers, which do not know of it: another
// decider may have granted the request that the server answered. An evacuation reaches
// them with their own view.
func (p *Placer) withdraw(g *Grant, u unavailability) {
	p.cfg.Logger.WithFields(logrus.Fields{
		"server":      g.Server,
		"decider":     g.Decider,
		"pauseLeftMs": u.pauseLeft.Milliseconds(),
		"leaving":     u.leaving,
		"drained":     u.drained,
		"evacuated":   u.evacuated,
		"serverLimit": u.limit.PerSecond,
		"version":     g.Version,
	}).Info(u.reason())
	g.Report(scheduler.Report{
		Event:      scheduler.Cancelled,
		RetryAfter: u.pauseLeft,
		Leaving:    u.leaving,
		LeavingAt:  u.leavingSince,
		Limit:      u.limit,
	})
}

// reason returns the log line for a grant that is given back.
func (u unavailability) reason() string {
	if u.limit.Named {
		return "placer: the decider had not received the limit that the chosen server has named; the request is placed again"
	}
	if u.otherVersion {
		return "placer: the chosen server has another version than the one that began the stream; the request is placed again"
	}
	return "placer: the chosen server has asked for a pause, leaves, is drained or is evacuated; the request is placed again"
}
