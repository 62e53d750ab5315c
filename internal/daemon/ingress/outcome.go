package ingress

// This file defines the log line and the metrics of a finished request.

import (
	"context"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"
)

// logOutcome writes the log line and the metrics of a finished request.
func (c *call) logOutcome(outcome string, err error) {
	fields := logrus.Fields{
		"request":  c.req.ID,
		"outcome":  outcome,
		"ruleVer":  c.ruleVersion,
		"sends":    c.sends,
		"runs":     c.runs,
		"totalMs":  (c.h.Now() - c.start).Milliseconds(),
		"tried":    strings.Join(c.tried, ","),
		"service":  c.service,
		"account":  c.account,
		"callGone": c.callerGone(),
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if c.status != 0 {
		fields["status"] = c.status
	}
	if c.hedge != "" {
		fields["hedge"] = c.hedge
	}
	if c.forwarded {
		fields["forwarded"], fields["sendsBefore"] = true, c.sendsBefore
	}
	if c.forwardedTo != "" {
		fields["forwardedTo"] = c.forwardedTo
	}
	if c.req.Resumes != "" {
		fields["resumes"], fields["boundTo"] = c.req.Resumes, c.version
	}
	if c.stream != 0 {
		fields["stream"] = strconv.FormatUint(c.stream, 16)
	}
	if g := c.grant; g != nil {
		fields["server"], fields["version"], fields["decider"] = g.Server, g.Version, g.Decider
		fields["waitedMs"] = g.Waited.Milliseconds()
		fields["cached"], fields["bestCached"], fields["load"] = g.CachedTokens, g.BestCachedTokens, g.Load
		if g.OverLimit {
			fields["overLimit"] = true
		}
		if c.info.HasLoad {
			fields["reportedLoad"] = c.info.Running + c.info.Waiting
		}
		if c.info.WorkPercent > 0 {
			fields["workPercent"] = c.info.WorkPercent
		}
		if c.info.Limit.Named {
			fields["serverLimit"] = c.info.Limit.PerSecond
		}
		if g.Withdrawn > 0 {
			fields["withdrawn"] = g.Withdrawn
		}
		fields["loadLimit"], fields["meanServers"], fields["alone"] = g.LoadLimit, g.MeanServers, g.Alone
		if g.FetchFrom != "" {
			fields["fetchFrom"] = g.FetchFrom
		}
		if g.Reuse != "" {
			fields["prompt"], fields["reuse"], fields["reread"] = c.req.Prompt.Tokens, g.Reuse, g.RereadTokens
		}
	}
	if err != nil {
		fields["cause"] = err.Error()
	}
	if c.lastErr != nil {
		fields["lastFailure"] = c.lastErr.Error()
	}
	c.h.Logger.WithFields(fields).Info("ingress: request ended")
	if c.h.Meters != nil {
		c.h.Meters.Request(context.Background(), c.service, outcome, c.h.Now()-c.start)
	}
}
