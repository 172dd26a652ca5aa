// Package policy holds the operators' routing table: routes, services, workspaces and the limits on callers.
package policy

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how often a request of a route may run.
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

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services are the services that take the requests, by weight.
	Services []Share
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// LatencyTarget is the time until the answer, or a stream's first event, that earns the full value.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between two events of a stream that is still on time.
	EventGapTarget time.Duration
	// MaxAttempts is the number of backend servers that one request may be sent to.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	// Resumable streams may go on at another backend server from an event's ID.
	Resumable bool
	// Regions lists where the requests may be served; empty means everywhere.
	Regions []string
}

// MayRepeat reports whether a request of the route may run a second time.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// ServiceFor returns the service of one request. The choice depends on the request's ID alone, so that all
// hosts split a route alike.
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
	// MemoryTokens is the number of tokens that an engine's memory holds.
	MemoryTokens int
	// SupportsMigration and SupportsStandby report whether a run's memory can be copied on demand and continuously.
	SupportsMigration bool
	SupportsStandby   bool
	// EventTokens is the number of tokens that one event of a stream holds.
	EventTokens int
	// CopyTTL is how long a copy is kept after its last part.
	CopyTTL time.Duration
}

// Service is a group of backend servers that answer alike.
type Service struct {
	Name string
	// ColdPerSecond is the number of requests a second that a cold backend server bears; 0 means no bound.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is a customer's share of the deployment.
type Workspace struct {
	Name    string
	Regions []string
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes int64
}

// Table is one version of the operators' table. It is never changed once built.
type Table struct {
	Version  int64
	Services map[string]*Service
	// Keys maps each API key to its workspace; nil means that no route asks for a key.
	Keys   map[string]*Workspace
	Limits Limits

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

// Match returns the route of the host whose prefix is the longest that begins the path, or nil.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
