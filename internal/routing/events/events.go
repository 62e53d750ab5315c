// Package events cuts a stream of server-sent events at the ends of events, so
// that only whole ones are passed on and a stream that broke off can go on
// after the last of them.
package events

// This file defines Splitter.

import "bytes"

// Splitter collects bytes and gives back whole events. The zero value works.
type Splitter struct {
	buf []byte
	// LastID is the id of the last whole event given back.
	LastID string
}

var (
	blank  = []byte("\n\n")
	field  = []byte("id:")
	crlf   = []byte("\r\n\r\n")
	spaces = " \r"
)

// Add takes bytes and returns the whole events that are complete now. The
// result is valid until the next call.
func (s *Splitter) Add(b []byte) []byte {
	s.buf = append(s.buf, b...)
	end := s.lastEnd()
	if end == 0 {
		return nil
	}
	out := bytes.Clone(s.buf[:end])
	s.buf = append(s.buf[:0], s.buf[end:]...)
	s.note(out)
	return out
}

// lastEnd returns where the last whole event ends, zero when there is none.
func (s *Splitter) lastEnd() int {
	end := 0
	if i := bytes.LastIndex(s.buf, blank); i >= 0 {
		end = i + len(blank)
	}
	if i := bytes.LastIndex(s.buf, crlf); i >= 0 {
		end = max(end, i+len(crlf))
	}
	return end
}

// note remembers the id of the last event that has one.
func (s *Splitter) note(events []byte) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, field); ok {
			s.LastID = string(bytes.Trim(id, spaces))
		}
	}
}

// Rest returns the bytes of an event that is not complete.
func (s *Splitter) Rest() []byte { return s.buf }

// Drop forgets the bytes of an event that is not complete.
func (s *Splitter) Drop() { s.buf = s.buf[:0] }
