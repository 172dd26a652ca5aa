// Package policy holds the operators' routing table: routes, services, workspaces and the limits on callers.
package policy

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines whether requests of a route may run more than once.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run several times.
	Idempotent
	// Streaming requests are answered by a series of events and run at most once unless the route is resumable.
	Streaming
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// WeightedService is one service among those that a route splits its requests between, and its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services are the services that the requests are split among, by weight.
	Services []WeightedService
	// Timeout bounds the time until the response is complete.
	Timeout time.Duration
	// LatencyTarget is the maximum time until the response, or a stream's first event, that counts as on time.
	LatencyTarget time.Duration
	// EventGapTarget is the maximum pause between two events of a stream that counts as on time.
	EventGapTarget time.Duration
	// MaxAttempts bounds the number of backend servers that one request may be sent to.
	MaxAttempts int
	// Priority is the rank of the requests, 0 the most urgent.
	Priority int
	// Public routes accept requests without an API key.
	Public bool
	// Resumable streams may be resumed on another backend server from an event's ID.
	Resumable bool
	// Regions lists where the requests may be served; empty means everywhere.
	Regions []string
}

const (
	// minGapTolerance, gapTargets and latencyTargets are how long callers wait for a stream's next event: the longest of a time and of
	// multiples of the route's targets.
	minGapTolerance = 2 * time.Second
	gapTargets      = 8
	latencyTargets  = 4
)

// GapTolerance returns how long callers wait for a stream's first or next event before they leave.
func (r *Route) GapTolerance() time.Duration {
	return max(minGapTolerance, gapTargets*r.EventGapTarget, latencyTargets*r.LatencyTarget)
}

// IsRetryable reports whether a request of the route may run a second time.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// ServiceFor returns the service of one request, or "" if the route has none. The choice depends only on the request's
// ID, so that all hosts split a route in the same way.
func (r *Route) ServiceFor(id string) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	if total <= 0 {
		return r.Services[0].Service
	}
	const buckets = 1 << 20
	point := float64(xxhash.Sum64String(id)%buckets) / buckets * total
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the capacity of an engine's KV cache in tokens.
	MemoryTokens int
	// SupportsMigration and SupportsStandby report whether a run's memory can be copied on demand and continuously.
	SupportsMigration bool
	SupportsStandby   bool
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// CopyTTL is how long an engine keeps a copy after its last part.
	CopyTTL time.Duration
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// ColdPerSecond is the number of requests per second that a cold backend server can sustain; 0 means no limit.
	ColdPerSecond float64
	// Engine is nil for services that don't run a model.
	Engine *Engine
}

// Workspace is a customer; Regions lists where its requests may be served.
type Workspace struct {
	Name    string
	Regions []string
	// Priority replaces the route's priority; nil keeps it.
	Priority *int
}

// Limits are limits on what callers may send.
type Limits struct {
	BodyBytes int64
}

// Table is one version of the operators' table. It is never changed once built.
type Table struct {
	Version  int64
	Services map[string]*Service
	// Keys maps each API key to its workspace; nil means that no route requires a key.
	Keys   map[string]*Workspace
	Limits Limits
	// Document is the table as the store holds it, for other hosts; nil if the store names no era.
	Document []byte

	byHost map[string][]*Route
}

// SetRoutes indexes the routes by host.
func (t *Table) SetRoutes(routes []*Route) {
	t.byHost = make(map[string][]*Route, 4)
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	var match *Route
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (match == nil || len(r.Prefix) > len(match.Prefix)) {
			match = r
		}
	}
	return match
}
