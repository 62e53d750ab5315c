package guarantee

// This file checks that a stream, over all attempts of its caller, holds each event once, in
// order, and events from servers of one software version.

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// toleratedMixed is how many streams of a run may hold events of two versions.
	toleratedMixed = 2
	// minTakenUp is how many attempts have to take up streams, so that a run shows something.
	minTakenUp = 12
	// listedStreams is how many streams a violation names.
	listedStreams = 5
	// traceTime is the format of times in traces.
	traceTime = "15:04:05.000"
)

// StreamEvent is an event of a stream that a caller received.
type StreamEvent struct {
	// Attempt is the ID of the attempt that received it.
	Attempt string
	Number  int
	// Version is that of the software of the server that wrote it.
	Version string
	At      time.Time
}

// stream is a stream with the IDs of its attempts and the events of all of them.
type stream struct {
	name     string
	attempts []string
	events   []StreamEvent
	faulty   bool
}

// recordStreamAttempt adds an attempt to its stream.
func (c *Checker) recordStreamAttempt(a Attempt) {
	s, ok := c.streams[a.Stream]
	if !ok {
		s = &stream{
			name: a.Stream,
		}
		c.streams[a.Stream] = s
	}
	s.attempts = append(s.attempts, a.ID)
}

// ReceivedEvent records an event of a stream, and a violation unless it is the one after the
// last. A stream gives one violation at most.
func (c *Checker) ReceivedEvent(e StreamEvent) {
	defer c.lock()()
	s := c.streams[c.attempts[e.Attempt].Stream]
	if e.Number != len(s.events)+1 && !s.faulty {
		s.faulty = true
		c.addViolationf("a stream holds each event once and in order", "%s received event %d of %s, expected %d", e.Attempt, e.Number, s.name, len(s.events)+1)
	}
	s.events = append(s.events, e)
	if e.Number == 1 {
		c.counts["streams begun"]++
	}
}

// StreamEnded records that an attempt received a complete response to a stream of so many
// events, and a violation if the stream does not have all of them.
func (c *Checker) StreamEnded(attempt string, events int) {
	defer c.lock()()
	s := c.streams[c.attempts[attempt].Stream]
	if s.faulty {
		return
	}
	if len(s.events) == events {
		c.counts["streams whole"]++
		return
	}
	s.faulty = true
	c.addViolationf("a stream that ends as complete has all its events", "%s has %d events of %d at the end of %s", s.name, len(s.events), events, attempt)
}

// CheckTakenUp records a violation if less than half of the attempts that take up a stream bring an
// event, or if there are too few to show it.
func (c *Checker) CheckTakenUp() {
	defer c.lock()()
	attempts, goneOn := c.takenUp()
	if attempts < minTakenUp || 2*goneOn < attempts {
		c.addViolationf("streams that are taken up go on", "%d of %d did", goneOn, attempts)
	}
}

// takenUp returns how many attempts have taken up a stream, and how many of them brought an event.
func (c *Checker) takenUp() (attempts, goneOn int) {
	for _, s := range c.streams {
		begun := s.first()
		brought := make(map[string]bool)
		for _, e := range s.events {
			brought[e.Attempt] = true
		}
		for _, id := range s.attempts {
			if begun == "" || id == begun {
				continue
			}
			attempts++
			if brought[id] {
				goneOn++
			}
		}
	}
	return attempts, goneOn
}

// first returns the attempt that brought the first event of a stream, empty if none did.
func (s *stream) first() string {
	if len(s.events) == 0 {
		return ""
	}
	return s.events[0].Attempt
}

// mixed reports whether the stream holds events of two versions.
func (s *stream) mixed() bool {
	return slices.ContainsFunc(s.events, func(e StreamEvent) bool { return e.Version != s.events[0].Version })
}

// sortedStreams returns the streams in the order of their names.
func (c *Checker) sortedStreams() []*stream {
	all := make([]*stream, 0, len(c.streams))
	for _, s := range c.streams {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *stream) int { return strings.Compare(a.name, b.name) })
	return all
}

// CheckStreams records a violation if more streams than are tolerated hold events of two
// versions.
func (c *Checker) CheckStreams() {
	defer c.lock()()
	var mixed []string
	for _, s := range c.sortedStreams() {
		if s.mixed() {
			mixed = append(mixed, s.name)
		}
	}
	c.counts["streams with events of two versions"] = len(mixed)
	if len(mixed) > toleratedMixed {
		c.addViolationf("streams hold events of one version", "%d of %d streams hold events of two, %d allowed: %s", len(mixed), c.counts["streams begun"], toleratedMixed, strings.Join(mixed[:min(len(mixed), listedStreams)], ", "))
	}
}

// StreamTraces returns the attempts, executions and events of each stream that is out of order
// or holds events of two versions.
func (c *Checker) StreamTraces() string {
	defer c.lock()()
	var out strings.Builder
	for _, s := range c.sortedStreams() {
		if s.faulty || s.mixed() {
			c.trace(&out, s)
		}
	}
	return out.String()
}

func (c *Checker) trace(out *strings.Builder, s *stream) {
	fmt.Fprintf(out, "stream %s\n", s.name)
	for _, id := range s.attempts {
		a := c.attempts[id]
		fmt.Fprintf(out, "  %s sent %s to %s\n", id, a.Sent.Format(traceTime), a.Address)
		for _, e := range c.executions[id] {
			fmt.Fprintf(out, "    executed at %s %s to %s\n", e.server, e.at.Format(traceTime), e.ended.Format(traceTime))
		}
		for _, e := range s.events {
			if e.Attempt == id {
				fmt.Fprintf(out, "    event %d of %s %s\n", e.Number, e.Version, e.At.Format(traceTime))
			}
		}
	}
}
