package notice

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// faultPhase is a part of a run; its change comes first.
type faultPhase struct {
	length time.Duration
	change func(s *faultSim)
}

func kill(n, r int) func(s *faultSim) {
	return func(s *faultSim) {
		for _, h := range s.every(n, r) {
			h.isDown = true
		}
	}
}

func pauseSome(n, r int) func(s *faultSim) {
	return func(s *faultSim) {
		for _, h := range s.every(n, r) {
			s.pause(h)
		}
	}
}

func resumeSome(n, r int) func(s *faultSim) {
	return func(s *faultSim) {
		for _, h := range s.every(n, r) {
			s.resume(h)
		}
	}
}

func cutSome(n, r int, isCut bool) func(s *faultSim) {
	return func(s *faultSim) {
		for _, h := range s.every(n, r) {
			s.cut(h, isCut)
		}
	}
}

func stateLimits(limits ...float64) func(s *faultSim) {
	return func(s *faultSim) {
		for i, limit := range limits {
			s.servers[i].state(limit, s.now)
		}
	}
}

func all(changes ...func(s *faultSim)) func(s *faultSim) {
	return func(s *faultSim) {
		for _, change := range changes {
			change(s)
		}
	}
}

// TestLimitsAreKeptWithFaults checks that servers get no more than they state and that hosts use 0.9 of that, or of their demand,
// while hosts are killed, paused, cut off or join, and while limits change.
func TestLimitsAreKeptWithFaults(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name   string
		limits []float64
		// demand is the requests a second of all hosts.
		demand float64
		phases []faultPhase
	}{
		{"killed", []float64{3}, 140, []faultPhase{{20 * second, kill(3, 1)}}},
		{"paused", []float64{3}, 140, []faultPhase{{8 * second, pauseSome(3, 1)}, {12 * second, resumeSome(3, 1)}}},
		{"cut", []float64{3}, 140, []faultPhase{{8 * second, cutSome(3, 1, true)}, {12 * second, cutSome(3, 1, false)}}},
		{"joining", []float64{3}, 140, []faultPhase{{10 * second, func(s *faultSim) {
			for range 1 + len(s.hosts)/3 {
				s.join(s.hosts[0].demand)
			}
		}}, {10 * second, func(s *faultSim) {
			for range 1 + len(s.hosts)/3 {
				s.join(s.hosts[0].demand)
			}
		}}}},
		{"killed, paused, cut and joining", []float64{3}, 140, []faultPhase{
			{6 * second, all(kill(7, 1), pauseSome(7, 2), cutSome(7, 3, true))},
			{14 * second, all(resumeSome(7, 2), cutSome(7, 3, false), func(s *faultSim) {
				for range 1 + len(s.hosts)/7 {
					s.join(s.hosts[0].demand)
				}
			})},
		}},
		{"limit lowered", []float64{12}, 140, []faultPhase{{10 * second, stateLimits(2)}}},
		{"limit raised", []float64{2}, 140, []faultPhase{{20 * second, stateLimits(12)}}},
		{"limit lowered while hosts are paused", []float64{20}, 140, []faultPhase{
			{2 * second, pauseSome(3, 1)}, {6 * second, stateLimits(2)}, {12 * second, resumeSome(3, 1)},
		}},
		{"limit ended while hosts are paused", []float64{2}, 140, []faultPhase{
			{2 * second, pauseSome(3, 1)}, {4 * second, stateLimits(0)}, {14 * second, resumeSome(3, 1)},
		}},
		{"limits of three servers", []float64{2, 3, 2.6}, 140, []faultPhase{{20 * second, kill(3, 1)}}},
		{"limit far below one a host", []float64{0.5}, 140, []faultPhase{{40 * second, cutSome(3, 1, true)}}},
	} {
		for _, hosts := range []int{7, 83, 295} {
			t.Run(fmt.Sprintf("%s, %d hosts", tc.name, hosts), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(10) {
					checkLimits(t, seed, hosts, tc.demand, tc.limits, tc.phases)
				}
			})
		}
	}
}

// TestLimitsAreUsedWithFaultsInSeries checks the same with faults that follow each other before the hosts share the limits anew.
func TestLimitsAreUsedWithFaultsInSeries(t *testing.T) {
	for _, hosts := range []int{7, 83, 295} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				checkLimits(t, seed, hosts, 140, []float64{3}, []faultPhase{{10 * time.Second, kill(3, 1)}, {10 * time.Second, kill(3, 2)}})
				checkLimits(t, seed, hosts, 140, []float64{3}, []faultPhase{
					{3 * time.Second, pauseSome(4, 1)},
					{3 * time.Second, all(resumeSome(4, 1), pauseSome(4, 2))},
					{3 * time.Second, all(resumeSome(4, 2), pauseSome(4, 3))},
					{11 * time.Second, resumeSome(4, 3)},
				})
				checkLimits(t, seed, hosts, 140, []float64{2, 3, 2.6}, []faultPhase{{10 * time.Second, kill(3, 1)}, {10 * time.Second, pauseSome(3, 2)}})
			}
		})
	}
}

// TestLimitsAreUsedByHostsWithFewRequests checks limits that are not far below the demand: each host then has few requests, and they
// come at any of them.
func TestLimitsAreUsedByHostsWithFewRequests(t *testing.T) {
	for _, tc := range []struct{ limit, demand float64 }{{3, 10}, {12, 10}, {2, 30}, {40, 30}, {40, 140}} {
		for _, hosts := range []int{7, 83, 295} {
			t.Run(fmt.Sprintf("limit %g, demand %g, %d hosts", tc.limit, tc.demand, hosts), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(10) {
					checkLimits(t, seed, hosts, tc.demand, []float64{tc.limit}, nil)
				}
			})
		}
	}
}

// checkLimits plays the phases, after a first one without a fault, and checks each.
func checkLimits(t *testing.T, seed uint64, hosts int, demand float64, limits []float64, phases []faultPhase) {
	t.Helper()
	const middle = 20 * time.Second
	servers := make([]*faultServer, len(limits))
	for i := range limits {
		servers[i] = &faultServer{Server: Server{ID: fmt.Sprint("s", i), Service: "mill", StartedMS: 5}}
	}
	s := newFaultSim(seed, hosts, demand, servers...)
	for i, limit := range limits {
		servers[i].state(limit, s.now)
	}
	start := s.now + faultContact
	s.run(faultContact + middle)
	needed, got := 0.0, 0
	for i, phase := range append([]faultPhase{{}}, phases...) {
		from := s.now
		if i == 0 {
			from = start
		}
		if phase.change != nil {
			phase.change(s)
		}
		s.run(phase.length)
		sum, served := 0.0, 0
		for _, server := range servers {
			sum += server.leaves(from, s.now)
		}
		// Where no limit is left, all hosts that are not excused must serve what they get.
		isLimited := !math.IsInf(sum, 1)
		for _, server := range servers {
			served += between(server.sent, from, s.now, isLimited)
		}
		got += served
		needed += min(sum, float64(between(s.arrived, from, s.now, isLimited)))
	}
	for _, server := range servers {
		server.check(t, seed, start)
	}
	t.Logf("seed %d: %.2f of what the limits leave is served", seed, float64(got)/needed)
	assert.Check(t, float64(got) >= 0.9*needed, "seed %d: %d requests of %.0f that the limits leave are served", seed, got, needed)
}

// TestLeavingServersGetNoRequestsWithFaults checks that a host sends nothing to a server later than drainTimeout after an answer that says that
// the server leaves, and that hosts in touch learn it from each other.
func TestLeavingServersGetNoRequestsWithFaults(t *testing.T) {
	for _, hosts := range []int{7, 83, 295} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				leaving := &faultServer{Server: Server{ID: "s0", Service: "mill", StartedMS: 5}}
				other := &faultServer{Server: Server{ID: "s1", Service: "mill", StartedMS: 5}}
				s := newFaultSim(seed, hosts, 60, leaving, other)
				s.run(2 * time.Second)
				cutSome(5, 1, true)(s)
				pauseSome(5, 2)(s)
				s.run(time.Second)
				leaving.isLeaving = true
				from := s.now
				s.run(2 * time.Second)
				kill(5, 3)(s)
				s.run(4 * time.Second)
				cutSome(5, 1, false)(s)
				resumeSome(5, 2)(s)
				s.join(10)
				s.run(10 * time.Second)
				for _, r := range leaving.sent {
					if told, found := r.host.heardLeaving[leaving.ID]; found && r.at > told {
						assert.Check(t, r.at <= told+drainTimeout, "seed %d: %s sent a request %s after it was told", seed, r.host.name, r.at-told)
					}
					assert.Check(t, r.isExcused || r.at <= from+faultContact, "seed %d: %s sent a request %s after the first answer", seed, r.host.name, r.at-from)
				}
				served := len(leaving.sent) + len(other.sent)
				assert.Check(t, served == len(s.arrived), "seed %d: %d of %d requests are served", seed, served, len(s.arrived))
			}
		})
	}
}

// TestPausesAreKeptWithFaults checks that at most two requests reach a server from a host while it has asked that host for none.
func TestPausesAreKeptWithFaults(t *testing.T) {
	for _, hosts := range []int{7, 83, 295} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				pausing := &faultServer{Server: Server{ID: "s0", Service: "mill", StartedMS: 5}}
				other := &faultServer{Server: Server{ID: "s1", Service: "mill", StartedMS: 5}}
				s := newFaultSim(seed, hosts, 140, pausing, other)
				s.resumedPart = 0.2
				s.run(2 * time.Second)
				for _, pause := range []time.Duration{3 * time.Second, time.Second, 6 * time.Second} {
					pausing.pause = pause
					s.run(2 * time.Second)
					cutSome(5, 1, true)(s)
					pauseSome(5, 2)(s)
					pausing.state(3, s.now)
					s.run(2 * time.Second)
					cutSome(5, 1, false)(s)
					resumeSome(5, 2)(s)
				}
				s.run(8 * time.Second)
				for _, h := range s.hosts {
					for _, pause := range h.heardPause[pausing.ID] {
						sent := 0
						for _, r := range pausing.sent {
							if r.host == h && r.at >= pause[0] && r.at < pause[1] {
								sent++
							}
						}
						assert.Check(t, sent <= maxInPause, "seed %d: %d requests from %s in a pause", seed, sent, h.name)
					}
				}
				served := len(pausing.sent) + len(other.sent)
				assert.Check(t, served == len(s.arrived), "seed %d: %d of %d requests are served", seed, served, len(s.arrived))
			}
		})
	}
}
