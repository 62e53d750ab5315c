// Package wal keeps a replica's log and snapshots in plain files.
//
// The data folder holds segments (wal-N.log) of CRC-framed records and at most
// two snapshots (snap-INDEX.snap). A record is synced before Append returns.
// A snapshot is written to a temporary file, synced and renamed, and only then
// does a new segment replace the older ones. So at every instant the newest
// snapshot together with the segments gives back all that was acknowledged.
//
// A tail that was being written when the process died is cut at the next
// open. It is told from damage by what follows it: nothing whole can follow
// a torn write. Any other damage refuses to open.
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

	"camphorspoke/internal/control"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

var _ control.Storage = (*Log)(nil)

// Contents is what a data folder held when it was opened.
type Contents struct {
	// Identity is zero when the folder was empty.
	Identity  uint64
	HardState *pb.RaftHardState
	Snapshot  *pb.RaftSnapshot
	Entries   []*pb.RaftEntry
	// CutBytes is the length of the torn tail that was cut.
	CutBytes int
}

// Log is an open data folder. It has one user at a time.
type Log struct {
	dir     string
	lock    *os.File
	file    *os.File
	segment uint64
	// broken is the first failed write or sync; nothing is written after it.
	broken error
	buf    []byte
}

func damaged(path string, offset int, reason string) error {
	return fault.New(fault.DamagedLog, fmt.Sprintf("%s:%d", path, offset),
		reason+"; restore the data folder, or empty it to let the replica rejoin as a new one")
}

// Open opens the data folder, makes it when it is missing, and reads it. The
// clean-up function closes the folder.
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
		return nil, nil, nil, fault.New(fault.BadSetting, dir, "another process uses this data folder")
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

// list returns the numbers of the files with a prefix and suffix, ascending.
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
	for i, n := range segments {
		last := i == len(segments)-1
		if err := l.readSegment(n, last, c); err != nil {
			return nil, err
		}
		l.segment = n
	}
	if len(segments) == 0 {
		return c, nil
	}
	return c, l.openSegment()
}

func (l *Log) openSegment() error {
	f, err := os.OpenFile(l.segmentPath(l.segment), os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return fault.Wrap(fault.Internal, l.segmentPath(l.segment), err)
	}
	l.file = f
	return nil
}

// DecodeSnapshot reads the bytes of a snapshot file.
func DecodeSnapshot(path string, b []byte) (*pb.RaftSnapshot, error) {
	payload, size, reason := nextFrame(b)
	if reason == "" && size != len(b) {
		reason = "bytes follow the snapshot"
	}
	if reason != "" {
		return nil, damaged(path, 0, reason)
	}
	s := &pb.RaftSnapshot{}
	if err := proto.Unmarshal(payload, s); err != nil {
		return nil, damaged(path, headerBytes, err.Error())
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

func (l *Log) readSegment(n uint64, last bool, c *Contents) error {
	path := l.segmentPath(n)
	b, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(fault.Internal, path, err)
	}
	whole, err := DecodeSegment(path, b, last, c)
	if err != nil {
		return err
	}
	if whole == len(b) {
		return nil
	}
	c.CutBytes = len(b) - whole
	if err := os.Truncate(path, int64(whole)); err != nil {
		return fault.Wrap(fault.Internal, path, err)
	}
	return nil
}

// DecodeSegment adds the records in b to c and returns the length of the
// whole records. Only the last segment may have a torn tail.
func DecodeSegment(path string, b []byte, last bool, c *Contents) (int, error) {
	at := 0
	for at < len(b) {
		payload, size, reason := nextFrame(b[at:])
		if reason != "" {
			if !last || wholeFrameAfter(b[at:]) {
				return at, damaged(path, at, reason)
			}
			return at, nil
		}
		rec := &pb.WalRecord{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return at, damaged(path, at, err.Error())
		}
		if err := c.Add(rec); err != "" {
			return at, damaged(path, at, err)
		}
		at += size
	}
	return at, nil
}

// Add applies one record: later entries replace those at and after their
// index. It returns what is wrong with the record, or an empty string.
func (c *Contents) Add(rec *pb.WalRecord) string {
	if rec.GetResets() {
		c.Entries = nil
	}
	if rec.GetIdentity() != 0 {
		c.Identity = rec.GetIdentity()
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
				return fmt.Sprintf("entry %d follows entry %d", e.GetIndex(), next-1)
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

// Append writes one record and syncs it. After a failure the log stays
// broken: whether the record is on disk can't be known.
func (l *Log) Append(rec *pb.WalRecord) error {
	if l.broken != nil {
		return l.broken
	}
	if l.file == nil {
		return l.Rotate(rec)
	}
	return l.write(l.file, rec)
}

func (l *Log) write(f *os.File, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return fault.Wrap(fault.Internal, "record", err)
	}
	if len(payload) > MaxRecord {
		return fault.New(fault.BodyTooLarge, "record", fmt.Sprintf("%d bytes are over the limit", len(payload)))
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

// Rotate starts a segment with the given first record and then removes the
// older ones. The record must hold everything that a newer snapshot does not.
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
		return err
	}
	if err := l.syncDir(); err != nil {
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

// SaveSnapshot writes a snapshot durably and removes the older ones.
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
