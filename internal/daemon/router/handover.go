package router

// This file defines the hand-over of a server to its next owner, cache transfers
// between engines, and graceful shutdown.

import (
	"context"
	"time"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/view"
)

const (
	// maxHandoverRows is the maximum number of entries per table that are handed
	// over.
	maxHandoverRows = 20_000
	// handoverTimeout limits each hand-over call, the wait for the new assignment,
	// and the move of one chat's cache.
	handoverTimeout = 2 * time.Second
	// expectPeriod is how long a hand-over is expected after it was announced. In this
	// period, awaitOwnership makes requests for the server wait before it refuses them.
	expectPeriod = 2 * time.Second
	// leaveHandoverWait is how long a leaving router waits until all its servers have
	// other owners. When the whole fleet stops, no other owner exists.
	leaveHandoverWait = 5 * time.Second
	// inFlightInterval is the time between reports of the requests still in flight to
	// the next owner.
	inFlightInterval = 300 * time.Millisecond
	// maxCopies is the maximum number of cache copies in progress on one router.
	maxCopies = 4
	// copyTimeout limits one cache copy.
	copyTimeout = 500 * time.Millisecond
)

// StartHandover hands a server over to the owner that the leader has chosen. Three
// steps in this order keep the time without an owner short: the tables are sent first,
// so that the next owner lets requests wait for the server instead of refusing them;
// then the server is released, and the leader assigns it; then the next owner is
// notified, and requests its lease at once.
func (r *Router) StartHandover(a *pb.Assignment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handingOver[a.GetBackendServer()] || !r.Agent.Assigned(a.GetBackendServer()) {
		return
	}
	r.handingOver[a.GetBackendServer()] = r.cfg.Pool.Submit(func(ctx context.Context) {
		r.runHandover(ctx, a)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.handingOver, a.GetBackendServer())
	})
}

// runHandover performs a hand-over, and afterwards reports the requests still in
// flight until they end.
func (r *Router) runHandover(ctx context.Context, a *pb.Assignment) {
	server := a.GetBackendServer()
	next := r.Agent.View().Instances[a.GetOwner()]
	cached, displacedChats, inFlight := r.serverStates.Export(server, maxHandoverRows)
	r.sendHandover(ctx, next, &pb.HandoverRequest{
		BackendServer: server,
		Cached:        cached,
		Displaced:     displacedChats,
		InFlight:      uint32(inFlight),
	})
	r.Agent.Release(server)
	for deadline := r.cfg.Now() + handoverTimeout; r.cfg.Now() < deadline && ctx.Err() == nil; {
		if r.Agent.View().Servers[server].GetOwner() != r.cfg.Instance {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	// The next owner counts the requests in flight here towards the server's load.
	for ctx.Err() == nil {
		load := r.serverStates.Load(server)
		r.sendHandover(ctx, next, &pb.HandoverRequest{
			BackendServer: server,
			InFlight:      uint32(load),
		})
		if load == 0 {
			return
		}
		time.Sleep(inFlightInterval)
	}
}

// sendHandover sends a hand-over message to the next owner.
func (r *Router) sendHandover(ctx context.Context, next *pb.Instance, h *pb.HandoverRequest) {
	if next == nil {
		return
	}
	h.From = r.cfg.Instance
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := r.cfg.Peers.Handover(ctx, next.GetPeerAddress(), h); err != nil {
		r.cfg.Logger.WithError(err).Warnf("router: hand-over message to %s for %s failed", next.GetName(), h.GetBackendServer())
	}
}

// ReceiveHandover processes a hand-over message: the cache and displacement tables of
// a server, and, if it comes from the server's earlier owner, the number of requests
// still in flight there.
func (r *Router) ReceiveHandover(h *pb.HandoverRequest) error {
	s := r.Agent.View().Servers[h.GetBackendServer()]
	if s == nil {
		return fault.New(fault.UnknownServer, h.GetBackendServer(), "the view of this router does not list the backend server")
	}
	r.serverStates.Import(s, h.GetCached(), h.GetDisplaced())
	if h.GetFrom() != "" {
		r.serverStates.SetInheritedLoad(s.GetName(), int(h.GetInFlight()))
		r.mu.Lock()
		if r.expectedUntil == nil {
			r.expectedUntil = make(map[string]time.Duration)
		}
		r.expectedUntil[s.GetName()] = r.cfg.Now() + expectPeriod
		r.mu.Unlock()
		if !r.Agent.Assigned(s.GetName()) {
			r.Agent.HeartbeatNow()
		}
	}
	return nil
}

// expectsHandover reports whether requests should wait for the announced hand-over of
// a server.
func (r *Router) expectsHandover(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Now() < r.expectedUntil[server]
}

// Leave drains this router. It leaves the directory, hands its servers over, keeps
// serving callers for as long as they may hold a cached directory response, and then
// waits for the requests in flight. It returns early when ctx ends.
func (r *Router) Leave(ctx context.Context) {
	r.Agent.SetLeaving()
	directoryExpiry := r.cfg.Now() + DirectoryTTL + 2*time.Second
	handoverDeadline := r.cfg.Now() + leaveHandoverWait
	r.waitUntil(ctx, func() bool { return len(r.Loads()) == 0 || r.Agent.Degraded() || r.cfg.Now() >= handoverDeadline })
	r.waitUntil(ctx, func() bool { return r.cfg.Now() >= directoryExpiry })
	r.waitUntil(ctx, func() bool { return r.inFlight.Load() == 0 })
	r.flushOutcomes(ctx)
}

// waitUntil polls done until it returns true or ctx ends.
func (r *Router) waitUntil(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}

// HandleViewChange handles a new view: it moves the caches of owned servers that have
// started to leave or drain.
func (r *Router) HandleViewChange(old, next *view.View) {
	for name, s := range next.Servers {
		before := old.Servers[name]
		isLeaving := (s.GetLeaving() || s.GetDrained()) && !s.GetGone()
		wasLeaving := before.GetLeaving() || before.GetDrained()
		if isLeaving && !wasLeaving && r.Agent.Assigned(name) {
			r.cfg.Pool.Submit(func(ctx context.Context) { r.moveCaches(ctx, s) })
		}
	}
}

// moveCaches moves the caches of a leaving engine to the engines that its chats will
// use next, most recently used first. It stops once it has moved the number of bytes
// that the rules allow.
func (r *Router) moveCaches(ctx context.Context, s *pb.BackendServer) {
	v := r.Agent.View()
	if v.Rules == nil || v.Rules.Services[s.GetService()].Plain {
		return
	}
	budget := v.Rules.Services[s.GetService()].MaxMoveBytes
	rows, _, _ := r.serverStates.Export(s.GetName(), maxHandoverRows)
	moved := 0
	for _, c := range rows {
		if budget <= 0 || ctx.Err() != nil {
			break
		}
		n, err := r.moveCache(ctx, v, s, c)
		if err != nil {
			r.cfg.Logger.WithError(err).Debugf("router: moving the cache of a chat from %s failed", s.GetName())
			continue
		}
		budget -= n
		moved++
	}
	r.cfg.Logger.Infof("router: moved the caches of %d of %d chats from %s", moved, len(rows), s.GetName())
}

// moveCache moves the cache of one chat and returns its size in bytes.
func (r *Router) moveCache(ctx context.Context, v *view.View, s *pb.BackendServer, c *pb.CachedChat) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	order := r.cfg.Picker.Order(c.GetChat(), v.WeightedServers(s.GetService()))
	if len(order) == 0 {
		return 0, fault.New(fault.NoEngine, s.GetService(), "no engine is available to import the cache")
	}
	to := v.Servers[order[0]]
	blob, err := r.transferCache(ctx, s, to, c.GetChat())
	if err != nil {
		return 0, err
	}
	r.announceCache(ctx, v, to, c.GetChat(), blob.GetTokens())
	return int64(len(blob.GetBlob())), nil
}

// copyCache copies the cache of a chat to an engine that is about to serve it. At
// most maxCopies copies run at once on a router. If the limit is reached, or a copy
// exceeds copyTimeout, the engine computes the prompt itself.
func (r *Router) copyCache(ctx context.Context, from string, to *pb.BackendServer, req *pb.GenerateRequest) {
	s := r.Agent.View().Servers[from]
	if s == nil || s.GetGone() || r.serverStates.CachedTokens(to.GetName(), req.GetChat()) >= req.GetPromptTokens()/2 {
		return
	}
	if r.activeCopies.Add(1) > maxCopies {
		r.activeCopies.Add(-1)
		return
	}
	defer r.activeCopies.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	if _, err := r.transferCache(ctx, s, to, req.GetChat()); err != nil {
		r.cfg.Logger.WithError(err).Debugf("router: copying a cache from %s failed", from)
	}
}

// transferCache exports a chat's cache from one engine and imports it at another.
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

// announceCache notifies the owner of an engine that the engine now has a chat
// cached.
func (r *Router) announceCache(ctx context.Context, v *view.View, to *pb.BackendServer, chat string, tokens uint32) {
	rows := []*pb.CachedChat{{
		Chat:   chat,
		Tokens: tokens,
	}}
	if r.Agent.Assigned(to.GetName()) {
		r.serverStates.Import(to, rows, nil)
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
		r.cfg.Logger.WithError(err).Debug("router: announcing a moved cache to the owner of its engine failed")
	}
}
