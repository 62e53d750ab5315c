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

// Tracker holds the versions of recent streams. The zero Tracker is empty and ready to use. It
// is not safe for concurrent use.
type Tracker struct {
	// Retention is for how long a record is kept at least; twice as long at most. Zero is 30 s.
	Retention time.Duration

	// versions holds each version once; a record is an index of it.
	versions []string
	// recent holds the records since rotatedAt, older those of the period before.
	recent, older map[uint64]uint16
	rotatedAt     time.Duration
}

// Record records that the stream of a key was begun by a version. The last record of a key
// holds: an attempt of which the caller got nothing may be followed by one at another version. It
// returns the version that was recorded before, if it was a known one and another.
func (t *Tracker) Record(now time.Duration, key uint64, version string) (replaced string, isReplaced bool) {
	before, known := t.Version(now, key)
	i := t.index(version)
	if len(t.recent) >= maxRecords || i >= maxVersions {
		return "", false
	}
	if t.recent == nil {
		t.recent = make(map[uint64]uint16)
	}
	t.recent[key] = uint16(i)
	return before, known && before != Unknown && before != version
}

// Version returns the version that began the stream of a key, or false if there is no record.
func (t *Tracker) Version(now time.Duration, key uint64) (string, bool) {
	t.expire(now)
	i, ok := t.recent[key]
	if !ok {
		i, ok = t.older[key]
	}
	if !ok {
		return "", false
	}
	return t.versions[i], true
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
	for key, i := range t.older {
		j, ok := kept[i]
		if !ok {
			j = uint16(len(versions))
			kept[i] = j
			versions = append(versions, t.versions[i])
		}
		t.older[key] = j
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
