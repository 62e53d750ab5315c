// Package metrics counts what a daemon does, through OpenTelemetry, in a form
// that can be read over HTTP without a collector.
package metrics

// This file defines Meters.

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

	"camphorspoke/internal/world/fault"
)

// Meters holds the instruments. A nil *Meters counts nothing.
type Meters struct {
	requests   metric.Int64Counter
	latency    metric.Float64Histogram
	firstToken metric.Float64Histogram
	prompt     metric.Int64Counter
	reused     metric.Int64Counter
	retries    metric.Int64Counter
}

// Observed returns values that are read when the metrics are.
type Observed struct {
	// ControlBytes returns bytes of control traffic by kind.
	ControlBytes func() map[string]uint64
	// Violations returns violated invariants by name.
	Violations func() map[string]uint64
	// Loads returns the load of each owned server.
	Loads func() map[string]int
}

// New returns the instruments and the handler that serves them. The clean-up
// function stops them.
func New(o Observed) (*Meters, http.Handler, func(), error) {
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
	m.firstToken = b.histogram("camphorspoke.first.token", "Time from dispatch to the first token, by priority class.")
	m.prompt = b.counter("camphorspoke.prompt.tokens", "Prompt tokens of finished answers.")
	m.reused = b.counter("camphorspoke.reused.tokens", "Prompt tokens found in the prefix cache.")
	m.retries = b.counter("camphorspoke.retries", "Retries by service.")
	b.observe("camphorspoke.control.bytes", "Bytes of control traffic by kind.", "kind", func() map[string]int64 { return convert(o.ControlBytes()) })
	b.observe("camphorspoke.invariant.violations", "Violated invariants by name.", "name", func() map[string]int64 { return convert(o.Violations()) })
	b.gauge("camphorspoke.server.load", "Requests running and queued at each owned backend server.", "server", func() map[string]int64 { return convert(o.Loads()) })
	if b.err != nil {
		return nil, nil, nil, fault.Wrap(fault.Internal, "metrics", b.err)
	}
	stop := func() { _ = provider.Shutdown(context.Background()) }
	return m, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), stop, nil
}

func convert[V int | uint64](in map[string]V) map[string]int64 {
	out := make(map[string]int64, len(in))
	for k, v := range in {
		out[k] = int64(v)
	}
	return out
}

// builder makes instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) note(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *builder) counter(name, text string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(text))
	b.note(err)
	return c
}

func (b *builder) histogram(name, text string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(text), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(.005, .01, .025, .05, .1, .25, .5, 1, 2, 5, 10))
	b.note(err)
	return h
}

func callback(label string, read func() map[string]int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		for k, v := range read() {
			o.Observe(v, metric.WithAttributes(attribute.String(label, k)))
		}
		return nil
	}
}

func (b *builder) observe(name, text, label string, read func() map[string]int64) {
	_, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(text), metric.WithInt64Callback(callback(label, read)))
	b.note(err)
}

func (b *builder) gauge(name, text, label string, read func() map[string]int64) {
	_, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(text), metric.WithInt64Callback(callback(label, read)))
	b.note(err)
}

func service(name string) attribute.KeyValue { return attribute.String("service", name) }

// Request counts a finished request.
func (m *Meters) Request(ctx context.Context, svc, outcome string, d time.Duration) {
	if m == nil {
		return
	}
	m.requests.Add(ctx, 1, metric.WithAttributes(service(svc), attribute.String("outcome", outcome)))
	m.latency.Record(ctx, d.Seconds(), metric.WithAttributes(service(svc)))
}

// FirstToken notes the time to the first token of an answer.
func (m *Meters) FirstToken(ctx context.Context, svc string, class int, d time.Duration) {
	if m == nil {
		return
	}
	m.firstToken.Record(ctx, d.Seconds(), metric.WithAttributes(service(svc), attribute.String("class", strconv.Itoa(class))))
}

// Tokens counts prompt tokens and those reused.
func (m *Meters) Tokens(ctx context.Context, svc string, prompt, reused uint64) {
	if m == nil {
		return
	}
	m.prompt.Add(ctx, int64(prompt), metric.WithAttributes(service(svc)))
	m.reused.Add(ctx, int64(reused), metric.WithAttributes(service(svc)))
}

// Retry counts a retry.
func (m *Meters) Retry(ctx context.Context, svc string) {
	if m == nil {
		return
	}
	m.retries.Add(ctx, 1, metric.WithAttributes(service(svc)))
}
