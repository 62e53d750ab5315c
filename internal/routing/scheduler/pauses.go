package scheduler

// This file defines how servers that ask an instance for a pause are left out for it. A
// server that turns some requests away may still run others, so that the other instances
// go on until they are asked too. It counts as loaded, not as failing.

import (
	"math"
	"time"
)

// pauseSpread is how much longer than the pause, as a fraction of it, callers are asked to
// wait at most, so that they do not return at the same time.
const pauseSpread = 0.5

// recordPause records that a server asked an instance to send it nothing.
func (s *Scheduler) recordPause(now time.Duration, sv *server, instance string, pause time.Duration) {
	if pause <= 0 {
		return
	}
	sv.pauses.Record(now, instance, pause)
	s.pausedUntil = max(s.pausedUntil, now+sv.pauses.Left(now, instance))
}

// PauseLeft returns how long an instance is still to send nothing to the named server.
func (s *Scheduler) PauseLeft(now time.Duration, name, instance string) time.Duration {
	sv := s.servers[name]
	if sv == nil {
		return 0
	}
	return sv.pauses.Left(now, instance)
}

// anyPaused reports whether any server may have asked for a pause that is in force.
func (s *Scheduler) anyPaused(now time.Duration) bool { return now < s.pausedUntil }

// pauseLeft returns the time until the first of the servers that may run req ends its
// pause; zero if one of them has not asked for any.
func (s *Scheduler) pauseLeft(now time.Duration, req Request) time.Duration {
	if !s.anyPaused(now) {
		return 0
	}
	shortest := time.Duration(math.MaxInt64)
	for _, sv := range s.listedServers {
		if !sv.mayRun(req) {
			continue
		}
		shortest = min(shortest, sv.pauses.Left(now, req.Instance))
		if shortest == 0 {
			return 0
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return shortest
}

// retryAfter returns when the caller of a refused request should return: when there is
// expected to be room, or somewhat after the first server ends its pause.
func (s *Scheduler) retryAfter(now time.Duration, req Request) time.Duration {
	paced := s.paceWait(now, req)
	if req.Alone {
		paced = min(paced, aloneRetryAfter)
	}
	wait := max(s.expectedWait(req), paced)
	if pause := s.pauseLeft(now, req); pause > 0 {
		spread := 1 + pauseSpread*tieBreak("", req.ID)
		wait = max(wait, time.Duration(spread*float64(pause)))
	}
	return wait
}
