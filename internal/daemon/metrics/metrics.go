// Package metrics records the metrics of a daemon with OpenTelemetry and serves
// them over HTTP in the Prometheus format, so that no collector is needed.
package metrics

// This file defines Meters and the instruments behind it.

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"camphorspoke/internal/base/fault"
)

// Meters holds the instruments. The methods of a nil *Meters do nothing.
type Meters struct {
	requests         metric.Int64Counter
	latency          metric.Float64Histogram
	timeToFirstToken metric.Float64Histogram
	promptTokens     metric.Int64Counter
	reusedTokens     metric.Int64Counter
	rereadTokens     metric.Int64Counter
	placements       metric.Int64Counter
	pushbacks        metric.Int64Counter
	abandoned        metric.Int64Counter
	crashes          metric.Int64Counter
	restarts         metric.Int64Counter
	recordConflicts  metric.Int64Counter
	retries          metric.Int64Counter
	unreadable       metric.Int64Counter
	hedges           metric.Int64Counter
	closed           metric.Int64Counter
	takenUp          metric.Int64Counter
	forwarded        metric.Int64Counter
	connections      metric.Int64Counter
}

// Callbacks holds callbacks for the metrics whose values are read at scrape time.
type Callbacks struct {
	// ControlBytes returns the bytes of control traffic by kind of traffic.
	ControlBytes func() map[string]uint64
	// Violations returns the number of violations of each invariant, by name.
	Violations func() map[string]uint64
	// Quarantines returns the number of quarantines of parts of prompts by service; it
	// may be nil.
	Quarantines func() map[string]int
	// ColdServers returns the number of backend servers that count as cold, by service; it
	// may be nil.
	ColdServers func() map[string]int
	// LimitedServers returns the number of backend servers that name a limit, by service; it
	// may be nil.
	LimitedServers func() map[string]int
	// BrittleServices returns 1 for each service whose servers fall over if they refuse too much; it
	// may be nil.
	BrittleServices func() map[string]int
	// Versions returns the number of listed backend servers of each version of their software, by
	// service and version with a slash between them; it may be nil.
	Versions func() map[string]int
	// RuleBytes returns the size of the rules in force, in bytes, by the name of this instance; it
	// may be nil.
	RuleBytes func() map[string]int
	// Isolated returns 1 by the name of this instance while it reaches no backend server; it may be
	// nil.
	Isolated func() map[string]int
	// Evacuated returns 1 for each evacuated failure domain; it may be nil.
	Evacuated func() map[string]int
	// LossesBorne returns how many more voters of the control group may lose their disks, by the
	// name of the leader; it is empty on other instances, and may be nil.
	LossesBorne func() map[string]int
	// ServerRows returns the number of rows of backend servers by their state; it may be nil.
	ServerRows func() map[string]int
	// RemovedRows returns the number of rows of gone backend servers that the replica of this instance
	// has removed, by instance; it may be nil.
	RemovedRows func() map[string]uint64
	// AwaitedSeeds returns 1 by the address of the seed that the formation of the control group
	// waits for; it may be nil.
	AwaitedSeeds func() map[string]int
	// Connections returns the number of open connections of clients by address; it may be
	// nil.
	Connections func() map[string]int
	// Loads returns the number of requests running and queued at each backend
	// server that this instance owns.
	Loads func() map[string]int
}

// New returns the instruments and an HTTP handler that serves their values. The
// clean-up function shuts the meter provider down.
func New(callbacks Callbacks) (*Meters, http.Handler, func(), error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, nil, nil, fault.Wrap(fault.Internal, "metrics", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	meter := provider.Meter("camphorspoke")
	m := &Meters{}
	b := builder{
		meter: meter,
	}
	m.requests = b.counter("camphorspoke.requests", "Requests by service and outcome.")
	m.latency = b.histogram("camphorspoke.request.duration", "Time to the end of the answer.")
	m.timeToFirstToken = b.histogram("camphorspoke.first.token", "Time from dispatch to the first token, by priority class.")
	m.promptTokens = b.counter("camphorspoke.prompt.tokens", "Prompt tokens of finished answers.")
	m.reusedTokens = b.counter("camphorspoke.reused.tokens", "Prompt tokens found in the prefix cache.")
	m.rereadTokens = b.counter("camphorspoke.reread.tokens", "Prompt tokens that a server reads although another one has them cached, by reason.")
	m.placements = b.counter("camphorspoke.placements", "Requests granted a server, by whether the server was over its load limit and by who decided.")
	m.pushbacks = b.counter("camphorspoke.pushbacks", "Refusals with which a server asked for a pause, and grants withdrawn because of one, a departure, an evacuation or a limit, by service and event.")
	m.abandoned = b.counter("camphorspoke.attempts.abandoned", "Attempts that did not answer their request, by service, result and what became of the connection.")
	m.recordConflicts = b.counter("camphorspoke.stream.recordConflicts", "Streams that two versions are recorded to have begun, by service.")
	m.restarts = b.counter("camphorspoke.server.restarts", "New incarnations of listed servers, by service.")
	m.crashes = b.counter("camphorspoke.crashed.requests", "Requests that were in flight at a server which went down, by service.")
	m.retries = b.counter("camphorspoke.retries", "Retries by service.")
	m.unreadable = b.counter("camphorspoke.unreadable.headers", "Headers of servers of which a value cannot be read, by header.")
	m.hedges = b.counter("camphorspoke.hedges", "Copies of requests for a second server, by service and by whether the copy answered the request, was sent in vain or was not sent.")
	m.closed = b.counter("camphorspoke.client.connections.closed", "Connections of clients that were closed at a limit, by reason.")
	m.takenUp = b.counter("camphorspoke.streams.taken.up", "Streams that callers take up again, by service and by whether the version that began them is known or unknown; and streams whose version no server has any more.")
	m.forwarded = b.counter("camphorspoke.requests.forwarded", "Requests that this instance forwarded to another one, as it reaches no backend server, by service and result.")
	m.connections = b.counter("camphorspoke.server.connections", "New connections to backend servers, by whether they were answered, could not be opened, or ended without a byte of a response.")
	b.observableCounter("camphorspoke.control.bytes", "Bytes of control traffic by kind.", "kind", func() map[string]int64 { return toInt64(callbacks.ControlBytes()) })
	b.observableCounter("camphorspoke.invariant.violations", "Violated invariants by name.", "name", func() map[string]int64 { return toInt64(callbacks.Violations()) })
	b.observableGauge("camphorspoke.server.load", "Requests running and queued at each owned backend server.", "server", func() map[string]int64 { return toInt64(callbacks.Loads()) })
	if callbacks.Quarantines != nil {
		b.observableGauge("camphorspoke.quarantines", "Quarantines of parts of prompts and of requests by service.", "service", func() map[string]int64 { return toInt64(callbacks.Quarantines()) })
	}
	if callbacks.ColdServers != nil {
		b.observableGauge("camphorspoke.cold.servers", "Backend servers that count as cold, by service.", "service", func() map[string]int64 { return toInt64(callbacks.ColdServers()) })
	}
	if callbacks.LimitedServers != nil {
		b.observableGauge("camphorspoke.limited.servers", "Backend servers that name a limit, by service.", "service", func() map[string]int64 { return toInt64(callbacks.LimitedServers()) })
	}
	if callbacks.BrittleServices != nil {
		b.observableGauge("camphorspoke.brittle.services", "1 for each service whose servers say that they fall over if they refuse too much.", "service", func() map[string]int64 { return toInt64(callbacks.BrittleServices()) })
	}
	if callbacks.Versions != nil {
		b.observableGauge("camphorspoke.server.versions", "Listed backend servers by service and version of their software.", "version", func() map[string]int64 { return toInt64(callbacks.Versions()) })
	}
	if callbacks.Evacuated != nil {
		b.observableGauge("camphorspoke.evacuated.domains", "1 for each failure domain that this instance has as evacuated.", "failureDomain", func() map[string]int64 { return toInt64(callbacks.Evacuated()) })
	}
	if callbacks.RuleBytes != nil {
		b.observableGauge("camphorspoke.rules.bytes", "Size of the rules in force.", "instance", func() map[string]int64 { return toInt64(callbacks.RuleBytes()) })
	}
	if callbacks.Isolated != nil {
		b.observableGauge("camphorspoke.isolated", "1 while this instance reaches no backend server.", "instance", func() map[string]int64 { return toInt64(callbacks.Isolated()) })
	}
	if callbacks.LossesBorne != nil {
		b.observableGauge("camphorspoke.control.losses.borne", "Voters of the control group that may lose their disks while the others still elect a leader, by leader.", "leader", func() map[string]int64 { return toInt64(callbacks.LossesBorne()) })
	}
	if callbacks.ServerRows != nil {
		b.observableGauge("camphorspoke.server.rows", "Rows of backend servers in the view of this instance, by whether the server is listed or gone.", "state", func() map[string]int64 { return toInt64(callbacks.ServerRows()) })
	}
	if callbacks.RemovedRows != nil {
		b.observableCounter("camphorspoke.server.rows.removed", "Rows of gone backend servers that the replica of this instance has removed, by instance.", "instance", func() map[string]int64 { return toInt64(callbacks.RemovedRows()) })
	}
	if callbacks.AwaitedSeeds != nil {
		b.observableGauge("camphorspoke.control.awaited.seeds", "1 for the seed that the formation of the control group waits for, by its address.", "seed", func() map[string]int64 { return toInt64(callbacks.AwaitedSeeds()) })
	}
	if callbacks.Connections != nil {
		b.observableGauge("camphorspoke.client.connections", "Open connections of clients by listening address.", "address", func() map[string]int64 { return toInt64(callbacks.Connections()) })
	}
	if b.err != nil {
		return nil, nil, nil, fault.Wrap(fault.Internal, "metrics", b.err)
	}
	stop := func() { _ = provider.Shutdown(context.Background()) }
	return m, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), stop, nil
}

func toInt64[V int | uint64](in map[string]V) map[string]int64 {
	out := make(map[string]int64, len(in))
	for k, v := range in {
		out[k] = int64(v)
	}
	return out
}

// builder creates instruments and records the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) recordFirstError(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *builder) counter(name, description string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.recordFirstError(err)
	return c
}

// histogram creates a histogram of durations in seconds.
func (b *builder) histogram(name, description string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(.005, .01, .025, .05, .1, .25, .5, 1, 2, 5, 10))
	b.recordFirstError(err)
	return h
}

// callback returns a callback that reports each value of read with its key as the
// attribute label.
func callback(label string, read func() map[string]int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		for k, v := range read() {
			o.Observe(v, metric.WithAttributes(attribute.String(label, k)))
		}
		return nil
	}
}

func (b *builder) observableCounter(name, description, label string, read func() map[string]int64) {
	_, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(description), metric.WithInt64Callback(callback(label, read)))
	b.recordFirstError(err)
}

func (b *builder) observableGauge(name, description, label string, read func() map[string]int64) {
	_, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithInt64Callback(callback(label, read)))
	b.recordFirstError(err)
}

func serviceAttribute(name string) attribute.KeyValue { return attribute.String("service", name) }

// The results of streams that callers take up again. One whose version is known is counted again
// if it is refused because no server of that version takes it.
const (
	VersionKnown   = "known"
	VersionUnknown = "unknown"
	VersionGone    = "gone"
)

// StreamRecordConflict records a stream that two versions are recorded to have begun.
func (m *Meters) StreamRecordConflict(ctx context.Context, svc string) {
	if m == nil {
		return
	}
	m.recordConflicts.Add(ctx, 1, metric.WithAttributes(serviceAttribute(svc)))
}

// StreamTakenUp records a stream that its caller takes up again.
func (m *Meters) StreamTakenUp(ctx context.Context, svc, result string) {
	if m == nil {
		return
	}
	m.takenUp.Add(ctx, 1, metric.WithAttributes(serviceAttribute(svc), attribute.String("result", result)))
}

// ForwardNoInstance is the result of a request that no other instance takes in the place of an
// isolated one.
const ForwardNoInstance = "noInstance"

// Forwarded counts a request that was forwarded to another instance.
func (m *Meters) Forwarded(ctx context.Context, svc, result string) {
	if m == nil {
		return
	}
	m.forwarded.Add(ctx, 1, metric.WithAttributes(serviceAttribute(svc), attribute.String("result", result)))
}

// What may become of a new connection to a backend server.
const (
	// ServerAnswered means that a byte of a response has come.
	ServerAnswered = "answered"
	// ServerUnopened means that the connection could not be opened.
	ServerUnopened = "unopened"
	// ServerUnanswered means that the connection was opened and ended without a byte of a response.
	ServerUnanswered = "unanswered"
)

// ServerConnection counts a new connection to a backend server by its outcome.
func (m *Meters) ServerConnection(ctx context.Context, outcome string) {
	if m == nil {
		return
	}
	m.connections.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// Request records a finished request, its outcome and its duration.
func (m *Meters) Request(ctx context.Context, svc, outcome string, d time.Duration) {
	if m == nil {
		return
	}
	m.requests.Add(ctx, 1, metric.WithAttributes(serviceAttribute(svc), attribute.String("outcome", outcome)))
	m.latency.Record(ctx, d.Seconds(), metric.WithAttributes(serviceAttribute(svc)))
}

// TimeToFirstToken records the time from dispatch to the first token of a response.
func (m *Meters) TimeToFirstToken(ctx context.Context, svc string, class int, d time.Duration) {
	if m == nil {
		return
	}
	m.timeToFirstToken.Record(ctx, d.Seconds(), metric.WithAttributes(serviceAttribute(svc), attribute.String("class", strconv.Itoa(class))))
}

// PromptTokens counts the prompt tokens of a finished response and how many of them
// the prefix cache supplied.
func (m *Meters) PromptTokens(ctx context.Context, svc string, prompt, reused uint64) {
	if m == nil {
		return
	}
	m.promptTokens.Add(ctx, int64(prompt), metric.WithAttributes(serviceAttribute(svc)))
	m.reusedTokens.Add(ctx, int64(reused), metric.WithAttributes(serviceAttribute(svc)))
}

// Prompt counts the tokens of a prompt that its server reads although another one has
// them cached, by the reason; reason is empty for a request without a prompt.
func (m *Meters) Prompt(ctx context.Context, svc, reason string, reread int) {
	if m == nil || reason == "" {
		return
	}
	m.rereadTokens.Add(ctx, int64(reread), metric.WithAttributes(serviceAttribute(svc), attribute.String("reason", reason)))
}

// Placement counts a request that was granted a server. overLimit is true if the server
// was over its load limit, alone if this instance decided for itself only.
func (m *Meters) Placement(ctx context.Context, svc string, overLimit, alone bool) {
	if m == nil {
		return
	}
	m.placements.Add(ctx, 1, metric.WithAttributes(serviceAttribute(svc), attribute.Bool("overLimit", overLimit), attribute.Bool("alone", alone)))
}

// The events that Pushbacks counts.
const (
	// PushbackAsked is a refusal with which a server asked this instance for a pause.
	PushbackAsked = "asked"
	// PushbackWithdrawn is a grant that was not used, as its server had asked for a pause,
	// announced that it leaves or was evacuated.
	PushbackWithdrawn = "withdrawn"
	// PushbackWithdrawnForLimit is a grant that was not used, as its decider had not received
	// the limit that the server had named.
	PushbackWithdrawnForLimit = "withdrawnForLimit"
)

// Pushbacks counts n events of servers that ask this instance for a pause or are not to get
// what it was granted.
func (m *Meters) Pushbacks(ctx context.Context, svc, event string, n int) {
	if m == nil || n == 0 {
		return
	}
	m.pushbacks.Add(ctx, int64(n), metric.WithAttributes(serviceAttribute(svc), attribute.String("event", event)))
}

// What may become of the connection of an attempt that is abandoned.
const (
	ConnectionClosed = "closed"
	ConnectionKept   = "kept"
)

// Abandoned counts an attempt that did not answer its request.
func (m *Meters) Abandoned(ctx context.Context, svc, result, connection string) {
	if m == nil {
		return
	}
	m.abandoned.Add(ctx, 1, metric.WithAttributes(serviceAttribute(svc), attribute.String("result", result), attribute.String("connection", connection)))
}

// CrashedRequest counts a request that was in flight at a server which went down.
func (m *Meters) CrashedRequest(ctx context.Context, svc string) {
	if m == nil {
		return
	}
	m.crashes.Add(ctx, 1, metric.WithAttributes(serviceAttribute(svc)))
}

// ServerRestart counts a new incarnation of a server.
func (m *Meters) ServerRestart(ctx context.Context, svc string) {
	if m == nil {
		return
	}
	m.restarts.Add(ctx, 1, metric.WithAttributes(serviceAttribute(svc)))
}

// ConnectionClosed counts a connection of a client that was closed at a limit.
func (m *Meters) ConnectionClosed(ctx context.Context, reason string) {
	if m == nil {
		return
	}
	m.closed.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Retry counts a retry at a service.
func (m *Meters) Retry(ctx context.Context, svc string) {
	if m == nil {
		return
	}
	m.retries.Add(ctx, 1, metric.WithAttributes(serviceAttribute(svc)))
}

// UnreadableHeader counts a header of a server of which a value cannot be read.
func (m *Meters) UnreadableHeader(ctx context.Context, header string) {
	if m == nil {
		return
	}
	m.unreadable.Add(ctx, 1, metric.WithAttributes(attribute.String("header", header)))
}

// What may become of a hedge, that is, of the copy of a request for a second server.
const (
	// HedgeWon means that the copy answered the request.
	HedgeWon = "won"
	// HedgeLost means that the copy was sent and did not answer the request.
	HedgeLost = "lost"
	// HedgeRefused means that the copy was not sent.
	HedgeRefused = "refused"
)

// Hedge counts a hedge by its result.
func (m *Meters) Hedge(ctx context.Context, svc, result string) {
	if m == nil {
		return
	}
	m.hedges.Add(ctx, 1, metric.WithAttributes(serviceAttribute(svc), attribute.String("result", result)))
}
