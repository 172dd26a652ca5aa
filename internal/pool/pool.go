package pool

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// minSuspectTime and maxSuspectTime bound how long a backend server is chosen last after a connection failure.
	minSuspectTime = 300 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.1
	// failureHalfLife is the time in which the failure rate of a server without requests falls to a half.
	failureHalfLife = 5 * time.Second
)

// Notices is what backend servers state of themselves: that they leave, and how many requests they take.
type Notices interface {
	// IsLeaving reports whether a backend server's incarnation states that it leaves.
	IsLeaving(server string, startedMS int64) bool
	// Wait returns how long until this host may send one more request to a backend server; 0 if it may send one now.
	Wait(server string, isResumed bool) time.Duration
	// IsLimited reports whether a backend server states a limit.
	IsLimited(server string) bool
	// Sent records a request that is sent to a backend server.
	Sent(server string)
}

// Pool is the table of backend servers. It is safe for concurrent use. Its methods call ColdShare, Notices, Unseen, View,
// OtherStarts and Jitter with the lock held, so these must not call the pool.
type Pool struct {
	// Domain and Region are the failure domain and region of this host.
	Domain string
	Region string
	// ColdShare returns this host's share of the rate limit of a cold backend server, in sends a second; nil means all
	// of it.
	ColdShare func(server string, perSecond float64) float64
	// Notices is what backend servers state of themselves; nil means nothing.
	Notices Notices
	// OnClaim is called after each successful Choose; may be nil.
	OnClaim func()
	// Unseen returns the expected number of claims by other hosts for a service that their loads don't include yet; nil means
	// none.
	Unseen func(service string) float64
	// View returns the age of what this host knows of the loads by other hosts, and false if it has no view of them: their loads
	// are then unknown, not zero. nil means that there are no other hosts. It must not call the pool.
	View func() (age time.Duration, ok bool)
	// EvenLoad chooses servers by loads that are read by their age, by each server's present speed and by the trend of the failure
	// domains' loads.
	EvenLoad bool
	// OtherStarts returns the requests of a service that other hosts start in a second; nil means none.
	OtherStarts func(service string) float64
	// Jitter returns a number from 0 to 1 that makes hosts with equal views choose differently; nil means random.
	Jitter func() float64

	mu      sync.Mutex
	servers map[string]*entry
	// order holds the servers sorted by ID, so that equal states lead to equal choices.
	order     []*entry
	evacuated map[string]bool
	// synced is set once a full list has been read.
	synced bool
	remote map[string]map[string]Load
	// speeds are the learned prefill speeds by service.
	speeds map[string]float64
	// sizes are the mean sizes of requests by service.
	sizes map[string]size
	// usualGaps are the usual gaps between events by service, in milliseconds.
	usualGaps  map[string]float64
	placements Placements
	// lastTurn is the turn of the last choice without a view.
	lastTurn float64
	// serviceTrends are the trends of the failure domains' loads by service.
	serviceTrends map[string]*serviceTrends
}

// Put adds or updates a backend server.
func (p *Pool) Put(s Server, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(s, now)
}

func (p *Pool) put(s Server, now time.Time) {
	if p.servers == nil {
		p.servers = make(map[string]*entry)
	}
	e := p.servers[s.ID]
	if e == nil || e.StartedMS != s.StartedMS && s.StartedMS != 0 {
		e = &entry{Server: s}
		for _, loads := range p.remote {
			e.remote.add(loads[s.ID])
		}
		p.remove(s.ID)
		p.servers[s.ID] = e
		i, _ := p.position(s.ID)
		p.order = slices.Insert(p.order, i, e)
	}
	e.Server, e.removeAt = s, time.Time{}
	e.coldUntil = now.Add(s.ColdRemaining)
}

// Remove removes a backend server at once or, if at is in the future, makes it unavailable from then on unless it is put
// again; a removal time that was set before stays. The delay is for entries that may have expired only because the store was
// unavailable.
func (p *Pool) Remove(id string, at, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.servers[id]; e != nil && at.After(now) {
		if e.removeAt.IsZero() {
			e.removeAt = at
		}
		return
	}
	p.remove(id)
}

// remove deletes a backend server; the caller holds the lock.
func (p *Pool) remove(id string) {
	delete(p.servers, id)
	if i, found := p.position(id); found {
		p.order = slices.Delete(p.order, i, i+1)
	}
}

func (p *Pool) position(id string) (int, bool) {
	return slices.BinarySearchFunc(p.order, id, func(e *entry, id string) int { return cmp.Compare(e.ID, id) })
}

// Replace sets all backend servers from a full list; those not listed are removed as by Remove, but a removal time that
// was set before stays.
func (p *Pool) Replace(list []Server, at, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.synced = true
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		p.put(s, now)
	}
	for id, e := range p.servers {
		if listed[id] {
			continue
		}
		if !at.After(now) {
			p.remove(id)
		} else if e.removeAt.IsZero() {
			e.removeAt = at
		}
	}
}

// HasSynced reports whether a full list of backend servers has been read.
func (p *Pool) HasSynced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.synced
}

// SetEvacuated replaces the set of failure domains that operators have evacuated.
func (p *Pool) SetEvacuated(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = make(map[string]bool, len(domains))
	for _, d := range domains {
		p.evacuated[d] = true
	}
}

// Evacuated returns the failure domains that operators have evacuated, sorted.
func (p *Pool) Evacuated() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.evacuated))
}

// SetRemoteLoads replaces the loads by one other host, by backend server ID.
func (p *Pool) SetRemoteLoads(host string, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.remote == nil {
		p.remote = make(map[string]map[string]Load)
	}
	for id, l := range p.remote[host] {
		if e := p.servers[id]; e != nil {
			e.remote.add(Load{Runs: -l.Runs, Tokens: -l.Tokens, PendingPromptTokens: -l.PendingPromptTokens})
		}
	}
	for id, l := range loads {
		if e := p.servers[id]; e != nil {
			e.remote.add(l)
		}
	}
	if len(loads) == 0 {
		delete(p.remote, host)
	} else {
		p.remote[host] = loads
	}
}

// UpdateRemoteLoads replaces the listed loads of those set under a host's name; a load of zero removes one.
func (p *Pool) UpdateRemoteLoads(host string, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.remote == nil {
		p.remote = make(map[string]map[string]Load)
	}
	before := p.remote[host]
	if before == nil {
		before = make(map[string]Load, len(loads))
		p.remote[host] = before
	}
	for id, l := range loads {
		old := before[id]
		if e := p.servers[id]; e != nil {
			e.remote.add(Load{Runs: l.Runs - old.Runs, Tokens: l.Tokens - old.Tokens, PendingPromptTokens: l.PendingPromptTokens - old.PendingPromptTokens})
		}
		if l == (Load{}) {
			delete(before, id)
		} else {
			before[id] = l
		}
	}
}

// LocalLoads returns the loads by this host, by backend server ID, without those that are zero.
func (p *Pool) LocalLoads() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := make(map[string]Load, len(p.servers))
	for id, e := range p.servers {
		if e.local != (Load{}) {
			own[id] = e.local
		}
	}
	return own
}

// Get returns a backend server if it is available for new requests.
func (p *Pool) Get(id string, now time.Time) (Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.servers[id]
	if e == nil || !p.isAvailable(e, now) {
		return Server{}, false
	}
	return e.Server, true
}

// IsLeaving reports whether a backend server is draining or gone.
func (p *Pool) IsLeaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.servers[id]
	return e == nil || p.isLeaving(e)
}

// isLeaving reports whether a backend server leaves, by its entry or its own answers; the caller holds the lock.
func (p *Pool) isLeaving(e *entry) bool {
	return e.Draining || p.Notices != nil && p.Notices.IsLeaving(e.ID, e.StartedMS)
}

// ServerAt returns the backend server at an address.
func (p *Pool) ServerAt(address netip.AddrPort) (Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.order {
		if e.Address == address {
			return e.Server, true
		}
	}
	return Server{}, false
}

// IsRemovalPending reports whether a backend server's entry vanished during a store outage and is to be removed later.
func (p *Pool) IsRemovalPending(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.servers[id]
	return e != nil && !e.removeAt.IsZero()
}

// PendingPromptTokens returns the prompt tokens whose prefill at a backend server is not done, by all hosts as far as known.
func (p *Pool) PendingPromptTokens(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.servers[id]; e != nil {
		return e.load().PendingPromptTokens
	}
	return 0
}

// Snapshot returns every backend server with its load by all hosts as far as known.
func (p *Pool) Snapshot() map[Server]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[Server]Load, len(p.servers))
	for e := range maps.Values(p.servers) {
		all[e.Server] = e.load()
	}
	return all
}

// isAvailable reports whether a backend server may receive new requests.
func (p *Pool) isAvailable(e *entry, now time.Time) bool {
	if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
		return false
	}
	return !p.isLeaving(e) && !p.evacuated[e.Domain]
}

func (p *Pool) jitter() float64 {
	if p.Jitter != nil {
		return p.Jitter()
	}
	return rand.Float64()
}
