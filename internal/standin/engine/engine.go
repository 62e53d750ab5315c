// Package engine is a stand-in for a model engine, for tests and the demo.
//
// It batches continuously over a fixed number of slots by priority, keeps a
// prefix cache of limited memory, streams numbered frames that can be resumed
// and cancelled, exports and imports caches, reports cache events late and
// with gaps and its load with a lag, and takes orders with or without checking
// their fencing number.
package engine

// This file defines Engine.

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
	"camphorspoke/internal/routing/residency"
)

const (
	keepFinished = 30 * time.Second
	bytesPerTok  = 64
)

// Engine is a stand-in engine. Set the fields before it serves.
type Engine struct {
	Name  string
	Slots int
	// CacheTokens is the memory of the prefix cache.
	CacheTokens uint64
	// PrefillPerSecond is how many prompt tokens are computed in a second.
	PrefillPerSecond int
	// TokenEvery is the time between two tokens.
	TokenEvery time.Duration
	// EventLag delays cache events; EventGap is the share that is lost.
	EventLag time.Duration
	EventGap float64
	// CheckFence makes the engine refuse old fencing numbers.
	CheckFence bool

	mu       sync.Mutex
	started  uint64
	cache    residency.Table
	running  int
	waiting  []*waiter
	streams  map[string]*run
	events   []timedEvent
	sequence uint64
	fence    uint64
	orders   map[uint64]int
	peak     int
	// lastNew is when the last new request arrived.
	lastNew time.Time
}

var _ camphorspokev1connect.EngineServiceHandler = (*Engine)(nil)

type waiter struct {
	priority uint32
	ready    chan struct{}
}

type timedEvent struct {
	event *pb.CacheEvent
	at    time.Time
}

// run is one request being answered; cond is signalled on each new frame.
type run struct {
	cond     *sync.Cond
	produced uint64
	total    uint64
	reused   uint32
	done     bool
	failed   bool
	cancel   context.CancelFunc
}

// Peak returns the most requests that were running and waiting at once.
func (e *Engine) Peak() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peak
}

// LastNew returns when the last new request arrived.
func (e *Engine) LastNew() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastNew
}

// Orders returns how often each order was received.
func (e *Engine) Orders() map[uint64]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.orders)
}

// Infer streams the frames of a request, starting it unless it is known.
func (e *Engine) Infer(ctx context.Context, r *connect.Request[pb.InferRequest], out *connect.ServerStream[pb.InferResponse]) error {
	q := e.find(r.Msg)
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		q.cond.Broadcast()
	})
	defer stop()
	for next := r.Msg.GetResumeFrom(); ; next++ {
		ready, err := e.await(ctx, q, next)
		if err != nil {
			return err
		}
		if !ready {
			break
		}
		if err := out.Send(&pb.InferResponse{
			RequestId: r.Msg.GetRequestId(),
			Sequence:  next,
			Text:      Text(r.Msg.GetRequestId(), next),
		}); err != nil {
			return err
		}
	}
	return out.Send(&pb.InferResponse{
		RequestId:    r.Msg.GetRequestId(),
		Sequence:     q.total,
		End:          true,
		Count:        q.total,
		ReusedTokens: q.reused,
	})
}

// Text is the text of a frame.
func Text(request string, sequence uint64) string {
	return fmt.Sprintf("%s/%d ", request, sequence)
}

// await waits until frame next was produced; false at the end of the answer.
func (e *Engine) await(ctx context.Context, q *run, next uint64) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for q.produced <= next && !q.done && !q.failed && ctx.Err() == nil {
		q.cond.Wait()
	}
	switch {
	case ctx.Err() != nil:
		return false, ctx.Err()
	case q.failed:
		return false, connect.NewError(connect.CodeCanceled, errors.New("the request was cancelled"))
	}
	return q.produced > next, nil
}

// find returns the run of a request and starts it when it is new. A resume of
// an unknown request computes the prompt and goes on from where it says.
func (e *Engine) find(r *pb.InferRequest) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams == nil {
		e.streams = make(map[string]*run)
		e.cache.Capacity = e.CacheTokens
	}
	if q := e.streams[r.GetRequestId()]; q != nil && !q.failed {
		return q
	}
	ctx, cancel := context.WithCancel(context.Background())
	q := &run{
		cond:     sync.NewCond(&e.mu),
		produced: r.GetResumeFrom(),
		total:    uint64(r.GetMaxTokens()),
		cancel:   cancel,
	}
	e.streams[r.GetRequestId()] = q
	e.lastNew = time.Now()
	go e.produce(ctx, q, r)
	return q
}

func (e *Engine) produce(ctx context.Context, q *run, r *pb.InferRequest) {
	defer q.cancel()
	ok := e.acquire(ctx, r.GetPriority())
	if ok {
		defer e.release()
		ok = e.compute(ctx, q, r)
	}
	e.mu.Lock()
	q.done, q.failed = ok, !ok
	if ok {
		e.store(r.GetChat(), r.GetPromptTokens()+r.GetMaxTokens())
	}
	q.cond.Broadcast()
	e.mu.Unlock()
	time.AfterFunc(keepFinished, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[r.GetRequestId()] == q {
			delete(e.streams, r.GetRequestId())
		}
	})
}

func (e *Engine) compute(ctx context.Context, q *run, r *pb.InferRequest) bool {
	e.mu.Lock()
	q.reused = min(e.cache.Tokens(r.GetChat()), r.GetPromptTokens())
	cold := r.GetPromptTokens() - q.reused
	e.mu.Unlock()
	if !pause(ctx, time.Duration(cold)*time.Second/time.Duration(max(e.PrefillPerSecond, 1))) {
		return false
	}
	for q.produced < q.total {
		if !pause(ctx, e.TokenEvery) {
			return false
		}
		e.mu.Lock()
		q.produced++
		q.cond.Broadcast()
		e.mu.Unlock()
	}
	return true
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (e *Engine) acquire(ctx context.Context, priority uint32) bool {
	e.mu.Lock()
	e.peak = max(e.peak, e.running+len(e.waiting)+1)
	if e.running < max(e.Slots, 1) {
		e.running++
		e.mu.Unlock()
		return true
	}
	w := &waiter{
		priority: priority,
		ready:    make(chan struct{}),
	}
	e.waiting = append(e.waiting, w)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		e.abandon(w)
		return false
	}
}

func (e *Engine) abandon(w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, o := range e.waiting {
		if o == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	// The slot was given in the meantime: pass it on.
	e.passOn()
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.passOn()
}

// passOn gives a freed slot to the most urgent waiter. The caller holds mu.
func (e *Engine) passOn() {
	best := -1
	for i, w := range e.waiting {
		if best < 0 || w.priority < e.waiting[best].priority {
			best = i
		}
	}
	if best < 0 {
		e.running--
		return
	}
	close(e.waiting[best].ready)
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
}

// store caches a chat and notes the event, which may be lost. mu is held.
func (e *Engine) store(chat string, tokens uint32) {
	e.cache.Touch(chat, tokens)
	e.sequence++
	if rand.Float64() < e.EventGap {
		return
	}
	e.events = append(e.events, timedEvent{
		event: &pb.CacheEvent{
			Sequence: e.sequence,
			Chat:     chat,
			Tokens:   tokens,
		},
		at: time.Now().Add(e.EventLag),
	})
	if len(e.events) > 1000 {
		e.events = e.events[500:]
	}
}

// Cancel ends a request.
func (e *Engine) Cancel(_ context.Context, r *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q := e.streams[r.Msg.GetRequestId()]; q != nil {
		q.cancel()
	}
	return connect.NewResponse(&pb.CancelResponse{}), nil
}

// ExportCache returns the cache of a chat.
func (e *Engine) ExportCache(_ context.Context, r *connect.Request[pb.ExportCacheRequest]) (*connect.Response[pb.ExportCacheResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := e.cache.Tokens(r.Msg.GetChat())
	if tokens == 0 {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("the chat is not cached"))
	}
	return connect.NewResponse(&pb.ExportCacheResponse{
		Tokens: tokens,
		Blob:   make([]byte, int(tokens)*bytesPerTok),
	}), nil
}

// ImportCache takes the cache of a chat.
func (e *Engine) ImportCache(_ context.Context, r *connect.Request[pb.ImportCacheRequest]) (*connect.Response[pb.ImportCacheResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.Capacity = e.CacheTokens
	e.store(r.Msg.GetChat(), r.Msg.GetTokens())
	return connect.NewResponse(&pb.ImportCacheResponse{}), nil
}

// CacheEvents returns the events that are due.
func (e *Engine) CacheEvents(_ context.Context, r *connect.Request[pb.CacheEventsRequest]) (*connect.Response[pb.CacheEventsResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	resp := &pb.CacheEventsResponse{}
	for _, t := range e.events {
		if t.event.GetSequence() > r.Msg.GetAfter() && time.Now().After(t.at) {
			resp.Events = append(resp.Events, t.event)
		}
	}
	return connect.NewResponse(resp), nil
}

// Load returns the load now.
func (e *Engine) Load(context.Context, *connect.Request[pb.LoadRequest]) (*connect.Response[pb.LoadResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.started == 0 {
		e.started = uint64(time.Now().UnixNano())
	}
	return connect.NewResponse(&pb.LoadResponse{
		Running:     uint32(e.running),
		Queued:      uint32(len(e.waiting)),
		Slots:       uint32(e.Slots),
		CacheTokens: e.CacheTokens,
		Incarnation: e.started,
	}), nil
}

// Order takes an order; one with an old fencing number is refused where the
// engine checks.
func (e *Engine) Order(_ context.Context, r *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.CheckFence && r.Msg.GetFencingNumber() < e.fence {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("fencing number %d is below %d", r.Msg.GetFencingNumber(), e.fence))
	}
	e.fence = max(e.fence, r.Msg.GetFencingNumber())
	if e.orders == nil {
		e.orders = make(map[uint64]int)
	}
	e.orders[r.Msg.GetOrderId()]++
	return connect.NewResponse(&pb.OrderResponse{}), nil
}
