package membership

// This file defines how a router takes a newer rule file.

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/parse"
	"camphorspoke/internal/world/fault"
	"camphorspoke/internal/world/pack"
)

// maxChange bounds an unpacked change of the rules, in bytes.
const maxChange = 2 * parse.MaxBytes

// ruleText returns the rule file of an answer: given whole, or as edits of the
// text held. A change that can't be decoded or doesn't fit gives nil, and the
// next heartbeat asks for the whole file.
func (a *Agent) ruleText(v *view.View, resp *pb.HeartbeatResponse) []byte {
	a.wantWhole = false
	if resp.GetRuleVersion() <= v.RuleVersion {
		return nil
	}
	change, err := decodeChange(resp.GetRuleChange())
	if err != nil {
		a.cfg.Logger.WithError(err).Errorf("member: the change to version %d can't be decoded", resp.GetRuleVersion())
		a.wantWhole = true
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
			a.wantWhole = true
			return nil
		}
		next := slices.Concat(text[:e.GetPrefix()], e.GetMiddle(), text[uint64(len(text))-e.GetSuffix():])
		if digest := sha256.Sum256(next); !bytes.Equal(digest[:], e.GetDigest()) {
			a.wantWhole = true
			return nil
		}
		text = next
	}
	return text
}

// decodeChange unpacks a change of the rules.
func decodeChange(packed []byte) (*pb.RuleChange, error) {
	plain, err := pack.Codec{
		Limit: maxChange,
	}.Unpack(packed)
	if err != nil {
		return nil, err
	}
	change := &pb.RuleChange{}
	if err := proto.Unmarshal(plain, change); err != nil {
		return nil, fault.Wrap(fault.DamagedText, "change of the rules", err)
	}
	return change, nil
}

// adopt takes a newer rule file; versions only go up. It reports whether the
// view holds at least the given version.
func (a *Agent) adopt(v *view.View, version uint64, text []byte) (*view.View, bool) {
	if version <= v.RuleVersion {
		return v, true
	}
	if a.wantWhole {
		return v, false
	}
	f, err := parse.Rules("rules", text)
	if err != nil {
		a.cfg.Logger.WithError(err).Errorf("member: version %d can't be read", version)
		return v, false
	}
	a.cfg.Logger.Infof("member: rules version %d in force", version)
	return v.WithRules(version, text, f), true
}
