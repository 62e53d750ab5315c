package ledger

// This file defines rule edits and the claims on request keys.
//
// A claim moves one way: open, then settled. Only its holder may settle it as
// not run, since nobody else can know that the holder, perhaps frozen, will
// not dispatch. An operator may settle an open claim as done or in doubt, and
// a claim that its holder left in doubt as anything; the holder's own later
// word on an open claim still counts.

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

// maxEdits is how many past rule edits are recognised when sent again.
const maxEdits = 20_000

// keepEditText is how many edits keep their text, for routers that are behind.
const keepEditText = 64

// Rules returns the version in force and its content.
func (l *Ledger) Rules() (version uint64, content []byte) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.ruleVersion, l.rules
}

func (l *Ledger) editRules(e *pb.EditRules) *pb.Result {
	if e.GetRevision() > 0 {
		return l.replaceRules(e)
	}
	digest := sha256.Sum256(e.GetContent())
	for _, old := range slices.Backward(l.edits) {
		if old.GetBaseVersion() == e.GetBaseVersion() && bytes.Equal(old.GetDigest(), digest[:]) {
			return &pb.Result{
				RuleVersion: old.GetVersion(),
				Repeated:    true,
			}
		}
	}
	if e.GetBaseVersion() != l.ruleVersion {
		return &pb.Result{
			Failure:     fault.RuleConflict,
			RuleVersion: l.ruleVersion,
		}
	}
	l.adoptRules(e.GetBaseVersion(), e.GetContent(), digest)
	return &pb.Result{
		RuleVersion: l.ruleVersion,
	}
}

// replaceRules takes an edit that names a revision: the highest revision wins,
// and one that is not higher than the revision held changes nothing.
func (l *Ledger) replaceRules(e *pb.EditRules) *pb.Result {
	if e.GetRevision() <= l.revision {
		return &pb.Result{
			RuleVersion: l.ruleVersion,
			Repeated:    true,
		}
	}
	l.revision, l.source = e.GetRevision(), e.GetSource()
	l.adoptRules(l.ruleVersion, e.GetContent(), sha256.Sum256(e.GetContent()))
	return &pb.Result{
		RuleVersion: l.ruleVersion,
	}
}

// adoptRules puts a rule file in force under the next version.
func (l *Ledger) adoptRules(base uint64, content []byte, digest [sha256.Size]byte) {
	l.ruleVersion++
	prefix, suffix := common(l.rules, content)
	l.edits = append(l.edits, &pb.RuleEdit{
		BaseVersion: base,
		Version:     l.ruleVersion,
		Digest:      digest[:],
		Prefix:      uint64(prefix),
		Suffix:      uint64(suffix),
		Middle:      content[prefix : len(content)-suffix],
	})
	l.rules = content
	l.trimEdits()
}

// Source returns the revision held and the text that its rules were made from.
func (l *Ledger) Source() (revision uint64, source []byte) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision, l.source
}

// common returns the lengths of the prefix and the suffix that two texts share.
func common(a, b []byte) (prefix, suffix int) {
	shorter := min(len(a), len(b))
	for prefix < shorter && a[prefix] == b[prefix] {
		prefix++
	}
	for suffix < shorter-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

// trimEdits drops the text of old edits, and the oldest edits altogether.
func (l *Ledger) trimEdits() {
	if n := len(l.edits) - keepEditText; n > 0 && !l.edits[n-1].GetTrimmed() {
		old := l.edits[n-1]
		l.edits[n-1] = &pb.RuleEdit{
			BaseVersion: old.GetBaseVersion(),
			Version:     old.GetVersion(),
			Digest:      old.GetDigest(),
			Trimmed:     true,
		}
	}
	if len(l.edits) > maxEdits {
		l.edits = slices.Clone(l.edits[len(l.edits)-maxEdits:])
	}
}

// EditsSince returns the edits after a version, oldest first; false when not
// all of them are kept or the whole text is shorter.
func (l *Ledger) EditsSince(version uint64) ([]*pb.RuleEdit, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	n := int(l.ruleVersion - version)
	if version == 0 || version > l.ruleVersion || n > len(l.edits) {
		return nil, false
	}
	edits := l.edits[len(l.edits)-n:]
	size := 0
	for _, e := range edits {
		if e.GetTrimmed() {
			return nil, false
		}
		size += len(e.GetMiddle())
	}
	return slices.Clone(edits), size < len(l.rules)
}

func keyOf(c *pb.Claim) claimKey {
	return claimKey{
		account: c.GetClientAccount(),
		service: c.GetService(),
		key:     c.GetKey(),
	}
}

func compareClaims(a, b *pb.Claim) int {
	return cmp.Or(
		cmp.Compare(a.GetClientAccount(), b.GetClientAccount()),
		cmp.Compare(a.GetService(), b.GetService()),
		cmp.Compare(a.GetKey(), b.GetKey()))
}

func (l *Ledger) claim(c *pb.ClaimKey) *pb.Result {
	if c.GetKeyTime() < l.expiredBefore {
		return failure(fault.KeyExpired, c.GetKey())
	}
	k := claimKey{
		account: c.GetClientAccount(),
		service: c.GetService(),
		key:     c.GetKey(),
	}
	if old := l.claims[k]; old != nil {
		mine := old.GetHolder() == c.GetHolder() && old.GetIncarnation() == c.GetIncarnation() && old.GetAttempt() == c.GetAttempt()
		return &pb.Result{
			Claim:   old,
			Granted: mine && !old.GetSettled(),
		}
	}
	row := &pb.Claim{
		ClientAccount: c.GetClientAccount(),
		Service:       c.GetService(),
		Key:           c.GetKey(),
		Holder:        c.GetHolder(),
		Incarnation:   c.GetIncarnation(),
		Attempt:       c.GetAttempt(),
		KeyTime:       c.GetKeyTime(),
	}
	l.claims[k] = row
	return &pb.Result{
		Claim:   row,
		Granted: true,
	}
}

func (l *Ledger) settle(s *pb.SettleKey) *pb.Result {
	k := claimKey{
		account: s.GetClientAccount(),
		service: s.GetService(),
		key:     s.GetKey(),
	}
	old := l.claims[k]
	if old == nil {
		return failure(fault.BadKey, s.GetKey())
	}
	if !maySettle(old, s) {
		return &pb.Result{
			Failure: fault.ClaimSettled,
			Subject: s.GetKey(),
			Claim:   old,
		}
	}
	row := proto.Clone(old).(*pb.Claim)
	row.Settled, row.Outcome, row.Body, row.Reason = true, s.GetOutcome(), s.GetBody(), s.GetReason()
	l.claims[k] = row
	return &pb.Result{
		Claim: row,
	}
}

func maySettle(c *pb.Claim, s *pb.SettleKey) bool {
	inDoubt := c.GetOutcome() == pb.Outcome_OUTCOME_IN_DOUBT
	if s.GetOperator() {
		if !c.GetSettled() {
			return s.GetOutcome() != pb.Outcome_OUTCOME_NOT_RUN
		}
		// A reason marks an operator's own doubt; the holder may still run.
		return inDoubt && (c.GetReason() == "" || s.GetOutcome() != pb.Outcome_OUTCOME_NOT_RUN)
	}
	mine := c.GetHolder() == s.GetHolder() && c.GetIncarnation() == s.GetIncarnation() && c.GetAttempt() == s.GetAttempt()
	return mine && (!c.GetSettled() || inDoubt && c.GetReason() != "")
}

// expireClaims forgets claims whose key is older than before. Keys that old
// are refused from then on, so forgetting them can't let one run again.
func (l *Ledger) expireClaims(before int64) *pb.Result {
	l.expiredBefore = max(l.expiredBefore, before)
	for k, c := range l.claims {
		if c.GetKeyTime() < l.expiredBefore {
			delete(l.claims, k)
		}
	}
	return &pb.Result{}
}

// Claims lists the claims that are open or in doubt, or all of them.
func (l *Ledger) Claims(all bool) []*pb.ClaimView {
	l.mu.RLock()
	var rows []*pb.Claim
	for _, c := range l.claims {
		if all || !c.GetSettled() || c.GetOutcome() == pb.Outcome_OUTCOME_IN_DOUBT {
			rows = append(rows, c)
		}
	}
	l.mu.RUnlock()
	slices.SortFunc(rows, compareClaims)
	out := make([]*pb.ClaimView, len(rows))
	for i, c := range rows {
		out[i] = &pb.ClaimView{
			ClientAccount: c.GetClientAccount(),
			Service:       c.GetService(),
			Key:           c.GetKey(),
			Holder:        c.GetHolder(),
			Outcome:       c.GetOutcome(),
			Open:          !c.GetSettled(),
			Reason:        c.GetReason(),
		}
	}
	return out
}
