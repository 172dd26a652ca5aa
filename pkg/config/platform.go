package config

import "net/netip"

// Platform holds the settings of a host that runs on the users' platform, where operators write the table and the
// failure domains that are out into the platform's store and backend servers register themselves in it.
type Platform struct {
	// Ready is the address that answers the platform's readiness checks.
	Ready netip.AddrPort `json:"ready"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `json:"regions"`
	// KeyAge is the age of the table beyond which keys are refused, since they may have been revoked; 0 means no limit.
	KeyAge Duration `json:"key_age"`
	// TableApply is the time from the store's confirmation of a table until every host must use it; 0 means no bound.
	TableApply Duration `json:"table_apply"`
	// ServerApply is the time from the store's confirmation that a backend server leaves until no host may send to it; 0 means no bound.
	ServerApply Duration `json:"server_apply"`
	// RetryRatio and RetryExtra are the retry budget of a service over all hosts: in any RetryWindow at most RetryRatio
	// retries for each request, plus RetryExtra.
	RetryRatio  float64  `json:"retry_ratio"`
	RetryExtra  float64  `json:"retry_extra"`
	RetryWindow Duration `json:"retry_window"`
	// Grace is the time from the stop signal to the end of the process.
	Grace Duration `json:"grace"`
	// Seeds are the addresses of hosts through which a starting host finds the others; some may be stale or down. Only
	// their IP addresses are used: all hosts of a deployment have the same port in `peers`.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// Cores is the host's CPU share; the hosts with the largest share read the store for the others.
	Cores float64 `json:"cores"`
	// MemoryMB is the memory limit of the process in megabytes.
	MemoryMB int64 `json:"memory_mb"`
	// EvenLoad places requests by loads that are read by their age, each backend server's present speed and the trend of the failure
	// domains' loads.
	EvenLoad bool `json:"even_load,omitempty"`
	// FairShares shares the requests that start among workspaces, over all hosts, and orders them by urgency; plain requests wait for
	// free slots as streams wait for engines.
	FairShares bool `json:"fair_shares,omitempty"`
	// Rollout switches on roll-outs of new versions of backend servers, which operators order in the platform's store.
	Rollout *Rollout `json:"rollout,omitempty"`
}

// Rollout bounds what a version that turns out to be bad may receive.
type Rollout struct {
	// Share is the part of a service's requests, over all hosts and the time of the order, that a bad version may get, and Tolerance the
	// number of requests in addition.
	Share     float64 `json:"share"`
	Tolerance int     `json:"tolerance"`
	// Revert is the time after its 50th bad answer from which it gets none.
	Revert Duration `json:"revert"`
}

func (p *Platform) check(c *checker) {
	c.require(p.Ready.IsValid(), "an address and port such as \"10.0.0.1:8080\"", "platform.ready")
	c.require(len(p.Regions) > 0, "each failure domain with its region", "platform.regions")
	c.require(p.KeyAge >= 0, "a duration of zero or more", "platform.key_age")
	c.require(p.TableApply >= 0, "a duration of zero or more", "platform.table_apply")
	c.require(p.ServerApply >= 0, "a duration of zero or more", "platform.server_apply")
	c.require(p.RetryRatio >= 0, "zero or more", "platform.retry_ratio")
	c.require(p.RetryExtra >= 0, "zero or more", "platform.retry_extra")
	c.require(p.RetryWindow > 0, "a positive duration such as \"10s\"", "platform.retry_window")
	c.require(p.Grace > 0, "a positive duration such as \"8s\"", "platform.grace")
	c.require(p.Cores > 0, "a positive number of cores", "platform.cores")
	c.require(p.MemoryMB > 0, "a positive number of megabytes", "platform.memory_mb")
	if r := p.Rollout; r != nil {
		c.require(r.Share > 0 && r.Share <= 1, "a part above 0 and up to 1", "platform.rollout.share")
		c.require(r.Tolerance >= 0, "zero or more", "platform.rollout.tolerance")
		c.require(r.Revert > 0, "a positive duration such as \"5s\"", "platform.rollout.revert")
	}
}
