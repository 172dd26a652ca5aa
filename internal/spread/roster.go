package spread

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/board"
)

// relaysPerDomain is the number of hosts per failure domain that watch the store and relay changes.
const relaysPerDomain = 3

// roster determines which hosts relay changes to which, from one host's local view of the others.
type roster struct {
	self   string
	domain string
	// members are the other hosts of the own failure domain, sorted by name.
	members []string
	// relays are the relays of each failure domain, best rank first.
	relays map[string][]string
	// domains are the names of the other failure domains, sorted.
	domains []string
}

// newRoster ranks hosts by rendezvous hashing, so that hosts with the same view agree without messages.
func newRoster(self, domain string, hosts []board.Host) roster {
	r := roster{self: self, domain: domain, relays: make(map[string][]string)}
	byDomain := map[string][]string{domain: {self}}
	for _, h := range hosts {
		if h.Name == self || h.State != board.HostLive && h.State != board.HostSuspect {
			continue
		}
		byDomain[h.Domain] = append(byDomain[h.Domain], h.Name)
		if h.Domain == domain {
			r.members = append(r.members, h.Name)
		}
	}
	for name, list := range byDomain {
		r.relays[name] = rank(name, list)[:min(relaysPerDomain, len(list))]
		if name != domain {
			r.domains = append(r.domains, name)
		}
	}
	slices.Sort(r.members)
	slices.Sort(r.domains)
	return r
}

// rank sorts hosts by their rendezvous weight for a name, highest first.
func rank(name string, hosts []string) []string {
	type ranked struct {
		host   string
		weight uint64
	}
	list := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, ranked{host: h, weight: xxhash.Sum64String(name + "\x00" + h)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.host, b.host))
	})
	sorted := make([]string, 0, len(list))
	for _, r := range list {
		sorted = append(sorted, r.host)
	}
	return sorted
}

// isRelay reports whether this host is a relay, which also watches the store.
func (r *roster) isRelay() bool { return slices.Contains(r.relays[r.domain], r.self) }

// pushTargets returns the members to which this relay pushes changes: the other relays, and those members that rank it
// first among the relays.
func (r *roster) pushTargets() []string {
	relays := r.relays[r.domain]
	var list []string
	for _, m := range r.members {
		if slices.Contains(relays, m) || rank(m, relays)[0] == r.self {
			list = append(list, m)
		}
	}
	return list
}

// gateways returns one relay of each other failure domain; senders are distributed over the relays by their names.
func (r *roster) gateways() []string {
	list := make([]string, 0, len(r.domains))
	for _, d := range r.domains {
		list = append(list, rank(r.self, r.relays[d])[0])
	}
	return list
}
