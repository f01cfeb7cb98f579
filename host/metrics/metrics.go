// Package metrics records the metrics of a host with OpenTelemetry and exports them in the Prometheus text format.
//
// No metric has a customer label: with 250,000 customers, the series alone would exceed the memory budget of the control
// plane.
package metrics

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// Gauge is a value that is read at each scrape.
type Gauge struct {
	Name        string
	Description string
	// Unit is a UCUM unit, for example "s" or "{host}".
	Unit string
	Read func() float64
}

// Family is a metric with several series, which are read at each scrape.
type Family struct {
	Name        string
	Description string
	// Unit is a UCUM unit, for example "s" or "{host}".
	Unit string
	// Cumulative is true for a value that only grows.
	Cumulative bool
	// Read calls observe for each series. attributes holds names and values in turn.
	Read func(observe func(value float64, attributes ...string))
}

// Metrics holds the instruments of one host.
type Metrics struct {
	registry        *prometheus.Registry
	meter           metric.Meter
	provider        *sdk.MeterProvider
	requests        metric.Int64Counter
	requestDuration metric.Float64Histogram
	attemptDuration metric.Float64Histogram
	dispatchWait    metric.Float64Histogram
	inFlight        metric.Int64UpDownCounter
	hedges          hedgeCounters
	floorRequests   metric.Int64Counter
}

// durationBuckets are histogram boundaries in seconds. They resolve the target of 1.4 ms for added latency and common
// timeouts.
var durationBuckets = []float64{0.0005, 0.001, 0.0014, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// New returns metrics with a registry of their own.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := &Metrics{registry: registry, provider: provider, meter: provider.Meter("bronzeyard")}
	return m, m.createInstruments()
}

func (m *Metrics) createInstruments() error {
	var err error
	if m.hedges, err = newHedgeCounters(m.meter); err != nil {
		return err
	}
	m.floorRequests, err = m.meter.Int64Counter("bronzeyard.floor.requests",
		metric.WithDescription("Attempts at upstreams that had to receive a request while many requests of the service failed."))
	if err != nil {
		return err
	}
	m.requests, err = m.meter.Int64Counter("bronzeyard.requests",
		metric.WithDescription("Answered requests by status and, for the host's own answers, error kind."))
	if err != nil {
		return err
	}
	m.requestDuration, err = m.meter.Float64Histogram("bronzeyard.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the request's headers to the end of the answer."),
		metric.WithExplicitBucketBoundaries(durationBuckets...))
	if err != nil {
		return err
	}
	m.attemptDuration, err = m.meter.Float64Histogram("bronzeyard.attempt.duration", metric.WithUnit("s"),
		metric.WithDescription("Time of an attempt at an upstream, by its outcome."),
		metric.WithExplicitBucketBoundaries(durationBuckets...))
	if err != nil {
		return err
	}
	m.dispatchWait, err = m.meter.Float64Histogram("bronzeyard.dispatch.wait", metric.WithUnit("s"),
		metric.WithDescription("Time until an attempt had a slot, or its host gave up the wait for one, by service."),
		metric.WithExplicitBucketBoundaries(durationBuckets...))
	if err != nil {
		return err
	}
	m.inFlight, err = m.meter.Int64UpDownCounter("bronzeyard.requests.in_flight",
		metric.WithDescription("Requests that are being served."))
	return err
}

// AddGauges registers gauges, whose values are read at each scrape.
func (m *Metrics) AddGauges(gauges []Gauge) error {
	for _, gauge := range gauges {
		_, err := m.meter.Float64ObservableGauge(gauge.Name, metric.WithUnit(gauge.Unit),
			metric.WithDescription(gauge.Description),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(gauge.Read())
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}

// AddFamilies registers metrics with several series.
func (m *Metrics) AddFamilies(families []Family) error {
	for i := range families {
		family := &families[i]
		read := func(_ context.Context, o metric.Float64Observer) error {
			family.Read(func(value float64, attributes ...string) {
				set := make([]attribute.KeyValue, 0, len(attributes)/2)
				for i := 0; i+1 < len(attributes); i += 2 {
					set = append(set, attribute.String(attributes[i], attributes[i+1]))
				}
				o.Observe(value, metric.WithAttributes(set...))
			})
			return nil
		}
		var err error
		if family.Cumulative {
			_, err = m.meter.Float64ObservableCounter(family.Name, metric.WithUnit(family.Unit),
				metric.WithDescription(family.Description), metric.WithFloat64Callback(read))
		} else {
			_, err = m.meter.Float64ObservableGauge(family.Name, metric.WithUnit(family.Unit),
				metric.WithDescription(family.Description), metric.WithFloat64Callback(read))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close stops the export.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// RecordRequest records a completed request and its duration. kind is empty if an upstream's response was forwarded.
func (m *Metrics) RecordRequest(status int, kind errkind.Kind, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("status", strconv.Itoa(status)), attribute.String("kind", string(kind))))
	m.requestDuration.Record(ctx, took.Seconds())
}

// RecordAttempt records an attempt at an upstream and its duration.
func (m *Metrics) RecordAttempt(outcome string, took time.Duration) {
	m.attemptDuration.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// RecordDispatchWait records the time for which an attempt at an upstream of a service waited for a slot.
func (m *Metrics) RecordDispatchWait(service string, wait time.Duration) {
	m.dispatchWait.Record(context.Background(), wait.Seconds(), metric.WithAttributes(attribute.String("service", service)))
}

// RecordFloorRequest records an attempt that was sent to an upstream of a service for the floor. trial states whether it was a half-open
// trial.
func (m *Metrics) RecordFloorRequest(service string, trial bool) {
	m.floorRequests.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("service", service), attribute.Bool("trial", trial)))
}

// Middleware records the requests that next serves.
func (m *Metrics) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		ctx := context.WithoutCancel(r.Context())
		m.inFlight.Add(ctx, 1)
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		defer func() {
			m.inFlight.Add(ctx, -1)
			m.RecordRequest(recorder.status, errkind.Kind(w.Header().Get(errkind.KindHeader)), time.Since(start))
		}()
		next.ServeHTTP(recorder, r)
	})
}

// statusRecorder records the final status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter. Informational statuses are not final.
func (r *statusRecorder) WriteHeader(status int) {
	if status >= http.StatusOK {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
