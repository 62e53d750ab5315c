package ledger

// This file defines the table of quarantined parts of prompts and requests.

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// maxQuarantines bounds the table. Beyond it the row that changed the longest ago is
// dropped, a released one first, then one of a request that no trial has proved guilty: there
// may be many of these after servers have crashed for reasons of their own.
const maxQuarantines = 512

// quarantineKey identifies a quarantine.
type quarantineKey struct {
	service string
	id      uint64
}

func quarantineKeyOf(q *pb.Quarantine) quarantineKey {
	return quarantineKey{
		service: q.GetService(),
		id:      q.GetId(),
	}
}

func compareQuarantines(a, b *pb.Quarantine) int {
	return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetId(), b.GetId()))
}

// quarantine adds, changes or releases a quarantine. The row of a released one stays, so
// that routers receive the release. Several instances may record the same one, also with
// parts that another has taken out.
func (l *Ledger) quarantine(index uint64, q *pb.Quarantine) *pb.Result {
	key := quarantineKeyOf(q)
	old := l.quarantines[key]
	if q.GetReleased() && (old == nil || old.GetReleased()) {
		return failure(fault.UnknownQuarantine, q.GetService())
	}
	row := proto.Clone(q).(*pb.Quarantine)
	if q.GetReleased() {
		row.Parts, row.WholeRequest = old.GetParts(), old.GetWholeRequest()
	}
	if old != nil && !old.GetReleased() {
		row.FailedTrials = max(row.GetFailedTrials(), old.GetFailedTrials())
		row.Parts = commonParts(old.GetParts(), row.GetParts())
		if !q.GetReleased() && row.GetFailedTrials() == old.GetFailedTrials() && slices.Equal(row.GetParts(), old.GetParts()) {
			return &pb.Result{}
		}
	}
	row.ChangedIndex = index
	l.rowsIndex = index
	l.quarantines[key] = row
	l.trimQuarantines()
	return &pb.Result{}
}

// commonParts returns the parts that are in both lists, or the new ones if none is.
func commonParts(old, parts []uint64) []uint64 {
	common := slices.DeleteFunc(slices.Clone(old), func(p uint64) bool { return !slices.Contains(parts, p) })
	if len(common) == 0 {
		return parts
	}
	return common
}

func (l *Ledger) trimQuarantines() {
	for len(l.quarantines) > maxQuarantines {
		var first *pb.Quarantine
		for _, q := range l.quarantines {
			if first == nil || trimmedBefore(q, first) {
				first = q
			}
		}
		delete(l.quarantines, quarantineKeyOf(first))
	}
}

// trimmedBefore reports whether a is dropped before b.
func trimmedBefore(a, b *pb.Quarantine) bool {
	if a.GetReleased() != b.GetReleased() {
		return a.GetReleased()
	}
	if isSuspected(a) != isSuspected(b) {
		return isSuspected(a)
	}
	return a.GetChangedIndex() < b.GetChangedIndex()
}

// isSuspected reports whether a quarantine of a whole request has had no failed trial.
func isSuspected(q *pb.Quarantine) bool { return q.GetWholeRequest() && q.GetFailedTrials() == 0 }
