package member

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

// ApplyHostList joins the platform's list with what is known; an older list than the last one is ignored.
func (m *Member) ApplyHostList(list object.HostList, now time.Time) {
	m.init(now)
	if list.AsOf.Before(m.listed.AsOf) {
		return
	}
	m.listed = list
	here := make(map[string]bool)
	count := make(map[string]int)
	for _, h := range list.Hosts {
		if h.Domain != m.Self.Domain {
			m.listRemote(h, count)
			continue
		}
		here[h.Name] = true
		m.listLocal(h, now)
	}
	for name, r := range m.known {
		switch {
		case here[name]:
			r.absent = time.Time{}
		case r.absent.IsZero() && list.AsOf.After(r.host.Heard.Add(m.Period)):
			r.absent = now
		}
		m.confirm(r, now)
	}
}

// confirm takes a lost host that the platform does not list for dead.
func (m *Member) confirm(r *record, now time.Time) {
	if r.host.State != board.HostLost || r.absent.IsZero() {
		return
	}
	h := r.host
	h.State = board.HostDead
	m.set(r, h, m.Self.Name, now)
}

// listLocal adds a host that no heartbeat has named yet; it holds no duty before it is heard.
func (m *Member) listLocal(h object.Host, now time.Time) {
	r := m.known[h.Name]
	if h.Name == m.Self.Name || r != nil && r.host.Address == h.Address {
		return
	}
	if r == nil {
		r = &record{}
		m.known[h.Name] = r
		m.round = append(m.round, h.Name)
	}
	if r.host.State == board.HostLive && r.seen {
		return
	}
	r.host.Host = board.Host{Name: h.Name, Domain: h.Domain, Region: h.Region, Address: h.Address, Incarnation: r.host.Incarnation, State: r.host.State}
	r.since = now
	m.Hosts.Put(r.host.Host)
}

// IsListed reports whether a list that was true at a moment or later names this host.
func (m *Member) IsListed(at time.Time) bool {
	if m.listed.AsOf.Before(at) {
		return false
	}
	return slices.ContainsFunc(m.listed.Hosts, func(h object.Host) bool { return h.Name == m.Self.Name })
}

// IsUnlisted reports whether a list that was true at a moment or later does not name this host.
func (m *Member) IsUnlisted(at time.Time) bool {
	return m.listed.AsOf.After(at) && !m.IsListed(at)
}

// Present returns the other hosts of the failure domain that may still run, sorted by name.
// A host that is lost may still run; it is absent when its own word, or the platform's list too, says so.
func (m *Member) Present() []board.Host {
	var list []board.Host
	for _, r := range m.known {
		if r.host.State == board.HostDead || r.host.State == board.HostUnknown && !r.absent.IsZero() {
			continue
		}
		list = append(list, r.host.Host)
	}
	slices.SortFunc(list, byName)
	return list
}
