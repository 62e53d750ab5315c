package membership

// This file defines the heartbeat loop and how an answer is applied.

import (
	"context"
	"math/rand/v2"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

// heartbeatLoop sends heartbeats until ctx is done. The pause between them has a
// jitter of 10 % either way.
func (a *Agent) heartbeatLoop(ctx context.Context) {
	for {
		interval := a.heartbeatInterval()
		if !a.heartbeat(ctx) && a.cfg.LeaderOnly {
			interval = min(interval, reconnectInterval)
		}
		pause := interval - interval/10 + rand.N(interval/5)
		select {
		case <-ctx.Done():
			return
		case <-a.heartbeatNow:
		case <-time.After(pause):
		}
	}
}

// heartbeatInterval returns the time between heartbeats.
func (a *Agent) heartbeatInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requestedInterval == 0 {
		return DefaultHeartbeatInterval
	}
	return min(a.requestedInterval, maxHeartbeatInterval)
}

// heartbeatRequest returns the next heartbeat. Rule version zero makes the leader
// send the complete rule file.
func (a *Agent) heartbeatRequest() *pb.HeartbeatRequest {
	v := a.View()
	loads := a.cfg.Loads()
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &pb.HeartbeatRequest{
		Instance:      a.cfg.Instance,
		Incarnation:   a.cfg.Incarnation,
		CallerAddress: a.cfg.CallerAddress,
		PeerAddress:   a.cfg.PeerAddress,
		FailureDomain: a.cfg.FailureDomain,
		RuleVersion:   v.RuleVersion,
		SeenIndex:     v.Index,
		Loads:         loads,
		Leaving:       a.leaving,
		CpuMilli:      a.cfg.CPUMilli,
		ReadsRules:    true,
		Isolated:      a.selfIsolated,

		RemovesServers: true,
	}
	if a.cfg.Requests != nil {
		r.RequestMilliRate = uint32(1000 * a.rate.measure(a.cfg.Now(), a.cfg.Requests()))
	}
	if a.needFullRules {
		r.RuleVersion = 0
	}
	for name, epoch := range a.releasing {
		r.Releasing = append(r.Releasing, &pb.Release{
			BackendServer: name,
			Epoch:         epoch,
		})
	}
	return r
}

// heartbeat sends one heartbeat and applies the answer. It returns false if there
// was none.
func (a *Agent) heartbeat(ctx context.Context) bool {
	req := a.heartbeatRequest()
	sent := a.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	resp, err := a.cfg.Control.Heartbeat(ctx, req)
	if err != nil {
		a.recordError(err)
		return false
	}
	next := a.changeView(func() (old, next *view.View) { return a.applyHeartbeat(sent, req, resp) })
	a.recordListAge(sent, resp)
	if a.cfg.OnControlAddresses != nil {
		a.cfg.OnControlAddresses(resp.GetControlAddresses())
	}
	a.cfg.OnLoads(resp.GetLoads())
	if resp.GetTablesBehind() || resp.GetRulesBehind() {
		a.requestTables()
	}
	if next.RuleVersion > req.GetRuleVersion() {
		// The leader waits until enough routers report the new version, so report
		// it without delay.
		a.HeartbeatNow()
	}
	for _, g := range resp.GetGiveUp() {
		a.cfg.OnHandover(g)
	}
	return true
}

// recordListAge records how old the list is that the view shows by now. The answer to a heartbeat that
// was sent at a time may have been under way for as long as the heartbeat, so its age counts from then.
func (a *Agent) recordListAge(sent time.Duration, resp *pb.HeartbeatResponse) {
	if resp.GetTablesBehind() || resp.GetListAgeMs() == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listReadAt = max(a.listReadAt, sent-time.Duration(resp.GetListAgeMs())*time.Millisecond)
}

// ListReadAt returns a time by which the platform's list was read whole that the view shows; zero if
// unknown.
func (a *Agent) ListReadAt() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listReadAt
}

// changeView calls apply, which returns the view before and after it, and then
// OnViewChange if the view has changed. Views change one at a time, so that
// OnViewChange is called in their order.
func (a *Agent) changeView(apply func() (old, next *view.View)) *view.View {
	a.viewChange.Lock()
	defer a.viewChange.Unlock()
	old, next := apply()
	if next != old {
		a.cfg.OnViewChange(old, next)
	}
	return next
}

// recordError stores the error of a failed heartbeat, and logs the first one of an
// outage.
func (a *Agent) recordError(err error) {
	a.mu.Lock()
	first := a.lastError == ""
	a.lastError = err.Error()
	a.recordUnconfirmed()
	a.mu.Unlock()
	if first {
		a.cfg.Logger.WithError(err).Warn("member: heartbeat to the control group failed")
	}
}

// applyHeartbeat applies a heartbeat answer to the state of the router: first the
// tables, then the rules, then the lease. It returns the view before and after.
func (a *Agent) applyHeartbeat(sent time.Duration, req *pb.HeartbeatRequest, resp *pb.HeartbeatResponse) (old, next *view.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastError != "" {
		a.cfg.Logger.WithField("ruleVer", resp.GetRuleVersion()).Info("member: heartbeats to the control group succeed again")
	}
	a.lastError = ""
	a.requestedInterval = time.Duration(resp.GetIntervalMs()) * time.Millisecond
	old = a.view.Load()
	a.cfg.Checker.Check(resp.GetIndex() >= req.GetSeenIndex(), "tablesRise",
		"the leader answered with log index %d, this router had index %d when it sent the heartbeat", resp.GetIndex(), req.GetSeenIndex())
	next = withRows(old, resp.GetIndex(), &pb.TableRows{
		Servers:     resp.GetServers(),
		Instances:   resp.GetInstances(),
		Whole:       resp.GetWhole(),
		Quarantines: resp.GetQuarantines(),
		Evacuations: resp.GetEvacuations(),

		RemovedIndex: resp.GetRemovedIndex(),
	})
	a.cfg.Checker.Check(resp.GetRuleVersion() >= req.GetRuleVersion(), "ruleVersionRises",
		"the leader answered with rule version %d, this router held %d when it sent the heartbeat", resp.GetRuleVersion(), req.GetRuleVersion())
	ok := false
	if !resp.GetRulesBehind() {
		next, ok = a.applyRuleChange(next, resp.GetRuleVersion(), resp.GetRuleChange())
	}
	a.view.Store(next)
	for name, epoch := range a.releasing {
		if next.Servers[name].GetEpoch() != epoch {
			delete(a.releasing, name)
		}
	}
	a.ownership.SetFrozen(resp.GetFrozen())
	a.setUnresponsive(resp.GetSilent())
	a.isolated = nameSet(resp.GetIsolated())
	a.setWorkingSets(resp.GetWorkingSets())
	a.leader, a.leaderOperator = resp.GetLeader(), resp.GetLeaderOperatorAddress()
	a.everCurrent = a.everCurrent || !resp.GetTablesBehind()
	if ok {
		a.everConfirmed = true
		a.confirm(sent)
	} else {
		a.recordUnconfirmed()
	}
	if ok && !resp.GetTablesBehind() {
		a.ownership.Renew(sent, time.Duration(resp.GetLeaseMs())*time.Millisecond)
	}
	return old, next
}

// setUnresponsive records the instances that have not answered recently. The caller
// holds mu.
func (a *Agent) setUnresponsive(names []string) {
	a.unresponsive = nameSet(names)
}

func nameSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}
