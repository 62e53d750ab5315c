package router

// This file defines handing a server over to its next owner, and leaving.

import (
	"context"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/world/fault"
)

const (
	// handoverRows is the most rows of each soft table that are handed over.
	handoverRows  = 20_000
	handoverLimit = 2 * time.Second
	// expectFor is how long a router waits for a server that was announced.
	expectFor = 2 * time.Second
	// handOverWait is how long a leaving router waits for takers; when a whole
	// fleet stops there are none.
	handOverWait  = 5 * time.Second
	carryInterval = 300 * time.Millisecond
	// maxCopies bounds the caches that one router copies at once.
	maxCopies = 4
	copyLimit = 500 * time.Millisecond
)

// GiveUp hands a server over, as the leader asks. The order keeps the gap
// small: tables first, so that the next owner waits for the server instead of
// refusing; then the release, which the leader answers with the assignment;
// then word to the next owner, which asks for its lease at once.
func (r *Router) GiveUp(a *pb.Assignment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handing[a.GetBackendServer()] || !r.Agent.Assigned(a.GetBackendServer()) {
		return
	}
	r.handing[a.GetBackendServer()] = r.cfg.Pool.Submit(func(ctx context.Context) {
		r.handOver(ctx, a)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.handing, a.GetBackendServer())
	})
}

func (r *Router) handOver(ctx context.Context, a *pb.Assignment) {
	server := a.GetBackendServer()
	next := r.Agent.View().Instances[a.GetOwner()]
	cached, away, inFlight := r.gates.Export(server, handoverRows)
	r.tellNext(ctx, next, &pb.HandoverRequest{
		BackendServer: server,
		Cached:        cached,
		Displaced:     away,
		InFlight:      uint32(inFlight),
	})
	r.Agent.Release(server)
	for deadline := r.cfg.Now() + handoverLimit; r.cfg.Now() < deadline && ctx.Err() == nil; {
		if r.Agent.View().Servers[server].GetOwner() != r.cfg.Instance {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	// The next owner counts what is still in flight here until it ends.
	for ctx.Err() == nil {
		load := r.gates.Load(server)
		r.tellNext(ctx, next, &pb.HandoverRequest{
			BackendServer: server,
			InFlight:      uint32(load),
		})
		if load == 0 {
			return
		}
		time.Sleep(carryInterval)
	}
}

func (r *Router) tellNext(ctx context.Context, next *pb.Instance, h *pb.HandoverRequest) {
	if next == nil {
		return
	}
	h.From = r.cfg.Instance
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	if err := r.cfg.Peers.Handover(ctx, next.GetPeerAddress(), h); err != nil {
		r.cfg.Logger.WithError(err).Warnf("router: %s took no handover of %s", next.GetName(), h.GetBackendServer())
	}
}

// Handover takes the soft tables of a server from its earlier owner.
func (r *Router) Handover(h *pb.HandoverRequest) error {
	s := r.Agent.View().Servers[h.GetBackendServer()]
	if s == nil {
		return fault.New(fault.UnknownServer, h.GetBackendServer(), "this router has not heard of it")
	}
	r.gates.Import(s, h.GetCached(), h.GetDisplaced())
	if h.GetFrom() != "" {
		r.gates.Carry(s.GetName(), int(h.GetInFlight()))
		r.mu.Lock()
		if r.expected == nil {
			r.expected = make(map[string]time.Duration)
		}
		r.expected[s.GetName()] = r.cfg.Now() + expectFor
		r.mu.Unlock()
		if !r.Agent.Assigned(s.GetName()) {
			r.Agent.Kick()
		}
	}
	return nil
}

// expects reports whether a server was announced and has not arrived.
func (r *Router) expects(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Now() < r.expected[server]
}

// Leave empties this router: out of the directory, servers handed over, what
// stale callers bring served for as long as they may keep an answer, and
// requests in flight finished. It returns early when ctx ends.
func (r *Router) Leave(ctx context.Context) {
	r.Agent.Leave()
	left := r.cfg.Now() + DirectoryKeep + 2*time.Second
	handed := r.cfg.Now() + handOverWait
	r.await(ctx, func() bool { return len(r.Loads()) == 0 || r.Agent.Degraded() || r.cfg.Now() >= handed })
	r.await(ctx, func() bool { return r.cfg.Now() >= left })
	r.await(ctx, func() bool { return r.inFlight.Load() == 0 })
	r.flushSettlements(ctx)
}

func (r *Router) await(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}

// Changed acts on a new view: servers that now leave have their caches moved.
func (r *Router) Changed(old, next *view.View) {
	for name, s := range next.Servers {
		before := old.Servers[name]
		leaves := (s.GetLeaving() || s.GetDrained()) && !s.GetGone()
		left := before.GetLeaving() || before.GetDrained()
		if leaves && !left && r.Agent.Assigned(name) {
			r.cfg.Pool.Submit(func(ctx context.Context) { r.moveCaches(ctx, s) })
		}
	}
}

// moveCaches moves the caches of a leaving engine to where its chats go next,
// the latest first, within the budget of bytes that the rules give.
func (r *Router) moveCaches(ctx context.Context, s *pb.BackendServer) {
	v := r.Agent.View()
	if v.Rules == nil || v.Rules.Services[s.GetService()].Plain {
		return
	}
	left := v.Rules.Services[s.GetService()].MoveBytes
	rows, _, _ := r.gates.Export(s.GetName(), handoverRows)
	moved := 0
	for _, c := range rows {
		if left <= 0 || ctx.Err() != nil {
			break
		}
		n, err := r.moveCache(ctx, v, s, c)
		if err != nil {
			r.cfg.Logger.WithError(err).Debugf("router: the cache of a chat at %s was not moved", s.GetName())
			continue
		}
		left -= n
		moved++
	}
	r.cfg.Logger.Infof("router: moved the caches of %d of %d chats off %s", moved, len(rows), s.GetName())
}

func (r *Router) moveCache(ctx context.Context, v *view.View, s *pb.BackendServer, c *pb.CachedChat) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	order := r.cfg.Picker.Order(c.GetChat(), v.Weighted(s.GetService()))
	if len(order) == 0 {
		return 0, fault.New(fault.NoEngine, s.GetService(), "no engine can take the cache")
	}
	to := v.Servers[order[0]]
	blob, err := r.transferCache(ctx, s, to, c.GetChat())
	if err != nil {
		return 0, err
	}
	r.noteMoved(ctx, v, to, c.GetChat(), blob.GetTokens())
	return int64(len(blob.GetBlob())), nil
}

// copyCache copies the cache of a chat to an engine that is about to serve it.
// At most maxCopies run at once on a router, and one that takes too long is
// given up: the prompt is then computed anew.
func (r *Router) copyCache(ctx context.Context, from string, to *pb.BackendServer, req *pb.GenerateRequest) {
	s := r.Agent.View().Servers[from]
	if s == nil || s.GetGone() || r.gates.Cached(to.GetName(), req.GetChat()) >= req.GetPromptTokens()/2 {
		return
	}
	if r.copies.Add(1) > maxCopies {
		r.copies.Add(-1)
		return
	}
	defer r.copies.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	if _, err := r.transferCache(ctx, s, to, req.GetChat()); err != nil {
		r.cfg.Logger.WithError(err).Debugf("router: a cache was not copied from %s", from)
	}
}

// transferCache exports a chat's cache at one engine and imports it at another.
func (r *Router) transferCache(ctx context.Context, from, to *pb.BackendServer, chat string) (*pb.ExportCacheResponse, error) {
	blob, err := r.cfg.Engine.ExportCache(ctx, from.GetAddress(), chat)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, from.GetName(), err)
	}
	if err := r.cfg.Engine.ImportCache(ctx, to.GetAddress(), &pb.ImportCacheRequest{
		Chat:   chat,
		Tokens: blob.GetTokens(),
		Blob:   blob.GetBlob(),
	}); err != nil {
		return nil, fault.Wrap(fault.Unreachable, to.GetName(), err)
	}
	return blob, nil
}

// noteMoved tells the owner of an engine that it now caches a chat.
func (r *Router) noteMoved(ctx context.Context, v *view.View, to *pb.BackendServer, chat string, tokens uint32) {
	rows := []*pb.CachedChat{{
		Chat:   chat,
		Tokens: tokens,
	}}
	if r.Agent.Assigned(to.GetName()) {
		r.gates.Import(to, rows, nil)
		return
	}
	owner := v.Owner(to.GetName())
	if owner == nil {
		return
	}
	if err := r.cfg.Peers.Handover(ctx, owner.GetPeerAddress(), &pb.HandoverRequest{
		BackendServer: to.GetName(),
		Cached:        rows,
	}); err != nil {
		r.cfg.Logger.WithError(err).Debug("router: a moved cache was not announced")
	}
}
