package metric

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Started counts an attempt to run a generation on a backend server.
func (s *Set) Started(ctx context.Context, service string) {
	s.Attempts.Add(ctx, 1, serviceAttribute(service))
}

// Resumed counts a resumed stream.
func (s *Set) Resumed(ctx context.Context, service string) {
	s.Resumes.Add(ctx, 1, serviceAttribute(service))
}

// Violated counts a stream that a violated invariant stopped.
func (s *Set) Violated(ctx context.Context, service string) {
	s.Violations.Add(ctx, 1, serviceAttribute(service))
}

func serviceAttribute(service string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("service", service))
}
