package router

// This file defines where a chat is served: what the owner of its home engine
// weighs, and how it spills.

import (
	"context"
	"slices"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/displaced"
	"camphorspoke/internal/routing/placement"
	"camphorspoke/internal/routing/retry"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/world/fault"
)

// decide places a chat whose home engine this router owns: it weighs the
// engines that may remember it, then spills down the preference list, and
// waits a little for room when every engine is at its bound.
func (r *Router) decide(ctx context.Context, v *view.View, home string, req *pb.GenerateRequest, hops uint32, out sink) error {
	deadline := r.cfg.Now() + spillWait
	for round := 0; ; round++ {
		err := r.decideOnce(ctx, v, home, req, hops, out)
		k := fault.KindOf(err)
		if err == nil || k != fault.OverBound && k != fault.AccountLimit {
			return err
		}
		if r.cfg.Now() >= deadline || r.waiting.Load() >= maxWaiting {
			if k == fault.AccountLimit {
				return err
			}
			return fault.New(fault.Overloaded, req.GetService(), "every engine of the service is at its bound; try again later")
		}
		r.waiting.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(retry.Backoff(round)):
		}
		r.waiting.Add(-1)
		if ctx.Err() != nil {
			return fault.Wrap(fault.NotRun, req.GetRequestId(), ctx.Err())
		}
		v = r.Agent.View()
	}
}

func (r *Router) decideOnce(ctx context.Context, v *view.View, home string, req *pb.GenerateRequest, hops uint32, out sink) error {
	var last error = fault.New(fault.OverBound, home, "")
	var seen doubt
	for _, c := range r.candidates(v, home, req) {
		var tokens uint32
		note := func(f *pb.GenerateResponse) error {
			if f.GetEnd() {
				tokens = req.GetPromptTokens() + uint32(f.GetCount())
			}
			return out(f)
		}
		err := r.tryAt(ctx, v, c, req, hops, note)
		if err == nil {
			r.remember(home, c.server, req.GetChat(), tokens)
			return nil
		}
		err = seen.resolve(err)
		if !tryNext(err) {
			return err
		}
		if k := fault.KindOf(err); k == fault.OverBound || fault.KindOf(last) != fault.OverBound {
			last = err
		}
	}
	return last
}

func (r *Router) remember(home, served, chat string, tokens uint32) {
	p := displaced.Place{}
	if served != home {
		p = displaced.Place{
			Server: served,
			Tokens: tokens,
		}
	}
	r.gates.Displace(home, chat, p)
}

// choice is an engine to try.
type choice struct {
	server     string
	onlyCached bool
	// copyFrom is an engine whose cache of the chat is copied first; empty for
	// none.
	copyFrom string
}

// candidates orders the engines to try: those that may remember the chat by
// expected first token, then the rest of the preference list.
func (r *Router) candidates(v *view.View, home string, req *pb.GenerateRequest) []choice {
	order := r.cfg.Picker.Order(req.GetChat(), v.Weighted(req.GetService()))
	out, holder := r.remembering(v, home, order, req)
	if !v.Rules.Services[req.GetService()].SpillMoves {
		holder = ""
	}
	for _, s := range order {
		if !slices.ContainsFunc(out, func(c choice) bool { return c.server == s && !c.onlyCached }) {
			out = append(out, choice{
				server:   s,
				copyFrom: holder,
			})
		}
	}
	return out
}

// remembering returns the engines that may remember a chat, cheapest first,
// and the one that holds most of it, empty when it is not worth copying.
func (r *Router) remembering(v *view.View, home string, order []string, req *pb.GenerateRequest) (out []choice, holder string) {
	now := r.cfg.Now()
	cs := []placement.Candidate{{
		Server: home,
		Cached: r.gates.Cached(home, req.GetChat()),
		Load:   r.gates.Load(home),
		Slots:  int(v.Servers[home].GetSlots()),
		Home:   true,
	}}
	asked := ""
	if p, ok := r.gates.Displaced(home, req.GetChat()); ok && slices.Contains(order, p.Server) {
		cs = append(cs, placement.Candidate{
			Server: p.Server,
			Cached: p.Tokens,
			Load:   r.loads.Load(now, p.Server),
			Slots:  int(v.Servers[p.Server].GetSlots()),
		})
	} else if s := r.secondChoice(v, home, order, cs[0], req); s != "" {
		asked = s
		cs = append(cs, placement.Candidate{
			Server: s,
			Cached: req.GetPromptTokens(),
			Load:   r.loads.Load(now, s),
			Slots:  int(v.Servers[s].GetSlots()),
		})
	}
	for _, c := range placement.Order(placement.DefaultCosts(), req.GetPromptTokens(), cs) {
		out = append(out, choice{
			server:     c.Server,
			onlyCached: c.Server == asked,
		})
	}
	return out, mostCached(cs, asked)
}

// mostCached returns the candidate that is known to hold most of a chat.
func mostCached(cs []placement.Candidate, asked string) string {
	holder, most := "", uint32(placement.MoveTokens)
	for _, c := range cs {
		if c.Server != asked && c.Cached >= most {
			holder, most = c.Server, c.Cached
		}
	}
	return holder
}

// secondChoice returns the engine that served the chat while a cold home was
// away, if it is worth asking.
func (r *Router) secondChoice(v *view.View, home string, order []string, h placement.Candidate, req *pb.GenerateRequest) string {
	joined := time.UnixMilli(v.Servers[home].GetJoinedMs())
	if req.GetPromptTokens() < askCachedTokens || h.Cached > 0 || time.Since(joined) > coldFor {
		return ""
	}
	for _, s := range order {
		if s != home {
			return s
		}
	}
	return ""
}

// tryAt serves at one engine, here when this router owns it.
func (r *Router) tryAt(ctx context.Context, v *view.View, c choice, req *pb.GenerateRequest, hops uint32, out sink) error {
	if _, ok := r.Agent.Admits(c.server); ok {
		if c.onlyCached && r.gates.Cached(c.server, req.GetChat()) < req.GetPromptTokens()/2 {
			return fault.New(fault.NotCached, c.server, "")
		}
		return r.dispatch(ctx, v.Servers[c.server], req, c.copyFrom, out)
	}
	if hops >= maxHops {
		return fault.New(fault.OverBound, c.server, "")
	}
	return r.forward(ctx, v, c.server, &pb.ForwardGenerateRequest{
		Request:       req,
		BackendServer: c.server,
		Hops:          hops + 1,
		Decided:       true,
		OnlyCached:    c.onlyCached,
		CopyFrom:      c.copyFrom,
	}, out)
}
