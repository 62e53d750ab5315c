// Package rulechange encodes the change from one version of the rule file to the current one, as
// routers receive it.
//
// Load pattern: a change has to reach all routers of a large fleet at once, and nearly all of them
// have the same version before it. Each change is encoded and compressed once.
package rulechange

// This file defines Encoder.

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/compress"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control/ledger"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// maxCached is the number of encoded changes at which their cache is emptied.
const maxCached = 64

// Encoder encodes changes of the rules of one ledger. The zero value is ready for use.
type Encoder struct {
	mu sync.Mutex
	// encoded holds the encoded changes that lead to version to, by the version from which they
	// start.
	encoded map[uint64][]byte
	to      uint64
}

// Change returns the current version of a ledger's rules and the encoded change that leads to it from
// another version, or the whole file if that is zero or too old. It returns no change if the version is
// the current one or newer.
func (e *Encoder) Change(l *ledger.Ledger, from uint64) (version uint64, change []byte, err error) {
	version, content := l.Rules()
	if version <= from {
		return version, nil, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.encoded == nil || e.to != version || len(e.encoded) >= maxCached {
		e.encoded, e.to = make(map[uint64][]byte), version
	}
	if cached, ok := e.encoded[from]; ok {
		return version, cached, nil
	}
	m := &pb.RuleChange{}
	edits, ok := l.EditsSince(from)
	if ok && edits[len(edits)-1].GetVersion() == version {
		m.Edits = edits
	} else {
		m.Whole = content
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return version, nil, fault.Wrap(fault.Internal, "rule change", err)
	}
	e.encoded[from] = compress.Codec{}.Compress(b)
	return version, e.encoded[from], nil
}
