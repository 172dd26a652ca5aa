package budget

import (
	"sync"
	"time"
)

const (
	// margin keeps the sum over all hosts below the bound while their counts of hosts and arrivals differ.
	margin = 0.85
	// plainPart of the budget is for plain retries; the rest is kept for streams that would be lost without one.
	plainPart = 0.6
	// commonPart of what all heard hosts may spend is open to each of them; the rest covers repeats that are not told yet.
	commonPart = 0.7
	// slots divides the window for counting.
	slots = 20
)

// Count is what one host or several have sent to a service within the window.
type Count struct {
	Arrivals int
	Retries  int
}

// Shared bounds the repeated sends to each service by all hosts together over a sliding window. Each host may spend
// its part of what the window allows, and more while the hosts that it hears leave theirs. It is safe for concurrent use.
type Shared struct {
	// Ratio is the number of repeats that each arrival earns, and Extra the number that all hosts have besides.
	Ratio float64
	Extra float64
	// Window is the span over which the bound holds.
	Window time.Duration
	// Hosts returns the number of hosts that the extra repeats are divided by.
	Hosts func() int
	// RemoteCounts returns what other hosts that are heard have counted for a service, and their number; nil means none.
	RemoteCounts func(service string) (Count, int)
	// Now is the clock, which must not jump.
	Now func() time.Duration

	mu       sync.Mutex
	services map[string]*window
}

// window counts one service's sends by slots of the sliding window.
type window struct {
	arrivals [slots + 1]int
	repeats  [slots + 1]int
	// newest is the number of the slot that is being filled.
	newest int64
}

// Arrived notes a request's first send.
func (s *Shared) Arrived(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(service)
	w.arrivals[w.newest%(slots+1)]++
}

// Allow takes one repeat; urgent repeats may use the part that is kept for them.
func (s *Shared) Allow(service string, urgent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(service)
	part := 1.0
	if !urgent {
		part = plainPart
	}
	if !s.hasOwnRoom(w.count(), part) && !s.hasCommonRoom(service, w.count(), part) {
		return false
	}
	w.repeats[w.newest%(slots+1)]++
	return true
}

// hasOwnRoom reports whether one more repeat stays within this host's part.
func (s *Shared) hasOwnRoom(own Count, part float64) bool {
	allowed := part * margin * (s.Ratio*float64(own.Arrivals) + s.Extra/float64(max(1, s.Hosts())))
	return float64(own.Retries+1) <= max(1, allowed)
}

// hasCommonRoom reports whether one more repeat stays within what this host and those that it hears may spend together.
func (s *Shared) hasCommonRoom(service string, own Count, part float64) bool {
	if s.RemoteCounts == nil {
		return false
	}
	others, heard := s.RemoteCounts(service)
	extra := s.Extra * float64(heard+1) / float64(max(1, heard+1, s.Hosts()))
	allowed := part * commonPart * (s.Ratio*float64(own.Arrivals+others.Arrivals) + extra)
	return float64(own.Retries+others.Retries+1) <= allowed
}

// LocalCounts returns what this host has sent within the window, by service.
func (s *Shared) LocalCounts() map[string]Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := make(map[string]Count, len(s.services))
	for service := range s.services {
		own[service] = s.window(service).count()
	}
	return own
}

func (w *window) count() Count {
	var c Count
	for i := range w.arrivals {
		c.Arrivals += w.arrivals[i]
		c.Retries += w.repeats[i]
	}
	return c
}

// window returns a service's counts with those that have left the window cleared; the caller holds the lock.
func (s *Shared) window(service string) *window {
	if s.services == nil {
		s.services = make(map[string]*window)
	}
	w := s.services[service]
	if w == nil {
		w = &window{}
		s.services[service] = w
	}
	slot := int64(s.Now() / (s.Window / slots))
	for i := max(w.newest+1, slot-slots); i <= slot; i++ {
		w.arrivals[i%(slots+1)], w.repeats[i%(slots+1)] = 0, 0
	}
	w.newest = max(w.newest, slot)
	return w
}
