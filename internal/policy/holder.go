package policy

import (
	"sync"
	"time"
)

// Holder holds the table in force and the time at which it was last confirmed to be the newest.
// Times are readings of a clock that continues while the machine is suspended.
type Holder struct {
	mu          sync.RWMutex
	table       *Table
	confirmedAt time.Duration
}

// PutIfNewer puts a table in force if its version is higher than that of the current one; it reports whether it did.
func (h *Holder) PutIfNewer(t *Table) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil && t.Version <= h.table.Version {
		return false
	}
	h.table = t
	return true
}

// Confirm records that the table in force was the newest at a time; earlier times than the last are ignored.
func (h *Holder) Confirm(at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt = max(h.confirmedAt, at)
}

// View returns the table in force, nil before the first, and the time at which it was last confirmed to be the newest.
func (h *Holder) View() (*Table, time.Duration) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.table, h.confirmedAt
}
