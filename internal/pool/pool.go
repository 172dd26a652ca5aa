package pool

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// suspectFirst and suspectMax bound how long a backend server that failed gets no new requests.
	suspectFirst = 300 * time.Millisecond
	suspectMax   = 4 * time.Second
	// failureWeight is the weight of the newest outcome in the share of failures.
	failureWeight = 0.1
)

// Pool is the table of backend servers. It is safe for concurrent use; its lock is a leaf.
type Pool struct {
	// Domain and Region are where this host stands.
	Domain string
	Region string
	// ColdShare returns this host's part of a bound on sends a second to a cold backend server.
	ColdShare func(server string, perSecond float64) float64
	// OnClaim is called after each claim for a run; nil means nothing.
	OnClaim func()
	// Jitter spreads hosts that see the same loads; nil means random.
	Jitter func() float64

	mu        sync.Mutex
	servers   map[string]*entry
	evacuated map[string]bool
	// known tells that a full list has been read.
	known  bool
	remote map[string]map[string]Load
}

// Put adds a backend server or what has changed of it.
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
		e = &entry{}
		for _, loads := range p.remote {
			e.remote.add(loads[s.ID])
		}
		p.servers[s.ID] = e
	}
	e.Server, e.lapsed = s, time.Time{}
	e.coldUntil = now.Add(s.ColdRemaining)
}

// Remove takes a backend server as gone, at once or, where its entry may have lapsed because the store was away,
// at a given time unless it is back by then.
func (p *Pool) Remove(id string, at, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.servers[id]; e != nil && at.After(now) {
		e.lapsed = at
		return
	}
	delete(p.servers, id)
}

// Replace sets all backend servers from a full list; those not listed are removed as Remove does.
func (p *Pool) Replace(list []Server, at, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = true
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
			delete(p.servers, id)
		} else if e.lapsed.IsZero() {
			e.lapsed = at
		}
	}
}

// HasSynced reports whether a full list of backend servers has been read.
func (p *Pool) HasSynced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// SetEvacuated replaces the set of failure domains that operators have taken out.
func (p *Pool) SetEvacuated(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = make(map[string]bool, len(domains))
	for _, d := range domains {
		p.evacuated[d] = true
	}
}

// SetRemoteLoads replaces what one other host has sent to the backend servers.
func (p *Pool) SetRemoteLoads(host string, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.remote == nil {
		p.remote = make(map[string]map[string]Load)
	}
	for id, l := range p.remote[host] {
		if e := p.servers[id]; e != nil {
			e.remote.add(Load{Runs: -l.Runs, Tokens: -l.Tokens, Pending: -l.Pending})
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

// LocalLoads returns what this host has sent to the backend servers and what is not done yet.
func (p *Pool) LocalLoads() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := make(map[string]Load, len(p.servers))
	for id, e := range p.servers {
		if e.own != (Load{}) {
			own[id] = e.own
		}
	}
	return own
}

// Get returns a backend server that may take requests now.
func (p *Pool) Get(id string, now time.Time) (Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.servers[id]
	if e == nil || !p.isOpen(e, now) {
		return Server{}, false
	}
	return e.Server, true
}

// IsLeaving reports whether a backend server has announced its end or is gone.
func (p *Pool) IsLeaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.servers[id]
	return e == nil || e.Draining
}

// IsDoubtful reports whether the entry of a backend server has vanished beside an outage of the store.
func (p *Pool) IsDoubtful(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.servers[id]
	return e != nil && !e.lapsed.IsZero()
}

// Pending returns the prompt tokens that a backend server has not read yet, by all hosts as far as known.
func (p *Pool) Pending(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.servers[id]; e != nil {
		return e.load().Pending
	}
	return 0
}

// Snapshot returns every backend server with its load by all hosts.
func (p *Pool) Snapshot() map[Server]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[Server]Load, len(p.servers))
	for e := range maps.Values(p.servers) {
		all[e.Server] = e.load()
	}
	return all
}

// isOpen reports whether new requests may go to a backend server at all.
func (p *Pool) isOpen(e *entry, now time.Time) bool {
	if !e.lapsed.IsZero() && !now.Before(e.lapsed) {
		return false
	}
	return !e.Draining && !p.evacuated[e.Domain]
}

func (p *Pool) jitter() float64 {
	if p.Jitter != nil {
		return p.Jitter()
	}
	return rand.Float64()
}
