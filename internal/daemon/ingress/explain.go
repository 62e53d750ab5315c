package ingress

// This file defines the explanation of what would be decided on a request, without sending it.

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/placer"
	"camphorspoke/internal/edge"
	"camphorspoke/internal/rules/ruleset"
)

// Explanation is what would be decided on a request now.
type Explanation struct {
	RuleVersion uint64 `json:"ruleVersion"`
	// RulesFresh is true if the rules are confirmed to be in force.
	RulesFresh bool   `json:"rulesFresh"`
	Route      string `json:"route"`
	Service    string `json:"service"`
	Account    string `json:"account,omitempty"`
	// Urgency ranks the request among waiting ones, 0 first.
	Urgency    int   `json:"urgency"`
	Attempts   int   `json:"attempts"`
	TimeoutMs  int64 `json:"timeoutMs"`
	Repeatable bool  `json:"repeatable"`
	// HedgePercent is the limit on hedged requests; zero is none.
	HedgePercent float64             `json:"hedgePercent"`
	Placement    *placer.Explanation `json:"placement"`
}

// Explain returns what would be decided on a request to a host and a path. The account is the
// one named, or that of the key in req if no name is given. A request that would be refused by
// the rules fails with the failure that its caller would receive.
func (h *Handler) Explain(ctx context.Context, hostName, target, account string, req edge.Request) (*Explanation, error) {
	c := &call{
		h:     h,
		r:     &http.Request{Host: hostName, RequestURI: target},
		ctx:   ctx,
		req:   req,
		start: h.Now(),
	}
	v := c.readRules()
	if v.Rules == nil || v.RuleVersion == 0 {
		return nil, staleRulesFault("no rules have been received yet")
	}
	if c.route = v.Rules.Match(host(hostName), path(target)); c.route == nil {
		return nil, c.rulesFault(fault.UnknownRoute, hostName)
	}
	if err := c.identify(v.Rules, account); err != nil {
		return nil, err
	}
	c.setDeadline()
	c.service = c.route.PickService(xxhash.Sum64String(req.ID))
	out := &Explanation{
		RuleVersion:  v.RuleVersion,
		RulesFresh:   c.rulesFresh,
		Route:        c.route.Name,
		Service:      c.service,
		Account:      c.account,
		Urgency:      c.urgency,
		Attempts:     c.route.Attempts,
		TimeoutMs:    (c.deadline - c.start).Milliseconds(),
		Repeatable:   c.route.Repeatable(),
		HedgePercent: 100 * v.Rules.Services[c.service].HedgeShare(h.HedgePercent),
	}
	var err error
	out.Placement, err = h.Placer.Explain(ctx, c.service, c.placementRequest())
	return out, err
}

// identify sets the account that is named, or that of the key.
func (c *call) identify(rules *ruleset.Rules, name string) error {
	if name == "" {
		return c.authenticate(rules)
	}
	a, ok := rules.Accounts[name]
	if !ok {
		return fault.New(fault.BadRequest, name, "no such account in the rules in force")
	}
	c.account = name
	c.setUrgency(a)
	return nil
}
