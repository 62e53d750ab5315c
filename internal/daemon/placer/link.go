package placer

// This file defines the requesting side of a placement stream.

import (
	"context"
	"math"
	"sync"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/brittle"
	"camphorspoke/internal/routing/pushback"
	"camphorspoke/internal/routing/scheduler"
	"camphorspoke/internal/routing/serverlimit"
)

const (
	// sendQueueLength is how many messages may be queued for one instance.
	sendQueueLength = 512
	// hundredths converts a load limit to the unit of the protocol.
	hundredths = 100
)

// clientStream is the requesting side of a placement stream to one decider. The
// stream is closed when its queue is full; the decider cancels the requests of a
// closed stream, so no outcome has to be reported again.
type clientStream struct {
	sendQueue chan *pb.PlaceRequest
	ctx       context.Context
	cancel    context.CancelFunc

	mu     sync.Mutex
	nextID uint64
	// pending holds the response channel of each unanswered request, by its ID.
	pending map[uint64]chan *pb.PlaceResponse
}

// streamTo returns the stream to an instance, and opens one if none is open.
func (p *Placer) streamTo(i *pb.Instance) *clientStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := i.GetPeerAddress()
	if s := p.streams[address]; s != nil && s.ctx.Err() == nil {
		return s
	}
	s := &clientStream{
		sendQueue: make(chan *pb.PlaceRequest, sendQueueLength),
		pending:   make(map[uint64]chan *pb.PlaceResponse),
	}
	s.ctx, s.cancel = context.WithCancel(p.ctx)
	p.streams[address] = s
	p.wg.Go(func() { p.runStream(s, address) })
	return s
}

// runStream sends the queued messages and receives responses until the stream ends.
func (p *Placer) runStream(s *clientStream, address string) {
	defer s.cancel()
	stream, err := p.cfg.Peers.Place(s.ctx, address)
	if err != nil {
		p.cfg.Logger.WithError(err).Debug("placer: cannot open a placement stream to another instance")
		return
	}
	p.wg.Go(func() {
		defer s.cancel()
		for {
			m, err := stream.Recv()
			if err != nil {
				return
			}
			s.handleResponse(m)
		}
	})
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-s.sendQueue:
			if stream.Send(m) != nil {
				return
			}
		}
	}
}

// handleResponse passes a response to the request that waits for it. If the response
// only announces that the request is queued, the request stays pending.
func (s *clientStream) handleResponse(m *pb.PlaceResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.pending[m.GetId()]
	if c == nil {
		return
	}
	if !m.GetWaits() {
		delete(s.pending, m.GetId())
	}
	select {
	case c <- m:
	default:
	}
}

// send queues a message. It returns false when the stream has ended, and when the
// queue is full, which also closes the stream.
func (s *clientStream) send(m *pb.PlaceRequest) bool {
	select {
	case <-s.ctx.Done():
		return false
	case s.sendQueue <- m:
		return true
	default:
		s.cancel()
		return false
	}
}

// report reports an event of a request at a time, and the stream that begins with it. It returns false if
// the report is not sent.
func (s *clientStream) report(now time.Duration, id uint64, r scheduler.Report, begun begunStream) bool {
	return s.send(&pb.PlaceRequest{
		Id: id,
		Report: &pb.PlaceReport{
			Event:     pb.PlaceEvent(r.Event),
			HasLoad:   r.HasLoad,
			Running:   uint32(r.Running),
			Waiting:   uint32(r.Waiting),
			ElapsedMs: uint32(r.Elapsed.Milliseconds()),
			Answered:  r.Answered,

			WorkPercent:  uint32(r.WorkPercent),
			RetryAfterMs: ceilMilliseconds(r.RetryAfter),
			Leaving:      r.Leaving,
			HedgeWon:     r.HedgeWon,
			ColdMs:       ceilMilliseconds(r.ColdFor),
			Limit:        fromLimit(r.Limit),
			OtherServer:  r.OtherServer,
			Stream:       begun.stream,
			Version:      begun.record.Version,
			Begun:        begun.record.Begun,

			BrittleRefusals: r.Brittle.Refusals,
			BrittleKnown:    r.Brittle.Known,
			ConnectionAgeMs: ageMilliseconds(now, r.Opened),
			LeavingAgeMs:    ageMilliseconds(now, r.LeavingAt),
			JoinedMs:        r.JoinedMs,
		},
	})
}

// ceilMilliseconds rounds a pause or a cold period up to milliseconds, within the bound of
// a pause.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32((min(d, pushback.MaxPause) + time.Millisecond - 1).Milliseconds())
}

// ageMilliseconds returns the time since at in milliseconds, rounded up, at least one; zero if at is.
func ageMilliseconds(now, at time.Duration) uint32 {
	if at == 0 {
		return 0
	}
	return max(ceilMilliseconds(max(now-at, 0)), 1)
}

// fromLimit returns the message for a statement; nil if it says nothing.
func fromLimit(st serverlimit.Statement) *pb.ServerLimit {
	if !st.Known {
		return nil
	}
	return &pb.ServerLimit{
		Named:     st.Named,
		PerSecond: st.PerSecond,
		AgeMs:     ceilMilliseconds(st.Age),
	}
}

// toLimit returns the statement in a message; one that says nothing if the message is absent
// or its limit is not a rate.
func toLimit(m *pb.ServerLimit) serverlimit.Statement {
	perSecond := m.GetPerSecond()
	if m == nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return serverlimit.Statement{}
	}
	return serverlimit.Statement{
		Known:     true,
		Named:     m.GetNamed(),
		PerSecond: perSecond,
		Age:       time.Duration(m.GetAgeMs()) * time.Millisecond,
	}
}

// toBrittle returns what a report says of whether its server is brittle; nothing if its number of
// refusals is none.
func toBrittle(r *pb.PlaceReport) brittle.Statement {
	refusals := r.GetBrittleRefusals()
	if !(refusals >= 0) {
		return brittle.Statement{}
	}
	return brittle.Statement{
		Known:    r.GetBrittleKnown(),
		Refusals: refusals,
	}
}

// toAsk returns the message that asks for a placement.
func toAsk(service string, req scheduler.Request) *pb.PlaceAsk {
	ids, tokens := fromParts(req.Parts)
	return &pb.PlaceAsk{
		Service:       service,
		Account:       req.Account,
		Fingerprint:   req.Fingerprint,
		Parts:         ids,
		PartTokens:    tokens,
		PromptTokens:  uint32(req.PromptTokens),
		OutputTokens:  uint32(req.MaxOutputTokens),
		Urgency:       uint32(req.Urgency),
		WaitMs:        uint32(req.MaxWait.Milliseconds()),
		Tried:         req.Tried,
		Again:         req.Retry,
		Hedge:         req.Hedge,
		Counted:       req.Counted,
		FailureDomain: req.FailureDomain,
		Instance:      req.Instance,

		ExcludedDomains: req.ExcludedDomains,
		Version:         req.Version,
		Brittle:         req.Brittle,
	}
}

// decideRemotely requests a decision from another instance. It returns false if that
// instance does not answer in time or the stream ends.
func (p *Placer) decideRemotely(ctx context.Context, g *Grant, i *pb.Instance, req scheduler.Request) (scheduler.Decision, bool) {
	s := p.streamTo(i)
	answers := make(chan *pb.PlaceResponse, 2)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.pending[id] = answers
	s.mu.Unlock()
	withdraw := func() {
		s.mu.Lock()
		delete(s.pending, id)
		s.mu.Unlock()
		s.report(p.cfg.Now(), id, scheduler.Report{
			Event: scheduler.Cancelled,
		}, begunStream{})
	}
	if !s.send(&pb.PlaceRequest{
		Id:  id,
		Ask: toAsk(g.service, req),
	}) {
		withdraw()
		return scheduler.Decision{}, false
	}
	timer := time.NewTimer(p.answerTimeout())
	defer timer.Stop()
	for {
		select {
		case m := <-answers:
			if m.GetWaits() {
				timer.Reset(req.MaxWait + p.answerTimeout())
				continue
			}
			g.stream, g.remoteID = s, id
			return scheduler.Decision{
				Server:           m.GetBackendServer(),
				Refusal:          m.GetRefusal(),
				RetryAfter:       time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
				CachedTokens:     int(m.GetCached()),
				Load:             int(m.GetLoad()),
				LoadLimit:        float64(m.GetLoadLimitHundredths()) / hundredths,
				MeanServers:      int(m.GetMeanServers()),
				OverLimit:        m.GetOverLimit(),
				BestCachedTokens: int(m.GetBestCached()),
				FetchFrom:        m.GetFetchFrom(),
				RereadTokens:     int(m.GetReread()),
				Reuse:            m.GetReuse(),
				Quarantine:       m.GetQuarantine(),
				Limit:            toLimit(m.GetLimit()),
				ServedAgo:        time.Duration(m.GetServedAgoMs()) * time.Millisecond,
				ListedVersion:    m.GetListedVersion(),
				VersionUnknown:   m.GetVersionUnknown(),
			}, true
		case <-timer.C:
			withdraw()
			return scheduler.Decision{}, false
		case <-s.ctx.Done():
			withdraw()
			return scheduler.Decision{}, false
		case <-ctx.Done():
			withdraw()
			return scheduler.Decision{
				Refusal: scheduler.Overloaded,
			}, true
		}
	}
}
