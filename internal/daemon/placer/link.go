package placer

// This file defines the stream to another instance's schedulers, from the asking side.

import (
	"context"
	"sync"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/scheduler"
)

// outLength is how many messages may wait to be sent to one instance.
const outLength = 512

// link is one stream. What can't be sent at once is dropped: the instance at the
// other end forgets the requests of a stream that has ended.
type link struct {
	out    chan *pb.PlaceRequest
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	nextID uint64
	asked  map[uint64]chan *pb.PlaceResponse
}

// linkTo returns the stream to an instance, opening it when there is none.
func (p *Placer) linkTo(i *pb.Instance) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := i.GetPeerAddress()
	if l := p.links[address]; l != nil && l.ctx.Err() == nil {
		return l
	}
	l := &link{
		out:   make(chan *pb.PlaceRequest, outLength),
		asked: make(map[uint64]chan *pb.PlaceResponse),
	}
	l.ctx, l.cancel = context.WithCancel(p.ctx)
	p.links[address] = l
	p.wg.Go(func() { p.runLink(l, address) })
	return l
}

// runLink sends and receives until the stream ends.
func (p *Placer) runLink(l *link, address string) {
	defer l.cancel()
	s, err := p.cfg.Peers.Place(l.ctx, address)
	if err != nil {
		p.cfg.Logger.WithError(err).Debug("placer: no stream to an instance")
		return
	}
	p.wg.Go(func() {
		defer l.cancel()
		for {
			m, err := s.Recv()
			if err != nil {
				return
			}
			l.answered(m)
		}
	})
	for _, m := range p.known() {
		if s.Send(m) != nil {
			return
		}
	}
	for {
		select {
		case <-l.ctx.Done():
			return
		case m := <-l.out:
			if s.Send(m) != nil {
				return
			}
		}
	}
}

// known returns which prefixes this instance has seen placed.
func (p *Placer) known() []*pb.PlaceRequest {
	var out []*pb.PlaceRequest
	for _, service := range p.schedulers.names() {
		for _, k := range p.schedulers.kept(service) {
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

func (l *link) answered(m *pb.PlaceResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.asked[m.GetId()]
	if c == nil {
		return
	}
	if !m.GetWaits() {
		delete(l.asked, m.GetId())
	}
	select {
	case c <- m:
	default:
	}
}

// send queues a message; false when the queue is full or the stream has ended.
func (l *link) send(m *pb.PlaceRequest) bool {
	select {
	case <-l.ctx.Done():
		return false
	case l.out <- m:
		return true
	default:
		l.cancel()
		return false
	}
}

func (l *link) report(id uint64, r scheduler.Report) {
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

// askRemote puts the question to another instance; false when it is silent.
func (p *Placer) askRemote(ctx context.Context, g *Grant, i *pb.Instance, a scheduler.Ask) (scheduler.Decision, bool) {
	l := p.linkTo(i)
	ids, tokens := fromParts(a.Parts)
	answers := make(chan *pb.PlaceResponse, 2)
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.asked[id] = answers
	l.mu.Unlock()
	forget := func() {
		l.mu.Lock()
		delete(l.asked, id)
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
			OutputTokens:  uint32(a.Output),
			Urgency:       uint32(a.Urgency),
			WaitMs:        uint32(a.Wait.Milliseconds()),
			Tried:         a.Tried,
			Again:         a.Again,
			FailureDomain: a.FailureDomain,
		},
	}) {
		forget()
		return scheduler.Decision{}, false
	}
	limit := time.NewTimer(answerLimit)
	defer limit.Stop()
	for {
		select {
		case m := <-answers:
			if m.GetWaits() {
				limit.Reset(a.Wait + answerLimit)
				continue
			}
			g.link, g.remote = l, id
			return scheduler.Decision{
				Server:     m.GetBackendServer(),
				Refusal:    m.GetRefusal(),
				RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
				Cached:     int(m.GetCached()),
				Load:       int(m.GetLoad()),
				BestCached: int(m.GetBestCached()),
				FetchFrom:  m.GetFetchFrom(),
			}, true
		case <-limit.C:
			forget()
			return scheduler.Decision{}, false
		case <-l.ctx.Done():
			forget()
			return scheduler.Decision{}, false
		case <-ctx.Done():
			forget()
			return scheduler.Decision{
				Refusal: scheduler.Overloaded,
			}, true
		}
	}
}
