// Package board holds the tables that the controllers of one host share.
//
// Each table has its own lock. Code that needs two tables at once acquires their locks in the order in which
// Board lists them, and holds none of them while it waits.
package board

// Board is the set of shared tables of one host, in lock order.
type Board struct {
	// Config is the configuration in force on this host.
	Config Config
	// Hosts is this host's local view of the entry hosts.
	Hosts Hosts
	// Backends is this host's local view of the backend servers.
	Backends Backends
	// Usage counts what this host serves by row of the configuration table, for operators.
	Usage Usage
	// Decisions are the most recent decisions on requests, for operators.
	Decisions Decisions
	// Process is the state of this host itself.
	Process Process
}
