package placer

// This file defines how the decider of a service keeps its standby informed.
//
// Load pattern: the decider of a large service is lost. If the next instance in the
// order knew nothing of the engines' caches, prompts would be read again all over the
// service; if every instance notified it then, their messages would keep its link busy
// while requests wait for decisions. So whoever decides notifies the other one of
// the first two in the order, as it goes, which prompts it has placed where.

import (
	"slices"
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/prefixcache"
	"camphorspoke/internal/routing/scheduler"
)

const (
	// maxPlacementsPerMessage limits the placements in one message.
	maxPlacementsPerMessage = 64
	// maxUnsentPlacements limits the placements that are kept between two flushes.
	maxUnsentPlacements = 4096
	// modelServersPerFlush is how many servers' caches are sent with each flush to an
	// instance that has become the standby.
	modelServersPerFlush = 4
	// fedFor is how long an instance counts as informed after an informed decider has
	// reported a placement to it.
	fedFor = 2 * time.Second
	// decidedFor is how long an instance counts as the decider after a decision.
	decidedFor = time.Minute
)

// standby is what an instance sends to the standby of one service.
type standby struct {
	// placements holds the prompts placed since the last flush.
	placements []*pb.PlaceAdopt
	// stream is the stream on which the cache model was sent last, and model the part
	// of it that is still to be sent.
	stream *clientStream
	model  []scheduler.CachedPrefixes
}

// placed records that this instance, as the decider, placed a prompt on a server. The
// caller holds mu.
func (d *Schedulers) placed(service, server string, parts []prefixcache.Part) {
	if server == "" || len(parts) == 0 {
		return
	}
	sb := d.standbyOf(service)
	if len(sb.placements) < maxUnsentPlacements {
		sb.placements = append(sb.placements, adoptMessage(service, server, parts))
	}
}

// standbyOf returns the standby record of a service. The caller holds mu.
func (d *Schedulers) standbyOf(service string) *standby {
	sb := d.standbys[service]
	if sb == nil {
		sb = &standby{}
		d.standbys[service] = sb
	}
	return sb
}

func adoptMessage(service, server string, parts []prefixcache.Part) *pb.PlaceAdopt {
	ids, tokens := fromParts(parts)
	return &pb.PlaceAdopt{
		Service:       service,
		BackendServer: server,
		Parts:         ids,
		PartTokens:    tokens,
	}
}

// servicesToFlush returns the services for which something is to be sent.
func (d *Schedulers) servicesToFlush() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for service, sb := range d.standbys {
		modelDue := d.complete[service] && (sb.stream == nil || sb.stream.ctx.Err() != nil)
		if len(sb.placements) > 0 || len(sb.model) > 0 || modelDue {
			out = append(out, service)
		}
	}
	return out
}

// takeUpdates returns the updates to send on the stream to the standby of a service,
// and forgets them. On a new stream the whole cache model follows bit by bit, once
// this instance is informed itself.
func (d *Schedulers) takeUpdates(service string, stream *clientStream) (out []*pb.PlaceAdopt, informed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sb := d.standbyOf(service)
	informed = d.complete[service]
	if s := d.services[service]; informed && s != nil && sb.stream != stream {
		sb.stream, sb.model = stream, s.CachedPrefixes()
	}
	out = sb.placements
	sb.placements = nil
	n := min(len(sb.model), modelServersPerFlush)
	for _, k := range sb.model[:n] {
		out = append(out, adoptMessage(service, k.Server, k.Parts))
	}
	sb.model = sb.model[n:]
	return out, informed
}

// flushStandbys sends the placements since the last flush to the standbys: for each
// service, to the first reachable instance in its order other than this one.
func (p *Placer) flushStandbys() {
	for _, service := range p.schedulers.servicesToFlush() {
		for _, i := range p.deciders(service) {
			if i.GetName() == p.cfg.Instance {
				continue
			}
			p.sendUpdates(service, p.streamTo(i))
			break
		}
	}
}

func (p *Placer) sendUpdates(service string, stream *clientStream) {
	updates, informed := p.schedulers.takeUpdates(service, stream)
	for chunk := range slices.Chunk(updates, maxPlacementsPerMessage) {
		stream.send(&pb.PlaceRequest{
			Adopts:   chunk,
			Informed: informed,
		})
	}
}

// fed records that an informed decider of a service has notified this instance of its
// placements.
func (d *Schedulers) fed(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fedAt[service] = d.cfg.Now()
}
