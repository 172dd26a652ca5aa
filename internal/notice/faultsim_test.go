package notice

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// faultContact is the time after which hosts must keep to what a server states.
	faultContact = 4 * time.Second
	// faultSilent is how long the digests of another host count, faultMesh the number of hosts above which relays send sums.
	faultSilent = 2500 * time.Millisecond
	faultMesh   = 100
	// faultUrgent bounds the time in which a change reaches all connected hosts.
	faultUrgent = 300 * time.Millisecond
	// faultQueued is the time for which requests wait for a paused host.
	faultQueued = 5 * time.Second
	// faultLatency bounds the time from a request to its answer.
	faultLatency = 400 * time.Millisecond
	// drainTimeout and pauseDelay are the times after which a host must keep to a statement that it got itself.
	drainTimeout = time.Second
	pauseDelay   = 500 * time.Millisecond
	toldDelay    = 500 * time.Millisecond
	// maxInPause is the number of requests that may reach a server from a host that it has asked for a pause.
	maxInPause = 2
)

// faultServer is a backend server that states something of itself in its answers.
type faultServer struct {
	Server

	limit     float64
	isLeaving bool
	// pause is stated in refusals, which are a part of the answers.
	pause  time.Duration
	limits []statedLimit
	// sent are the requests that it received.
	sent []faultRequest
}

type statedLimit struct {
	at    time.Duration
	limit float64
}

type faultRequest struct {
	host *faultHost
	at   time.Duration
	// isExcused reports that the host could not know better.
	isExcused bool
}

// faultHost is a host that may be killed, paused, cut off from the others, or join late.
type faultHost struct {
	*Table

	name   string
	demand float64
	// arrivals are the times of the requests of the last simCounted.
	arrivals []time.Duration
	// hasJoined reports that it has exchanged digests.
	hasJoined bool
	isDown    bool
	isCut     bool
	// pausedAt is when it was paused; 0 if it runs.
	pausedAt time.Duration
	// excusedUntil is until when it may not know what others do.
	excusedUntil time.Duration
	// view are the counts that it knows; those of the connected hosts unless it is cut off.
	view *faultView
	// heardLeaving and heardPause are the times at which servers stated these.
	heardLeaving map[string]time.Duration
	// isTold reports that a server has stated a limit to the host; it counts later than toldDelay after that.
	isTold     bool
	heardPause map[string][][2]time.Duration
}

// faultView is what connected hosts know of each other.
type faultView struct {
	demand map[string]float64
	at     map[string]time.Duration

	// recent are the demands of live hosts as of readAt, sum is their sum and names their order.
	recent map[string]float64
	sum    float64
	names  []string
	readAt time.Duration
	isCut  bool
}

func newFaultView() *faultView {
	return &faultView{demand: make(map[string]float64), at: make(map[string]time.Duration)}
}

// read finds the live hosts anew if the last time is too long ago. A host that is cut off keeps those that it knew.
func (v *faultView) read(now time.Duration) {
	if v.recent != nil && (v.isCut || now-v.readAt < shareAge/2) {
		return
	}
	v.recent, v.sum, v.names, v.readAt = make(map[string]float64), 0, nil, now
	for name, at := range v.at {
		if now-at <= faultSilent {
			v.recent[name] = v.demand[name]
			v.names = append(v.names, name)
		}
	}
	slices.Sort(v.names)
	for _, name := range v.names {
		v.sum += v.recent[name]
	}
}

type faultSim struct {
	random *rand.Rand
	now    time.Duration
	hosts  []*faultHost
	// highest is the highest demand of a host.
	highest float64
	servers []*faultServer
	view    *faultView
	// relay is what connected hosts have reported.
	relay *Table
	// urgentAt is when it passes on a change without waiting for digests; 0 if there is none.
	urgentAt time.Duration
	answers  map[time.Duration][]func()
	arrived  []faultRequest
	// resumedPart is the part of the requests that are resumed runs.
	resumedPart float64
}

func newFaultSim(seed uint64, hosts int, demand float64, servers ...*faultServer) *faultSim {
	s := &faultSim{
		random: rand.New(rand.NewPCG(seed, 2)), now: time.Hour, servers: servers, answers: make(map[time.Duration][]func()),
		view: newFaultView(),
	}
	s.relay = s.newTable()
	s.relay.OnChange = func() { s.urgentAt = min(cmp.Or(s.urgentAt, s.now+faultUrgent), s.now+faultUrgent) }
	for range hosts {
		s.join(demand / float64(hosts))
	}
	// The hosts have served this demand for some time.
	for _, h := range s.hosts {
		for range int(h.demand*simCounted.Seconds() + s.random.Float64()) {
			h.arrivals = append(h.arrivals, s.now-time.Duration(s.random.Float64()*float64(simCounted)))
		}
		slices.Sort(h.arrivals)
		s.exchange(h)
	}
	return s
}

func (s *faultSim) newTable() *Table {
	return &Table{Log: slog.New(slog.DiscardHandler), Phase: s.random.Float64, Now: func() time.Duration { return s.now }}
}

// join adds a host that knows nothing yet.
func (s *faultSim) join(demand float64) *faultHost {
	h := &faultHost{
		Table: s.newTable(), name: fmt.Sprintf("h%08x", s.random.Uint32()), demand: demand, view: s.view,
		heardLeaving: make(map[string]time.Duration), heardPause: make(map[string][][2]time.Duration),
	}
	h.OnChange = func() {
		if !h.isCut && h.pausedAt == 0 {
			s.relay.Merge(h.name, h.Report())
		}
	}
	h.Share = func(server, _ string, limit float64) float64 { return s.share(h, server, limit) }
	h.excusedUntil = s.now + faultContact
	s.highest = max(s.highest, demand)
	s.hosts = append(s.hosts, h)
	return h
}

// share returns a host's share as gossip does: up to faultMesh hosts know the counts of each other one, with relays only the sum.
func (s *faultSim) share(h *faultHost, server string, limit float64) float64 {
	h.view.read(s.now)
	demand, hosts := h.view.recent, len(h.view.recent)
	rank, isListed := slices.BinarySearch(h.view.names, h.name)
	switch {
	case !h.hasJoined && hosts > faultMesh:
		// It knows the number of hosts before it gets a sum.
		return 1 / float64(hosts+1)
	case !h.hasJoined:
		return ShareByDemand(server, limit, h.name, map[string]float64{h.name: h.view.demand[h.name]})
	case hosts > faultMesh:
		return ShareByRank(server, limit, h.view.sum/float64(hosts), rank%hosts, hosts)
	case !isListed:
		demand = maps.Clone(demand)
		demand[h.name] = h.view.demand[h.name]
	}
	return ShareByDemand(server, limit, h.name, demand)
}

// exchange sends a host's digest, and to it what the others have reported.
func (s *faultSim) exchange(h *faultHost) {
	for len(h.arrivals) > 0 && h.arrivals[0] < s.now-simCounted {
		h.arrivals = h.arrivals[1:]
	}
	h.view.demand[h.name], h.view.at[h.name] = float64(len(h.arrivals))/simCounted.Seconds(), s.now
	if h.isCut {
		return
	}
	h.hasJoined = true
	s.relay.Merge(h.name, h.Report())
	h.Merge("relay", s.relay.Report())
}

// cut cuts a host off from the others, or ends that.
func (s *faultSim) cut(h *faultHost, isCut bool) {
	h.isCut, h.excusedUntil = isCut, s.now+faultContact
	h.view = s.view
	if isCut {
		view := *s.view
		view.recent = nil
		view.read(s.now)
		view.isCut = true
		view.demand, view.at = maps.Clone(view.demand), maps.Clone(view.at)
		h.view = &view
	}
}

func (s *faultSim) pause(h *faultHost) { h.pausedAt = s.now }

// resume continues a paused host, which then gets the requests that have waited for it. Gossip leaves out the reports that have.
func (s *faultSim) resume(h *faultHost) {
	waiting := min(s.now-h.pausedAt, faultQueued)
	h.pausedAt, h.excusedUntil = 0, s.now+faultContact
	for range int(h.demand * waiting.Seconds()) {
		s.arrive(h)
	}
}

// run advances the simulation.
func (s *faultSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simStep {
		for _, answer := range s.answers[s.now] {
			answer()
		}
		delete(s.answers, s.now)
		first, every := int(s.now%simGossip/simStep), int(simGossip/simStep)
		if s.urgentAt > 0 && s.now >= s.urgentAt {
			first, every, s.urgentAt = 0, 1, 0
		}
		for i := first; i < len(s.hosts); i += every {
			if h := s.hosts[i]; h.isRunning() {
				s.exchange(h)
			}
		}
		// Requests come at random hosts, at each as often as its demand says.
		for p := s.highest * float64(len(s.hosts)) * simStep.Seconds(); s.random.Float64() < p; p-- {
			if h := s.hosts[s.random.IntN(len(s.hosts))]; h.isRunning() && s.random.Float64()*s.highest < h.demand {
				s.arrive(h)
			}
		}
	}
}

func (h *faultHost) isRunning() bool { return !h.isDown && h.pausedAt == 0 }

// arrive sends a request to a server that takes it, or refuses it.
func (s *faultSim) arrive(h *faultHost) {
	h.arrivals = append(h.arrivals, s.now)
	isExcused := h.isCut || s.now < h.excusedUntil
	s.arrived = append(s.arrived, faultRequest{h, s.now, isExcused})
	isResumed := s.random.Float64() < s.resumedPart
	first := s.random.IntN(len(s.servers))
	for i := range s.servers {
		server := s.servers[(first+i)%len(s.servers)]
		if h.IsLeaving(server.ID, server.StartedMS) || h.Wait(server.ID, isResumed) > 0 {
			continue
		}
		h.Sent(server.ID)
		server.sent = append(server.sent, faultRequest{h, s.now, isExcused})
		at := s.now + max(simStep, time.Duration(s.random.Float64()*float64(faultLatency)).Truncate(simStep))
		s.answers[at] = append(s.answers[at], func() { s.answer(h, server) })
		return
	}
}

// answer records a server's answer; that to a paused host waits for it and comes as soon as it runs.
func (s *faultSim) answer(h *faultHost, server *faultServer) {
	if h.isDown {
		return
	}
	if h.pausedAt > 0 {
		s.answers[s.now+simStep] = append(s.answers[s.now+simStep], func() { s.answer(h, server) })
		return
	}
	st := Statement{Limit: server.limit, IsLeaving: server.isLeaving}
	if server.pause > 0 && s.random.IntN(2) == 0 {
		st.Pause = server.pause
		h.heardPause[server.ID] = append(h.heardPause[server.ID], [2]time.Duration{s.now + pauseDelay, s.now + server.pause})
	}
	if _, found := h.heardLeaving[server.ID]; server.isLeaving && !found {
		h.heardLeaving[server.ID] = s.now
	}
	if !h.isTold && server.limit > 0 {
		h.isTold = true
		h.excusedUntil = min(h.excusedUntil, s.now+toldDelay)
	}
	h.Heard(server.Server, st)
}

// every returns the hosts whose number leaves the rest r when divided by n.
func (s *faultSim) every(n, r int) []*faultHost {
	var all []*faultHost
	for i := r; i < len(s.hosts); i += n {
		all = append(all, s.hosts[i])
	}
	return all
}

// state changes what the server states from a time on.
func (f *faultServer) state(limit float64, now time.Duration) {
	f.limit = limit
	f.limits = append(f.limits, statedLimit{now, limit})
}

// allowedFrom returns the number of requests that are allowed in a window: hosts must know a limit after faultContact.
func (f *faultServer) allowedFrom(at time.Duration) int {
	highest, inForce := 0.0, 0.0
	for _, l := range f.limits {
		switch {
		case l.at <= at-faultContact:
			inForce = l.limit
		case l.at <= at+simWindow:
			highest = max(highest, l.limit)
		}
		if l.limit == 0 && l.at > at-faultContact && l.at <= at+simWindow {
			return math.MaxInt
		}
	}
	if inForce == 0 {
		return math.MaxInt
	}
	return allowed(max(highest, inForce))
}

// leaves returns the number of requests that the server's limits leave in a time: hosts must know a higher limit, or that there is
// none, after faultContact.
func (f *faultServer) leaves(from, to time.Duration) float64 {
	sum := 0.0
	for at := from; at < to; at += simStep {
		lowest := math.Inf(1)
		for i, l := range f.limits {
			hasEnded := i+1 < len(f.limits) && f.limits[i+1].at <= at-faultContact
			if l.at <= at && !hasEnded && l.limit > 0 {
				lowest = min(lowest, l.limit)
			}
		}
		sum += lowest * simStep.Seconds()
	}
	return sum
}

// check checks all windows, with the requests of excused hosts left out.
func (f *faultServer) check(t *testing.T, seed uint64, from time.Duration) {
	t.Helper()
	var at []time.Duration
	for _, r := range f.sent {
		if !r.isExcused && r.at >= from {
			at = append(at, r.at)
		}
	}
	worst, worstAllowed, worstAt, end := 0, 0, time.Duration(0), 0
	for i := range at {
		for end < len(at) && at[end]-at[i] <= simWindow {
			end++
		}
		if most := f.allowedFrom(at[i]); end-i-most > worst-worstAllowed || worstAllowed == 0 {
			worst, worstAllowed, worstAt = end-i, most, at[i]-from
		}
	}
	assert.Check(t, worst <= worstAllowed, "seed %d: %s got %d requests in %s from %s on, %d are allowed", seed, f.ID, worst, simWindow, worstAt, worstAllowed)
}

// between returns the number of requests in a time, of all hosts or of those that are not excused.
func between(requests []faultRequest, from, to time.Duration, withExcused bool) int {
	n := 0
	for _, r := range requests {
		if r.at >= from && r.at < to && (withExcused || !r.isExcused) {
			n++
		}
	}
	return n
}
