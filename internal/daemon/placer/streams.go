package placer

// This file defines how instances remember which version of a server's software began each stream
// that its caller may take up again. What two versions write does not fit together, so that a
// stream goes on only at the version that began it.
//
// The instance that relays a stream records it, and so does the decider, which sends what it
// records to the next instances in its order. An instance to which a caller comes back asks
// these. So a record is lost only with all of them, and no instance holds the streams of the
// fleet but those which decide or would next. If nobody has a record, the stream goes on only if
// no other version has served lately; else it is refused.
//
// Load pattern: thousands of streams a second begin, and few are taken up again, except when a
// large part of the instances stops at once.

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/routing/streamversion"
	"camphorspoke/internal/routing/view"
	"camphorspoke/internal/rules/ruleset"
)

const (
	// streamHolders is the number of instances besides the decider that hold the records of a
	// service.
	streamHolders = 3
	// queriedHolders is the number of instances that are asked for a record: the decider and the
	// holders, and some more, as an instance may not know yet which of them have stopped.
	queriedHolders = 6
	// queryStagger is the pause before each further instance is asked, while there is no answer,
	// and versionTimeout the time after which a stream counts as unknown.
	queryStagger   = 15 * time.Millisecond
	versionTimeout = 250 * time.Millisecond
	// flushStreamsInterval is the time between two messages to each holder.
	flushStreamsInterval = 100 * time.Millisecond
	// maxUnsentStreams limits the records that are kept for the next message to the holders.
	maxUnsentStreams = 1 << 14
	// retentionMargin is for how much longer than its route's timeout a stream is remembered.
	retentionMargin = 5 * time.Second
)

// VersionReader asks another instance which version began a stream.
type VersionReader interface {
	// StreamVersion returns the version, or false if that instance has no record.
	StreamVersion(ctx context.Context, address, service string, stream uint64) (version string, known bool, err error)
}

// streamRecords holds the streams that this instance has recorded for one service.
type streamRecords struct {
	tracker streamversion.Tracker
	// unsent holds the records for the holders by version, and unsentCount their number.
	unsent      map[string][]uint64
	unsentCount int
}

// recordStream records that a server of the given version has begun a stream. With forward, the
// record is also sent to the holders.
func (d *Schedulers) recordStream(service string, stream uint64, version string, forward bool) {
	if replaced, ok := d.applyRecord(service, stream, version, forward); ok {
		d.noteReplacedRecord(service, stream, replaced, version)
	}
}

// applyRecord is recordStream, and returns the version of the record that is replaced, if it was another.
func (d *Schedulers) applyRecord(service string, stream uint64, version string, forward bool) (replaced string, isReplaced bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.streams[service]
	if r == nil {
		r = &streamRecords{}
		d.streams[service] = r
	}
	r.tracker.Retention = d.streamRetention
	replaced, isReplaced = r.tracker.Record(d.cfg.Now(), stream, version)
	if !forward || r.unsentCount >= maxUnsentStreams {
		return replaced, isReplaced
	}
	if r.unsent == nil {
		r.unsent = make(map[string][]uint64)
	}
	r.unsent[version] = append(r.unsent[version], stream)
	r.unsentCount++
	return replaced, isReplaced
}

// noteReplacedRecord logs and counts a record of a stream that replaces one of another version.
func (d *Schedulers) noteReplacedRecord(service string, stream uint64, replaced, version string) {
	d.cfg.Logger.WithFields(logrus.Fields{
		"service":  service,
		"stream":   formatStream(stream),
		"replaced": replaced,
		"version":  version,
	}).Warn("placer: a stream has records of two versions")
	if d.cfg.OnReplacedRecord != nil {
		d.cfg.OnReplacedRecord(service)
	}
}

// formatStream returns the ID of a stream as the log shows it.
func formatStream(stream uint64) string { return strconv.FormatUint(stream, 16) }

// StreamVersion returns the version that began a stream, or false if this instance has no record.
func (d *Schedulers) StreamVersion(service string, stream uint64) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.streams[service]
	if r == nil {
		return "", false
	}
	return r.tracker.Version(d.cfg.Now(), stream)
}

// takeUnsentStreams returns the records for the holders of each service, and forgets them.
func (d *Schedulers) takeUnsentStreams() map[string][]*pb.BegunStreams {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string][]*pb.BegunStreams)
	for service, r := range d.streams {
		for version, streams := range r.unsent {
			out[service] = append(out[service], &pb.BegunStreams{
				Service: service,
				Version: version,
				Streams: streams,
			})
		}
		r.unsent, r.unsentCount = nil, 0
	}
	return out
}

// receiveStreams records the streams that another instance has announced.
func (d *Schedulers) receiveStreams(begun []*pb.BegunStreams) {
	for _, b := range begun {
		for _, stream := range b.GetStreams() {
			d.recordStream(b.GetService(), stream, b.GetVersion(), false)
		}
	}
}

// flushStreams sends the records since the last call to the holders, at most once per
// flushStreamsInterval. Only the ticker calls it.
func (p *Placer) flushStreams() {
	now := p.cfg.Now()
	if now < p.nextStreamFlush {
		return
	}
	p.nextStreamFlush = now + flushStreamsInterval
	for service, begun := range p.schedulers.takeUnsentStreams() {
		for _, i := range p.nextInstances(service, streamHolders) {
			p.streamTo(i).send(&pb.PlaceRequest{
				BegunStreams: begun,
			})
		}
	}
}

// nextInstances returns the first responsive instances in the order of a service, without this
// one.
func (p *Placer) nextInstances(service string, n int) []*pb.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*pb.Instance
	for _, i := range p.order[service] {
		if len(out) == n {
			break
		}
		if i.GetName() != p.cfg.Instance && p.responsive(i.GetName()) {
			out = append(out, i)
		}
	}
	return out
}

// StreamVersion returns the version at which a stream of a service goes on, empty if no version is
// known of any server, or false if it must not go on because that is not certain. viewConfirmed
// states that the view of this instance was confirmed lately.
func (p *Placer) StreamVersion(ctx context.Context, service string, stream uint64, viewConfirmed bool) (version string, known bool) {
	version, source, known := p.findVersion(ctx, service, stream, viewConfirmed)
	p.cfg.Logger.WithFields(logrus.Fields{
		"service": service,
		"stream":  formatStream(stream),
		"version": version,
		"known":   known,
		"source":  source,
	}).Info("placer: a stream is taken up")
	return version, known
}

// listSource is the source of a version that all servers of a service have; that of a recorded one is the
// instance that has the record.
const listSource = "list"

// findVersion is StreamVersion, and returns where the version is from.
func (p *Placer) findVersion(ctx context.Context, service string, stream uint64, viewConfirmed bool) (version, source string, known bool) {
	if stream != 0 {
		if version, known = p.schedulers.StreamVersion(service, stream); known && version != streamversion.Unknown {
			return version, p.cfg.Instance, true
		}
		// The version may have been found out since, elsewhere.
		begunUnknown := known
		if version, source, known = p.queryVersion(ctx, service, stream); known {
			return version, source, version != streamversion.Unknown
		}
		if begunUnknown {
			return "", p.cfg.Instance, false
		}
	}
	if !viewConfirmed || !p.schedulers.versionsKnown(service) {
		return "", "", false
	}
	since := time.Now().Add(-p.schedulers.retention())
	p.mu.Lock()
	defer p.mu.Unlock()
	version, known = onlyVersion(p.view, service, since)
	return version, listSource, known
}

// queryVersion asks other instances which version began a stream, one after the other without
// waiting for the answers, and returns the first record and the instance that has it.
func (p *Placer) queryVersion(ctx context.Context, service string, stream uint64) (version, source string, known bool) {
	instances := p.nextInstances(service, queriedHolders)
	if p.cfg.Versions == nil || len(instances) == 0 {
		return "", "", false
	}
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	type answer struct {
		version string
		source  string
		known   bool
	}
	answers := make(chan answer, len(instances))
	ask := func(i *pb.Instance) {
		version, known, err := p.cfg.Versions.StreamVersion(ctx, i.GetPeerAddress(), service, stream)
		answers <- answer{
			version: version,
			source:  i.GetName(),
			known:   known && err == nil,
		}
	}
	next := time.NewTicker(queryStagger)
	defer next.Stop()
	asked := 1
	go ask(instances[0])
	for answered := 0; answered < len(instances); {
		select {
		case a := <-answers:
			if a.known {
				return a.version, a.source, true
			}
			answered++
			if asked < len(instances) {
				go ask(instances[asked])
				asked++
			}
		case <-next.C:
			if asked < len(instances) {
				go ask(instances[asked])
				asked++
			}
		case <-ctx.Done():
			return "", "", false
		}
	}
	return "", "", false
}

// onlyVersion returns the version of all servers of a service, those included that were listed
// after since; false if they have several.
func onlyVersion(v *view.View, service string, since time.Time) (version string, only bool) {
	first := true
	for _, s := range v.Servers {
		if s.GetService() != service || s.GetGone() && s.GetGoneMs() < since.UnixMilli() {
			continue
		}
		if !first && s.GetVersion() != version {
			return "", false
		}
		version, first = s.GetVersion(), false
	}
	return version, true
}

// retention returns for how long streams are remembered.
func (d *Schedulers) retention() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.streamRetention
}

// longestStream returns for how long streams have to be remembered by the rules.
func longestStream(rules *ruleset.Rules) time.Duration {
	var longest time.Duration
	for _, r := range rules.Routes {
		if r.Kind == ruleset.Stream && r.Resumable {
			longest = max(longest, r.Timeout)
		}
	}
	return longest + retentionMargin
}

// otherVersions returns the servers of a service that have another version than the given one.
func (p *Placer) otherVersions(service, version string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, s := range p.view.Servers {
		if s.GetService() == service && s.GetVersion() != version && !s.GetGone() {
			out = append(out, s.GetName())
		}
	}
	slices.Sort(out)
	return out
}
