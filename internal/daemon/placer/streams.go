package placer

// This file defines how instances remember which version of a server's software began each stream
// that its caller may take up again. What two versions write does not fit together, so that a
// stream goes on only at the version that began it.
//
// The instance that relays a stream records it before its first event, and so does the decider, which
// sends what it records to the next instances in its order. An instance to which a caller comes back
// asks these. So a record is lost only with all of them, and no instance holds the streams of the
// fleet but those which decide or would next. If nobody has a record, the stream goes on only if
// no other version has served lately; else it is refused.
//
// A stream has its first event once, so that there is one version to record, and the order in which
// records arrive does not matter. Builds that know no Record.Begun record a stream when a server
// answers: their records count only if all instances that answer have the same.
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
)

const (
	// streamHolders is the number of instances besides the decider that hold the records of a
	// service.
	streamHolders = 3
	// queriedHolders is the number of instances that are asked for a record: the decider and the
	// holders, and some more, as an instance may not know yet which of them have stopped.
	queriedHolders = 6
	// queryStagger is the pause before each further instance is asked, while there is no answer.
	queryStagger = 15 * time.Millisecond
	// queryRounds is how often the instances are asked, as the record of a stream that has just begun
	// may be on its way to them, roundTimeout how long at most each time, and queryPause the pause
	// between.
	queryRounds  = 2
	roundTimeout = 120 * time.Millisecond
	queryPause   = 30 * time.Millisecond
	// flushStreamsInterval is the time between two messages to each holder.
	flushStreamsInterval = 100 * time.Millisecond
	// maxUnsentStreams limits the records that are kept for the next message to the holders.
	maxUnsentStreams = 1 << 14
	// retentionMargin is for how much longer than its route's timeout a stream is remembered.
	retentionMargin = 5 * time.Second
)

// RecordReader asks another instance which version began a stream.
type RecordReader interface {
	// StreamRecord returns the record, or false if that instance has none.
	StreamRecord(ctx context.Context, address, service string, stream uint64) (record streamversion.Record, known bool, err error)
}

// streamRecords holds the streams that this instance has recorded for one service.
type streamRecords struct {
	tracker streamversion.Tracker
	// unsent holds the records for the holders, one for each stream.
	unsent map[uint64]streamversion.Record
}

// recordStream records which version began a stream. With forward, the record is also sent to the
// holders.
func (d *Schedulers) recordStream(service string, stream uint64, record streamversion.Record, forward bool) {
	if !d.applyRecord(service, stream, record, forward) {
		return
	}
	d.cfg.Logger.WithFields(logrus.Fields{
		"service": service,
		"stream":  formatStream(stream),
		"version": record.Version,
	}).Error("placer: another version is recorded to have begun a stream; this one is ignored")
	if d.cfg.OnRecordConflict != nil {
		d.cfg.OnRecordConflict(service)
	}
}

// applyRecord is recordStream, and reports whether another version is recorded to have begun the stream.
func (d *Schedulers) applyRecord(service string, stream uint64, record streamversion.Record, forward bool) (conflict bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.streams[service]
	if r == nil {
		r = &streamRecords{}
		d.streams[service] = r
	}
	r.tracker.Retention = d.streamRetention
	conflict = r.tracker.Record(d.cfg.Now(), stream, record)
	if forward && !conflict {
		r.forward(stream, record)
	}
	return conflict
}

// forward adds a record to the next message to the holders, unless that is full.
func (r *streamRecords) forward(stream uint64, record streamversion.Record) {
	if r.unsent == nil {
		r.unsent = make(map[uint64]streamversion.Record)
	}
	before, ok := r.unsent[stream]
	if !ok && len(r.unsent) >= maxUnsentStreams {
		return
	}
	if ok {
		record, _ = before.Merge(record)
	}
	r.unsent[stream] = record
}

// formatStream returns the ID of a stream as the log shows it.
func formatStream(stream uint64) string { return strconv.FormatUint(stream, 16) }

// StreamRecord returns which version began a stream, or false if this instance has no record.
func (d *Schedulers) StreamRecord(service string, stream uint64) (streamversion.Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.streams[service]
	if r == nil {
		return streamversion.Record{}, false
	}
	return r.tracker.Lookup(d.cfg.Now(), stream)
}

// takeUnsentStreams returns the records for the holders of each service, and forgets them.
func (d *Schedulers) takeUnsentStreams() map[string][]*pb.BegunStreams {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string][]*pb.BegunStreams)
	for service, r := range d.streams {
		groups := make(map[streamversion.Record]*pb.BegunStreams)
		for stream, record := range r.unsent {
			group := groups[record]
			if group == nil {
				group = &pb.BegunStreams{
					Service: service,
					Version: record.Version,
					Begun:   record.Begun,
				}
				groups[record] = group
				out[service] = append(out[service], group)
			}
			group.Streams = append(group.Streams, stream)
		}
		r.unsent = nil
	}
	return out
}

// receiveStreams records the streams that another instance has announced.
func (d *Schedulers) receiveStreams(begun []*pb.BegunStreams) {
	for _, b := range begun {
		record := streamversion.Record{
			Version: b.GetVersion(),
			Begun:   b.GetBegun(),
		}
		for _, stream := range b.GetStreams() {
			d.recordStream(b.GetService(), stream, record, false)
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

// StreamVersion returns the record of the version at which a stream of a service goes on, empty if no
// version is known of any server, or false if it must not go on because that is not certain.
// viewConfirmed states that the view of this instance was confirmed lately.
func (p *Placer) StreamVersion(ctx context.Context, service string, stream uint64, viewConfirmed bool) (record streamversion.Record, known bool) {
	record, source, known := p.findVersion(ctx, service, stream, viewConfirmed)
	p.cfg.Logger.WithFields(logrus.Fields{
		"service": service,
		"stream":  formatStream(stream),
		"version": record.Version,
		"begun":   record.Begun,
		"known":   known,
		"source":  source,
	}).Info("placer: a stream is taken up")
	return record, known
}

// listSource is the source of a version that all servers of a service have; that of a recorded one is the
// instance that has the record.
const listSource = "list"

// findVersion is StreamVersion, and returns where the version is from.
func (p *Placer) findVersion(ctx context.Context, service string, stream uint64, viewConfirmed bool) (record streamversion.Record, source string, known bool) {
	if stream == 0 {
		return p.listedOnlyVersion(service, viewConfirmed)
	}
	for round := range queryRounds {
		if round > 0 {
			time.Sleep(queryPause)
		}
		f := p.findRecord(ctx, service, stream)
		if f.found {
			return f.record, f.source, f.agreed && f.record.Version != streamversion.Unknown
		}
		if record, source, known = p.listedOnlyVersion(service, viewConfirmed); known {
			return record, source, true
		}
	}
	return streamversion.Record{}, "", false
}

// listedOnlyVersion returns the version that all servers of a service have had for as long as streams are
// remembered, or false if that is not certain.
func (p *Placer) listedOnlyVersion(service string, viewConfirmed bool) (record streamversion.Record, source string, known bool) {
	if !viewConfirmed {
		return record, "", false
	}
	version, known := p.schedulers.onlyVersion(service)
	return streamversion.Record{
		Version: version,
		Begun:   true,
	}, listSource, known
}

// foundRecord is what the records of several instances say of one stream.
type foundRecord struct {
	record streamversion.Record
	// source is the instance that has it.
	source string
	found  bool
	// agreed is false if the instances have records of several versions, of which none is known to
	// have begun the stream.
	agreed bool
}

// add adds the record of an instance.
func (f *foundRecord) add(r streamversion.Record, source string) {
	if !f.found {
		*f = foundRecord{
			record: r,
			source: source,
			found:  true,
			agreed: true,
		}
		return
	}
	merged, _ := f.record.Merge(r)
	f.agreed = merged.Begun || f.agreed && f.record.Version == r.Version
	if merged != f.record {
		f.record, f.source = merged, source
	}
}

// findRecord returns what is recorded of a stream here, or at other instances if that is not known here.
// These are asked one after the other without waiting for the answers.
func (p *Placer) findRecord(ctx context.Context, service string, stream uint64) foundRecord {
	var f foundRecord
	if own, ok := p.schedulers.StreamRecord(service, stream); ok {
		f.add(own, p.cfg.Instance)
	}
	if p.cfg.Records == nil {
		return f
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	instances := p.nextInstances(service, queriedHolders)
	type answer struct {
		record streamversion.Record
		source string
		known  bool
	}
	answers := make(chan answer, len(instances))
	ask := func(i *pb.Instance) {
		record, known, err := p.cfg.Records.StreamRecord(ctx, i.GetPeerAddress(), service, stream)
		answers <- answer{
			record: record,
			source: i.GetName(),
			known:  known && err == nil,
		}
	}
	next := time.NewTicker(queryStagger)
	defer next.Stop()
	asked := 0
	askNext := func() {
		if asked < len(instances) {
			go ask(instances[asked])
			asked++
		}
	}
	if !f.record.Known() {
		askNext()
	}
	for answered := 0; !f.record.Known() && answered < len(instances); {
		select {
		case a := <-answers:
			if a.known {
				f.add(a.record, a.source)
			}
			answered++
			askNext()
		case <-next.C:
			askNext()
		case <-ctx.Done():
			return f
		}
	}
	return f
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
