// Package metric defines the host's OpenTelemetry metrics and serves them in Prometheus' text format.
package metric

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Set holds the metrics of one host.
type Set struct {
	// Requests counts ended requests by service and code.
	Requests metric.Int64Counter
	// Tokens counts the tokens sent to callers by service.
	Tokens metric.Int64Counter
	// FirstToken is the time from arrival to the first token, in seconds.
	FirstToken metric.Float64Histogram
	// Attempts counts the sends to backend servers by service.
	Attempts metric.Int64Counter
	// Resumes counts the streams resumed on their engine by service.
	Resumes metric.Int64Counter
	// Violations counts the streams stopped by a violated invariant by service.
	Violations metric.Int64Counter

	meter    metric.Meter
	registry *prometheus.Registry
}

// New returns a set with a registry of its own.
func New() (*Set, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "open metrics exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("tarragonspur")
	s := &Set{meter: meter, registry: registry}
	var errs [6]error
	s.Requests, errs[0] = meter.Int64Counter("requests", metric.WithDescription("Requests ended."))
	s.Tokens, errs[1] = meter.Int64Counter("tokens", metric.WithDescription("Tokens passed on to callers."))
	s.FirstToken, errs[2] = meter.Float64Histogram("first_token", metric.WithUnit("s"), metric.WithDescription("Time to the first token."))
	s.Attempts, errs[3] = meter.Int64Counter("attempts", metric.WithDescription("Sends to backend servers."))
	s.Resumes, errs[4] = meter.Int64Counter("resumes", metric.WithDescription("Streams resumed on their engine."))
	s.Violations, errs[5] = meter.Int64Counter("violations", metric.WithDescription("Streams stopped by a violated invariant."))
	return s, errors.Join(errs[:]...)
}

// Gauge adds a gauge whose value is read at each scrape.
func (s *Set) Gauge(name, description string, read func() float64, options ...metric.Float64ObservableGaugeOption) error {
	observe := func(_ context.Context, o metric.Float64Observer) error {
		o.Observe(read())
		return nil
	}
	options = append(options, metric.WithDescription(description), metric.WithFloat64Callback(observe))
	_, err := s.meter.Float64ObservableGauge(name, options...)
	return errors.Wrapf(err, "add gauge %s", name)
}

// Handler serves the metrics in Prometheus' text format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
