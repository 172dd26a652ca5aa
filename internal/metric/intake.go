package metric

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Intake holds the metrics of the host's listeners.
type Intake struct {
	closed metric.Int64Counter
	meter  metric.Meter
}

// NewIntake registers the metrics in a set.
func NewIntake(s *Set) (*Intake, error) {
	closed, err := s.meter.Int64Counter("intake_closed", metric.WithDescription("Connections closed for a limit, by listener and reason."))
	return &Intake{closed: closed, meter: s.meter}, errors.Wrap(err, "add counter")
}

// Closed counts a connection of the named listener that was closed.
func (i *Intake) Closed(listener, reason string) {
	i.closed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("listener", listener), attribute.String("reason", reason)))
}

// Gauges adds what the connections of a listener hold, as read at each scrape.
func (i *Intake) Gauges(listener string, read func() (connections, unfinished int, headsBytes int64)) error {
	label := metric.WithAttributes(attribute.String("listener", listener))
	gauges := []struct {
		name, description string
		value             func() int64
	}{
		{"intake_connections", "Open connections, by listener.", func() int64 { n, _, _ := read(); return int64(n) }},
		{"intake_unfinished", "Connections whose head is not complete, by listener.", func() int64 { _, n, _ := read(); return int64(n) }},
		{"intake_heads", "Memory of the heads of all requests, by listener.", func() int64 { _, _, n := read(); return n }},
	}
	for _, g := range gauges {
		options := []metric.Int64ObservableGaugeOption{
			metric.WithDescription(g.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(g.value(), label)
				return nil
			}),
		}
		if g.name == "intake_heads" {
			options = append(options, metric.WithUnit("By"))
		}
		if _, err := i.meter.Int64ObservableGauge(g.name, options...); err != nil {
			return errors.Wrapf(err, "add gauge %s", g.name)
		}
	}
	return nil
}
