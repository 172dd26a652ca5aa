package object

import (
	"net/netip"
	"time"
)

// Host is an entry host in the platform's list.
type Host struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
	// Leaving says that the platform is about to stop the host.
	Leaving bool `json:"leaving,omitempty"`
}

// HostList is the platform's list of hosts; it lags behind the hosts' actual state.
type HostList struct {
	// AsOf is the time of the list by the platform's clock.
	AsOf  time.Time `json:"as_of"`
	Hosts []Host    `json:"hosts"`
}
