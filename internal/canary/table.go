package canary

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/pool"
)

const (
	// tickInterval is the interval at which servers and evidence are looked at.
	tickInterval = 100 * time.Millisecond
	// capacityPart is the part of the old version's slots that the target needs to take all requests.
	capacityPart = 0.9
	// pastReportTime is how long the outcome of an order is reported to other hosts.
	pastReportTime = 60 * time.Second
)

// Table holds the versions and orders of all services at one host. It is safe for concurrent use. Its exported fields are set before use.
type Table struct {
	Config Config
	// Host, Domain and Incarnation identify this host's lifetime.
	Host, Domain string
	Incarnation  int64
	// Servers returns the backend servers with their loads by all hosts. It is called without the table's lock.
	Servers func() map[pool.Server]pool.Load
	// OnChange is called when a decision must be sent to other hosts without delay; may be nil.
	OnChange func()
	Log      *slog.Logger
	// Now returns the time; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*service
	// rollouts are the orders by name, removed the revisions at which orders disappeared.
	rollouts map[string]*entry
	removed  map[string]int64
	// isSynced is set once the store's orders have been read.
	isSynced bool
	revision uint64
	// coldUntil is when servers that registered as cold count as warm.
	coldUntil map[string]time.Time
}

// entry is an order with what the host needs beside its core.
type entry struct {
	*Rollout

	// since is the revision of the order that the evidence belongs to; reports of earlier ones are about another order.
	since int64
	// lostAt is since when the store, which has come back from a copy, lacks the order; zero while it holds it.
	lostAt time.Time
	// barred are the targets of earlier orders that were not completed.
	barred []string
	// finalAt is when the order ended.
	finalAt time.Time
	speeds  speeds
	// excluded are the target's servers that take no part in the trial.
	excluded []string
	// wantedAt is since when the state wanted has been wanted.
	wanted   State
	wantedAt time.Time
}

// service is what a host knows of a service's versions.
type service struct {
	versions
	present map[string]presence
}

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

// Plan says which versions may run a request. A nil list means any version.
type Plan struct {
	// Versions come first; their servers in Exclude only if no other one takes the request.
	Versions, Exclude []string
	// Fallback are the versions that take the request where those in Versions don't; NeedsNone says that this needs a lack of servers,
	// not only of room.
	Fallback  []string
	NeedsNone bool
}

// Plan returns the versions that may run a request of a service now. tried are the versions that have received it, begun is the one that
// has answered a part of it, if any.
func (t *Table) Plan(name, route, request string, tried []string, begun *string) Plan {
	t.mu.Lock()
	isKnown := t.services[name] != nil
	t.mu.Unlock()
	if !isKnown {
		t.Look()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return Plan{}
	}
	e := t.orderOf(name)
	if e == nil || e.isWithdrawn || e.State() == Reverted {
		return preferring(Plan{Versions: s.served()}, begun)
	}
	target := []string{e.order.Target}
	if e.State() == Completed {
		return preferring(Plan{Versions: append(s.served(), e.order.Target)}, begun)
	}
	old := e.base
	if old == nil {
		old = s.without(e.order.Target)
	}
	if begun != nil {
		return preferring(Plan{Versions: append(slices.Clone(old), e.order.Target)}, begun)
	}
	if !s.hasServers(old) {
		return Plan{Versions: target}
	}
	if e.Assign(request, route, slices.Contains(tried, e.order.Target), t.now()) == Old {
		return Plan{Versions: old}
	}
	p := Plan{Versions: target, Fallback: old, NeedsNone: e.step == stepAll}
	if e.step <= stepQuarter {
		p.Exclude = e.excluded
	}
	return p
}

// preferring moves the version that has begun an answer before the others.
func preferring(p Plan, begun *string) Plan {
	if begun != nil && slices.Contains(p.Versions, *begun) {
		p.Fallback, p.Versions = p.Versions, []string{*begun}
	}
	return p
}

// without returns the versions with servers but one, sorted.
func (s *service) without(version string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.present)), func(v string) bool { return v == version })
}

func (s *service) hasServers(versions []string) bool {
	return slices.ContainsFunc(versions, func(v string) bool { return s.present[v].servers > 0 })
}

// orderOf returns the latest order for a service; the caller holds the lock.
func (t *Table) orderOf(service string) *entry {
	var latest *entry
	for _, e := range t.rollouts {
		if e.order.Service == service && (latest == nil || e.order.Revision > latest.order.Revision) {
			latest = e
		}
	}
	return latest
}

// Arrived counts a request that reached a service.
func (t *Table) Arrived(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.orderOf(service); e != nil {
		e.Arrived()
	}
}

// Look takes the servers as they are and decides.
func (t *Table) Look() {
	servers := t.Servers()
	t.mu.Lock()
	now := t.now()
	present := t.note(servers, now)
	mustTell := false
	for name, s := range t.services {
		if len(present[name]) > 0 || s.present == nil {
			s.present = present[name]
		}
		e := t.orderOf(name)
		s.update(s.present, e.bars, t.isSynced, e.isInForce(), now)
		if e != nil && e.tick(s, servers, now) {
			t.logStep(e)
			t.revision++
			mustTell = true
		}
	}
	t.mu.Unlock()
	if mustTell && t.OnChange != nil {
		t.OnChange()
	}
}

// note notes services, versions and cold servers; the caller holds the lock.
func (t *Table) note(servers map[pool.Server]pool.Load, now time.Time) map[string]map[string]presence {
	if t.services == nil {
		t.services, t.coldUntil = make(map[string]*service), make(map[string]time.Time)
	}
	present := make(map[string]map[string]presence)
	cold := make(map[string]time.Time)
	for s, load := range servers {
		if t.services[s.Service] == nil {
			t.services[s.Service] = &service{}
		}
		if present[s.Service] == nil {
			present[s.Service] = make(map[string]presence)
		}
		p, found := present[s.Service][s.Version]
		p.runs += load.Runs
		if !s.Draining {
			p.servers++
			p.slots += s.Slots
		}
		if !found || s.StartedMS < p.oldest {
			p.oldest = s.StartedMS
		}
		present[s.Service][s.Version] = p
		if s.ColdRemaining > 0 {
			until, known := t.coldUntil[s.ID]
			if !known {
				until = now.Add(s.ColdRemaining)
			}
			cold[s.ID] = until
		}
	}
	t.coldUntil = cold
	return present
}

// isInForce reports whether there is an order that is neither past nor withdrawn.
func (e *entry) isInForce() bool { return e != nil && !e.isWithdrawn && !e.State().IsFinal() }

// bars reports whether an order that is past or has disappeared excludes a version.
func (e *entry) bars(version string) bool {
	switch {
	case e == nil:
		return false
	case slices.Contains(e.barred, version):
		return true
	case e.isWithdrawn || e.State() == Reverted:
		return version == e.order.Target
	case e.State() == Completed:
		return version != e.order.Target && slices.Contains(e.base, version)
	default:
		// While the order is in force, it says which versions get requests.
		return version == e.order.Target
	}
}

// tick updates an order and reports whether its step or state has changed.
func (e *entry) tick(s *service, servers map[pool.Server]pool.Load, now time.Time) bool {
	target := e.order.Target
	if e.isInForce() {
		e.SetBase(slices.DeleteFunc(s.served(), func(v string) bool { return v == target }))
	}
	var old presence
	for _, v := range e.base {
		p := s.present[v]
		old.servers, old.slots, old.runs = old.servers+p.servers, old.slots+p.slots, old.runs+p.runs
	}
	packed := e.pack(servers, now)
	in := Inputs{
		OldServers: old.servers, NewServers: packed, OldRuns: old.runs,
		HasCapacity: float64(s.present[target].slots) >= capacityPart*float64(old.slots),
	}
	if e.step > stepQuarter {
		in.NewServers = s.present[target].servers
	}
	_, hasChanged := e.Tick(in, now)
	if e.State().IsFinal() && e.finalAt.IsZero() {
		e.finalAt = now
	}
	if wanted := e.Wanted(); wanted != e.wanted {
		e.wanted, e.wantedAt = wanted, now
	}
	return hasChanged
}

// pack chooses the target's servers that share the requests while it gets few: as many in each region as give each of them the requests
// that a server of the old version gets, so that both are compared under the same load. During the load test it takes as few as bear
// them. It returns their number.
func (e *entry) pack(servers map[pool.Server]pool.Load, now time.Time) int {
	type region struct {
		target           []pool.Server
		runs, slots, old int
	}
	regions := make(map[string]*region)
	for s, load := range servers {
		isTarget := s.Version == e.order.Target
		if s.Service != e.order.Service || s.Draining || !isTarget && !slices.Contains(e.base, s.Version) {
			continue
		}
		r := regions[s.Region]
		if r == nil {
			r = &region{}
			regions[s.Region] = r
		}
		if !isTarget {
			r.old++
			continue
		}
		r.target, r.runs, r.slots = append(r.target, s), r.runs+load.Runs, r.slots+s.Slots
	}
	e.excluded = nil
	packed := 0
	for _, r := range regions {
		slices.SortFunc(r.target, func(a, b pool.Server) int {
			return cmp.Compare(rankOf(e.order.Name, a.ID), rankOf(e.order.Name, b.ID))
		})
		open := openServers(r.old, e.ratio())
		if e.isLoadTest(now) && len(r.target) > 0 {
			open = loadedServers(r.runs, r.slots/len(r.target))
		}
		open = min(open, len(r.target))
		packed += open
		for _, s := range r.target[open:] {
			e.excluded = append(e.excluded, s.ID)
		}
	}
	return packed
}

func rankOf(order, server string) uint64 { return xxhash.Sum64String(order + "\n" + server) }

// logStep logs a step or decision; the caller holds the lock.
func (t *Table) logStep(e *entry) {
	t.Log.Info("roll-out decided", "rollout", e.order.Name, "target", e.order.Target, "base", e.base, "step", e.step, "decided", e.decided.String(),
		"reason", e.reason, "age", t.now().Sub(e.began), "evidence", e.Summary(), "sources", len(e.sources))
}
