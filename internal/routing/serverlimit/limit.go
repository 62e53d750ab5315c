package serverlimit

// This file defines Limit.

import "time"

// maxAnswerTime is the time from the grant of a request within which its response counts as
// current. A later one may have been held up in an instance that was frozen.
const maxAnswerTime = time.Second

// Limit is the newest statement of the limit of one server. The zero value holds none. It is not
// safe for concurrent use.
type Limit struct {
	statement  Statement
	receivedAt time.Duration
}

// Observe records what a response states, whose request was granted at grantedAt. A newer
// statement replaces an older one. A late response does not revoke a limit that was received
// after the grant of its request, nor raise it: the limit may have been named since. It may
// name or lower one, as the next response of a later request corrects that. Observe reports
// whether the limit has changed.
func (l *Limit) Observe(now, grantedAt time.Duration, st Statement) bool {
	if !st.valid() {
		return false
	}
	before, receivedAt := l.statement, now-st.Age
	late := receivedAt-grantedAt > maxAnswerTime && l.receivedAt >= grantedAt
	if before.Known && (receivedAt < l.receivedAt || late && !lower(st, before)) {
		return false
	}
	l.statement, l.receivedAt = st, receivedAt
	return st.Named != before.Named || st.Named && st.PerSecond != before.PerSecond
}

// lower reports whether a names a limit that is lower than that of b.
func lower(a, b Statement) bool { return a.Named && (!b.Named || a.PerSecond < b.PerSecond) }

// Unconfirmed returns the limit as any statement replaces it: that of a server of which the next
// incarnation has not answered yet.
func (l Limit) Unconfirmed() Limit {
	l.receivedAt = 0
	return l
}

// Named reports whether the server names a limit.
func (l *Limit) Named() bool { return l.statement.Named }

// PerSecond returns the limit in requests a second; zero if the server names none.
func (l *Limit) PerSecond() float64 { return l.statement.PerSecond }

// Statement returns what is known, with its age.
func (l *Limit) Statement(now time.Duration) Statement {
	st := l.statement
	if st.Known {
		st.Age = max(now-l.receivedAt, 0)
	}
	return st
}
