package board

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// HostState is the state of a host in the local view of another one.
type HostState int

// The states of a host; a later one overrides an earlier one of the same incarnation.
const (
	HostUnknown HostState = iota
	HostLive
	HostSuspect
	HostLeaving
	// HostLost is a host that has been unresponsive for long; it may still run behind a network partition.
	HostLost
	// HostDead is a host that has ended, according to its own announcement or the platform's list.
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
	// LastSeen is the last time at which the host was seen alive, directly or through other hosts.
	LastSeen time.Time
}

// Hosts is the table of entry hosts; its zero value is empty.
type Hosts struct {
	mu     sync.RWMutex
	byName map[string]Host
}

// Put adds or replaces a host.
func (h *Hosts) Put(one Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byName == nil {
		h.byName = make(map[string]Host)
	}
	h.byName[one.Name] = one
}

// Remove removes a host.
func (h *Hosts) Remove(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byName, name)
}

// Get returns a host, and false if it is unknown.
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

// Live returns the live and suspect hosts of a failure domain, which may own backend servers, sorted by name.
func (h *Hosts) Live(domain string) []Host {
	return slices.DeleteFunc(h.All(), func(one Host) bool {
		return one.Domain != domain || one.State != HostLive && one.State != HostSuspect
	})
}

// IsGone reports whether an incarnation of a host has certainly ended: it was replaced by a later one or is dead.
func (h *Hosts) IsGone(name string, incarnation uint64) bool {
	one, ok := h.Get(name)
	return ok && (one.Incarnation > incarnation || one.Incarnation == incarnation && one.State == HostDead)
}
