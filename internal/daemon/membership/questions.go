package membership

// This file defines the second path by which rule versions spread: a router
// without a fresh proof asks the other routers.

import (
	"context"
	"slices"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const questionInterval = 250 * time.Millisecond

func (a *Agent) questions(ctx context.Context) {
	t := time.NewTicker(questionInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if a.proofAge() > askAfter {
			a.ask(ctx)
		}
	}
}

// proofAge returns the age of the present proof; zero before the first one,
// since only the control group can list the routers.
func (a *Agent) proofAge() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known {
		return 0
	}
	return a.cfg.Now() - (a.freshUntil - a.cfg.FreshFor)
}

// ask puts the question to all listed routers and renews the proof when a
// majority answers.
func (a *Agent) ask(ctx context.Context) {
	v := a.View()
	sent := a.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, askLimit)
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
	a.takeAnswers(sent, routers, collect(answers, len(routers)))
}

func collect(answers <-chan *pb.RuleVersionResponse, n int) []*pb.RuleVersionResponse {
	var out []*pb.RuleVersionResponse
	for range n {
		if r := <-answers; r != nil && r.GetKnown() {
			out = append(out, r)
		}
	}
	return out
}

func (a *Agent) takeAnswers(sent time.Duration, listed []*pb.Instance, answers []*pb.RuleVersionResponse) {
	a.noteSilent(listed, answers)
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
		a.wantWhole = false
		next, ok := a.adopt(v, newest.GetVersion(), newest.GetContent())
		if !ok {
			return
		}
		a.view.Store(next)
	}
	a.prove(sent)
}

// noteSilent remembers which of the listed routers did not answer.
func (a *Agent) noteSilent(listed []*pb.Instance, answers []*pb.RuleVersionResponse) {
	var silent []string
	for _, i := range listed {
		if !slices.ContainsFunc(answers, func(r *pb.RuleVersionResponse) bool { return r.GetInstance() == i.GetName() }) {
			silent = append(silent, i.GetName())
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
}

// RuleVersion answers another router's question. A router that has not yet
// learned a version from a majority says so and is not counted.
func (a *Agent) RuleVersion(r *pb.RuleVersionRequest) *pb.RuleVersionResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.view.Load()
	resp := &pb.RuleVersionResponse{
		Instance: a.cfg.Instance,
		Version:  v.RuleVersion,
		Known:    a.known,
	}
	if v.RuleVersion > r.GetHave() {
		resp.Content = v.RuleText
	}
	return resp
}
