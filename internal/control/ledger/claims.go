package ledger

// This file defines rule edits and the claims on idempotency keys.
//
// A claim starts open and is then settled with an outcome. Only its holder may
// settle an open claim as not run: the holder may be paused, and no other
// process can rule out that it still dispatches the request. An operator may
// settle an open claim as done or in doubt, and may replace an in-doubt outcome
// that the holder recorded with any other outcome. A claim that an operator
// settled as in doubt can still be settled by its holder, or by an operator with
// any outcome but not run.

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// maxEdits is the number of past rule edits that are kept to recognise a
// repeated edit.
const maxEdits = 20_000

// maxEditTexts is the number of recent edits that keep their text, so that a
// router with an older version can be sent the edits instead of the whole file.
const maxEditTexts = 64

// Rules returns the current version of the rule file and its content.
func (l *Ledger) Rules() (version uint64, content []byte) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.ruleVersion, l.rules
}

// editRules applies an edit if its base is the current version. An edit that was
// applied before returns the version that it produced then.
func (l *Ledger) editRules(e *pb.EditRules) *pb.Result {
	if e.GetRevision() > 0 {
		return l.applyRevision(e)
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
	l.installRules(e.GetBaseVersion(), e.GetContent(), digest)
	return &pb.Result{
		RuleVersion: l.ruleVersion,
	}
}

// applyRevision applies an edit that has a revision number. The highest
// revision wins: an edit whose revision is not above the current one changes
// nothing and is reported as repeated.
func (l *Ledger) applyRevision(e *pb.EditRules) *pb.Result {
	if e.GetRevision() <= l.revision {
		return &pb.Result{
			RuleVersion: l.ruleVersion,
			Repeated:    true,
		}
	}
	l.revision, l.source = e.GetRevision(), e.GetSource()
	l.installRules(l.ruleVersion, e.GetContent(), sha256.Sum256(e.GetContent()))
	return &pb.Result{
		RuleVersion: l.ruleVersion,
	}
}

// installRules makes content the current rule file, with the next version.
func (l *Ledger) installRules(base uint64, content []byte, digest [sha256.Size]byte) {
	l.ruleVersion++
	prefix, suffix := commonPrefixSuffix(l.rules, content)
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

// RuleSource returns the current revision and the source text from which its rules
// were generated.
func (l *Ledger) RuleSource() (revision uint64, source []byte) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision, l.source
}

// commonPrefixSuffix returns the lengths of the longest common prefix of a and b
// and of the longest common suffix that does not overlap it.
func commonPrefixSuffix(a, b []byte) (prefix, suffix int) {
	shorter := min(len(a), len(b))
	for prefix < shorter && a[prefix] == b[prefix] {
		prefix++
	}
	for suffix < shorter-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

// trimEdits drops the text of the edit that has just left the last maxEditTexts,
// and drops edits beyond maxEdits altogether.
func (l *Ledger) trimEdits() {
	if n := len(l.edits) - maxEditTexts; n > 0 && !l.edits[n-1].GetTrimmed() {
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

// EditsSince returns the edits after the given version, oldest first. It returns
// false if the text of one of them is no longer kept, or if sending the whole
// rule file takes no more bytes.
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

// claim grants an idempotency key to the first attempt that claims it. The same
// attempt is granted the key again while the claim is open, so a claim whose
// reply was lost can be retried.
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
		sameAttempt := old.GetHolder() == c.GetHolder() && old.GetIncarnation() == c.GetIncarnation() && old.GetAttempt() == c.GetAttempt()
		return &pb.Result{
			Claim:   old,
			Granted: sameAttempt && !old.GetSettled(),
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

// maySettle reports whether s may settle c, by the rules at the head of this file.
func maySettle(c *pb.Claim, s *pb.SettleKey) bool {
	inDoubt := c.GetOutcome() == pb.Outcome_OUTCOME_IN_DOUBT
	if s.GetOperator() {
		if !c.GetSettled() {
			return s.GetOutcome() != pb.Outcome_OUTCOME_NOT_RUN
		}
		// A claim in doubt has a reason only if an operator settled it.
		// The holder may then still dispatch the request, so the claim can't be
		// settled as not run.
		return inDoubt && (c.GetReason() == "" || s.GetOutcome() != pb.Outcome_OUTCOME_NOT_RUN)
	}
	sameAttempt := c.GetHolder() == s.GetHolder() && c.GetIncarnation() == s.GetIncarnation() && c.GetAttempt() == s.GetAttempt()
	return sameAttempt && (!c.GetSettled() || inDoubt && c.GetReason() != "")
}

// expireClaims deletes the claims whose key time is earlier than before. Keys
// that old are rejected from then on, so no request can run a second time
// because its claim was deleted.
func (l *Ledger) expireClaims(before int64) *pb.Result {
	l.expiredBefore = max(l.expiredBefore, before)
	for k, c := range l.claims {
		if c.GetKeyTime() < l.expiredBefore {
			delete(l.claims, k)
		}
	}
	return &pb.Result{}
}

// Claims returns the claims that are open or in doubt, or all claims, sorted by
// account, service and key.
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
