package board

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// HostState is what a host holds of another.
type HostState int

// The states of a host; a later one overrides an earlier one of the same incarnation.
const (
	HostUnknown HostState = iota
	HostLive
	HostSuspect
	HostLeaving
	// HostLost is a host that was not heard for long; it may still run, cut off from this one.
	HostLost
	// HostDead is a host that has ended, by its own word or the platform's list.
	HostDead
)

// Host is one entry host.
type Host struct {
	Name        string
	Domain      string
	Region      string
	Address     netip.AddrPort
	Incarnation uint64
	State       HostState
	// LastSeen is the last time at which a sign of life came, straight or through others.
	LastSeen time.Time
}

// Hosts is the table of entry hosts; its zero value is empty.
type Hosts struct {
	mu   sync.RWMutex
	byName map[string]Host
}

// Put replaces what is known of one host.
func (h *Hosts) Put(one Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byName == nil {
		h.byName = make(map[string]Host)
	}
	h.byName[one.Name] = one
}

// Remove forgets a host.
func (h *Hosts) Remove(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byName, name)
}

// Get returns one host.
func (h *Hosts) Get(name string) (Host, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	one, ok := h.byName[name]
	return one, ok
}

// All returns all hosts, sorted by name.
func (h *Hosts) All() []Host {
	h.mu.RLock()
	defer h.mu.RUnlock()
	list := make([]Host, 0, len(h.byName))
	for _, one := range h.byName {
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Live returns the hosts of a failure domain that may hold duties: live or suspected ones, sorted by name.
func (h *Hosts) Live(domain string) []Host {
	return slices.DeleteFunc(h.All(), func(one Host) bool {
		return one.Domain != domain || one.State != HostLive && one.State != HostSuspect
	})
}

// IsGone reports whether one incarnation of a host is known to have ended.
func (h *Hosts) IsGone(name string, incarnation uint64) bool {
	one, ok := h.Get(name)
	return ok && (one.Incarnation > incarnation || one.Incarnation == incarnation && one.State == HostDead)
}
