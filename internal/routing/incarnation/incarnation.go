// Package incarnation tells the present incarnation of a server, from one start to the next, from the
// one before it that had the same name.
//
// Whatever a server says of itself, and whatever was counted for it, holds for one incarnation. The
// evidence of a new one, the strongest first:
//
//   - The platform's list shows the name at another address.
//   - A server that has announced that it leaves says so in all its answers. One that does not, on a
//     connection that was opened after the announcement had come, is of a new incarnation.
//   - The list shows another time of joining, or a server as ready that it showed as leaving. The list
//     lags, so that this may be about an earlier start than the announcement is, if that is newer than
//     ListLag: the server is then asked.
//   - The server itself states another time of its start, in what is read of its cache. When it was
//     started between two reads is unknown, so that an announcement is not ended by it either: the
//     server is asked.
//
// Late evidence is recognised by time: an announcement that came before the connection was opened on
// which the server answered without it, and a time of start before the one known, change nothing.
//
// Without any evidence an announcement is not believed without end: from confirmAfter on, while the
// list does not confirm it, the server is due to be asked for its health, at a rate that falls.
package incarnation

// This file defines State.

import "time"

// ListLag is how long the list may lag behind the servers.
const ListLag = 2 * time.Second

const (
	// confirmAfter is the age at which an announcement is confirmed with the server if the list does
	// not show it: the list usually does earlier, and a server that leaves takes some 3 s for that.
	confirmAfter = 4 * time.Second
	// firstAskInterval is the time between the first two times that a server is asked. It doubles up
	// to maxAskInterval.
	firstAskInterval = time.Second
	maxAskInterval   = 8 * time.Second
)

// Evidence is what shows that a new incarnation of a server has begun.
type Evidence string

// The kinds of evidence; None is that there is none.
const (
	None        Evidence = ""
	NewAddress  Evidence = "address"
	JoinedAgain Evidence = "joined"
	ReadyAgain  Evidence = "ready"
	Answered    Evidence = "answered"
	BornAgain   Evidence = "born"
)

// Listing is what the platform's list shows of a server.
type Listing struct {
	Address  string
	JoinedMs int64
	// Leaving is true while the list shows the server as leaving.
	Leaving bool
}

// Same reports whether two listings of a server are of the same incarnation, by address and time of
// joining.
func (l Listing) Same(other Listing) bool {
	return l.Address == other.Address && l.JoinedMs == other.JoinedMs
}

// State holds what is known of the present incarnation of one server. The zero value is one of which
// nothing is known. It is not safe for concurrent use.
type State struct {
	listed  bool
	listing Listing
	// announced is true if the incarnation has announced that it leaves, last at announcedAt.
	announced   bool
	announcedAt time.Duration
	// served is true once the server has answered without announcing it. servedAt is when the latest
	// connection was opened on which it did: announcements from before are of earlier incarnations.
	served   bool
	servedAt time.Duration
	// bornMs is the time of its start that the server states; zero if unknown.
	bornMs int64
	// asks is how often the announcement was confirmed with the server, and askAt when that is due.
	asks  int
	askAt time.Duration
}

// Listing returns what the list has shown last.
func (s *State) Listing() Listing { return s.listing }

// List records what the list shows now.
func (s *State) List(now time.Duration, l Listing) Evidence {
	before, known := s.listing, s.listed
	s.listing, s.listed = l, true
	switch {
	case !known:
		return None
	case l.Address != before.Address:
		*s = State{
			listed:  true,
			listing: l,
		}
		return NewAddress
	case before.Leaving && !l.Leaving:
		s.endListed(now)
		return ReadyAgain
	case l.JoinedMs != before.JoinedMs:
		s.endListed(now)
		return JoinedAgain
	default:
		return None
	}
}

// endListed ends the incarnation by the list. An announcement within ListLag may be that of the new one.
func (s *State) endListed(now time.Duration) {
	s.bornMs = 0
	if s.announcedAt <= now-ListLag {
		s.announced = false
	}
	s.askNow(now)
}

// askNow makes the confirmation of an announcement due.
func (s *State) askNow(now time.Duration) { s.asks, s.askAt = 0, now }

// Announce records that the server has announced, at a time, that it leaves, and reports whether that
// is new. One of an earlier incarnation is ignored.
func (s *State) Announce(at time.Duration) bool {
	if s.served && at <= s.servedAt {
		return false
	}
	if s.announced {
		s.announcedAt = max(s.announcedAt, at)
		return false
	}
	s.announced, s.announcedAt = true, at
	s.asks, s.askAt = 0, at+confirmAfter
	return true
}

// Answer records that the server has answered without announcing that it leaves, on a connection that
// was opened at a time.
func (s *State) Answer(opened time.Duration) Evidence {
	if !s.served || opened > s.servedAt {
		s.served, s.servedAt = true, opened
	}
	if !s.announced || opened <= s.announcedAt {
		return None
	}
	s.announced, s.bornMs = false, 0
	return Answered
}

// Birth records the time of its start that the server has stated.
func (s *State) Birth(now time.Duration, bornMs int64) Evidence {
	if bornMs <= s.bornMs {
		return None
	}
	known := s.bornMs != 0
	s.bornMs = bornMs
	if !known {
		return None
	}
	s.askNow(now)
	return BornAgain
}

// Leaving reports whether the present incarnation has announced that it leaves.
func (s *State) Leaving() bool { return s.announced }

// LeavingSince returns when that was announced last.
func (s *State) LeavingSince() time.Duration { return s.announcedAt }

// ServedAt returns when the latest connection was opened on which the server has answered without
// announcing that it leaves; false if that is unknown.
func (s *State) ServedAt() (time.Duration, bool) { return s.servedAt, s.served }

// AskDue reports whether the server should be asked for its health, as nothing confirms that it leaves.
func (s *State) AskDue(now time.Duration) bool {
	return s.announced && !s.listing.Leaving && now >= s.askAt
}

// Ask records that the server is asked.
func (s *State) Ask(now time.Duration) {
	s.askAt = now + min(firstAskInterval<<min(s.asks, 8), maxAskInterval)
	s.asks++
}
