package member

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

// ApplyHostList merges the platform's list into the local view; a list older than the last one is ignored.
func (m *Member) ApplyHostList(list object.HostList, now time.Time) {
	m.init(now)
	if list.AsOf.Before(m.hostList.AsOf) {
		return
	}
	m.hostList = list
	isListed := make(map[string]bool)
	count := make(map[string]int)
	for _, h := range list.Hosts {
		if h.Domain != m.Self.Domain {
			m.addListedContact(h, count)
			continue
		}
		isListed[h.Name] = true
		m.addListedHost(h, now)
	}
	for name, r := range m.records {
		switch {
		case isListed[name]:
			r.unlistedSince = time.Time{}
		case r.unlistedSince.IsZero() && list.AsOf.After(r.host.LastSeen.Add(m.Period)):
			r.unlistedSince = now
		}
		m.confirmDead(r, now)
	}
}

// confirmDead marks a lost host dead if the platform does not list it.
func (m *Member) confirmDead(r *record, now time.Time) {
	if r.host.State != board.HostLost || r.unlistedSince.IsZero() {
		return
	}
	h := r.host
	h.State = board.HostDead
	m.set(r, h, m.Self.Name, now)
}

// addListedHost adds a listed host that no heartbeat has named yet; it owns nothing until it is contacted.
func (m *Member) addListedHost(h object.Host, now time.Time) {
	r := m.records[h.Name]
	if h.Name == m.Self.Name || r != nil && r.host.Address == h.Address {
		return
	}
	if r == nil {
		r = &record{}
		m.records[h.Name] = r
		m.pingOrder = append(m.pingOrder, h.Name)
	}
	if r.host.State == board.HostLive && r.contacted {
		return
	}
	r.host.Host = board.Host{Name: h.Name, Domain: h.Domain, Region: h.Region, Address: h.Address, Incarnation: r.host.Incarnation, State: r.host.State}
	r.since = now
	m.Hosts.Put(r.host.Host)
}

// IsListed reports whether the last platform list is from that time or later and names this host.
func (m *Member) IsListed(at time.Time) bool {
	if m.hostList.AsOf.Before(at) {
		return false
	}
	return slices.ContainsFunc(m.hostList.Hosts, func(h object.Host) bool { return h.Name == m.Self.Name })
}

// IsUnlisted reports whether the last platform list is from after that time and does not name this host.
func (m *Member) IsUnlisted(at time.Time) bool {
	return m.hostList.AsOf.After(at) && !m.IsListed(at)
}

// Present returns the other hosts of the failure domain that may still run, sorted by name.
// A lost host may still run; it is left out once it has announced its end or the platform no longer lists it.
func (m *Member) Present() []board.Host {
	var list []board.Host
	for _, r := range m.records {
		if r.host.State == board.HostDead || r.host.State == board.HostUnknown && !r.unlistedSince.IsZero() {
			continue
		}
		list = append(list, r.host.Host)
	}
	slices.SortFunc(list, byName)
	return list
}
