// Package memorydisk provides the disk of a control replica in memory, for tests in which replicas
// restart in virtual time.
package memorydisk

// This file defines Disk.

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control"
	"camphorspoke/internal/control/wal"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// Disk is a storage in memory that survives restarts of its replica. The zero value is empty.
type Disk struct {
	mu       sync.Mutex
	contents wal.Contents
}

var _ control.Storage = (*Disk)(nil)

// Append implements control.Storage.
func (d *Disk) Append(rec *pb.WalRecord) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reason := d.contents.Add(proto.CloneOf(rec)); reason != "" {
		return fault.New(fault.Internal, "disk", reason)
	}
	return nil
}

// Rotate implements control.Storage.
func (d *Disk) Rotate(head *pb.WalRecord) error {
	head.Resets = true
	return d.Append(head)
}

// SaveSnapshot implements control.Storage.
func (d *Disk) SaveSnapshot(s *pb.RaftSnapshot) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contents.Snapshot = s
	return nil
}

// Contents returns a copy of what a replica that is restarted reads.
func (d *Disk) Contents() *wal.Contents {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.contents
	c.Entries = slices.Clone(c.Entries)
	return &c
}
