// Package sse splits a stream of server-sent events at event boundaries.
//
// Only complete events are forwarded, so a stream that was interrupted can be
// resumed after the last forwarded event by its id.
package sse

// This file defines Splitter.

import "bytes"

// Splitter buffers bytes and returns complete events. The zero value is ready
// to use.
type Splitter struct {
	// Limit is the largest incomplete event that is buffered, in bytes; zero means
	// no limit.
	Limit int

	// buf holds the bytes after the last complete event.
	buf        []byte
	overflowed bool
	// LastID is the id of the last returned event that has an id.
	LastID string
}

// maxKeptBytes is the largest buffer that is kept when little is left in it.
const maxKeptBytes = 16 << 10

// An event ends with an empty line. Lines end with LF or with CR LF.
var (
	lfBoundary   = []byte("\n\n")
	idField      = []byte("id:")
	crlfBoundary = []byte("\r\n\r\n")
	idPadding    = " \r"
)

// Add appends b to the buffer and returns the events that are complete now. The
// result is valid until the next call.
func (s *Splitter) Add(b []byte) []byte {
	if s.overflowed {
		return nil
	}
	searched := max(0, len(s.buf)-len(crlfBoundary)+1)
	s.buf = append(s.buf, b...)
	end := s.lastEnd(searched)
	if s.Limit > 0 && len(s.buf)-end > s.Limit {
		s.overflowed = true
		s.buf = s.buf[:end]
	}
	if end == 0 {
		return nil
	}
	out := bytes.Clone(s.buf[:end])
	s.keep(s.buf[end:])
	s.recordLastID(out)
	return out
}

// keep keeps only rest in the buffer, in a smaller one if this one is large.
func (s *Splitter) keep(rest []byte) {
	if cap(s.buf) > maxKeptBytes && len(rest) < cap(s.buf)/4 {
		s.buf = bytes.Clone(rest)
		return
	}
	s.buf = append(s.buf[:0], rest...)
}

// Size returns the memory that the buffer takes, in bytes.
func (s *Splitter) Size() int { return cap(s.buf) }

// lastEnd returns the offset at which the last complete event in the buffer
// ends, zero if there is none. No event ends in the part before searched.
func (s *Splitter) lastEnd(searched int) int {
	end := 0
	if i := bytes.LastIndex(s.buf[searched:], lfBoundary); i >= 0 {
		end = searched + i + len(lfBoundary)
	}
	if i := bytes.LastIndex(s.buf[searched:], crlfBoundary); i >= 0 {
		end = max(end, searched+i+len(crlfBoundary))
	}
	return end
}

// Overflowed reports whether an event exceeded Limit. Nothing is buffered or returned
// after that.
func (s *Splitter) Overflowed() bool { return s.overflowed }

// recordLastID sets LastID to the id of the last event that has one.
func (s *Splitter) recordLastID(events []byte) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			s.LastID = string(bytes.Trim(id, idPadding))
		}
	}
}

// Rest returns the buffered bytes of the incomplete event.
func (s *Splitter) Rest() []byte { return s.buf }

// Drop discards the buffered bytes of the incomplete event.
func (s *Splitter) Drop() { s.buf = s.buf[:0] }
