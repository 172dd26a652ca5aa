package board

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// RowKey identifies a row of the configuration table.
type RowKey struct {
	Workspace string
	Service   string
}

// View is an immutable snapshot of the configuration in force; its maps must not be modified.
type View struct {
	// Version is the number of the last change in force.
	Version  change.Version
	Table    config.Table
	Services map[string]config.Service
	Backends map[string]config.Backend
	// ByService lists the backend servers of each service, sorted by name.
	ByService map[string][]config.Backend
	Rows      map[RowKey]config.Row
	Domains   map[string]config.Domain
	// Keys maps the hash of a bearer key to its workspace.
	Keys map[string]string
}

// IsOut reports whether operators have taken the failure domain out of service.
func (v *View) IsOut(domain string) bool {
	d, ok := v.Domains[domain]
	return ok && d.State == config.DomainOut
}

// Config is the configuration in force on one host; its zero value is empty.
type Config struct {
	mu    sync.RWMutex
	view  *View
	state change.State
	// objects holds the versions of the objects that Apply put in force.
	objects map[string]object.Version
	// confirmed is the last time at which the store or a peer confirmed that nothing newer exists.
	confirmed time.Time
	changed   chan struct{}
}

// View returns the configuration in force; it is never nil.
func (c *Config) View() *View {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.view == nil {
		return &View{}
	}
	return c.view
}

// State returns the configuration in force with the identity of its last change.
func (c *Config) State() change.State {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state
}

// Advance puts a state in force if its version is higher than the current one, and reports whether it did.
func (c *Config) Advance(next change.State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.Version <= c.state.Version {
		return false
	}
	c.replace(next)
	return true
}

// replace puts a state in force; the caller holds the lock.
func (c *Config) replace(next change.State) {
	c.state = next
	c.view = newView(next)
	if c.changed != nil {
		close(c.changed)
	}
	c.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (c *Config) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Apply puts a whole table or failure domain in force without the change log, for boards that do not follow the store.
// It reports whether the object was newer than the one in force, and returns an error if it can't be decoded.
func (c *Config) Apply(o object.Object) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Version <= c.objects[o.Key] {
		return false, nil
	}
	next := c.state
	switch {
	case o.Key == object.KeyTable:
		t, err := config.ParseTable(o.Value)
		if err != nil {
			return false, errors.Wrapf(err, "apply %s", o.Key)
		}
		next.Table = t
	case strings.HasPrefix(o.Key, object.PrefixDomain):
		var d config.Domain
		if err := json.Unmarshal(o.Value, &d); err != nil {
			return false, errors.Wrapf(err, "apply %s", o.Key)
		}
		next = next.WithEdits([]change.Edit{{To: &change.Item{Domain: &d}}})
	}
	if c.objects == nil {
		c.objects = make(map[string]object.Version)
	}
	c.objects[o.Key] = o.Version
	c.replace(next)
	return true, nil
}

// Confirm records that the configuration in force was the newest one at that time.
func (c *Config) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

// Confirmed returns the last time at which the configuration was confirmed to be the newest one.
func (c *Config) Confirmed() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.confirmed
}

func newView(s change.State) *View {
	t := s.Table
	v := &View{
		Version:   s.Version,
		Table:     t,
		Services:  make(map[string]config.Service, len(t.Services)),
		Backends:  make(map[string]config.Backend, len(t.Backends)),
		ByService: make(map[string][]config.Backend),
		Rows:      make(map[RowKey]config.Row, len(t.Rows)),
		Domains:   make(map[string]config.Domain, len(s.Domains)),
		Keys:      make(map[string]string, len(t.Workspaces)),
	}
	for _, service := range t.Services {
		v.Services[service.Name] = service
	}
	for _, b := range t.Backends {
		v.Backends[b.Name] = b
		v.ByService[b.Service] = append(v.ByService[b.Service], b)
	}
	for _, list := range v.ByService {
		slices.SortFunc(list, func(a, b config.Backend) int { return strings.Compare(a.Name, b.Name) })
	}
	for _, r := range t.Rows {
		v.Rows[RowKey{Workspace: r.Workspace, Service: r.Service}] = r
	}
	for _, d := range s.Domains {
		v.Domains[d.Name] = d
	}
	for _, w := range t.Workspaces {
		for _, h := range w.KeyHashes {
			v.Keys[h] = w.Name
		}
	}
	return v
}
