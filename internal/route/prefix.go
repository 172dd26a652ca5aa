package route

import "github.com/tarragonspur/tarragonspur/internal/engine"

// Prefixes is the local view of an engine's cache of prompt prefixes, built from the engine's cache events. After a
// gap in the sequence numbers the view is invalid, and empty, until a snapshot: the list of events from the first one.
// The zero value is an empty cache, valid for events from the first one.
type Prefixes struct {
	cached  map[uint64]struct{}
	last    uint64
	invalid bool
}

// Apply applies events, which are in the order of their sequence numbers.
func (p *Prefixes) Apply(events []engine.CacheEvent) {
	for _, e := range events {
		p.applyOne(e)
	}
}

func (p *Prefixes) applyOne(e engine.CacheEvent) {
	if e.Sequence <= p.last {
		return
	}
	if e.Sequence != p.last+1 {
		p.invalid = true
		clear(p.cached)
	}
	p.last = e.Sequence
	if e.Evicted {
		delete(p.cached, e.Prefix)
		return
	}
	if p.cached == nil {
		p.cached = make(map[uint64]struct{})
	}
	p.cached[e.Prefix] = struct{}{}
}

// Has reports whether the prefix is in the cache by the local view.
func (p *Prefixes) Has(prefix uint64) bool {
	if p.invalid {
		return false
	}
	_, ok := p.cached[prefix]
	return ok
}

// NeedsSnapshot reports whether there was a gap in the events since the last snapshot.
func (p *Prefixes) NeedsSnapshot() bool { return p.invalid }

// After returns the sequence number after which events are wanted; zero requests a snapshot.
func (p *Prefixes) After() uint64 {
	if p.invalid {
		return 0
	}
	return p.last
}

// Snapshot rebuilds the view from all events of the engine since its start or from its present contents.
func (p *Prefixes) Snapshot(events []engine.CacheEvent) {
	*p = Prefixes{}
	for _, e := range events {
		p.last = e.Sequence - 1
		p.applyOne(e)
	}
}
