package router

// This file defines the choice of the engine that serves a chat, which the owner
// of the chat's preferred engine makes.

import (
	"context"
	"slices"
	"time"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/displaced"
	"camphorspoke/internal/routing/placement"
	"camphorspoke/internal/routing/retry"
	"camphorspoke/internal/routing/view"
)

// decide places a request of a chat whose preferred engine this router owns. It
// first tries the engines that may have the chat cached, then the others in
// rendezvous order. While every engine is at its load bound, it retries for up to
// maxSpillWait.
func (r *Router) decide(ctx context.Context, v *view.View, preferred string, req *pb.GenerateRequest, hops uint32, out sink) error {
	deadline := r.cfg.Now() + maxSpillWait
	for round := 0; ; round++ {
		err := r.tryCandidates(ctx, v, preferred, req, hops, out)
		k := fault.KindOf(err)
		if err == nil || k != fault.OverBound && k != fault.AccountLimit {
			return err
		}
		if r.cfg.Now() >= deadline || r.spillWaiters.Load() >= maxSpillWaiters {
			if k == fault.AccountLimit {
				return err
			}
			return fault.New(fault.Overloaded, req.GetService(), "every engine of the service is at its load bound; retry later")
		}
		r.spillWaiters.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(retry.Backoff(round)):
		}
		r.spillWaiters.Add(-1)
		if ctx.Err() != nil {
			return fault.Wrap(fault.NotRun, req.GetRequestId(), ctx.Err())
		}
		v = r.Agent.View()
	}
}

// tryCandidates tries each candidate once, in order.
func (r *Router) tryCandidates(ctx context.Context, v *view.View, preferred string, req *pb.GenerateRequest, hops uint32, out sink) error {
	var lastErr error = fault.New(fault.OverBound, preferred, "")
	var tracker attemptTracker
	for _, c := range r.candidates(v, preferred, req) {
		var tokens uint32
		observe := func(f *pb.GenerateResponse) error {
			if f.GetEnd() {
				tokens = req.GetPromptTokens() + uint32(f.GetCount())
			}
			return out(f)
		}
		err := r.serveAt(ctx, v, c, req, hops, observe)
		if err == nil {
			r.recordLocation(preferred, c.server, req.GetChat(), tokens)
			return nil
		}
		err = tracker.combine(err)
		if !canTryElsewhere(err) {
			return err
		}
		if k := fault.KindOf(err); k == fault.OverBound || fault.KindOf(lastErr) != fault.OverBound {
			lastErr = err
		}
	}
	return lastErr
}

// recordLocation records which engine served a chat last, or deletes the record if
// that is the chat's preferred engine.
func (r *Router) recordLocation(preferred, server, chat string, tokens uint32) {
	location := displaced.Location{}
	if server != preferred {
		location = displaced.Location{
			Server: server,
			Tokens: tokens,
		}
	}
	r.serverStates.SetDisplaced(preferred, chat, location)
}

// candidate is an engine to try.
type candidate struct {
	server string
	// onlyCached makes the engine's owner refuse unless it expects the engine to have
	// at least half of the prompt cached.
	onlyCached bool
	// copyFrom is the engine whose cache of the chat is copied first; empty if none.
	copyFrom string
}

// candidates returns the engines to try, in order: those that may have the chat
// cached, by expected time to first token, then the others in rendezvous order.
func (r *Router) candidates(v *view.View, preferred string, req *pb.GenerateRequest) []candidate {
	order := r.cfg.Picker.Order(req.GetChat(), v.WeightedServers(req.GetService()))
	out, cacheSource := r.cachedCandidates(v, preferred, order, req)
	if !v.Rules.Services[req.GetService()].MovesCacheOnSpill {
		cacheSource = ""
	}
	for _, s := range order {
		if !slices.ContainsFunc(out, func(c candidate) bool { return c.server == s && !c.onlyCached }) {
			out = append(out, candidate{
				server:   s,
				copyFrom: cacheSource,
			})
		}
	}
	return out
}

// cachedCandidates returns the engines that may have the chat cached, by expected
// time to first token. cacheSource is the one with the highest number of tokens of
// the chat cached, or empty if that number is too low to be worth copying. It is
// never an engine whose cache contents are not known.
func (r *Router) cachedCandidates(v *view.View, preferred string, order []string, req *pb.GenerateRequest) (out []candidate, cacheSource string) {
	now := r.cfg.Now()
	cs := []placement.Candidate{{
		Server:    preferred,
		Cached:    r.serverStates.CachedTokens(preferred, req.GetChat()),
		Load:      r.serverStates.Load(preferred),
		Slots:     int(v.Servers[preferred].GetSlots()),
		Preferred: true,
	}}
	unverified := ""
	if location, ok := r.serverStates.Displaced(preferred, req.GetChat()); ok && slices.Contains(order, location.Server) {
		cs = append(cs, placement.Candidate{
			Server: location.Server,
			Cached: location.Tokens,
			Load:   r.loads.Load(now, location.Server),
			Slots:  int(v.Servers[location.Server].GetSlots()),
		})
	} else if s := r.likelyPreviousEngine(v, preferred, order, cs[0], req); s != "" {
		unverified = s
		cs = append(cs, placement.Candidate{
			Server: s,
			Cached: req.GetPromptTokens(),
			Load:   r.loads.Load(now, s),
			Slots:  int(v.Servers[s].GetSlots()),
		})
	}
	for _, c := range placement.Order(placement.DefaultCosts(), req.GetPromptTokens(), cs) {
		out = append(out, candidate{
			server:     c.Server,
			onlyCached: c.Server == unverified,
		})
	}
	return out, mostCached(cs, unverified)
}

// mostCached returns the candidate with the highest number of tokens of a chat
// cached, or an empty string if none has at least placement.MinMoveTokens. The
// unverified candidate is left out, since its cache contents are not known.
func mostCached(cs []placement.Candidate, unverified string) string {
	source, most := "", uint32(placement.MinMoveTokens)
	for _, c := range cs {
		if c.Server != unverified && c.Cached >= most {
			source, most = c.Server, c.Cached
		}
	}
	return source
}

// likelyPreviousEngine returns the engine that probably served the chat while its
// preferred engine was not listed: the next one in rendezvous order. It returns an
// empty string unless the preferred engine joined within coldPeriod and has nothing
// of the chat cached, and the prompt has at least minUnverifiedTokens.
func (r *Router) likelyPreviousEngine(v *view.View, preferred string, order []string, preferredCandidate placement.Candidate, req *pb.GenerateRequest) string {
	joined := time.UnixMilli(v.Servers[preferred].GetJoinedMs())
	if req.GetPromptTokens() < minUnverifiedTokens || preferredCandidate.Cached > 0 || time.Since(joined) > coldPeriod {
		return ""
	}
	for _, s := range order {
		if s != preferred {
			return s
		}
	}
	return ""
}

// serveAt serves a request at one engine: directly if this router owns it, otherwise
// through its owner.
func (r *Router) serveAt(ctx context.Context, v *view.View, c candidate, req *pb.GenerateRequest, hops uint32, out sink) error {
	if _, ok := r.Agent.Admits(c.server); ok {
		if c.onlyCached && r.serverStates.CachedTokens(c.server, req.GetChat()) < req.GetPromptTokens()/2 {
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
