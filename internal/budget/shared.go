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
	// slots divides the window for counting.
	slots = 20
)

// Shared bounds the repeated sends to each service by all hosts together over a sliding window. Each host spends
// its part of what the window allows. It is safe for concurrent use.
type Shared struct {
	// Ratio is the number of repeats that each arrival earns, and Extra the number that all hosts have besides.
	Ratio float64
	Extra float64
	// Window is the span over which the bound holds.
	Window time.Duration
	// Hosts returns the number of hosts that the extra repeats are divided by.
	Hosts func() int
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
	arrivals, repeats := 0, 0
	for i := range w.arrivals {
		arrivals += w.arrivals[i]
		repeats += w.repeats[i]
	}
	allowed := margin * (s.Ratio*float64(arrivals) + s.Extra/float64(max(1, s.Hosts())))
	if !urgent {
		allowed *= plainPart
	}
	if float64(repeats+1) > max(1, allowed) {
		return false
	}
	w.repeats[w.newest%(slots+1)]++
	return true
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
