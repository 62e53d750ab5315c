// Package departure records which servers have announced in their responses that they
// leave.
//
// A server announces it before the platform's list shows it, and the list lags. So what
// the list reports afterwards does not revoke an announcement: that ends with the
// incarnation of the server. A new incarnation is known by another address or time of
// joining, or by the list having shown the server as leaving, and as ready again since.
package departure

// This file defines Tracker.

// Listing is what the platform's list shows of a server.
type Listing struct {
	// Address and JoinedMs identify the incarnation of a server of that name.
	Address  string
	JoinedMs int64
	// Leaving is true while the list shows the server as leaving.
	Leaving bool
}

// SameIncarnation reports whether two listings of a server are of the same incarnation.
func (l Listing) SameIncarnation(other Listing) bool {
	return l.Address == other.Address && l.JoinedMs == other.JoinedMs
}

// Tracker holds the announcements of servers by name; the zero value has none. It is not
// safe for concurrent use.
type Tracker struct {
	announced map[string]*announcement
}

// announcement is that of one incarnation of a server.
type announcement struct {
	listing Listing
	// confirmed is true once the list has shown the server as leaving.
	confirmed bool
}

// Announce records that a server, as listed now, has announced that it leaves. It reports
// whether that is new.
func (t *Tracker) Announce(name string, l Listing) bool {
	if t.announced[name] != nil {
		return false
	}
	if t.announced == nil {
		t.announced = make(map[string]*announcement)
	}
	t.announced[name] = &announcement{
		listing:   l,
		confirmed: l.Leaving,
	}
	return true
}

// Leaving reports whether the present incarnation of a server has announced that it leaves.
func (t *Tracker) Leaving(name string) bool { return t.announced[name] != nil }

// Update applies a new list. listing returns what it shows of a server, and false if the
// server is gone.
func (t *Tracker) Update(listing func(name string) (Listing, bool)) {
	for name, a := range t.announced {
		l, ok := listing(name)
		switch {
		case !ok, !l.SameIncarnation(a.listing), a.confirmed && !l.Leaving:
			delete(t.announced, name)
		case l.Leaving:
			a.confirmed = true
		}
	}
}
