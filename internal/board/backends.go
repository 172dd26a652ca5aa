package board

import (
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/engine"
)

// BackendState is one host's local view of a backend server.
type BackendState struct {
	// Load is the last load report, which may be out of date.
	Load engine.Load
	// Reported is the time at which the report arrived; zero means never.
	Reported time.Time
	// Failed is the time of the last failure; zero means none since the last success.
	Failed time.Time
	// Failures counts the failures since the last success.
	Failures int
	// Running counts this host's own requests on the backend server.
	Running int
	// StartedSince counts this host's own starts since the last report.
	StartedSince int
}

// Backends holds the host's local view of each backend server; its zero value is empty.
type Backends struct {
	mu     sync.Mutex
	byName map[string]*BackendState
}

// Get returns the state of a backend server; it is zero for an unknown one.
func (b *Backends) Get(name string) BackendState {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byName[name]; s != nil {
		return *s
	}
	return BackendState{}
}

// Update applies change to the state of a backend server under b's lock, and adds the server if it is unknown.
func (b *Backends) Update(name string, change func(*BackendState)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byName[name]
	if s == nil {
		s = &BackendState{}
		if b.byName == nil {
			b.byName = make(map[string]*BackendState)
		}
		b.byName[name] = s
	}
	change(s)
}
