package membership

// This file defines how a router applies a newer rule file.

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/compress"
	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/parse"
)

// maxRuleChangeBytes limits the size of a decompressed rule change.
const maxRuleChangeBytes = 2 * parse.MaxBytes

// ruleText returns the newer rule file that an encoded change leads to, either complete or as
// edits of the text of v; nil if it has no newer version. It also returns nil if the change can't be
// decoded or the edits don't match the text; the next heartbeat then requests the complete file.
func (a *Agent) ruleText(v *view.View, version uint64, encoded []byte) []byte {
	a.needFullRules = false
	if version <= v.RuleVersion {
		return nil
	}
	change, err := decodeRuleChange(encoded)
	if err != nil {
		a.cfg.Logger.WithError(err).Errorf("member: cannot decode the rule change to version %d", version)
		a.needFullRules = true
		return nil
	}
	if len(change.GetEdits()) == 0 {
		return change.GetWhole()
	}
	text := v.RuleText
	for _, e := range change.GetEdits() {
		if e.GetVersion() <= v.RuleVersion {
			continue
		}
		if e.GetPrefix()+e.GetSuffix() > uint64(len(text)) {
			a.needFullRules = true
			return nil
		}
		next := slices.Concat(text[:e.GetPrefix()], e.GetMiddle(), text[uint64(len(text))-e.GetSuffix():])
		if digest := sha256.Sum256(next); !bytes.Equal(digest[:], e.GetDigest()) {
			a.needFullRules = true
			return nil
		}
		text = next
	}
	return text
}

// decodeRuleChange decompresses and decodes a rule change.
func decodeRuleChange(compressed []byte) (*pb.RuleChange, error) {
	change := &pb.RuleChange{}
	return change, decodeCompressed(compressed, maxRuleChangeBytes, "rule change", change)
}

// decodeCompressed decompresses a message of at most limit bytes and decodes it into m.
// what names the message in errors.
func decodeCompressed(compressed []byte, limit int, what string, m proto.Message) error {
	decompressed, err := compress.Codec{
		Limit: limit,
	}.Decompress(compressed)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(decompressed, m); err != nil {
		return fault.Wrap(fault.DamagedText, what, err)
	}
	return nil
}

// applyRuleChange returns a view with a newer rule file, which an encoded change leads to; an older
// one is ignored. It reports whether the returned view has at least the given version.
func (a *Agent) applyRuleChange(v *view.View, version uint64, encoded []byte) (*view.View, bool) {
	return a.applyRules(v, version, a.ruleText(v, version, encoded))
}

// applyRules returns a view with a newer rule file; an older one is ignored. It
// reports whether the returned view has at least the given version.
func (a *Agent) applyRules(v *view.View, version uint64, text []byte) (*view.View, bool) {
	if version <= v.RuleVersion {
		return v, true
	}
	if a.needFullRules {
		return v, false
	}
	f, err := parse.Rules("rules", text)
	if err != nil {
		a.cfg.Logger.WithError(err).Errorf("member: cannot parse rules version %d", version)
		return v, false
	}
	a.cfg.Logger.Infof("member: rules version %d in force", version)
	return v.WithRules(version, text, f), true
}
