package config

import (
	"net/netip"
)

// ServiceKind determines the protocol of a service's backend servers.
type ServiceKind string

// The kinds of service.
const (
	// ServiceModel is a service whose backend servers are model engines that stream tokens.
	ServiceModel ServiceKind = "model"
	// ServicePlain is a service whose backend servers answer ordinary HTTP calls.
	ServicePlain ServiceKind = "plain"
)

// Table is the configuration that operators edit: services, workspaces, backend servers, and rows of weights and limits.
type Table struct {
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
	Backends   []Backend   `json:"backends"`
	Rows       []Row       `json:"rows"`
}

// Orders limits the rate and the number of the hosts' orders to a service's engines in each failure domain.
type Orders struct {
	// LoadsPerMinute is the service's share of the weight store's load rate in one failure domain; zero means
	// DefaultLoadsPerMinute.
	LoadsPerMinute float64 `json:"loads_per_minute,omitempty"`
	// AtOnce bounds the engines that carry out an order at the same time; zero means DefaultOrdersAtOnce.
	AtOnce int `json:"at_once,omitempty"`
}

// Defaults of the fields of Orders.
const (
	DefaultLoadsPerMinute = 6
	DefaultOrdersAtOnce   = 2
)

// Service is a named set of interchangeable backend servers.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Model is the name of the model that a model service runs.
	Model string `json:"model,omitempty"`
	// Continuation allows a stream to be resumed, from its delivered prefix, as another generation on another engine.
	Continuation bool `json:"continuation,omitempty"`
	// Routes declares which plain calls may be repeated; a call that no route matches is treated as not repeatable.
	Routes []Route `json:"routes,omitempty"`
	// Orders lets the hosts order the engines to load the declared version, adapters and role; nil forbids it.
	Orders *Orders `json:"orders,omitempty"`
	// Version is the model version that the engines should load; empty means any.
	Version string `json:"version,omitempty"`
	// Adapters are the adapters that the service's engines should load; each engine may have a part of them.
	Adapters []string `json:"adapters,omitempty"`
	// AdapterSlots bounds the adapters loaded on one engine at once; zero means all of them.
	AdapterSlots int `json:"adapter_slots,omitempty"`
	// RefusesBeforeRun guarantees that a backend server of the service that answers with status 503 ran no part of the call.
	RefusesBeforeRun bool `json:"refuses_before_run,omitempty"`
}

// Route declares whether calls to a path of a plain service may be repeated.
type Route struct {
	Method string `json:"method"`
	// Path is a prefix, of whole segments, of the path after the service's name.
	Path string `json:"path"`
	// Repeatable marks calls that are safe to run more than once.
	Repeatable bool `json:"repeatable"`
}

// Workspace is a customer with its own keys.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes holds the SHA-256 of each valid bearer key in lower-case hexadecimal.
	KeyHashes []string `json:"key_hashes"`
}

// Backend is one backend server: a model engine or a server of a plain service.
type Backend struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
	// ChecksFence means that the backend server rejects orders with an outdated fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Role is the role that the engine should have; empty means any.
	Role string `json:"role,omitempty"`
	// MaxRunning bounds the concurrent requests on the backend server once it is warm.
	MaxRunning int `json:"max_running"`
	// ColdRunning bounds the concurrent requests right after the backend server's start; zero means DefaultColdRunning.
	ColdRunning int `json:"cold_running,omitempty"`
	// MemoryTokens is the capacity of the engine's KV cache in tokens; zero for a plain service.
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// Draining takes this backend server alone out of service.
	Draining bool `json:"draining,omitempty"`
}

// Row holds the weight and limits of one workspace at one service.
type Row struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	// Weight is the workspace's share of the service's tokens, relative to other rows of the same service.
	Weight float64 `json:"weight"`
	// Priority orders preemption on an overloaded engine: sequences of lower priority are preempted first.
	Priority int `json:"priority,omitempty"`
	// MaxRunning bounds the workspace's running requests over all hosts; zero means no limit.
	MaxRunning int `json:"max_running,omitempty"`
	// TokensPerSecond bounds the workspace's token rate over all hosts; zero means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// MaxWaiting bounds the workspace's waiting requests on one host; zero means DefaultMaxWaiting.
	MaxWaiting int `json:"max_waiting,omitempty"`
	// MaxOutputTokens bounds one request's output; zero means DefaultMaxOutputTokens.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// Lend lets other workspaces use the share while this workspace is idle.
	Lend bool `json:"lend"`
}

// Defaults of the limits of rows and backend servers.
const (
	DefaultMaxWaiting      = 256
	DefaultMaxOutputTokens = 32768
	DefaultColdRunning     = 1
)

// ColdLimit returns the number of requests that may run at once right after the backend server's start.
func (b Backend) ColdLimit() int {
	if b.ColdRunning == 0 {
		return min(DefaultColdRunning, b.MaxRunning)
	}
	return min(b.ColdRunning, b.MaxRunning)
}

// DomainState says whether a failure domain takes new work.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// Domain is the state that operators have set for one failure domain.
type Domain struct {
	Name   string      `json:"name"`
	Region string      `json:"region"`
	State  DomainState `json:"state"`
}

// ServiceByName returns the named service.
func (t *Table) ServiceByName(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Repeatable reports whether a call to a plain service may run more than once. The first matching route decides; without
// one the call is not repeatable.
func (s Service) Repeatable(method, path string) bool {
	for _, r := range s.Routes {
		if r.Method == method && hasPathPrefix(path, r.Path) {
			return r.Repeatable
		}
	}
	return false
}

// hasPathPrefix reports whether prefix is a prefix of path that ends at a segment boundary.
func hasPathPrefix(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix == "" || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
