// Package pool keeps the backend servers and their loads, and chooses the backend server for each request.
package pool

import (
	"math"
	"net/netip"
	"time"
)

// Server is a backend server as registered at the platform.
type Server struct {
	// ID identifies the backend server; its address may be reused by another one later.
	ID      string
	Service string
	// Version is the version of the backend server's software; empty unless roll-outs are switched on.
	Version  string
	Address  netip.AddrPort
	Domain   string
	Region   string
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the backend server sustains only a low request rate.
	ColdRemaining time.Duration
	// StartedMS is the start time of this incarnation in Unix milliseconds; 0 if unknown.
	StartedMS int64
	// Sequence rises with what the server writes about itself in this incarnation; 0 if unknown.
	Sequence int64
}

// Load is the work of one or several hosts at one backend server.
type Load struct {
	// Runs is the number of requests in progress.
	Runs int
	// Tokens is the engine memory, in tokens, that runs and copies of other runs are expected to need.
	Tokens int
	// PendingPromptTokens is the number of prompt tokens whose prefill is not known to be done.
	PendingPromptTokens int
}

func (l *Load) add(o Load) {
	l.Runs += o.Runs
	l.Tokens += o.Tokens
	l.PendingPromptTokens += o.PendingPromptTokens
}

// entry is a backend server with its state in this host's local view.
type entry struct {
	Server

	coldUntil time.Time
	// removeAt is when an entry that vanished during a store outage is treated as gone; zero otherwise.
	removeAt time.Time
	local    Load
	remote   Load
	// consecutiveFailures counts connection failures in a row; until suspectUntil the backend server is chosen last.
	consecutiveFailures int
	suspectUntil        time.Time
	// failureRate is the moving average of failed requests, from 0 to 1, as of outcomeAt.
	failureRate float64
	outcomeAt   time.Time
	// coldSends are the times of this host's sends within the last second, while the backend server is cold.
	coldSends []time.Time
	slowness  slowness
	// turn orders the choices without a view of the other hosts' loads; hasTurn is set with the first of them.
	turn    float64
	hasTurn bool
}

// failureRateAt returns the failure rate at a time. It falls while there are no outcomes: a server that gets no requests because it
// has failed must get some again.
func (e *entry) failureRateAt(now time.Time) float64 {
	if e.failureRate == 0 {
		return 0
	}
	return e.failureRate * math.Exp2(-max(0, now.Sub(e.outcomeAt).Seconds())/failureHalfLife.Seconds())
}

// recordOutcome adds the outcome of a request, 1 for a failure and 0 for an answer.
func (e *entry) recordOutcome(outcome float64, now time.Time) {
	rate := e.failureRateAt(now)
	e.failureRate, e.outcomeAt = rate+failureWeight*(outcome-rate), now
}

func (e *entry) isCold(now time.Time) bool { return now.Before(e.coldUntil) }

func (e *entry) isSuspect(now time.Time) bool { return now.Before(e.suspectUntil) }

// load returns the load by all hosts.
func (e *entry) load() Load {
	l := e.local
	l.add(e.remote)
	return l
}
