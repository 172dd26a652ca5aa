// Package sched decides when and on which backend server a request starts.
//
// Core makes the decisions, without clock, goroutines or network; each host has one. On a request's entry, the host
// where it arrives, Core keeps it in a bounded queue and claims a start from the owners of a few backend servers (late
// binding, as in Sparrow); the first grant wins. On the owner of a backend server, Core grants starts to the row of the
// table with the least service so far (virtual token counters, fair serving), as far as the forecast of the engine's
// memory allows. Scheduler runs a Core in a host.
package sched

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// Capacity tracks which host may grant starts on a backend server, and how many.
type Capacity interface {
	// Owner returns the host that grants starts on the backend server; ok is false when none is reachable.
	Owner(backend string) (host string, ok bool)
	// Headroom returns how many more starts this host may grant on the backend server now.
	Headroom(backend string, now time.Time) int
	// Started records that this host granted a start.
	Started(backend, request string, now time.Time)
	// Ended records that a granted start has ended.
	Ended(backend, request string, o Outcome, now time.Time)
}

// Start instructs the host to start a request on a backend server.
type Start struct {
	ID      string
	Backend config.Backend
	// Priority is the priority to pass to the engine.
	Priority int
}

// Refusal instructs the host to refuse a request.
type Refusal struct {
	ID    string
	Error *refuse.Error
}

// Actions are the instructions of a Core to its host.
type Actions struct {
	Starts   []Start
	Refusals []Refusal
	Sends    []peer.Outgoing
}

// Request describes a request to schedule.
type Request struct {
	ID        string
	Workspace string
	Service   string
	// PromptTokens is the length of the prompt in tokens; zero for a plain call.
	PromptTokens int
	// MaxTokens bounds the output; zero for a plain call.
	MaxTokens int
	// PrefixHash identifies the shared part of the prompt; zero means none.
	PrefixHash uint64
	// Deadline is the latest time for the start; zero means none.
	Deadline time.Time
	// Exclude lists the names of backend servers that have failed this request.
	Exclude []string
}

// Result is the way in which a started request ended on a backend server.
type Result int

// The results of a request on one backend server.
const (
	// ResultOK means that the answer was complete.
	ResultOK Result = iota
	// ResultRefused means that the backend server did not accept the request.
	ResultRefused
	// ResultFailed means that the backend server or the connection failed.
	ResultFailed
	// ResultCancelled means that the caller disconnected or the host cancelled the request.
	ResultCancelled
)

// Outcome describes how a started request ended and what it measured on its backend server.
type Outcome struct {
	Result Result
	// Tokens counts the output tokens received.
	Tokens int
	// FirstToken is the time from the start to the first token; zero if none came.
	FirstToken time.Duration
}

// Ticket is the permission to start one request on one backend server.
type Ticket interface {
	// Backend returns the backend server to use.
	Backend() config.Backend
	// Priority returns the priority to pass to the engine.
	Priority() int
	// Progress records the number of output tokens received so far.
	Progress(tokens int)
	// Release returns the permission; it must be called exactly once.
	Release(Outcome)
}
