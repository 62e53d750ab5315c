package replica

// This file defines a storage that fails like a full disk.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// failingStorage is a storage whose writes fail while full returns true. As on a real
// disk, a part of what did not fit is left in the files.
type failingStorage struct {
	control.Storage

	dir  string
	full func() bool
}

func (d failingStorage) writeError() error {
	if d.full() {
		return fault.New(fault.BrokenLog, "disk", "no space is left")
	}
	return nil
}

// leavePart appends the first bytes of a record to a file of the data folder.
func (d failingStorage) leavePart(name string, flags int) {
	f, err := os.OpenFile(filepath.Join(d.dir, name), os.O_WRONLY|os.O_APPEND|flags, 0o640)
	if err != nil {
		return
	}
	defer f.Close()
	_, _ = f.Write([]byte{0, 0, 0, 40, 1, 2, 3}[:rand.IntN(8)])
}

// lastSegment returns the number of the last log file; zero if there is none.
func (d failingStorage) lastSegment() int {
	names, _ := filepath.Glob(filepath.Join(d.dir, "wal-*.log"))
	n := 0
	if len(names) > 0 {
		_, _ = fmt.Sscanf(filepath.Base(slices.Max(names)), "wal-%d.log", &n)
	}
	return n
}

func (d failingStorage) Append(r *pb.WalRecord) error {
	if err := d.writeError(); err != nil {
		d.leavePart(fmt.Sprintf("wal-%016d.log", d.lastSegment()), 0)
		return err
	}
	return d.Storage.Append(r)
}

func (d failingStorage) Rotate(r *pb.WalRecord) error {
	if err := d.writeError(); err != nil {
		d.leavePart(fmt.Sprintf("wal-%016d.log", d.lastSegment()+1), os.O_CREATE)
		return err
	}
	return d.Storage.Rotate(r)
}

func (d failingStorage) SaveSnapshot(s *pb.RaftSnapshot) error {
	if err := d.writeError(); err != nil {
		d.leavePart(fmt.Sprintf("snap-%016d.snap.tmp", s.GetIndex()), os.O_CREATE)
		return err
	}
	return d.Storage.SaveSnapshot(s)
}
