package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/board"
)

const (
	// LeasePrefix followed by a failure domain's name is the name of the lease for sending orders there.
	LeasePrefix = "orders-"
	// LeaseDuration is the duration of that lease.
	LeaseDuration = 15 * time.Second
	// maxCandidates limits the hosts of a failure domain that compete for the lease.
	maxCandidates = 3
)

// IsCandidate reports whether a host competes for the order lease of its failure domain: the domain has an engine
// of a service with orders, and the host is among the first maxCandidates live hosts by rendezvous hashing.
func IsCandidate(b *board.Board, self, domain string) bool {
	if !hasOrders(b.Config.View(), domain) {
		return false
	}
	names := []string{self}
	for _, h := range b.Hosts.Live(domain) {
		if h.Name != self {
			names = append(names, h.Name)
		}
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(name + "/" + domain) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return slices.Index(names, self) < maxCandidates
}

// hasOrders reports whether a failure domain has an engine of a service with orders.
func hasOrders(view *board.View, domain string) bool {
	for _, s := range view.Table.Services {
		if s.Orders == nil {
			continue
		}
		for _, backend := range view.ByService[s.Name] {
			if backend.Domain == domain {
				return true
			}
		}
	}
	return false
}
