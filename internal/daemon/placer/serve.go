package placer

// This file defines the serving side of a placement stream.

import (
	"sync"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/streamversion"
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
// either switched to another decider, or stopped, in which case its connections to the
// backend servers are closed too.
func (d *Schedulers) Serve(s pb.PeerService_PlaceServer) error {
	stream := &serverStream{
		schedulers: d,
		sendQueue:  make(chan *pb.PlaceResponse, sendQueueLength),
		requests:   make(map[uint64]requestRef),
	}
	defer stream.cancelAll()
	go func() {
		for {
			select {
			case <-s.Context().Done():
				return
			case m := <-stream.sendQueue:
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
		stream.handleRequest(m)
	}
}

func (s *serverStream) handleRequest(m *pb.PlaceRequest) {
	switch {
	case m.GetAsk() != nil:
		s.submit(m.GetId(), m.GetAsk())
	case m.GetReport() != nil:
		s.report(m.GetId(), m.GetReport())
	case m.GetCrash() != nil:
		s.schedulers.noteCrash(m.GetCrash())
	case len(m.GetBegunStreams()) > 0:
		s.schedulers.receiveStreams(m.GetBegunStreams())
	default:
		for _, ad := range m.GetAdopts() {
			if m.GetInformed() {
				s.schedulers.fed(ad.GetService())
			}
			s.schedulers.adopt(ad.GetService(), ad.GetBackendServer(), scheduler.Request{
				Parts: toParts(ad.GetParts(), ad.GetPartTokens()),
			}, false)
		}
	}
}

func (s *serverStream) submit(id uint64, req *pb.PlaceAsk) {
	// A refused request has no outcome to wait for.
	refused := false
	localID, waits := s.schedulers.submit(req.GetService(), true, toRequest(req), func(d scheduler.Decision) {
		s.sendDecision(id, d)
		if d.Server != "" {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		refused = true
		delete(s.requests, id)
	})
	s.mu.Lock()
	if !refused {
		s.requests[id] = requestRef{
			service: req.GetService(),
			id:      localID,
		}
	}
	s.mu.Unlock()
	if waits {
		s.send(&pb.PlaceResponse{
			Id:    id,
			Waits: true,
		})
	}
}

// toRequest returns the request that another instance asks a placement for.
func toRequest(req *pb.PlaceAsk) scheduler.Request {
	return scheduler.Request{
		Account:         req.GetAccount(),
		Fingerprint:     req.GetFingerprint(),
		Parts:           toParts(req.GetParts(), req.GetPartTokens()),
		PromptTokens:    int(req.GetPromptTokens()),
		MaxOutputTokens: int(req.GetOutputTokens()),
		Urgency:         int(req.GetUrgency()),
		MaxWait:         time.Duration(req.GetWaitMs()) * time.Millisecond,
		Tried:           req.GetTried(),
		Retry:           req.GetAgain(),
		Hedge:           req.GetHedge(),
		Counted:         req.GetCounted(),
		FailureDomain:   req.GetFailureDomain(),
		Instance:        req.GetInstance(),
		ExcludedDomains: req.GetExcludedDomains(),
		Version:         req.GetVersion(),
		Brittle:         req.GetBrittle(),
	}
}

func (s *serverStream) sendDecision(id uint64, d scheduler.Decision) {
	s.send(&pb.PlaceResponse{
		Id:                  id,
		BackendServer:       d.Server,
		Refusal:             d.Refusal,
		RetryAfterMs:        uint32(d.RetryAfter.Milliseconds()),
		Cached:              uint32(d.CachedTokens),
		Load:                uint32(d.Load),
		LoadLimitHundredths: uint32(d.LoadLimit * hundredths),
		MeanServers:         uint32(d.MeanServers),
		OverLimit:           d.OverLimit,
		BestCached:          uint32(d.BestCachedTokens),
		FetchFrom:           d.FetchFrom,
		Reread:              uint32(d.RereadTokens),
		Reuse:               d.Reuse,
		Quarantine:          d.Quarantine,
		Limit:               fromLimit(d.Limit),
		ServedAgoMs:         ceilMilliseconds(d.ServedAgo),
		ListedVersion:       d.ListedVersion,
		VersionUnknown:      d.VersionUnknown,
	})
}

// send queues a message, and drops it when the queue is full: the other instance then
// times out and skips this decider.
func (s *serverStream) send(m *pb.PlaceResponse) {
	select {
	case s.sendQueue <- m:
	default:
	}
}

func (s *serverStream) report(id uint64, r *pb.PlaceReport) {
	s.mu.Lock()
	ref, ok := s.requests[id]
	if r.GetEvent() != pb.PlaceEvent_PLACE_EVENT_STARTED {
		delete(s.requests, id)
	}
	s.mu.Unlock()
	if !ok {
		return
	}
	if r.GetStream() != 0 {
		s.schedulers.recordStream(ref.service, r.GetStream(), streamversion.Record{
			Version: r.GetVersion(),
			Begun:   r.GetBegun(),
		}, true)
	}
	s.schedulers.report(ref.service, ref.id, scheduler.Report{
		Event:   scheduler.Event(r.GetEvent()),
		HasLoad: r.GetHasLoad(),
		Running: int(r.GetRunning()),
		Waiting: int(r.GetWaiting()),
		Elapsed: time.Duration(r.GetElapsedMs()) * time.Millisecond,

		Answered:    r.GetAnswered(),
		WorkPercent: int(r.GetWorkPercent()),
		RetryAfter:  time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		Leaving:     r.GetLeaving(),
		ColdFor:     time.Duration(r.GetColdMs()) * time.Millisecond,
		HedgeWon:    r.GetHedgeWon(),
		Limit:       toLimit(r.GetLimit()),
		OtherServer: r.GetOtherServer(),
		Brittle:     toBrittle(r),
		LeavingAt:   s.schedulers.leavingAt(r),
		Opened:      s.schedulers.openedAt(r),
		JoinedMs:    r.GetJoinedMs(),
	})
}

func (s *serverStream) cancelAll() {
	s.mu.Lock()
	requests := s.requests
	s.requests = make(map[uint64]requestRef)
	s.mu.Unlock()
	if len(requests) > 0 {
		s.schedulers.cfg.Logger.WithField("requests", len(requests)).
			Warn("placer: the placement stream of an instance ended, its running requests no longer count as load")
	}
	for _, ref := range requests {
		s.schedulers.report(ref.service, ref.id, scheduler.Report{
			Event: scheduler.Cancelled,
		})
	}
}
