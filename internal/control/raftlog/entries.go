package raftlog

// This file defines entryLog, the in-memory tail of the replicated log.

import (
	"google.golang.org/protobuf/proto"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// entryLog holds the entries after the last compaction; entries[i] has the log
// index base+1+i. The latest members entry gives the current membership.
type entryLog struct {
	// base is the index of the last compacted entry, and baseTerm its term.
	base     uint64
	baseTerm uint64
	// baseMembers is the membership as of base.
	baseMembers *pb.RaftMembers
	entries     []*pb.RaftEntry
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, or false if it is not in the log.
// The term at base is still available after the compaction.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].GetTerm(), true
}

// slice returns a copy of up to limit entries, starting at index from.
func (l *entryLog) slice(from uint64, limit int) []*pb.RaftEntry {
	if from <= l.base || from > l.last() {
		return nil
	}
	es := l.entries[from-l.base-1:]
	if len(es) > limit {
		es = es[:limit]
	}
	return append([]*pb.RaftEntry(nil), es...)
}

func (l *entryLog) append(es ...*pb.RaftEntry) { l.entries = append(l.entries, es...) }

// truncate removes the entry at index and all entries after it.
func (l *entryLog) truncate(index uint64) {
	l.entries = append([]*pb.RaftEntry(nil), l.entries[:index-l.base-1]...)
}

// compact removes the entries up to and including index and makes it the base.
func (l *entryLog) compact(index uint64) {
	if index <= l.base || index > l.last() {
		return
	}
	term, _ := l.term(index)
	members := l.membersAt(index)
	l.entries = append([]*pb.RaftEntry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm, l.baseMembers = index, term, members
}

// membersAt returns the membership as of index.
func (l *entryLog) membersAt(index uint64) *pb.RaftMembers {
	for i := min(index, l.last()); i > l.base; i-- {
		if e := l.entries[i-l.base-1]; e.GetKind() == pb.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS {
			m := &pb.RaftMembers{}
			if proto.Unmarshal(e.GetData(), m) == nil {
				return m
			}
		}
	}
	if l.baseMembers == nil {
		return &pb.RaftMembers{}
	}
	return l.baseMembers
}

// lastMembersIndex returns the index of the latest members entry, or base.
func (l *entryLog) lastMembersIndex() uint64 {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].GetKind() == pb.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS {
			return l.entries[i].GetIndex()
		}
	}
	return l.base
}
