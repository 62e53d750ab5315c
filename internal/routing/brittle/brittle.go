// Package brittle limits what is in flight at servers that fall over if they have to refuse too much.
//
// Load pattern: a service gets more than it can take while its servers are brittle, or one of them is
// away. A refusal that costs little otherwise then takes the server away for seconds, and its load
// drives the next one over. So requests wait for a server or are refused before they are sent.
//
// A State holds whether the servers of a service say that they are brittle. A Window is the number of
// requests that one of them gets at a time: its slots at most, fewer after a refusal, and few once it
// is back, as in the congestion control of TCP.
package brittle

// This file defines Statement, State and Window.

import "time"

const (
	// holdTime is how long a service counts as brittle after the last answer that said so. Its servers
	// may be away for seconds, and are brittle when they are back.
	holdTime = 15 * time.Second
	// endDelay is how long after the last such answer a request has to be granted whose answer ends it.
	// Answers of several servers come out of order.
	endDelay = time.Second
	// probation is how long a window stays at one request after a reset: another instance that has
	// decided before may go on for as long, with a window of its own.
	probation = time.Second
	// decrease is by what a refusal multiplies a window.
	decrease = 0.7
)

// Statement is what a response says of its server. The zero value says nothing.
type Statement struct {
	// Known is true if the response says that the server is brittle, or would have said so.
	Known bool
	// Refusals is how many requests the server refuses in a second before it falls over; zero if it
	// is not brittle.
	Refusals float64
}

// State is whether the servers of a service are brittle. The zero value is that they are not.
type State struct {
	// saidAt is when the last answer said so, if brittle is true.
	brittle bool
	saidAt  time.Duration
}

// Observe records what the response to a request that was granted at a time says. It reports whether
// the state has changed.
func (s *State) Observe(now, grantedAt time.Duration, st Statement) (changed bool) {
	before := s.Brittle(now)
	switch {
	case st.Refusals > 0:
		s.brittle, s.saidAt = true, now
	case st.Known && grantedAt > s.saidAt+endDelay:
		s.brittle = false
	}
	return s.Brittle(now) != before
}

// Brittle reports whether the servers of the service are brittle.
func (s *State) Brittle(now time.Duration) bool { return s.brittle && now-s.saidAt < holdTime }

// Window is how many requests a brittle server gets at a time. The zero value starts with one.
type Window struct {
	// size grows by one with each answer below threshold, and more slowly above it. Zero stands for
	// one.
	size      float64
	threshold float64
	// heldUntil is the time until which the window does not grow.
	heldUntil time.Duration
}

// Size returns the number of requests that a server with the given slots may have.
func (w *Window) Size(slots int) int { return min(max(int(w.size), 1), slots) }

// Open sets the window to all slots, for a server that is known to take them.
func (w *Window) Open(slots int) {
	*w = Window{
		size:      float64(slots),
		threshold: float64(slots),
	}
}

// Reset sets the window to one request, for a server of which it is not known what it has. It stays so
// for probation.
func (w *Window) Reset(now time.Duration) {
	*w = Window{
		heldUntil: now + probation,
	}
}

// Answered grows the window after an answer.
func (w *Window) Answered(now time.Duration, slots int) {
	if now < w.heldUntil {
		return
	}
	w.size = max(w.size, 1)
	if w.threshold == 0 || w.size < w.threshold {
		w.size++
	} else {
		w.size += 1 / w.size
	}
	w.size = min(w.size, float64(slots))
}

// Refused shrinks the window after a refusal.
func (w *Window) Refused(slots int) {
	w.size = max(decrease*min(max(w.size, 1), float64(slots)), 1)
	w.threshold = w.size
}
