// Package sse splits a stream of server-sent events at event boundaries.
//
// Only complete events are forwarded, so a stream that was interrupted can be
// resumed after the last forwarded event by its id.
package sse

// This file defines Splitter.

import (
	"bytes"
	"slices"

	"camphorspoke/internal/base/fault"
)

// Splitter buffers the beginning of an event and returns complete ones. The zero value is
// ready to use.
type Splitter struct {
	// Limit is the largest incomplete event that is buffered, in bytes; zero means
	// no limit.
	Limit int
	// Resize, if set, is called before the buffer takes a number of bytes. If it fails, the
	// buffer does not grow, and the splitter ends with that error.
	Resize func(bytes int) error
	// LastID is the id of the last returned event that has an id.
	LastID string

	// buf holds the bytes after the last complete event.
	buf []byte
	err error
}

// maxKeptBytes is the largest buffer that is kept after the end of its event.
const maxKeptBytes = 16 << 10

// An event ends with an empty line. Lines end with LF or with CR LF.
var (
	boundaries = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}
	idField    = []byte("id:")
	idPadding  = " \r"
)

// maxBoundary is the length of the longest boundary.
const maxBoundary = 4

// Add adds bytes of the stream and returns the events that are complete now.
func (s *Splitter) Add(b []byte) []byte {
	if s.err != nil {
		return nil
	}
	end := s.eventsEnd(b)
	if end == 0 {
		s.err = s.store(b)
		return nil
	}
	out := slices.Concat(s.buf, b[:end])
	s.recordLastID(out)
	if s.err = s.clear(); s.err == nil {
		s.err = s.store(b[end:])
	}
	return out
}

// eventsEnd returns the offset in b at which the last complete event ends, zero if there is
// none. The end of an event may stand partly in the buffer.
func (s *Splitter) eventsEnd(b []byte) int {
	if end := lastBoundaryEnd(b); end > 0 {
		return end
	}
	before := s.buf[max(0, len(s.buf)-maxBoundary+1):]
	seam := slices.Concat(before, b[:min(len(b), maxBoundary-1)])
	return max(0, lastBoundaryEnd(seam)-len(before))
}

// lastBoundaryEnd returns the offset behind the last boundary in b, zero if there is none.
func lastBoundaryEnd(b []byte) int {
	end := 0
	for _, boundary := range boundaries {
		if i := bytes.LastIndex(b, boundary); i >= 0 {
			end = max(end, i+len(boundary))
		}
	}
	return end
}

// store appends the beginning of an event to the buffer.
func (s *Splitter) store(b []byte) error {
	size := len(s.buf) + len(b)
	if s.Limit > 0 && size > s.Limit {
		return fault.New(fault.WrongFrame, "", "the stream has an event without end")
	}
	if size > cap(s.buf) {
		if err := s.grow(max(size, cap(s.buf)*3/2)); err != nil {
			return err
		}
	}
	s.buf = append(s.buf, b...)
	return nil
}

// grow replaces the buffer by a larger one. Both exist while the bytes are copied.
func (s *Splitter) grow(size int) error {
	if err := s.resize(cap(s.buf) + size); err != nil {
		return err
	}
	larger := make([]byte, len(s.buf), size)
	copy(larger, s.buf)
	s.buf = larger
	return s.resize(size)
}

// clear empties the buffer, and drops it if it is large.
func (s *Splitter) clear() error {
	s.buf = s.buf[:0]
	if cap(s.buf) <= maxKeptBytes {
		return nil
	}
	s.buf = nil
	return s.resize(0)
}

func (s *Splitter) resize(bytes int) error {
	if s.Resize == nil {
		return nil
	}
	return s.Resize(bytes)
}

// Err returns why the splitter has ended: an event exceeded Limit, or Resize failed. Nothing
// is buffered or returned after that.
func (s *Splitter) Err() error { return s.err }

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
