package spread

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"
)

// Gauges registers gauges that are read at each scrape.
type Gauges interface {
	Gauge(name, description string, read func() float64, options ...metric.Float64ObservableGaugeOption) error
}

// RegisterGauges registers the gauges of the configuration's version, age and forks.
func (s *Syncer) RegisterGauges(g Gauges) error {
	version := g.Gauge("config_version", "Version of the configuration in force.", func() float64 {
		return float64(s.Board.Config.State().Version)
	})
	age := g.Gauge("config_age", "Time since the version was known to be the newest one; -1 means never.", s.age, metric.WithUnit("s"))
	forked := g.Gauge("config_forked", "1 when the host saw a history that contradicts its own.", func() float64 {
		if s.IsForked() {
			return 1
		}
		return 0
	})
	return errors.Join(version, age, forked)
}

// age returns the seconds since the version was last confirmed to be the newest one, -1 if it never was.
func (s *Syncer) age() float64 {
	at := s.Board.Config.Confirmed()
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Seconds()
}
