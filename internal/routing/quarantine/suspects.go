package quarantine

// This file defines how parts of prompts are suspected from the crashes of servers.

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToQuarantine is the number of servers that a part has to crash, one after the
	// other, to be quarantined.
	crashesToQuarantine = 3
	// minSuspicion is the least time from the first blame to the quarantine, within
	// which a part of many prompts is likely to be in an answered request.
	minSuspicion = 300 * time.Millisecond
	// gatherTime is how long the reports of the requests that were in flight at a server
	// are gathered, and sameCrash how long later reports count as of the same crash.
	gatherTime = 50 * time.Millisecond
	sameCrash  = time.Second
	// maxCrashes is the number of crashes that are kept for one suspect.
	maxCrashes = 16
	// maxSuspects bounds the memory, as callers may invent parts.
	maxSuspects = 4096
)

// Request is a request that is to be sent, or one that was in flight at a server when it
// crashed and of which the caller had no part of the answer.
type Request struct {
	// GrantedAt and Begun are unused for a request that is to be sent.
	GrantedAt time.Duration
	// Begun is true if the server had begun its response.
	Begun bool
	// Parts are the parts of the prompt but the last.
	Parts []uint64
	// Fingerprint identifies the whole request; zero if it is unknown.
	Fingerprint uint64
}

// crash is the crash of one server.
type crash struct {
	id       uint64
	at       time.Duration
	requests []Request
	judged   bool
}

// suspect is a part that was blamed and not cleared since.
type suspect struct {
	firstAt, latestAt time.Duration
	// crashes holds the IDs of the crashes for which the part is blamed, in their order.
	crashes []uint64
}

// suspects holds the suspected parts and the recent crashes of servers.
type suspects struct {
	parts map[uint64]*suspect
	// crashes holds the recent crashes, by server name.
	crashes map[string]*crash
	lastID  uint64
}

func (s *suspects) idle() bool { return len(s.parts) == 0 && len(s.crashes) == 0 }

// addRequest adds a request to the crash of a server.
func (s *suspects) addRequest(now time.Duration, server string, r Request) {
	c := s.crashes[server]
	if c == nil {
		if s.crashes == nil {
			s.crashes = make(map[string]*crash)
		}
		s.lastID++
		c = &crash{
			id: s.lastID,
			at: now,
		}
		s.crashes[server] = c
	}
	if !c.judged {
		c.requests = append(c.requests, r)
	}
}

// gathered returns the crashes whose reports have been gathered and that it has not returned
// before, the earliest first.
func (s *suspects) gathered(now time.Duration) []*crash {
	var out []*crash
	for server, c := range s.crashes {
		if !c.judged && now-c.at >= gatherTime {
			c.judged = true
			out = append(out, c)
		}
		if now-c.at >= sameCrash {
			delete(s.crashes, server)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return cmp.Compare(a.id, b.id) })
	return out
}

// blame blames the parts of the requests of a crash.
func (s *suspects) blame(c *crash) {
	begun := slices.ContainsFunc(c.requests, func(r Request) bool { return r.Begun })
	for _, r := range c.requests {
		if r.Begun != begun {
			continue
		}
		for _, part := range r.Parts {
			s.blamePart(c, r.GrantedAt, part)
		}
	}
}

// blamePart blames one part for a crash. A request that was granted before the previous
// crash for which the part is blamed adds nothing.
func (s *suspects) blamePart(c *crash, grantedAt time.Duration, part uint64) {
	p := s.parts[part]
	if p == nil {
		s.add(part, &suspect{
			firstAt:  c.at,
			latestAt: c.at,
			crashes:  []uint64{c.id},
		})
		return
	}
	if grantedAt < p.latestAt || len(p.crashes) >= maxCrashes {
		return
	}
	p.crashes = append(p.crashes, c.id)
	p.latestAt = c.at
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

// clear removes the suspects that a request which was answered clears.
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

// quarantineSet returns the parts to quarantine because of a suspect, in ascending order:
// those that are blamed for all the crashes for which it is. It returns nothing if there is too
// little evidence.
func (s *suspects) quarantineSet(now time.Duration, part uint64, survived func(part uint64, since time.Duration) bool) []uint64 {
	p := s.parts[part]
	if p == nil || len(p.crashes) < crashesToQuarantine || now-p.firstAt < minSuspicion {
		return nil
	}
	if survived(part, p.firstAt) {
		delete(s.parts, part)
		return nil
	}
	var out []uint64
	for other, o := range s.parts {
		if containsAll(o.crashes, p.crashes) && !survived(other, o.firstAt) {
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

// explain clears the other suspects of the crashes that the given ones explain.
func (s *suspects) explain(parts []uint64) {
	var explained []uint64
	for _, part := range parts {
		if p := s.parts[part]; p != nil && (explained == nil || len(p.crashes) < len(explained)) {
			explained = p.crashes
		}
	}
	for part, p := range s.parts {
		if slices.Contains(parts, part) {
			continue
		}
		p.crashes = slices.DeleteFunc(p.crashes, func(id uint64) bool { return slices.Contains(explained, id) })
		if len(p.crashes) == 0 {
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
