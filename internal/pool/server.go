// Package pool knows the backend servers, what they are busy with and which of them a request should go to.
package pool

import (
	"net/netip"
	"time"
)

// Server is what the platform says of one backend server.
type Server struct {
	// ID names the backend server; an address may be given to another one later.
	ID       string
	Service  string
	Address  netip.AddrPort
	Domain   string
	Region   string
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the backend server bears little load.
	ColdRemaining time.Duration
	// StartedMS is the start of this incarnation in Unix milliseconds; 0 if unknown.
	StartedMS int64
}

// Load is the work at one backend server that some host has sent there.
type Load struct {
	// Runs is the number of requests in progress.
	Runs int
	// Tokens is the engine memory that the runs and the copies of other runs are expected to need.
	Tokens int
	// Pending is the number of prompt tokens that are not known to be read yet.
	Pending int
}

func (l *Load) add(o Load) {
	l.Runs += o.Runs
	l.Tokens += o.Tokens
	l.Pending += o.Pending
}

// entry is one backend server with what is known of its state.
type entry struct {
	Server

	coldUntil time.Time
	// lapsed is the time at which an entry that vanished beside a store outage is taken as gone; zero otherwise.
	lapsed time.Time
	own    Load
	remote Load
	// strikes counts the failures in a row; suspectUntil keeps new requests away meanwhile.
	strikes      int
	suspectUntil time.Time
	// failing is the decayed share of requests that failed.
	failing float64
	// coldSends are the times of this host's sends within the last second of a cold phase.
	coldSends []time.Time
}

func (e *entry) isCold(now time.Time) bool { return now.Before(e.coldUntil) }

func (e *entry) isSuspect(now time.Time) bool { return now.Before(e.suspectUntil) }

// load is the work of all hosts.
func (e *entry) load() Load {
	l := e.own
	l.add(e.remote)
	return l
}
