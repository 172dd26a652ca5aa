package policy

import (
	"sync"
	"time"
)

// Holder keeps the table in force and the time at which it was last known to be the newest.
// Times are readings of a clock that goes on while the machine is suspended.
type Holder struct {
	mu    sync.RWMutex
	table *Table
	fresh time.Duration
}

// Offer puts a table in force unless a newer one is; it reports whether the table in force changed.
func (h *Holder) Offer(t *Table) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil && t.Version <= h.table.Version {
		return false
	}
	h.table = t
	return true
}

// Confirm notes that the table in force was the newest at a moment.
func (h *Holder) Confirm(at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh = max(h.fresh, at)
}

// View returns the table in force, nil before the first, and the moment at which it was last known to be the newest.
func (h *Holder) View() (*Table, time.Duration) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.table, h.fresh
}
