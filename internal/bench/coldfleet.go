package bench

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/grant"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/internal/warm"
)

const (
	ledgerPeriod = 500 * time.Millisecond
	// detectionTime is the time after which hosts consider an unresponsive one dead, hostListLag the lag of the
	// platform's list.
	detectionTime = 4 * time.Second
	hostListLag   = 6 * time.Second
	// leaseDuration is the validity of a lease in the store, leaseRenewPeriod the time after which it is renewed.
	leaseDuration    = 10 * time.Second
	leaseRenewPeriod = 3 * time.Second
)

// capacity is a policy's sched.Capacity on one host, with the load reports that it receives.
type capacity interface {
	sched.Capacity
	report(backend string, l engine.Load, now time.Time)
}

// coldFleet is a fleet whose hosts can be partitioned, die and join, with one capacity per host.
type coldFleet struct {
	*fleet
	run *coldRun
	// capacities is by host; ledgers is empty except with the product's policy.
	capacities []capacity
	ledgers    []*grant.Ledger
	joinedAt   []time.Time
	downSince  map[int]time.Time
	isolated   map[int]bool
	lastSeen   map[[2]int]time.Time
	leases     map[string]*lease
	// lendBytes counts the bytes of the messages between ledgers.
	lendBytes int
}

func newColdFleet(r *coldRun, policy string, seed uint64) *coldFleet {
	f := &coldFleet{
		run: r, downSince: make(map[int]time.Time), isolated: make(map[int]bool),
		lastSeen: make(map[[2]int]time.Time), leases: make(map[string]*lease),
	}
	f.fleet = newFleet(r.rig, seed)
	f.fleet.isPartitioned = f.isPartitioned
	for i := range r.rig.hosts {
		f.joinedAt = append(f.joinedAt, r.rig.begin)
		f.capacities = append(f.capacities, f.newCapacity(policy, i))
		f.fleet.hosts[i].Capacity = f.capacities[i]
		// Shares are not measured here, so digests stay within the failure domain.
		peers := f.domainPeers(i)
		f.fleet.hosts[i].Peers = func() []string { return peers }
	}
	if r.variant == coldHostJoin {
		f.downSince[r.hosts] = r.rig.begin
	}
	r.rig.loop.Every(ledgerPeriod/2, func() bool {
		f.recordContacts()
		return true
	})
	for i := range f.ledgers {
		// Hosts tick at different times.
		r.rig.loop.After(time.Duration(i)*ledgerPeriod/time.Duration(len(f.ledgers)), func() { f.tick(i) })
	}
	return f
}

// domainPeers returns the other hosts of a host's failure domain.
func (f *coldFleet) domainPeers(i int) []string {
	var list []string
	for j, name := range f.names {
		if j != i && f.rig.hosts[j] == f.rig.hosts[i] {
			list = append(list, name)
		}
	}
	return list
}

func (f *coldFleet) newCapacity(policy string, host int) capacity {
	base := rampCapacity{fleet: f, host: host, byName: make(map[string]*rampState)}
	switch policy {
	case policyStaticSplit:
		return &staticSplit{base}
	case policyStoreLease:
		return &storeLeases{base}
	case policyOwnerOnly:
		return &ownerOnly{base}
	}
	l := &grant.Ledger{Self: f.names[host], Domain: f.rig.hosts[host].domain, Incarnation: uint64(host) + 1, Period: ledgerPeriod}
	l.SetBackends(grant.Backends(f.rig.view))
	f.ledgers = append(f.ledgers, l)
	return lentCapacity{l}
}

// lentCapacity is the capacity of the product's policy, its ledger.
type lentCapacity struct{ *grant.Ledger }

func (c lentCapacity) report(backend string, l engine.Load, now time.Time) { c.Report(backend, l, now) }

func (f *coldFleet) tick(i int) {
	f.rig.loop.Every(ledgerPeriod, func() bool {
		if !f.isDown(i) {
			f.send(i, f.ledgers[i].Tick(f.view(i), f.rig.loop.Now()))
		}
		return true
	})
}

func (f *coldFleet) send(from int, out []peer.Outgoing) {
	for _, o := range out {
		// The messages of all hosts joining at once, before the backend servers start, are not counted.
		if f.rig.loop.Now().Sub(f.rig.begin) > coldStartAt {
			f.lendBytes += proto.Size(o.Message)
		}
		to := slices.Index(f.names, o.To)
		f.rig.loop.After(delay(f.rig.hosts[from], f.rig.hosts[to]), func() {
			if !f.isPartitioned(from, to) {
				f.send(to, f.ledgers[to].Receive(f.names[from], o.Message.GetLend(), f.rig.loop.Now()))
			}
		})
	}
}

// recordContacts records which hosts of a failure domain can reach each other, as the failure detector does.
func (f *coldFleet) recordContacts() {
	now := f.rig.loop.Now()
	for i := range f.names {
		for j := range f.names {
			if f.rig.hosts[i] == f.rig.hosts[j] && !f.isPartitioned(i, j) {
				f.lastSeen[[2]int{i, j}] = now
			}
		}
	}
}

func (f *coldFleet) isDown(i int) bool {
	_, down := f.downSince[i]
	return down
}

func (f *coldFleet) isPartitioned(i, j int) bool {
	return f.isDown(i) || f.isDown(j) || f.isolated[i] != f.isolated[j]
}

func (f *coldFleet) isAlive(i, j int) bool {
	return i == j || f.rig.loop.Now().Sub(f.lastSeen[[2]int{i, j}]) < detectionTime
}

// isListed reports whether the platform's list names a host; a host that never ran is not on it.
func (f *coldFleet) isListed(j int) bool {
	now := f.rig.loop.Now()
	if at, down := f.downSince[j]; down {
		return !at.Equal(f.rig.begin) && now.Sub(at) < hostListLag
	}
	return now.Sub(f.joinedAt[j]) >= hostListLag || f.joinedAt[j].Equal(f.rig.begin)
}

// view returns a host's local view, from its failure detector and the platform's list.
func (f *coldFleet) view(i int) grant.HostView {
	v := grant.HostView{Remote: make(map[string][]string), Listed: f.isListed(i)}
	for j, name := range f.names {
		switch {
		case f.rig.hosts[j].domain != f.rig.hosts[i].domain:
			if !f.isDown(j) {
				v.Remote[f.rig.hosts[j].domain] = append(v.Remote[f.rig.hosts[j].domain], name)
			}
			continue
		case f.isAlive(i, j):
			v.Live = append(v.Live, name)
		}
		if j != i && (f.isAlive(i, j) || f.isListed(j)) {
			v.Present = append(v.Present, grant.Host{Name: name})
		}
	}
	return v
}

// live returns the hosts of the backend servers' failure domain that are alive in a host's local view.
func (f *coldFleet) live(i int) []int {
	var list []int
	for j := range f.names {
		if f.rig.hosts[j] != f.rig.engines[0].location || f.isDown(j) && f.rig.hosts[i] != f.rig.hosts[j] {
			continue
		}
		if f.rig.hosts[i] != f.rig.hosts[j] || f.isAlive(i, j) {
			list = append(list, j)
		}
	}
	return list
}

func (f *coldFleet) kill(i int) { f.downSince[i] = f.rig.loop.Now() }

func (f *coldFleet) join(i int) {
	delete(f.downSince, i)
	f.joinedAt[i] = f.rig.loop.Now()
}

// setIsolated partitions the first host from all others, or ends the partition.
func (f *coldFleet) setIsolated(isolated bool) { f.isolated[0] = isolated }

// report passes a load report to the hosts of the backend server's failure domain.
func (f *coldFleet) report(e int, l engine.Load) {
	b := f.rig.engines[e]
	for i := range f.names {
		if f.rig.hosts[i] == b.location && !f.isDown(i) {
			f.capacities[i].report(b.backend.Name, l, f.rig.loop.Now())
		}
	}
	f.fleet.report(e, l)
}

// rampCapacity is the common part of the baselines' capacities.
type rampCapacity struct {
	fleet  *coldFleet
	host   int
	byName map[string]*rampState
}

// rampState is a host's local view of one backend server.
type rampState struct {
	ramp     warm.Ramp
	running  int
	reported int
}

func (r *rampCapacity) state(backend string) *rampState {
	s := r.byName[backend]
	if s == nil {
		s = &rampState{ramp: warm.Ramp{ColdLimit: coldCapacity, WarmLimit: coldMaxBatch}}
		r.byName[backend] = s
	}
	return s
}

// Started counts a start.
func (r *rampCapacity) Started(backend, _ string, _ time.Time) { r.state(backend).running++ }

// Ended counts the end of a start.
func (r *rampCapacity) Ended(backend, _ string, o sched.Outcome, now time.Time) {
	r.state(backend).running--
	r.state(backend).ramp.Ended(o, now)
}

func (r *rampCapacity) report(backend string, l engine.Load, now time.Time) {
	r.state(backend).ramp.Report(l, now)
	r.state(backend).reported = l.Running + l.Waiting
}

// pick returns the host that a backend server's index selects from hosts, or "" if there are none.
func (r *rampCapacity) pick(backend string, hosts []int) string {
	e := slices.IndexFunc(r.fleet.rig.engines, func(b *benchEngine) bool { return b.backend.Name == backend })
	if len(hosts) == 0 {
		return ""
	}
	return r.fleet.names[hosts[e%len(hosts)]]
}

// staticSplit gives each host of the failure domain a fixed part of the limit.
type staticSplit struct{ rampCapacity }

// Owner returns the host itself if it has a part, and otherwise a host that has one.
func (s *staticSplit) Owner(backend string) (string, bool) {
	if s.partIndex() >= 0 {
		return s.fleet.names[s.host], true
	}
	name := s.pick(backend, s.fleet.live(s.host))
	return name, name != ""
}

func (s *staticSplit) hosts() []int {
	var list []int
	for j := range s.fleet.run.hosts {
		if s.fleet.rig.hosts[j] == s.fleet.rig.engines[0].location {
			list = append(list, j)
		}
	}
	return list
}

func (s *staticSplit) partIndex() int { return slices.Index(s.hosts(), s.host) }

// Headroom returns the host's part of the limit less its own running requests.
func (s *staticSplit) Headroom(backend string, now time.Time) int {
	part, n := s.partIndex(), len(s.hosts())
	if part < 0 {
		return 0
	}
	state := s.state(backend)
	return (state.ramp.Limit(now)+n-1-part)/n - state.running
}

// ownerOnly starts all requests through the backend server's owner in each host's local view.
type ownerOnly struct{ rampCapacity }

// Owner picks among the hosts that are alive in this host's local view.
func (o *ownerOnly) Owner(backend string) (string, bool) {
	name := o.pick(backend, o.fleet.live(o.host))
	return name, name != ""
}

// Headroom returns the limit less the owner's own running requests.
func (o *ownerOnly) Headroom(backend string, now time.Time) int {
	if owner, _ := o.Owner(backend); owner != o.fleet.names[o.host] {
		return 0
	}
	return o.state(backend).ramp.Limit(now) - o.state(backend).running
}

// lease is a lease of a backend server in the store.
type lease struct {
	host      int
	expiresAt time.Time
}

// storeLeases gives each backend server to the host that holds its lease in the store.
type storeLeases struct{ rampCapacity }

// Owner returns the holder of the lease; a free lease is taken by the host that would own the backend server.
func (s *storeLeases) Owner(backend string) (string, bool) {
	now := s.fleet.rig.loop.Now()
	l := s.fleet.leases[backend]
	if l != nil && now.Before(l.expiresAt) {
		if !s.fleet.isDown(l.host) && !s.fleet.isolated[l.host] && l.expiresAt.Sub(now) < leaseDuration-leaseRenewPeriod {
			l.expiresAt = now.Add(leaseDuration)
		}
		return s.fleet.names[l.host], true
	}
	// A partitioned host can't reach the store.
	name := s.pick(backend, s.fleet.live(s.host))
	host := slices.Index(s.fleet.names, name)
	if host < 0 || s.fleet.isolated[s.host] || s.fleet.isDown(host) {
		return "", false
	}
	s.fleet.leases[backend] = &lease{host: host, expiresAt: now.Add(leaseDuration)}
	return name, true
}

// Headroom returns the limit less the running requests, counted by the holder or the last load report, whichever is more.
func (s *storeLeases) Headroom(backend string, now time.Time) int {
	if owner, _ := s.Owner(backend); owner != s.fleet.names[s.host] {
		return 0
	}
	state := s.state(backend)
	return state.ramp.Limit(now) - max(state.running, state.reported)
}
