package placer

// This file defines the serving side of a placement stream.

import (
	"sync"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
)

// serverStream is the serving side of the placement stream of one other instance.
// Lock order: Schedulers.mu, then mu.
type serverStream struct {
	schedulers *Schedulers
	sendQueue  chan *pb.PlaceResponse

	mu sync.Mutex
	// requests holds the requests of the other instance that have no outcome yet, by
	// their ID on the stream.
	requests map[uint64]requestRef
}

// requestRef identifies a request at the local schedulers.
type requestRef struct {
	service string
	id      uint64
}

// Serve answers the placement requests of another instance until its stream ends, and
// then cancels the requests that the other instance still has in flight: it has
// either switched to another decider, or died, in which case its connections to the
// backend servers are closed too.
func (d *Schedulers) Serve(s pb.PeerService_PlaceServer) error {
	a := &serverStream{
		schedulers: d,
		sendQueue:  make(chan *pb.PlaceResponse, sendQueueLength),
		requests:   make(map[uint64]requestRef),
	}
	defer a.cancelAll()
	go func() {
		for {
			select {
			case <-s.Context().Done():
				return
			case m := <-a.sendQueue:
				if s.Send(m) != nil {
					return
				}
			}
		}
	}()
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		a.handleRequest(m)
	}
}

func (a *serverStream) handleRequest(m *pb.PlaceRequest) {
	switch {
	case m.GetAsk() != nil:
		a.submit(m.GetId(), m.GetAsk())
	case m.GetReport() != nil:
		a.report(m.GetId(), m.GetReport())
	case m.GetAdopt() != nil:
		ad := m.GetAdopt()
		a.schedulers.adopt(ad.GetService(), ad.GetBackendServer(), toParts(ad.GetParts(), ad.GetPartTokens()), false)
	}
}

func (a *serverStream) submit(id uint64, q *pb.PlaceAsk) {
	localID, waits := a.schedulers.submit(q.GetService(), true, scheduler.Request{
		Account:         q.GetAccount(),
		Parts:           toParts(q.GetParts(), q.GetPartTokens()),
		MaxOutputTokens: int(q.GetOutputTokens()),
		Urgency:         int(q.GetUrgency()),
		MaxWait:         time.Duration(q.GetWaitMs()) * time.Millisecond,
		Tried:           q.GetTried(),
		Retry:           q.GetAgain(),
		FailureDomain:   q.GetFailureDomain(),
	}, func(d scheduler.Decision) { a.sendDecision(id, d) })
	a.mu.Lock()
	a.requests[id] = requestRef{
		service: q.GetService(),
		id:      localID,
	}
	a.mu.Unlock()
	if waits {
		a.send(&pb.PlaceResponse{
			Id:    id,
			Waits: true,
		})
	}
}

func (a *serverStream) sendDecision(id uint64, d scheduler.Decision) {
	a.send(&pb.PlaceResponse{
		Id:            id,
		BackendServer: d.Server,
		Refusal:       d.Refusal,
		RetryAfterMs:  uint32(d.RetryAfter.Milliseconds()),
		Cached:        uint32(d.CachedTokens),
		Load:          uint32(d.Load),
		BestCached:    uint32(d.BestCachedTokens),
		FetchFrom:     d.FetchFrom,
	})
}

// send queues a message, and drops it when the queue is full: the other instance then
// times out and skips this decider.
func (a *serverStream) send(m *pb.PlaceResponse) {
	select {
	case a.sendQueue <- m:
	default:
	}
}

func (a *serverStream) report(id uint64, r *pb.PlaceReport) {
	a.mu.Lock()
	p, ok := a.requests[id]
	if r.GetEvent() != pb.PlaceEvent_PLACE_EVENT_STARTED {
		delete(a.requests, id)
	}
	a.mu.Unlock()
	if !ok {
		return
	}
	a.schedulers.report(p.service, p.id, scheduler.Report{
		Event:   scheduler.Event(r.GetEvent()),
		HasLoad: r.GetHasLoad(),
		Running: int(r.GetRunning()),
		Waiting: int(r.GetWaiting()),
		Elapsed: time.Duration(r.GetElapsedMs()) * time.Millisecond,
	})
}

func (a *serverStream) cancelAll() {
	a.mu.Lock()
	requests := a.requests
	a.requests = make(map[uint64]requestRef)
	a.mu.Unlock()
	for _, p := range requests {
		a.schedulers.report(p.service, p.id, scheduler.Report{
			Event: scheduler.Cancelled,
		})
	}
}
