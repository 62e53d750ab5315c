package membership

// This file defines the queries between routers: a router whose rules have not
// been confirmed by the leader for some time gets the newest rule version from
// the other routers.

import (
	"context"
	"slices"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// peerQueryInterval is how often the age of the last confirmation is checked.
const peerQueryInterval = 250 * time.Millisecond

// peerQueryLoop queries the other routers while the last confirmation is older than
// peerQueryAge.
func (a *Agent) peerQueryLoop(ctx context.Context) {
	t := time.NewTicker(peerQueryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if a.confirmationAge() > peerQueryAge {
			a.queryPeers(ctx)
		}
	}
}

// confirmationAge returns the age of the last confirmation of the rules. It is zero
// before the first one, so that no query is sent: the list of routers comes from
// the control group.
func (a *Agent) confirmationAge() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.everConfirmed {
		return 0
	}
	return a.cfg.Now() - (a.freshUntil - a.cfg.FreshFor)
}

// queryPeers queries all listed routers for their rule version. The rules are
// confirmed by the answers of a majority of the listed routers, this one included.
func (a *Agent) queryPeers(ctx context.Context) {
	v := a.View()
	sent := a.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	routers := v.Routers()
	answers := make(chan *pb.RuleVersionResponse, len(routers))
	for _, i := range routers {
		go func() {
			if i.GetName() == a.cfg.Instance {
				answers <- &pb.RuleVersionResponse{
					Instance: a.cfg.Instance,
					Version:  v.RuleVersion,
					Known:    true,
				}
				return
			}
			r, err := a.cfg.Peers.RuleVersion(ctx, i.GetPeerAddress(), &pb.RuleVersionRequest{
				Have: v.RuleVersion,
			})
			if err != nil {
				r = nil
			}
			answers <- r
		}()
	}
	a.applyPeerAnswers(sent, routers, collectConfirmed(answers, len(routers)))
}

// collectConfirmed receives n answers and returns those of routers that hold a
// confirmed rule version. A nil answer stands for a failed call.
func collectConfirmed(answers <-chan *pb.RuleVersionResponse, n int) []*pb.RuleVersionResponse {
	var out []*pb.RuleVersionResponse
	for range n {
		if r := <-answers; r != nil && r.GetKnown() {
			out = append(out, r)
		}
	}
	return out
}

// applyPeerAnswers adopts the newest rule version among the answers and confirms the
// rules as of the time sent, if a majority of the listed routers has answered.
func (a *Agent) applyPeerAnswers(sent time.Duration, listed []*pb.Instance, answers []*pb.RuleVersionResponse) {
	a.recordUnresponsive(listed, answers)
	if 2*len(answers) <= len(listed) {
		return
	}
	newest := answers[0]
	for _, r := range answers {
		if r.GetVersion() > newest.GetVersion() {
			newest = r
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.view.Load()
	if newest.GetVersion() > v.RuleVersion {
		a.needFullRules = false
		next, ok := a.applyRules(v, newest.GetVersion(), newest.GetContent())
		if !ok {
			return
		}
		a.view.Store(next)
	}
	a.confirm(sent)
}

// recordUnresponsive stores which of the listed routers are missing from answers:
// those that did not answer and those whose rules have never been confirmed.
func (a *Agent) recordUnresponsive(listed []*pb.Instance, answers []*pb.RuleVersionResponse) {
	var unresponsive []string
	for _, i := range listed {
		if !slices.ContainsFunc(answers, func(r *pb.RuleVersionResponse) bool { return r.GetInstance() == i.GetName() }) {
			unresponsive = append(unresponsive, i.GetName())
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setUnresponsive(unresponsive)
}

// RuleVersion answers the query of another router. The answer of a router whose
// rules have never been confirmed has Known unset and doesn't count.
func (a *Agent) RuleVersion(r *pb.RuleVersionRequest) *pb.RuleVersionResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.view.Load()
	resp := &pb.RuleVersionResponse{
		Instance: a.cfg.Instance,
		Version:  v.RuleVersion,
		Known:    a.everConfirmed,
	}
	if v.RuleVersion > r.GetHave() {
		resp.Content = v.RuleText
	}
	return resp
}
