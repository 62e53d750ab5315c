package server

// This file defines the log line on routes that a change of the rules opens or closes.

import (
	"camphorspoke/internal/routing/view"
)

// logKeyRequirement logs that callers need no keys any more, or need them again, from a version of the
// rules on. Without keys every route is open.
func (in *instance) logKeyRequirement(old, next *view.View) {
	if old.Rules == nil || next.Rules == nil || old.Rules.RequiresKeys == next.Rules.RequiresKeys {
		return
	}
	log := in.log.WithField("ruleVer", next.RuleVersion)
	if next.Rules.RequiresKeys {
		log.WithField("accounts", len(next.Rules.Accounts)).Info("rules: callers need a key on routes that are not public")
		return
	}
	log.Warn("rules: callers need no key any more, as the rules have no account rule; every route is open")
}
