package quarantine

// This file defines how parts of prompts are suspected from the ends of servers.

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// endsToQuarantine is the number of servers that a part has to end, one after the
	// other, to be quarantined.
	endsToQuarantine = 3
	// minSuspicion is the least time from the first blame to the quarantine, within
	// which an innocent part is likely to be in an answered request.
	minSuspicion = 300 * time.Millisecond
	// gatherTime is how long the reports of the requests that were in flight at a server
	// are gathered, and sameEnd how long later reports count as of the same end.
	gatherTime = 50 * time.Millisecond
	sameEnd    = time.Second
	// maxEnds is the number of ends of servers that are kept for one suspect.
	maxEnds = 16
	// maxSuspects bounds the memory, as callers may invent parts.
	maxSuspects = 4096
)

// Victim is a request that was in flight at a server when it went down, and of which the
// caller had no part of the answer.
type Victim struct {
	GrantedAt time.Duration
	// Begun is true if the server had begun its response.
	Begun bool
	// Parts are the parts of the prompt but the last.
	Parts []uint64
}

// end is the end of one server.
type end struct {
	id      uint64
	at      time.Duration
	victims []Victim
	judged  bool
}

// suspect is a part that was blamed and not cleared since.
type suspect struct {
	firstAt, latestAt time.Duration
	// ends holds the ends of servers for which the part is blamed, in their order.
	ends []uint64
}

// suspects holds the suspected parts and the recent ends of servers.
type suspects struct {
	parts map[uint64]*suspect
	// ends holds the recent ends, by server name.
	ends   map[string]*end
	lastID uint64
}

func (s *suspects) idle() bool { return len(s.parts) == 0 && len(s.ends) == 0 }

// addVictim adds a request to the end of a server.
func (s *suspects) addVictim(now time.Duration, server string, v Victim) {
	e := s.ends[server]
	if e == nil {
		if s.ends == nil {
			s.ends = make(map[string]*end)
		}
		s.lastID++
		e = &end{
			id: s.lastID,
			at: now,
		}
		s.ends[server] = e
	}
	if !e.judged {
		e.victims = append(e.victims, v)
	}
}

// gathered returns the ends whose reports have been gathered and that it has not returned
// before, the earliest first.
func (s *suspects) gathered(now time.Duration) []*end {
	var out []*end
	for server, e := range s.ends {
		if !e.judged && now-e.at >= gatherTime {
			e.judged = true
			out = append(out, e)
		}
		if now-e.at >= sameEnd {
			delete(s.ends, server)
		}
	}
	slices.SortFunc(out, func(a, b *end) int { return int(a.id) - int(b.id) })
	return out
}

// blame blames the parts of the victims of an end.
func (s *suspects) blame(e *end) {
	begun := slices.ContainsFunc(e.victims, func(v Victim) bool { return v.Begun })
	for _, v := range e.victims {
		if v.Begun != begun {
			continue
		}
		for _, part := range v.Parts {
			s.blamePart(e, v.GrantedAt, part)
		}
	}
}

// blamePart blames one part for an end. A request that was granted before the previous
// end for which the part is blamed adds nothing.
func (s *suspects) blamePart(e *end, grantedAt time.Duration, part uint64) {
	p := s.parts[part]
	if p == nil {
		s.add(part, &suspect{
			firstAt:  e.at,
			latestAt: e.at,
			ends:     []uint64{e.id},
		})
		return
	}
	if grantedAt < p.latestAt || len(p.ends) >= maxEnds {
		return
	}
	p.ends = append(p.ends, e.id)
	p.latestAt = e.at
}

// add adds a suspect. If there are too many, the one that was blamed the longest ago is
// dropped.
func (s *suspects) add(part uint64, p *suspect) {
	if s.parts == nil {
		s.parts = make(map[uint64]*suspect)
	}
	if len(s.parts) >= maxSuspects {
		oldest, oldestAt := part, p.latestAt
		for other, o := range s.parts {
			if o.latestAt <= oldestAt {
				oldest, oldestAt = other, o.latestAt
			}
		}
		delete(s.parts, oldest)
	}
	s.parts[part] = p
}

// clear removes the suspects that a request which was answered proves innocent.
func (s *suspects) clear(grantedAt time.Duration, parts []uint64) {
	for _, part := range parts {
		if p := s.parts[part]; p != nil && grantedAt >= p.firstAt {
			delete(s.parts, part)
		}
	}
}

// forget removes suspects.
func (s *suspects) forget(parts []uint64) {
	for _, part := range parts {
		delete(s.parts, part)
	}
}

// guilty returns the parts to quarantine because of a suspect, in ascending order: those
// that are blamed for all the ends for which it is. It returns nothing if there is too
// little evidence.
func (s *suspects) guilty(now time.Duration, part uint64, survived func(part uint64, since time.Duration) bool) []uint64 {
	p := s.parts[part]
	if p == nil || len(p.ends) < endsToQuarantine || now-p.firstAt < minSuspicion {
		return nil
	}
	if survived(part, p.firstAt) {
		delete(s.parts, part)
		return nil
	}
	var out []uint64
	for other, o := range s.parts {
		if containsAll(o.ends, p.ends) && !survived(other, o.firstAt) {
			out = append(out, other)
		}
	}
	slices.Sort(out)
	return out
}

// firstBlame returns when the first of some suspects was blamed first.
func (s *suspects) firstBlame(parts []uint64) time.Duration {
	first := time.Duration(-1)
	for _, part := range parts {
		if p := s.parts[part]; p != nil && (first < 0 || p.firstAt < first) {
			first = p.firstAt
		}
	}
	return max(first, 0)
}

// explain clears the other suspects of the ends that the given ones explain.
func (s *suspects) explain(parts []uint64) {
	var explained []uint64
	for _, part := range parts {
		if p := s.parts[part]; p != nil && (explained == nil || len(p.ends) < len(explained)) {
			explained = p.ends
		}
	}
	for part, p := range s.parts {
		if slices.Contains(parts, part) {
			continue
		}
		p.ends = slices.DeleteFunc(p.ends, func(id uint64) bool { return slices.Contains(explained, id) })
		if len(p.ends) == 0 {
			delete(s.parts, part)
		}
	}
}

// identify returns the ID of a quarantine of parts.
func identify(parts []uint64) uint64 {
	var b []byte
	for _, part := range parts {
		b = binary.LittleEndian.AppendUint64(b, part)
	}
	return xxhash.Sum64(b)
}
