package metric

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Front holds the metrics of requests served by package front.
type Front struct {
	requests   metric.Int64Counter
	duration   metric.Float64Histogram
	firstEvent metric.Float64Histogram
	resumed    metric.Int64Counter
	dropped    metric.Int64Counter
}

// NewFront registers the metrics in a set.
func NewFront(s *Set) (*Front, error) {
	f := &Front{}
	buckets := metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 4, 8, 16, 40)
	var errs [5]error
	f.requests, errs[0] = s.meter.Int64Counter("front_requests", metric.WithDescription("Requests ended, by kind, outcome and status."))
	f.duration, errs[1] = s.meter.Float64Histogram("front_request_duration", metric.WithUnit("s"), metric.WithDescription("Time from arrival to the end of the answer."), buckets)
	f.firstEvent, errs[2] = s.meter.Float64Histogram("front_first_event", metric.WithUnit("s"), metric.WithDescription("Time from arrival to a stream's first event."), buckets)
	f.resumed, errs[3] = s.meter.Int64Counter("front_resumes", metric.WithDescription("Streams that went on at another backend server, by outcome."))
	f.dropped, errs[4] = s.meter.Int64Counter("front_readers_dropped", metric.WithDescription("Callers dropped because they did not read their answers, by reason."))
	return f, errors.Join(errs[:]...)
}

// RequestEnded counts a request and records its duration.
func (f *Front) RequestEnded(kind, outcome string, status int, took time.Duration) {
	attributes := metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome), attribute.Int("status", status))
	f.requests.Add(context.Background(), 1, attributes)
	f.duration.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
}

// FirstEvent records the time from arrival to a stream's first event.
func (f *Front) FirstEvent(took time.Duration) {
	f.firstEvent.Record(context.Background(), took.Seconds())
}

// Resumed counts an attempt to resume a stream on another backend server, by outcome.
func (f *Front) Resumed(outcome string) {
	f.resumed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// ReaderDropped counts a caller that did not read its answer.
func (f *Front) ReaderDropped(reason string) {
	f.dropped.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}
