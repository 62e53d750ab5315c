// Package wal stores the write-ahead log and the snapshots of a replica in
// plain files.
//
// The data folder holds segments (wal-N.log) of CRC-framed records and at most
// two snapshots (snap-INDEX.snap). Append syncs a record before it returns.
// A snapshot is written to a temporary file, synced and renamed, and only then
// does a new segment replace the older ones. At any moment the newest snapshot
// and the segments together therefore hold everything that was acknowledged.
//
// Open truncates a torn tail, that is, a record whose write was interrupted when
// the process died. Since nothing is written after a torn write, an invalid
// record that is followed by a valid one is corruption. Open returns an error
// for this and for any other corruption.
package wal

// This file defines Log.

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"syscall"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

var _ control.Storage = (*Log)(nil)

// Contents is the state that was read from a data folder.
type Contents struct {
	// Identity identifies the disk of the replica. It is zero when the folder
	// was empty.
	Identity uint64
	// Formation is the state of the formation of a group; nil if none is stored.
	Formation *pb.FormationState
	// HardState is the latest stored term, vote, commit index and leader.
	HardState *pb.RaftHardState
	// Snapshot is the newest snapshot, or nil.
	Snapshot *pb.RaftSnapshot
	// Entries are the log entries that the segments hold.
	Entries []*pb.RaftEntry
	// TruncatedBytes is the length of the torn tail that was truncated.
	TruncatedBytes int
}

// Log is an open data folder. It is not safe for concurrent use, and only one
// process can have the folder open.
type Log struct {
	dir string
	// lock is the open lock file, held with flock.
	lock *os.File
	// file is the segment that is appended to; nil until there is one.
	file *os.File
	// segment is the number of that segment.
	segment uint64
	// broken is the error of the first failed write or sync. Nothing is written
	// after it.
	broken error
	// buf is reused for the frame of each record.
	buf []byte
}

// damagedError returns the error for corruption at an offset of a file.
func damagedError(path string, offset int, reason string) error {
	return fault.New(fault.DamagedLog, fmt.Sprintf("%s:%d", path, offset),
		reason+"; restore the data folder from a backup, or empty it so that the replica rejoins with a new identity")
}

// Open opens and reads the data folder, creating it if it is missing. The
// returned function closes the folder.
func Open(dir string) (*Log, *Contents, func(), error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, nil, nil, fault.Wrap(fault.BadSetting, dir, err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, nil, nil, fault.Wrap(fault.BadSetting, dir, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, nil, nil, fault.New(fault.BadSetting, dir, "another process has this data folder open")
	}
	l := &Log{
		dir:  dir,
		lock: lock,
	}
	c, err := l.read()
	if err != nil {
		l.close()
		return nil, nil, nil, err
	}
	return l, c, l.close, nil
}

func (l *Log) close() {
	if l.file != nil {
		l.file.Close()
	}
	l.lock.Close()
}

func (l *Log) segmentPath(n uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("wal-%016d.log", n))
}

func (l *Log) snapshotPath(index uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("snap-%016d.snap", index))
}

// list returns the numbers in the names of the files with the given prefix and
// suffix, in ascending order. It removes leftover temporary files.
func (l *Log) list(prefix, suffix string) ([]uint64, error) {
	names, err := os.ReadDir(l.dir)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, l.dir, err)
	}
	var out []uint64
	for _, e := range names {
		if strings.HasSuffix(e.Name(), ".tmp") {
			os.Remove(filepath.Join(l.dir, e.Name()))
			continue
		}
		var n uint64
		if _, err := fmt.Sscanf(e.Name(), prefix+"-%d"+suffix, &n); err == nil {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, nil
}

// read loads the newest snapshot and all segments, and opens the last segment for
// appending.
func (l *Log) read() (*Contents, error) {
	c := &Contents{}
	snaps, err := l.list("snap", ".snap")
	if err != nil {
		return nil, err
	}
	if len(snaps) > 0 {
		if c.Snapshot, err = l.readSnapshot(snaps[len(snaps)-1]); err != nil {
			return nil, err
		}
	}
	segments, err := l.list("wal", ".log")
	if err != nil {
		return nil, err
	}
	first, last, err := l.validSegments(segments)
	if err != nil {
		return nil, err
	}
	for i := first; i < len(segments); i++ {
		if err := l.readSegment(segments[i], i >= last, c); err != nil {
			return nil, err
		}
		l.segment = segments[i]
	}
	if len(segments) == 0 {
		return c, nil
	}
	return c, l.openSegment()
}

// validSegments returns the positions of the first and the last segment that count. The
// last one that resets the log makes those before it obsolete: a loss of power may have
// brought them back. Segments without any valid record may follow the last one, if the
// disk had no room for a new segment.
func (l *Log) validSegments(segments []uint64) (first, last int, err error) {
	last = len(segments) - 1
	for i := len(segments) - 1; i >= 0; i-- {
		head, err := l.readHead(segments[i])
		if err != nil {
			return 0, 0, err
		}
		if head == nil && i == last && i > 0 {
			last--
		}
		if head.GetResets() {
			return i, last, nil
		}
	}
	return 0, last, nil
}

// readHead returns the first record of segment n, nil if it has no valid one.
func (l *Log) readHead(n uint64) (*pb.WalRecord, error) {
	b, err := os.ReadFile(l.segmentPath(n))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, l.segmentPath(n), err)
	}
	payload, _, reason := nextFrame(b)
	if reason != "" {
		return nil, nil
	}
	rec := &pb.WalRecord{}
	if err := proto.Unmarshal(payload, rec); err != nil {
		return nil, nil
	}
	return rec, nil
}

func (l *Log) openSegment() error {
	f, err := os.OpenFile(l.segmentPath(l.segment), os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return fault.Wrap(fault.Internal, l.segmentPath(l.segment), err)
	}
	l.file = f
	return nil
}

// DecodeSnapshot decodes the contents of a snapshot file. The path is used in
// errors only.
func DecodeSnapshot(path string, b []byte) (*pb.RaftSnapshot, error) {
	payload, size, reason := nextFrame(b)
	if reason == "" && size != len(b) {
		reason = "bytes follow the snapshot"
	}
	if reason != "" {
		return nil, damagedError(path, 0, reason)
	}
	s := &pb.RaftSnapshot{}
	if err := proto.Unmarshal(payload, s); err != nil {
		return nil, damagedError(path, headerBytes, err.Error())
	}
	return s, nil
}

func (l *Log) readSnapshot(index uint64) (*pb.RaftSnapshot, error) {
	path := l.snapshotPath(index)
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, path, err)
	}
	return DecodeSnapshot(path, b)
}

// readSegment adds the records of segment n to c. If it is the last segment with records,
// or behind it, a torn tail is truncated.
func (l *Log) readSegment(n uint64, last bool, c *Contents) error {
	path := l.segmentPath(n)
	b, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(fault.Internal, path, err)
	}
	validBytes, err := DecodeSegment(path, b, last, c)
	if err != nil {
		return err
	}
	if validBytes == len(b) {
		return nil
	}
	c.TruncatedBytes = len(b) - validBytes
	return truncate(path, int64(validBytes))
}

// truncate cuts a file and syncs it. Without the sync the torn tail may come back after
// later records were written to another segment.
func truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0o640)
	if err != nil {
		return fault.Wrap(fault.Internal, path, err)
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return fault.Wrap(fault.Internal, path, err)
	}
	if err := f.Sync(); err != nil {
		return fault.Wrap(fault.Internal, path, err)
	}
	return nil
}

// DecodeSegment adds the records in b, the contents of a segment file, to c and
// returns the length in bytes of the valid records. Only the last segment may
// have a torn tail. The path is used in errors only.
func DecodeSegment(path string, b []byte, last bool, c *Contents) (int, error) {
	offset := 0
	for offset < len(b) {
		payload, size, reason := nextFrame(b[offset:])
		if reason != "" {
			if !last || validFrameAfter(b[offset:]) {
				return offset, damagedError(path, offset, reason)
			}
			return offset, nil
		}
		rec := &pb.WalRecord{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return offset, damagedError(path, offset, err.Error())
		}
		if problem := c.Add(rec); problem != "" {
			return offset, damagedError(path, offset, problem)
		}
		offset += size
	}
	return offset, nil
}

// Add applies one record to the contents. An entry replaces the earlier entries
// at and after its index, as a follower's log is overwritten by a new leader. It
// returns a description of what is wrong with the record, or an empty string.
func (c *Contents) Add(rec *pb.WalRecord) string {
	if rec.GetResets() {
		c.Entries = nil
	}
	if rec.GetIdentity() != 0 {
		c.Identity = rec.GetIdentity()
	}
	if rec.GetFormation() != nil {
		c.Formation = rec.GetFormation()
	}
	if rec.GetHardState() != nil {
		c.HardState = rec.GetHardState()
	}
	for _, e := range rec.GetEntries() {
		if len(c.Entries) > 0 {
			first := c.Entries[0].GetIndex()
			next := first + uint64(len(c.Entries))
			switch {
			case e.GetIndex() > next:
				return fmt.Sprintf("gap in the log: entry %d follows entry %d", e.GetIndex(), next-1)
			case e.GetIndex() < first:
				c.Entries = nil
			default:
				c.Entries = c.Entries[:e.GetIndex()-first]
			}
		}
		c.Entries = append(c.Entries, e)
	}
	return ""
}

// Append writes one record and syncs it. After a failed write or sync it is
// unknown whether the record is on disk, so every later call returns the same
// error.
func (l *Log) Append(rec *pb.WalRecord) error {
	if l.broken != nil {
		return l.broken
	}
	if l.file == nil {
		return l.Rotate(rec)
	}
	return l.write(l.file, rec)
}

// write writes m in a frame to f and syncs it. A failed write or sync marks the log
// as broken.
func (l *Log) write(f *os.File, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return fault.Wrap(fault.Internal, "record", err)
	}
	if len(payload) > MaxRecord {
		return fault.New(fault.BodyTooLarge, "record", fmt.Sprintf("%d bytes exceed the limit of a record", len(payload)))
	}
	l.buf = appendFrame(l.buf[:0], payload)
	if _, err := f.Write(l.buf); err != nil {
		l.broken = fault.Wrap(fault.BrokenLog, f.Name(), err)
		return l.broken
	}
	if err := f.Sync(); err != nil {
		l.broken = fault.Wrap(fault.BrokenLog, f.Name(), err)
		return l.broken
	}
	return nil
}

// Rotate starts a new segment with head as its first record and then removes
// the older segments. The record must hold all state that the newest snapshot
// does not contain.
func (l *Log) Rotate(head *pb.WalRecord) error {
	if l.broken != nil {
		return l.broken
	}
	old := l.file
	next := l.segment + 1
	f, err := os.OpenFile(l.segmentPath(next), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return fault.Wrap(fault.Internal, l.segmentPath(next), err)
	}
	head.Resets = true
	if err := l.write(f, head); err != nil {
		f.Close()
		return err
	}
	if err := l.syncDir(); err != nil {
		f.Close()
		return err
	}
	l.file, l.segment = f, next
	if old != nil {
		old.Close()
	}
	segments, err := l.list("wal", ".log")
	if err != nil {
		return err
	}
	for _, n := range segments {
		if n < next {
			os.Remove(l.segmentPath(n))
		}
	}
	return nil
}

// SaveSnapshot writes a snapshot, syncs it and removes the older ones.
func (l *Log) SaveSnapshot(s *pb.RaftSnapshot) error {
	if l.broken != nil {
		return l.broken
	}
	path := l.snapshotPath(s.GetIndex())
	f, err := os.Create(path + ".tmp")
	if err != nil {
		return fault.Wrap(fault.Internal, path, err)
	}
	defer f.Close()
	if err := l.write(f, s); err != nil {
		return err
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		return fault.Wrap(fault.Internal, path, err)
	}
	if err := l.syncDir(); err != nil {
		return err
	}
	snaps, err := l.list("snap", ".snap")
	if err != nil {
		return err
	}
	for _, index := range snaps {
		if index < s.GetIndex() {
			os.Remove(l.snapshotPath(index))
		}
	}
	return nil
}

// syncDir syncs the data folder, so that created and renamed files survive a crash.
func (l *Log) syncDir() error {
	d, err := os.Open(l.dir)
	if err != nil {
		return fault.Wrap(fault.Internal, l.dir, err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		l.broken = fault.Wrap(fault.BrokenLog, l.dir, err)
		return l.broken
	}
	return nil
}
