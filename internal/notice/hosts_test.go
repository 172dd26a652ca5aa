package notice

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// hostsSim is a number of hosts in virtual time that send to one limited server whatever they may.
type hostsSim struct {
	random *rand.Rand
	now    time.Duration
	limit  float64
	hosts  []*simHost
	// relay merges what hosts report, for all of them.
	relay *Table
	// live is the number of hosts, seen their requests a second, as of the last digests.
	live int
	seen float64
	// sent are the times of all requests that the server received, arrived those of all that callers sent.
	sent, arrived []time.Duration
}

type simHost struct {
	*Table

	// Host is the host's name.
	Host string
	// demand is the requests a second, arrivals when they came, seen their number as the others last heard it.
	demand   float64
	arrivals []time.Duration
	seen     float64
	rank     int
	isDown   bool
}

// expect gives the host the arrivals of the last seconds that its demand stands for.
func (h *simHost) expect(now time.Duration) {
	h.arrivals = nil
	for range int(h.demand * simCounted.Seconds()) {
		h.arrivals = append(h.arrivals, now-simCounted/2)
	}
}

const (
	simStep   = 10 * time.Millisecond
	simWindow = 4 * time.Second
	// simCounted is the time for which hosts count requests.
	simCounted = 10 * time.Second
	// simGossip is the interval of digests between regions.
	simGossip = time.Second
)

func newHostsSim(seed uint64, hosts int, limit, demand float64) *hostsSim {
	s := &hostsSim{random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, limit: limit}
	s.relay = &Table{Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return s.now }}
	for i := range hosts {
		h := &simHost{Host: fmt.Sprintf("h%03d", i), demand: demand / float64(hosts)}
		h.expect(s.now)
		h.Table = &Table{Log: slog.New(slog.DiscardHandler), Phase: s.random.Float64, Now: func() time.Duration { return s.now }}
		h.Share = func(server, _ string, limit float64) float64 { return s.share(h, server, limit) }
		s.hosts = append(s.hosts, h)
	}
	s.gossip()
	return s
}

// share returns a host's share as gossip does: hosts know the counts of each other one, or with relays only the sum.
func (s *hostsSim) share(h *simHost, server string, limit float64) float64 {
	if s.live > 100 {
		return ShareByRank(server, limit, s.seen/float64(s.live), h.rank, s.live)
	}
	demand := make(map[string]float64, s.live)
	for _, o := range s.hosts {
		if !o.isDown {
			demand[o.Host] = o.seen / 10
		}
	}
	return ShareByDemand(server, limit, h.Host, demand)
}

// gossip passes on what hosts count and have heard.
func (s *hostsSim) gossip() {
	s.live, s.seen = 0, 0
	for _, h := range s.hosts {
		if h.isDown {
			continue
		}
		h.seen, h.rank = float64(count(h.arrivals, s.now-simCounted)), s.live
		s.seen += h.seen / 10
		s.live++
		s.relay.Merge(h.Host, h.Report())
	}
	reports := s.relay.Report()
	for _, h := range s.hosts {
		if !h.isDown {
			h.Merge("relay", reports)
		}
	}
}

// run advances the simulation; each host records what the server states in its answers.
func (s *hostsSim) run(d time.Duration) {
	server := Server{ID: "s1", Service: "mill"}
	for end := s.now + d; s.now < end; s.now += simStep {
		if s.now%simGossip == 0 {
			s.gossip()
		}
		for _, h := range s.hosts {
			if h.isDown {
				continue
			}
			arrivals := 0
			for p := h.demand * simStep.Seconds(); s.random.Float64() < p; p-- {
				arrivals++
			}
			for range arrivals {
				h.arrivals = append(h.arrivals, s.now)
			}
			for range arrivals {
				s.arrived = append(s.arrived, s.now)
				if h.Wait("s1", false) > 0 {
					continue
				}
				h.Sent("s1")
				s.sent = append(s.sent, s.now)
				h.Heard(server, Statement{Limit: s.limit})
			}
		}
	}
}

// most returns the largest number of requests in a window after a time.
func (s *hostsSim) most(after time.Duration) int {
	most := 0
	for i, from := range s.sent {
		n := i
		for n < len(s.sent) && s.sent[n]-from <= simWindow {
			n++
		}
		if from >= after {
			most = max(most, n-i)
		}
	}
	return most
}

func count(times []time.Duration, after time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= after {
			n++
		}
	}
	return n
}

func allowed(limit float64) int { return int(math.Floor(1.5*limit*simWindow.Seconds())) + 5 }

func TestHostsShareALimit(t *testing.T) {
	const contact, length = 4 * time.Second, 40 * time.Second
	for _, tc := range []struct {
		name  string
		hosts int
		limit float64
		// demand is the requests a second of all hosts.
		demand float64
		change func(s *hostsSim)
		// minUse is the least share of the limit that must be used, or of the demand where that is less.
		minUse float64
	}{
		{"7 hosts", 7, 2, 30, nil, 0.9},
		{"7 hosts, fractional limit", 7, 2.6, 30, nil, 0.9},
		{"83 hosts", 83, 3, 140, nil, 0.9},
		{"83 hosts, low limit", 83, 2, 140, nil, 0.9},
		{"295 hosts", 295, 3, 200, nil, 0.9},
		{"295 hosts, low limit", 295, 2, 200, nil, 0.9},
		{"295 hosts, high limit", 295, 40, 200, nil, 0.9},
		{"requests at two of 83 hosts", 83, 3, 140, func(s *hostsSim) {
			for i, h := range s.hosts {
				h.demand, h.arrivals = 0, nil
				if i < 2 {
					h.demand = 70
					h.expect(s.now)
				}
			}
		}, 0.9},
		{"little demand at 7 hosts", 7, 5, 0.7, nil, 0.9},
		{"demand below the limit at 7 hosts", 7, 40, 30, nil, 0.9},
		{"a crowd at 7 hosts with a high limit", 7, 40, 0.7, func(s *hostsSim) {
			s.run(3 * contact)
			for _, h := range s.hosts {
				h.demand = 30
			}
		}, 0.5},
		{"a third of 83 hosts die", 83, 3, 140, func(s *hostsSim) {
			s.run(contact)
			for i := range s.hosts {
				s.hosts[i].isDown = i%3 == 0
			}
		}, 0.6},
		{"a crowd comes to hosts without requests", 83, 3, 1, func(s *hostsSim) {
			s.run(3 * contact)
			for _, h := range s.hosts {
				h.demand = 3
			}
		}, 0.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			worst := 0
			for seed := range uint64(10) {
				s := newHostsSim(seed, tc.hosts, tc.limit, tc.demand)
				for _, h := range s.hosts {
					h.Heard(Server{ID: "s1", Service: "mill"}, Statement{Limit: tc.limit})
				}
				from := s.now + contact
				if tc.change != nil {
					tc.change(s)
					s.gossip()
				}
				s.run(length)
				worst = max(worst, s.most(from))
				assert.Check(t, s.most(from) <= allowed(tc.limit), "seed %d: %d requests in %s, %d are allowed", seed, s.most(from), simWindow, allowed(tc.limit))
				use := float64(count(s.sent, s.now-length)) / min(tc.limit*length.Seconds(), float64(count(s.arrived, s.now-length)))
				assert.Check(t, use >= tc.minUse, "seed %d: %.2f of the limit or the demand is used", seed, use)
			}
			t.Logf("most in a window: %d of %d", worst, allowed(tc.limit))
		})
	}
}
