package scheduler

// This file defines how servers that name a limit get requests at no higher rate.

import (
	"time"

	"camphorspoke/internal/routing/serverlimit"
)

// LearnLimit records what another scheduler knows of the limit of a server.
func (s *Scheduler) LearnLimit(now time.Duration, name string, st serverlimit.Statement) {}

// Limit returns what a server has said of its limit, as far as the scheduler knows.
func (s *Scheduler) Limit(now time.Duration, name string) serverlimit.Statement {
	return serverlimit.Statement{}
}

// LimitedServers returns the number of servers that name a limit.
func (s *Scheduler) LimitedServers() int { return 0 }
