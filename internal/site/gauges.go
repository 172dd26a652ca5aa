package site

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/metric"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// addGauges registers the gauges that are read from the host's state at each scrape.
func (s *Site) addGauges(m *metric.Set) error {
	gauges := []struct {
		name, description string
		read              func() float64
	}{
		{"table_version", "Version of the table in force; 0 before the first.", func() float64 {
			table, _ := s.Holder.View()
			if table == nil {
				return 0
			}
			return float64(table.Version)
		}},
		{"table_age_seconds", "Time since the table was known to be the newest; -1 before the first.", func() float64 {
			table, confirmed := s.Holder.View()
			if table == nil {
				return -1
			}
			return (ticks.Now() - confirmed).Seconds()
		}},
		{"backend_servers_open", "Backend servers that may take requests.", func() float64 {
			available := 0
			for server := range s.Pool.Snapshot() {
				if _, ok := s.Pool.Get(server.ID, time.Now()); ok {
					available++
				}
			}
			return float64(available)
		}},
		{"runs_in_progress", "Requests at backend servers by all hosts, as far as known.", func() float64 {
			runs := 0
			for _, load := range s.Pool.Snapshot() {
				runs += load.Runs
			}
			return float64(runs)
		}},
		{"placement_view_age_seconds", "Age of the other hosts' loads at the last placement by even load; -1 without a view.", func() float64 {
			last := s.Pool.Placements().Last
			if last.IsBlind {
				return -1
			}
			return last.ViewAge.Seconds()
		}},
		{"placement_servers_considered", "Backend servers that the last placement by even load was spread over.", func() float64 {
			return float64(s.Pool.Placements().Last.Considered)
		}},
		{"placements_without_view", "Placements by even load without a view of the other hosts' loads, since the start.", func() float64 {
			return float64(s.Pool.Placements().WithoutView)
		}},
		{"slow_servers", "Backend servers whose prefills or events this host sees take longer than usual.", func() float64 {
			return float64(s.Pool.SlowServers(time.Now()))
		}},
		{"requests_waiting", "Requests that wait at this host until a backend server has room.", func() float64 {
			waiting := 0
			for _, b := range s.Front.Queue.Locals() {
				waiting += b.Waiting
			}
			return float64(waiting)
		}},
		{"workspaces_starved", "Workspaces, by service, with requests that wait at this host and none that run, under fair shares.", func() float64 {
			return float64(s.Front.Queue.Starved())
		}},
		{"quarantined_keys", "Parts of prompts, and requests, that are refused because backend servers crash under them.", func() float64 {
			return float64(s.Gossip.Crashes.Quarantined())
		}},
		{"limited_servers", "Backend servers that state a limit or want no requests from this host.", func() float64 {
			return float64(s.Gossip.Notices.Limited())
		}},
		{"hosts_heard", "Hosts heard lately, this one included.", func() float64 { return float64(s.Gossip.LiveCount()) }},
		{"view_age_seconds", "Age of what this host knows of the other hosts' loads; -1 while it has no view of them.", func() float64 {
			age, ok := s.Gossip.View(time.Now())
			if !ok {
				return -1
			}
			return age.Seconds()
		}},
		{"reads_for_others", "1 while this host reads the store for its region.", func() float64 {
			if _, otherReads := s.Gossip.Reader(); otherReads || !s.Gossip.IsReading() {
				return 0
			}
			return 1
		}},
		{"store_era", "Newest era of the store that this host has learned of; 0 if the store names none.", func() float64 { return float64(s.Eras.Newest()) }},
		{"store_returns", "Returns of the store from a copy, since the start.", func() float64 {
			returns, _ := s.Eras.Changes()
			return float64(returns)
		}},
		{"log_lines_dropped", "Log lines dropped since the start.", func() float64 { return float64(s.Lines.Dropped()) }},
	}
	for _, g := range gauges {
		if err := m.Gauge(g.name, g.description, g.read); err != nil {
			return errors.Wrap(err, "add gauges")
		}
	}
	return s.addRolloutGauges(m)
}
