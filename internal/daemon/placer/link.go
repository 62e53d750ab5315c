package placer

// This file defines the requesting side of a placement stream.

import (
	"context"
	"sync"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
)

// sendQueueLength is how many messages may be queued for one instance.
const sendQueueLength = 512

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
	if l := p.streams[address]; l != nil && l.ctx.Err() == nil {
		return l
	}
	l := &clientStream{
		sendQueue: make(chan *pb.PlaceRequest, sendQueueLength),
		pending:   make(map[uint64]chan *pb.PlaceResponse),
	}
	l.ctx, l.cancel = context.WithCancel(p.ctx)
	p.streams[address] = l
	p.wg.Go(func() { p.runStream(l, address) })
	return l
}

// runStream sends the cached prefixes and then the queued messages, and receives
// responses, until the stream ends.
func (p *Placer) runStream(l *clientStream, address string) {
	defer l.cancel()
	s, err := p.cfg.Peers.Place(l.ctx, address)
	if err != nil {
		p.cfg.Logger.WithError(err).Debug("placer: cannot open a placement stream to another instance")
		return
	}
	p.wg.Go(func() {
		defer l.cancel()
		for {
			m, err := s.Recv()
			if err != nil {
				return
			}
			l.handleResponse(m)
		}
	})
	for _, m := range p.adoptMessages() {
		if s.Send(m) != nil {
			return
		}
	}
	for {
		select {
		case <-l.ctx.Done():
			return
		case m := <-l.sendQueue:
			if s.Send(m) != nil {
				return
			}
		}
	}
}

// adoptMessages returns the messages that announce the cached prefixes of this
// instance's schedulers to a decider.
func (p *Placer) adoptMessages() []*pb.PlaceRequest {
	var out []*pb.PlaceRequest
	for _, service := range p.schedulers.serviceNames() {
		for _, k := range p.schedulers.cachedPrefixes(service) {
			ids, tokens := fromParts(k.Parts)
			out = append(out, &pb.PlaceRequest{
				Adopt: &pb.PlaceAdopt{
					Service:       service,
					BackendServer: k.Server,
					Parts:         ids,
					PartTokens:    tokens,
				},
			})
		}
	}
	return out
}

// handleResponse passes a response to the request that waits for it. A response that
// only says that the request waits keeps the request pending.
func (l *clientStream) handleResponse(m *pb.PlaceResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.pending[m.GetId()]
	if c == nil {
		return
	}
	if !m.GetWaits() {
		delete(l.pending, m.GetId())
	}
	select {
	case c <- m:
	default:
	}
}

// send queues a message. It returns false when the stream has ended, and when the
// queue is full, which also closes the stream.
func (l *clientStream) send(m *pb.PlaceRequest) bool {
	select {
	case <-l.ctx.Done():
		return false
	case l.sendQueue <- m:
		return true
	default:
		l.cancel()
		return false
	}
}

func (l *clientStream) report(id uint64, r scheduler.Report) {
	l.send(&pb.PlaceRequest{
		Id: id,
		Report: &pb.PlaceReport{
			Event:     pb.PlaceEvent(r.Event),
			HasLoad:   r.HasLoad,
			Running:   uint32(r.Running),
			Waiting:   uint32(r.Waiting),
			ElapsedMs: uint32(r.Elapsed.Milliseconds()),
		},
	})
}

// decideRemotely requests a decision from another instance. It returns false if that
// instance does not answer in time or the stream ends.
func (p *Placer) decideRemotely(ctx context.Context, g *Grant, i *pb.Instance, a scheduler.Request) (scheduler.Decision, bool) {
	l := p.streamTo(i)
	ids, tokens := fromParts(a.Parts)
	answers := make(chan *pb.PlaceResponse, 2)
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.pending[id] = answers
	l.mu.Unlock()
	withdraw := func() {
		l.mu.Lock()
		delete(l.pending, id)
		l.mu.Unlock()
		l.report(id, scheduler.Report{
			Event: scheduler.Cancelled,
		})
	}
	if !l.send(&pb.PlaceRequest{
		Id: id,
		Ask: &pb.PlaceAsk{
			Service:       g.service,
			Account:       a.Account,
			Parts:         ids,
			PartTokens:    tokens,
			OutputTokens:  uint32(a.MaxOutputTokens),
			Urgency:       uint32(a.Urgency),
			WaitMs:        uint32(a.MaxWait.Milliseconds()),
			Tried:         a.Tried,
			Again:         a.Retry,
			FailureDomain: a.FailureDomain,
		},
	}) {
		withdraw()
		return scheduler.Decision{}, false
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case m := <-answers:
			if m.GetWaits() {
				timer.Reset(a.MaxWait + answerTimeout)
				continue
			}
			g.stream, g.remoteID = l, id
			return scheduler.Decision{
				Server:           m.GetBackendServer(),
				Refusal:          m.GetRefusal(),
				RetryAfter:       time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
				CachedTokens:     int(m.GetCached()),
				Load:             int(m.GetLoad()),
				BestCachedTokens: int(m.GetBestCached()),
				FetchFrom:        m.GetFetchFrom(),
			}, true
		case <-timer.C:
			withdraw()
			return scheduler.Decision{}, false
		case <-l.ctx.Done():
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
