package budget

import (
	"sync"
	"time"
)

const (
	// safetyMargin keeps the sum over all hosts below the bound while hosts differ in their counts of hosts and arrivals.
	safetyMargin = 0.85
	// nonUrgentShare is the share of the budget for retries that are not urgent; the rest is reserved for streams that
	// would be lost without a retry.
	nonUrgentShare = 0.6
	// pooledShare is the share of the budget of all hosts that are alive up to which each of them may retry; the rest covers
	// retries whose counts have not been received yet.
	pooledShare = 0.7
	// windowSlots is the number of slots in which the sliding window is counted.
	windowSlots = 20
)

// SendCounts holds the numbers of first sends and retries to a service within the window, by one host or several.
type SendCounts struct {
	Arrivals int
	Retries  int
}

// Shared is a retry budget for each service that all hosts share, over a sliding window. Each host may use its share, and
// more while other hosts that are alive leave theirs unused. It is safe for concurrent use.
type Shared struct {
	// Ratio is the number of retries that each arrival adds, Extra the number that all hosts together have in addition.
	Ratio float64
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Hosts returns the number of hosts that share Extra.
	Hosts func() int
	// RemoteCounts returns the sum of the counts of the other hosts that are alive, and their number; nil means none.
	RemoteCounts func(service string) (SendCounts, int)
	// Now returns the time of a monotonic clock.
	Now func() time.Duration

	mu       sync.Mutex
	services map[string]*window
}

// window counts one service's sends in the slots of the sliding window.
type window struct {
	arrivals [windowSlots + 1]int
	retries  [windowSlots + 1]int
	// newestSlot is the number of the current slot.
	newestSlot int64
}

// Arrived records a request's first send.
func (s *Shared) Arrived(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(service)
	w.arrivals[w.newestSlot%(windowSlots+1)]++
}

// Allow takes one retry from the budget; it returns false if there is none. Urgent retries may use the reserve too.
func (s *Shared) Allow(service string, urgent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(service)
	share := 1.0
	if !urgent {
		share = nonUrgentShare
	}
	if !s.fitsLocalBudget(w.count(), share) && !s.fitsPooledBudget(service, w.count(), share) {
		return false
	}
	w.retries[w.newestSlot%(windowSlots+1)]++
	return true
}

// fitsLocalBudget reports whether one more retry stays within this host's share. The first retry in the window always
// does.
func (s *Shared) fitsLocalBudget(own SendCounts, share float64) bool {
	allowed := share * safetyMargin * (s.Ratio*float64(own.Arrivals) + s.Extra/float64(max(1, s.Hosts())))
	return float64(own.Retries+1) <= max(1, allowed)
}

// fitsPooledBudget reports whether one more retry stays within the pooled budget of this host and the others that are
// alive.
func (s *Shared) fitsPooledBudget(service string, own SendCounts, share float64) bool {
	if s.RemoteCounts == nil {
		return false
	}
	others, alive := s.RemoteCounts(service)
	extra := s.Extra * float64(alive+1) / float64(max(1, alive+1, s.Hosts()))
	allowed := share * pooledShare * (s.Ratio*float64(own.Arrivals+others.Arrivals) + extra)
	return float64(own.Retries+others.Retries+1) <= allowed
}

// LocalCounts returns the sends of this host within the window, by service.
func (s *Shared) LocalCounts() map[string]SendCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := make(map[string]SendCounts, len(s.services))
	for service := range s.services {
		own[service] = s.window(service).count()
	}
	return own
}

func (w *window) count() SendCounts {
	var c SendCounts
	for i := range w.arrivals {
		c.Arrivals += w.arrivals[i]
		c.Retries += w.retries[i]
	}
	return c
}

// window returns a service's counts after it cleared expired slots; the caller holds the lock.
func (s *Shared) window(service string) *window {
	if s.services == nil {
		s.services = make(map[string]*window)
	}
	w := s.services[service]
	if w == nil {
		w = &window{}
		s.services[service] = w
	}
	slot := int64(s.Now() / (s.Window / windowSlots))
	for i := max(w.newestSlot+1, slot-windowSlots); i <= slot; i++ {
		w.arrivals[i%(windowSlots+1)], w.retries[i%(windowSlots+1)] = 0, 0
	}
	w.newestSlot = max(w.newestSlot, slot)
	return w
}
