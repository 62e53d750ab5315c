// Package engine is a simulated model engine, for tests and the demo.
//
// It serves requests by priority over a fixed number of slots, with continuous
// batching, and has a prefix cache of limited size. It streams numbered frames
// that can be resumed and cancelled, exports and imports the cache of a chat,
// reports its cache events late and with gaps, and accepts orders with or
// without checking their fencing number.
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
	// finishedRetention is how long a finished request can still be resumed.
	finishedRetention = 30 * time.Second
	// bytesPerToken is the size of one token in an exported cache.
	bytesPerToken = 64
)

// Engine is a simulated engine. Set the exported fields before it serves.
type Engine struct {
	Name  string
	Slots int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens uint64
	// PrefillPerSecond is how many uncached prompt tokens are processed in a
	// second.
	PrefillPerSecond int
	// TokenInterval is the time between two output tokens of a request.
	TokenInterval time.Duration
	// EventDelay is the delay of cache events; EventLossRate is the share of them
	// that is lost.
	EventDelay    time.Duration
	EventLossRate float64
	// CheckFence makes the engine reject orders with a fencing number below the
	// highest one received.
	CheckFence bool

	mu           sync.Mutex
	incarnation  uint64
	cache        residency.Table
	running      int
	waiting      []*waiter
	runs         map[string]*run
	events       []timedEvent
	sequence     uint64
	highestFence uint64
	orders       map[uint64]int
	peak         int
	// lastStart is when the last run was started.
	lastStart time.Time
}

var _ camphorspokev1connect.EngineServiceHandler = (*Engine)(nil)

// waiter is a request that waits for a slot; granted is closed when it has one.
type waiter struct {
	priority uint32
	granted  chan struct{}
}

// timedEvent is a cache event that is not reported before visibleAt.
type timedEvent struct {
	event     *pb.CacheEvent
	visibleAt time.Time
}

// run is the execution of one request. cond is broadcast on each new frame, at
// the end and when a reader's context ends.
type run struct {
	cond     *sync.Cond
	produced uint64
	total    uint64
	reused   uint32
	done     bool
	failed   bool
	cancel   context.CancelFunc
}

// PeakRequests returns the largest number of requests that were running or
// waiting at the same time.
func (e *Engine) PeakRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peak
}

// LastStart returns when the last run was started, by a new request or by the
// resume of one that had no run.
func (e *Engine) LastStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastStart
}

// OrderCounts returns how often each order was accepted, by order id.
func (e *Engine) OrderCounts() map[uint64]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.orders)
}

// Infer streams the frames of a request from the requested sequence number on.
// It starts the request unless it is running or recently finished.
func (e *Engine) Infer(ctx context.Context, r *connect.Request[pb.InferRequest], out *connect.ServerStream[pb.InferResponse]) error {
	q := e.findOrStart(r.Msg)
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		q.cond.Broadcast()
	})
	defer stop()
	for next := r.Msg.GetResumeFrom(); ; next++ {
		ready, err := e.awaitFrame(ctx, q, next)
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

// Text returns the text of a frame, by which a check recognises it.
func Text(request string, sequence uint64) string {
	return fmt.Sprintf("%s/%d ", request, sequence)
}

// awaitFrame waits until frame next is produced. It returns false at the end of
// the response.
func (e *Engine) awaitFrame(ctx context.Context, q *run, next uint64) (bool, error) {
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

// findOrStart returns the run of a request and starts one when there is none or
// it failed. A resume of a request without a run processes the prompt again and
// continues from the requested sequence number.
func (e *Engine) findOrStart(r *pb.InferRequest) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs == nil {
		e.runs = make(map[string]*run)
		e.cache.Capacity = e.CacheTokens
	}
	if q := e.runs[r.GetRequestId()]; q != nil && !q.failed {
		return q
	}
	ctx, cancel := context.WithCancel(context.Background())
	q := &run{
		cond:     sync.NewCond(&e.mu),
		produced: r.GetResumeFrom(),
		total:    uint64(r.GetMaxTokens()),
		cancel:   cancel,
	}
	e.runs[r.GetRequestId()] = q
	e.lastStart = time.Now()
	go e.produce(ctx, q, r)
	return q
}

// produce executes a request: it waits for a slot, produces the frames and caches
// the chat. The run is deleted after finishedRetention.
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
		e.cacheChat(r.GetChat(), r.GetPromptTokens()+r.GetMaxTokens())
	}
	q.cond.Broadcast()
	e.mu.Unlock()
	time.AfterFunc(finishedRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[r.GetRequestId()] == q {
			delete(e.runs, r.GetRequestId())
		}
	})
}

// compute simulates the prefill of the uncached prompt tokens and then produces
// one frame every TokenInterval. It returns false when ctx ends.
func (e *Engine) compute(ctx context.Context, q *run, r *pb.InferRequest) bool {
	e.mu.Lock()
	q.reused = min(e.cache.Tokens(r.GetChat()), r.GetPromptTokens())
	uncached := r.GetPromptTokens() - q.reused
	e.mu.Unlock()
	if !sleep(ctx, time.Duration(uncached)*time.Second/time.Duration(max(e.PrefillPerSecond, 1))) {
		return false
	}
	for q.produced < q.total {
		if !sleep(ctx, e.TokenInterval) {
			return false
		}
		e.mu.Lock()
		q.produced++
		q.cond.Broadcast()
		e.mu.Unlock()
	}
	return true
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
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

// acquire waits for a slot. It returns false when ctx ends first.
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
		granted:  make(chan struct{}),
	}
	e.waiting = append(e.waiting, w)
	e.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		e.cancelWait(w)
		return false
	}
}

// cancelWait removes w from the queue.
func (e *Engine) cancelWait(w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, o := range e.waiting {
		if o == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	// w is no longer queued, so it was granted a slot in the meantime: grant the
	// slot to the next waiter.
	e.grantSlot()
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grantSlot()
}

// grantSlot grants a released slot to the waiter with the lowest priority value,
// which is the most urgent one. The caller holds mu.
func (e *Engine) grantSlot() {
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
	close(e.waiting[best].granted)
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
}

// cacheChat adds a chat to the prefix cache and records the cache event, unless
// the event is one of the lost ones. The caller holds mu.
func (e *Engine) cacheChat(chat string, tokens uint32) {
	e.cache.Touch(chat, tokens)
	e.sequence++
	if rand.Float64() < e.EventLossRate {
		return
	}
	e.events = append(e.events, timedEvent{
		event: &pb.CacheEvent{
			Sequence: e.sequence,
			Chat:     chat,
			Tokens:   tokens,
		},
		visibleAt: time.Now().Add(e.EventDelay),
	})
	if len(e.events) > 1000 {
		e.events = e.events[500:]
	}
}

// Cancel aborts a request.
func (e *Engine) Cancel(_ context.Context, r *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q := e.runs[r.Msg.GetRequestId()]; q != nil {
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
		Blob:   make([]byte, int(tokens)*bytesPerToken),
	}), nil
}

// ImportCache adds a chat to the cache.
func (e *Engine) ImportCache(_ context.Context, r *connect.Request[pb.ImportCacheRequest]) (*connect.Response[pb.ImportCacheResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.Capacity = e.CacheTokens
	e.cacheChat(r.Msg.GetChat(), r.Msg.GetTokens())
	return connect.NewResponse(&pb.ImportCacheResponse{}), nil
}

// CacheEvents returns the recorded events after a sequence number whose delay has
// passed.
func (e *Engine) CacheEvents(_ context.Context, r *connect.Request[pb.CacheEventsRequest]) (*connect.Response[pb.CacheEventsResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	resp := &pb.CacheEventsResponse{}
	for _, t := range e.events {
		if t.event.GetSequence() > r.Msg.GetAfter() && time.Now().After(t.visibleAt) {
			resp.Events = append(resp.Events, t.event)
		}
	}
	return connect.NewResponse(resp), nil
}

// Load returns the current load.
func (e *Engine) Load(context.Context, *connect.Request[pb.LoadRequest]) (*connect.Response[pb.LoadResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == 0 {
		e.incarnation = uint64(time.Now().UnixNano())
	}
	return connect.NewResponse(&pb.LoadResponse{
		Running:     uint32(e.running),
		Queued:      uint32(len(e.waiting)),
		Slots:       uint32(e.Slots),
		CacheTokens: e.CacheTokens,
		Incarnation: e.incarnation,
	}), nil
}

// Order accepts an order. With CheckFence it rejects one whose fencing number is
// below the highest one received.
func (e *Engine) Order(_ context.Context, r *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.CheckFence && r.Msg.GetFencingNumber() < e.highestFence {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("fencing number %d is below the highest one received, %d", r.Msg.GetFencingNumber(), e.highestFence))
	}
	e.highestFence = max(e.highestFence, r.Msg.GetFencingNumber())
	if e.orders == nil {
		e.orders = make(map[uint64]int)
	}
	e.orders[r.Msg.GetOrderId()]++
	return connect.NewResponse(&pb.OrderResponse{}), nil
}
