// Package telemetry sets up the metrics, traces and logs of a process.
//
// Repeated events are counted in metrics; a line is logged only when a state changes. Metric
// names carry their unit. Traces have a span for each hop of a request and are propagated
// between processes in the W3C traceparent header.
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

// reportInterval is how often metrics are passed on to the scrape endpoint.
const reportInterval = time.Second

// Options configures the telemetry of a process.
type Options struct {
	Service   string    // service.name in traces
	Host      string    // added to every metric, trace and log line
	Zone      string    // likewise
	OTLP      string    // URL of an OTLP/HTTP receiver; empty for none
	TraceFile string    // file to which spans are appended as JSON; empty for none
	Sample    float64   // share of traces that are exported; 0 for all
	LogLevel  string    // logrus level; empty for info
	LogOutput io.Writer // nil for standard error
}

// SetupError reports a part of the telemetry that could not be set up or closed.
type SetupError struct {
	Part  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string { return fmt.Sprintf("telemetry: %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }

// Telemetry holds the metrics, traces and logs that the parts of a process report to.
type Telemetry struct {
	Metrics tally.Scope
	Tracer  trace.Tracer
	Log     *logrus.Entry

	handler http.Handler
	closers []func(context.Context) error
}

// New sets up telemetry. Close flushes it. Errors are of type *SetupError.
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

// Discard returns telemetry that discards everything.
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

// Handler returns the handler that serves the metrics to scrapers.
func (t *Telemetry) Handler() http.Handler { return t.handler }

// Close flushes spans and metrics and returns the first error.
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
	}, reportInterval)
	t.Metrics = scope
	t.handler = reporter.HTTPHandler()
	t.closers = append(t.closers, func(context.Context) error { return closer.Close() })
}

func (t *Telemetry) setupTraces(ctx context.Context, opts Options) error {
	var options []sdktrace.TracerProviderOption
	if opts.OTLP != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(opts.OTLP))
		if err != nil {
			return &SetupError{Part: "otlp", Cause: err}
		}
		options = append(options, sdktrace.WithBatcher(exporter))
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
		options = append(options, sdktrace.WithBatcher(exporter))
		t.closers = append(t.closers, func(context.Context) error { return file.Close() })
	}
	if len(options) == 0 {
		options = append(options, sdktrace.WithSampler(sdktrace.NeverSample()))
	}
	if opts.Sample > 0 {
		sampler := sdktrace.ParentBased(sdktrace.TraceIDRatioBased(opts.Sample))
		options = append([]sdktrace.TracerProviderOption{sdktrace.WithSampler(sampler)}, options...)
	}
	options = append(options, sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", opts.Service),
		attribute.String("host.name", opts.Host),
		attribute.String("cloud.availability_zone", opts.Zone),
	)))
	provider := sdktrace.NewTracerProvider(options...)
	t.Tracer = provider.Tracer("github.com/fireflyfold/fireflyfold")
	t.closers = append([]func(context.Context) error{provider.Shutdown}, t.closers...)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return nil
}
