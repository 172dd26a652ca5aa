package budget

import (
	"sync"
)

// Shared divides each service's budget of repeated sends over all hosts. It is safe for concurrent use.
type Shared struct {
	// Ratio is the number of repeats that each arrival earns, and Extra the number that all hosts may have saved up together.
	Ratio float64
	Extra float64
	// Hosts returns the number of hosts that the budget is divided by.
	Hosts func() int

	mu       sync.Mutex
	services map[string]*Retry
}

const (
	// margin keeps the sum over all hosts below the bound while their counts of hosts differ.
	margin = 0.85
	// urgentPart of the saved-up repeats is kept for streams that would be lost without one.
	urgentPart = 0.5
)

// Arrived notes a request's first send.
func (s *Shared) Arrived(service string) { s.of(service).Arrived() }

// Allow takes one repeat; urgent repeats may use the part that is kept for them.
func (s *Shared) Allow(service string, urgent bool) bool {
	r := s.of(service)
	if urgent {
		return r.Allow()
	}
	return r.AllowAbove(urgentPart)
}

func (s *Shared) of(service string) *Retry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[string]*Retry)
	}
	r := s.services[service]
	if r == nil {
		r = &Retry{Ratio: margin * s.Ratio}
		s.services[service] = r
	}
	r.setBurst(max(1, int(margin*s.Extra/float64(max(1, s.Hosts())))))
	return r
}
