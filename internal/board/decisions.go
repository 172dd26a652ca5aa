package board

import (
	"sync"
	"time"
)

const maxDecisions = 4096

// Decision is one step in the life of a request, for operators.
type Decision struct {
	Request string    `json:"request"`
	At      time.Time `json:"at"`
	// Step names what happened: "queued", "placed", "started", "retried", "resumed", "recalled", "refused", "finished".
	Step    string `json:"step"`
	Backend string `json:"backend,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Decisions keeps the last maxDecisions decisions in a ring buffer; its zero value is empty.
type Decisions struct {
	mu   sync.Mutex
	ring []Decision
	next int
}

// Add records a decision; it replaces the oldest one if the ring is full.
func (d *Decisions) Add(one Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ring) < maxDecisions {
		d.ring = append(d.ring, one)
		return
	}
	d.ring[d.next] = one
	d.next = (d.next + 1) % maxDecisions
}

// ForRequest returns the decisions on a request that are still in the ring, oldest first.
func (d *Decisions) ForRequest(request string) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Decision
	for i := range d.ring {
		one := d.ring[(d.next+i)%len(d.ring)]
		if one.Request == request {
			list = append(list, one)
		}
	}
	return list
}
