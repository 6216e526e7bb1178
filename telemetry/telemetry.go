// Package telemetry sets up metrics, traces and logs of one process.
//
// Metrics are counters first: a line is logged only when a state changes.
// Metric names carry their unit. Traces have a span for each hop of a request
// and travel between processes in the W3C traceparent header.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// reportEvery is how often counters reach the scrape endpoint.
const reportEvery = time.Second

// Options configure the telemetry of a process.
type Options struct {
	Service   string // name in traces
	Host      string // tag of every metric and trace
	Zone      string
	OTLP      string  // URL of an OTLP/HTTP receiver; empty for none
	TraceFile string  // file that spans are written to as JSON; empty for none
	Sample    float64 // share of traces that are exported; zero for all
	LogLevel  string  // a logrus level; empty for info
	LogOutput io.Writer
}

// SetupError reports a part of the telemetry that could not be set up.
type SetupError struct {
	Part  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string { return fmt.Sprintf("telemetry: %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }

// Telemetry is what the parts of a process report to.
type Telemetry struct {
	Metrics tally.Scope
	Tracer  trace.Tracer
	Log     *logrus.Entry

	handler http.Handler
	closers []func(context.Context) error
}

// New sets up telemetry. Close flushes it.
func New(ctx context.Context, opts Options) (*Telemetry, error) {
	t := &Telemetry{}
	if err := t.setupLog(opts); err != nil {
		return nil, err
	}
	t.setupMetrics(opts)
	if err := t.setupTraces(ctx, opts); err != nil {
		return nil, err
	}
	return t, nil
}

// Discard returns telemetry that keeps nothing.
func Discard() *Telemetry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Telemetry{
		Metrics: tally.NoopScope,
		Tracer:  sdktrace.NewTracerProvider().Tracer("discard"),
		Log:     logrus.NewEntry(log),
		handler: http.NotFoundHandler(),
	}
}

// Handler serves the metrics for scraping.
func (t *Telemetry) Handler() http.Handler { return t.handler }

// Close flushes spans and metrics.
func (t *Telemetry) Close(ctx context.Context) error {
	var first error
	for _, c := range t.closers {
		if err := c(ctx); err != nil && first == nil {
			first = &SetupError{Part: "close", Cause: err}
		}
	}
	return first
}

func (t *Telemetry) setupLog(opts Options) error {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	if opts.LogOutput != nil {
		log.SetOutput(opts.LogOutput)
	}
	if opts.LogLevel != "" {
		level, err := logrus.ParseLevel(opts.LogLevel)
		if err != nil {
			return &SetupError{Part: "log level", Cause: err}
		}
		log.SetLevel(level)
	}
	t.Log = log.WithFields(logrus.Fields{"host": opts.Host, "zone": opts.Zone})
	return nil
}

func (t *Telemetry) setupMetrics(opts Options) {
	registry := prom.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "fireflyfold",
		Tags:           map[string]string{"host": opts.Host, "zone": opts.Zone},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportEvery)
	t.Metrics = scope
	t.handler = reporter.HTTPHandler()
	t.closers = append(t.closers, func(context.Context) error { return closer.Close() })
}

func (t *Telemetry) setupTraces(ctx context.Context, opts Options) error {
	var processors []sdktrace.TracerProviderOption
	if opts.OTLP != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(opts.OTLP))
		if err != nil {
			return &SetupError{Part: "otlp", Cause: err}
		}
		processors = append(processors, sdktrace.WithBatcher(exporter))
	}
	if opts.TraceFile != "" {
		file, err := os.OpenFile(opts.TraceFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return &SetupError{Part: "trace file", Cause: err}
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return &SetupError{Part: "trace file", Cause: err}
		}
		processors = append(processors, sdktrace.WithBatcher(exporter))
		t.closers = append(t.closers, func(context.Context) error { return file.Close() })
	}
	if len(processors) == 0 {
		processors = append(processors, sdktrace.WithSampler(sdktrace.NeverSample()))
	}
	if opts.Sample > 0 {
		sampler := sdktrace.ParentBased(sdktrace.TraceIDRatioBased(opts.Sample))
		processors = append([]sdktrace.TracerProviderOption{sdktrace.WithSampler(sampler)}, processors...)
	}
	processors = append(processors, sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", opts.Service),
		attribute.String("host.name", opts.Host),
		attribute.String("cloud.availability_zone", opts.Zone),
	)))
	provider := sdktrace.NewTracerProvider(processors...)
	t.Tracer = provider.Tracer("github.com/fireflyfold/fireflyfold")
	t.closers = append([]func(context.Context) error{provider.Shutdown}, t.closers...)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return nil
}
