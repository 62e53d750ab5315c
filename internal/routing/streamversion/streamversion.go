// Package streamversion remembers which version of a server's software began each stream that a
// caller may take up again.
//
// It is a deterministic state machine: it reads no clock and does no I/O. Load pattern:
// thousands of streams a second, of which few are ever taken up again, so that a record is
// one small map entry and records expire together.
package streamversion

// This file defines Tracker.

import (
	"slices"
	"time"
)

// Unknown is recorded for a stream that was begun by a server whose version was not known then. It is no
// version that a list can name.
const Unknown = "\x00"

const (
	// defaultRetention is used if Tracker.Retention is zero.
	defaultRetention = 30 * time.Second
	// maxRecords bounds the records between two expirations. Further streams are not
	// recorded, so that they are not taken up while two versions serve.
	maxRecords = 1 << 18
	// maxVersions bounds the versions that have records.
	maxVersions = 256
)

// Record is what an instance knows of the version that began a stream.
type Record struct {
	Version string
	// Begun is true if an event of the stream came from a server of that version. Otherwise a server
	// of it has only answered, as builds report that know no Begun, and the stream may begin elsewhere.
	Begun bool
}

// Known reports whether the record names the version that began the stream.
func (r Record) Known() bool { return r.Begun && r.Version != Unknown }

// rank orders the records of one stream by what they know.
func (r Record) rank() int {
	switch {
	case r.Known():
		return 2
	case r.Begun:
		return 1
	default:
		return 0
	}
}

// Merge returns what two records of a stream know together, of which next was received later. A
// stream begins once, so that the result is the same in either order; only of two records without Begun
// the later one holds. conflict is true if, against that, two versions are recorded to have begun the
// stream; then the first holds.
func (r Record) Merge(next Record) (merged Record, conflict bool) {
	switch {
	case next.rank() > r.rank():
		return next, false
	case next.rank() < r.rank():
		return r, false
	case r.Known():
		return r, next.Version != r.Version
	default:
		return next, false
	}
}

// Tracker holds the versions of recent streams. The zero Tracker is empty and ready to use. It
// is not safe for concurrent use.
type Tracker struct {
	// Retention is for how long a record is kept at least; twice as long at most. Zero is 30 s.
	Retention time.Duration

	// versions holds each version once; a record refers to it.
	versions []string
	// recent holds the records since rotatedAt, older those of the period before.
	recent, older map[uint64]entry
	rotatedAt     time.Duration
}

// entry is a record with the index of its version.
type entry struct {
	version uint16
	begun   bool
}

// Record adds a record of the stream of a key to what is known of it. conflict is true if another
// version is recorded to have begun the stream.
func (t *Tracker) Record(now time.Duration, key uint64, r Record) (conflict bool) {
	if before, ok := t.Lookup(now, key); ok {
		r, conflict = before.Merge(r)
	}
	i := t.index(r.Version)
	records := t.recordsFor(key)
	if records == nil || i >= maxVersions {
		return conflict
	}
	records[key] = entry{
		version: uint16(i),
		begun:   r.Begun,
	}
	return conflict
}

// recordsFor returns the map in which the record of a key is stored, nil if there is no room for it. A
// record that is there already needs no room.
func (t *Tracker) recordsFor(key uint64) map[uint64]entry {
	if t.recent == nil {
		t.recent = make(map[uint64]entry)
	}
	if _, ok := t.recent[key]; ok || len(t.recent) < maxRecords {
		return t.recent
	}
	if _, ok := t.older[key]; ok {
		return t.older
	}
	return nil
}

// Lookup returns the record of the stream of a key, or false if there is none.
func (t *Tracker) Lookup(now time.Duration, key uint64) (Record, bool) {
	t.expire(now)
	e, ok := t.recent[key]
	if !ok {
		e, ok = t.older[key]
	}
	if !ok {
		return Record{}, false
	}
	return Record{
		Version: t.versions[e.version],
		Begun:   e.begun,
	}, true
}

// expire drops the records that are older than the retention.
func (t *Tracker) expire(now time.Duration) {
	retention := t.Retention
	if retention == 0 {
		retention = defaultRetention
	}
	age := now - t.rotatedAt
	switch {
	case age < retention:
		return
	case age < 2*retention:
		t.older, t.recent = t.recent, nil
		t.rotatedAt += retention
	default:
		t.older, t.recent = nil, nil
		t.rotatedAt = now
	}
	t.dropUnusedVersions()
}

// dropUnusedVersions drops the versions without a record, so that their number stays bounded.
func (t *Tracker) dropUnusedVersions() {
	kept := make(map[uint16]uint16)
	var versions []string
	for key, e := range t.older {
		j, ok := kept[e.version]
		if !ok {
			j = uint16(len(versions))
			kept[e.version] = j
			versions = append(versions, t.versions[e.version])
		}
		e.version = j
		t.older[key] = e
	}
	t.versions = versions
}

// index returns the index of a version, which it adds if it is new and there is room.
func (t *Tracker) index(version string) int {
	i := slices.Index(t.versions, version)
	if i < 0 && len(t.versions) < maxVersions {
		t.versions = append(t.versions, version)
		return len(t.versions) - 1
	}
	if i < 0 {
		return maxVersions
	}
	return i
}
