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
	// detectTime is the time after which hosts hold a silent one for dead, listTime the lag of the platform's list.
	detectTime = 4 * time.Second
	listTime   = 6 * time.Second
	// storeLease and storeRenew are the length and the renewal of a lease in the store.
	storeLease = 10 * time.Second
	storeRenew = 3 * time.Second
)

// capacity is a policy's account of starts on one host.
type capacity interface {
	sched.Capacity
	report(backend string, l engine.Load, now time.Time)
}

// coldFleet is a fleet whose hosts can be cut off, die and join, with one account of starts a host.
type coldFleet struct {
	*fleet
	run *coldRun
	// accounts is by host; ledgers is empty but for the product's policy.
	accounts []capacity
	ledgers  []*grant.Ledger
	born     []time.Time
	down     map[int]time.Time
	side     map[int]bool
	heard    map[[2]int]time.Time
	leases   map[string]*storeHolder
	// lendBytes counts the bytes between ledgers.
	lendBytes int
}

func newColdFleet(r *coldRun, policy string, seed uint64) *coldFleet {
	f := &coldFleet{
		run: r, down: make(map[int]time.Time), side: make(map[int]bool),
		heard: make(map[[2]int]time.Time), leases: make(map[string]*storeHolder),
	}
	f.fleet = newFleet(r.rig, seed)
	f.fleet.isCut = f.isCut
	for i := range r.rig.hosts {
		f.born = append(f.born, r.rig.begin)
		f.accounts = append(f.accounts, f.account(policy, i))
		f.fleet.hosts[i].Capacity = f.accounts[i]
		// Shares are not measured here, so digests stay within the failure domain.
		mates := f.mates(i)
		f.fleet.hosts[i].Peers = func() []string { return mates }
	}
	if r.variant == coldJoin {
		f.down[r.hosts] = r.rig.begin
	}
	r.rig.loop.Every(ledgerPeriod/2, func() bool {
		f.hear()
		return true
	})
	for i := range f.ledgers {
		// Hosts do not tick at one moment.
		r.rig.loop.After(time.Duration(i)*ledgerPeriod/time.Duration(len(f.ledgers)), func() { f.tick(i) })
	}
	return f
}

// mates returns the other hosts of a host's failure domain.
func (f *coldFleet) mates(i int) []string {
	var list []string
	for j, name := range f.names {
		if j != i && f.rig.hosts[j] == f.rig.hosts[i] {
			list = append(list, name)
		}
	}
	return list
}

func (f *coldFleet) account(policy string, host int) capacity {
	base := ramps{fleet: f, host: host, byName: make(map[string]*rampState)}
	switch policy {
	case policyStatic:
		return &staticSplit{base}
	case policyLease:
		return &storeLeases{base}
	case policyOwner:
		return &ownerOnly{base}
	}
	l := &grant.Ledger{Self: f.names[host], Domain: f.rig.hosts[host].domain, Incarnation: uint64(host) + 1, Period: ledgerPeriod}
	l.SetBackends(grant.Backends(f.rig.view))
	f.ledgers = append(f.ledgers, l)
	return lentCapacity{l}
}

// lentCapacity is the product's ledger.
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
		// The joining of all hosts at once, before the backend servers start, is not counted.
		if f.rig.loop.Now().Sub(f.rig.begin) > coldLead {
			f.lendBytes += proto.Size(o.Message)
		}
		to := slices.Index(f.names, o.To)
		f.rig.loop.After(delay(f.rig.hosts[from], f.rig.hosts[to]), func() {
			if !f.isCut(from, to) {
				f.send(to, f.ledgers[to].Receive(f.names[from], o.Message.GetLend(), f.rig.loop.Now()))
			}
		})
	}
}

// hear notes who hears whom, as the failure detector does.
func (f *coldFleet) hear() {
	now := f.rig.loop.Now()
	for i := range f.names {
		for j := range f.names {
			if f.rig.hosts[i] == f.rig.hosts[j] && !f.isCut(i, j) {
				f.heard[[2]int{i, j}] = now
			}
		}
	}
}

func (f *coldFleet) isDown(i int) bool {
	_, down := f.down[i]
	return down
}

func (f *coldFleet) isCut(i, j int) bool { return f.isDown(i) || f.isDown(j) || f.side[i] != f.side[j] }

func (f *coldFleet) isFresh(i, j int) bool {
	return i == j || f.rig.loop.Now().Sub(f.heard[[2]int{i, j}]) < detectTime
}

// isListed reports whether the platform's list names a host; a host that never ran is not on it.
func (f *coldFleet) isListed(j int) bool {
	now := f.rig.loop.Now()
	if at, down := f.down[j]; down {
		return !at.Equal(f.rig.begin) && now.Sub(at) < listTime
	}
	return now.Sub(f.born[j]) >= listTime || f.born[j].Equal(f.rig.begin)
}

// view is what one host's failure detector and the platform's list show it.
func (f *coldFleet) view(i int) grant.HostView {
	v := grant.HostView{Remote: make(map[string][]string), Listed: f.isListed(i)}
	for j, name := range f.names {
		switch {
		case f.rig.hosts[j].domain != f.rig.hosts[i].domain:
			if !f.isDown(j) {
				v.Remote[f.rig.hosts[j].domain] = append(v.Remote[f.rig.hosts[j].domain], name)
			}
			continue
		case f.isFresh(i, j):
			v.Live = append(v.Live, name)
		}
		if j != i && (f.isFresh(i, j) || f.isListed(j)) {
			v.Present = append(v.Present, grant.Host{Name: name})
		}
	}
	return v
}

// live returns the hosts of the failure domain with backend servers that a host holds for live.
func (f *coldFleet) live(i int) []int {
	var list []int
	for j := range f.names {
		if f.rig.hosts[j] != f.rig.engines[0].place || f.isDown(j) && f.rig.hosts[i] != f.rig.hosts[j] {
			continue
		}
		if f.rig.hosts[i] != f.rig.hosts[j] || f.isFresh(i, j) {
			list = append(list, j)
		}
	}
	return list
}

func (f *coldFleet) kill(i int) { f.down[i] = f.rig.loop.Now() }

func (f *coldFleet) join(i int) {
	delete(f.down, i)
	f.born[i] = f.rig.loop.Now()
}

// split cuts the first host of the failure domain off from the others, or heals the cut.
func (f *coldFleet) split(cut bool) { f.side[0] = cut }

// report gives a load report to the hosts of the backend server's failure domain.
func (f *coldFleet) report(e int, l engine.Load) {
	b := f.rig.engines[e]
	for i := range f.names {
		if f.rig.hosts[i] == b.place && !f.isDown(i) {
			f.accounts[i].report(b.backend.Name, l, f.rig.loop.Now())
		}
	}
	f.fleet.report(e, l)
}

// ramps is what the baselines' accounts have in common.
type ramps struct {
	fleet  *coldFleet
	host   int
	byName map[string]*rampState
}

// rampState is one backend server as one host's account sees it.
type rampState struct {
	ramp    warm.Ramp
	running int
	seen    int
}

func (r *ramps) of(backend string) *rampState {
	s := r.byName[backend]
	if s == nil {
		s = &rampState{ramp: warm.Ramp{Cold: coldBears, Max: coldBatch}}
		r.byName[backend] = s
	}
	return s
}

// Started counts a start.
func (r *ramps) Started(backend, _ string, _ time.Time) { r.of(backend).running++ }

// Ended counts the end of a start.
func (r *ramps) Ended(backend, _ string, o sched.Outcome, now time.Time) {
	r.of(backend).running--
	r.of(backend).ramp.Ended(o, now)
}

func (r *ramps) report(backend string, l engine.Load, now time.Time) {
	r.of(backend).ramp.Report(l, now)
	r.of(backend).seen = l.Running + l.Waiting
}

func (r *ramps) pick(backend string, hosts []int) string {
	e := slices.IndexFunc(r.fleet.rig.engines, func(b *benchEngine) bool { return b.backend.Name == backend })
	if len(hosts) == 0 {
		return ""
	}
	return r.fleet.names[hosts[e%len(hosts)]]
}

// staticSplit gives each host of the failure domain a fixed part of the limit.
type staticSplit struct{ ramps }

// Owner returns the host itself where it has a part.
func (s *staticSplit) Owner(backend string) (string, bool) {
	if s.part() >= 0 {
		return s.fleet.names[s.host], true
	}
	name := s.pick(backend, s.fleet.live(s.host))
	return name, name != ""
}

func (s *staticSplit) hosts() []int {
	var list []int
	for j := range s.fleet.run.hosts {
		if s.fleet.rig.hosts[j] == s.fleet.rig.engines[0].place {
			list = append(list, j)
		}
	}
	return list
}

func (s *staticSplit) part() int { return slices.Index(s.hosts(), s.host) }

// Room returns the host's part of the limit less its own starts.
func (s *staticSplit) Room(backend string, now time.Time) int {
	part, n := s.part(), len(s.hosts())
	if part < 0 {
		return 0
	}
	state := s.of(backend)
	return (state.ramp.Limit(now)+n-1-part)/n - state.running
}

// ownerOnly sends all starts through the host that each sees as owner.
type ownerOnly struct{ ramps }

// Owner picks among the hosts that this host holds for live.
func (o *ownerOnly) Owner(backend string) (string, bool) {
	name := o.pick(backend, o.fleet.live(o.host))
	return name, name != ""
}

// Room returns the limit less the owner's own starts.
func (o *ownerOnly) Room(backend string, now time.Time) int {
	if owner, _ := o.Owner(backend); owner != o.fleet.names[o.host] {
		return 0
	}
	return o.of(backend).ramp.Limit(now) - o.of(backend).running
}

// storeHolder is a lease in the store.
type storeHolder struct {
	host  int
	until time.Time
}

// storeLeases gives each backend server to the host that holds its lease in the store.
type storeLeases struct{ ramps }

// Owner returns the holder of the lease; a free lease is taken by the host that would own the backend server.
func (s *storeLeases) Owner(backend string) (string, bool) {
	now := s.fleet.rig.loop.Now()
	l := s.fleet.leases[backend]
	if l != nil && now.Before(l.until) {
		if !s.fleet.isDown(l.host) && !s.fleet.side[l.host] && l.until.Sub(now) < storeLease-storeRenew {
			l.until = now.Add(storeLease)
		}
		return s.fleet.names[l.host], true
	}
	// A host that is cut off can't reach the store.
	name := s.pick(backend, s.fleet.live(s.host))
	host := slices.Index(s.fleet.names, name)
	if host < 0 || s.fleet.side[s.host] || s.fleet.isDown(host) {
		return "", false
	}
	s.fleet.leases[backend] = &storeHolder{host: host, until: now.Add(storeLease)}
	return name, true
}

// Room returns the limit less the starts that the holder or the last load report knows of.
func (s *storeLeases) Room(backend string, now time.Time) int {
	if owner, _ := s.Owner(backend); owner != s.fleet.names[s.host] {
		return 0
	}
	state := s.of(backend)
	return state.ramp.Limit(now) - max(state.running, state.seen)
}
