package placer

// This file defines how the instance serves another instance.

import (
	"sync"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
)

// asker is the other end of one stream. Lock order: the mu of Schedulers, then mu.
type asker struct {
	schedulers *Schedulers
	out        chan *pb.PlaceResponse

	mu       sync.Mutex
	requests map[uint64]placed
}

// placed names a request at the instance.
type placed struct {
	service string
	id      uint64
}

// Serve answers the questions of one instance until its stream ends. What it
// had running is forgotten then: it asks another instance, or it has died and its
// connections to the backend servers with it.
func (d *Schedulers) Serve(s pb.PeerService_PlaceServer) error {
	a := &asker{
		schedulers: d,
		out:        make(chan *pb.PlaceResponse, outLength),
		requests:   make(map[uint64]placed),
	}
	defer a.forgetAll()
	go func() {
		for {
			select {
			case <-s.Context().Done():
				return
			case m := <-a.out:
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
		a.take(m)
	}
}

func (a *asker) take(m *pb.PlaceRequest) {
	switch {
	case m.GetAsk() != nil:
		a.ask(m.GetId(), m.GetAsk())
	case m.GetReport() != nil:
		a.report(m.GetId(), m.GetReport())
	case m.GetAdopt() != nil:
		ad := m.GetAdopt()
		a.schedulers.adopt(ad.GetService(), ad.GetBackendServer(), toParts(ad.GetParts(), ad.GetPartTokens()), false)
	}
}

func (a *asker) ask(id uint64, q *pb.PlaceAsk) {
	localID, waits := a.schedulers.ask(q.GetService(), true, scheduler.Ask{
		Account:       q.GetAccount(),
		Parts:         toParts(q.GetParts(), q.GetPartTokens()),
		Output:        int(q.GetOutputTokens()),
		Urgency:       int(q.GetUrgency()),
		Wait:          time.Duration(q.GetWaitMs()) * time.Millisecond,
		Tried:         q.GetTried(),
		Again:         q.GetAgain(),
		FailureDomain: q.GetFailureDomain(),
	}, func(d scheduler.Decision) { a.answer(id, d) })
	a.mu.Lock()
	a.requests[id] = placed{
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

func (a *asker) answer(id uint64, d scheduler.Decision) {
	a.send(&pb.PlaceResponse{
		Id:            id,
		BackendServer: d.Server,
		Refusal:       d.Refusal,
		RetryAfterMs:  uint32(d.RetryAfter.Milliseconds()),
		Cached:        uint32(d.Cached),
		Load:          uint32(d.Load),
		BestCached:    uint32(d.BestCached),
		FetchFrom:     d.FetchFrom,
	})
}

// send drops a message that the asker does not take in time: it then passes
// this instance over.
func (a *asker) send(m *pb.PlaceResponse) {
	select {
	case a.out <- m:
	default:
	}
}

func (a *asker) report(id uint64, r *pb.PlaceReport) {
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

func (a *asker) forgetAll() {
	a.mu.Lock()
	requests := a.requests
	a.requests = make(map[uint64]placed)
	a.mu.Unlock()
	for _, p := range requests {
		a.schedulers.report(p.service, p.id, scheduler.Report{
			Event: scheduler.Cancelled,
		})
	}
}
