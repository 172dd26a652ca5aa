// Package objapi is a fake of the platform's object API.
package objapi

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/object"
)

// maxHistory bounds the recorded events; at the bound, the older half is compacted.
const maxHistory = 8192

// Faults are the faults that a Server injects.
type Faults struct {
	// Down refuses every call and ends every watch.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of changes that take effect but get no response.
	LoseAnswers int `json:"lose_answers"`
	// HostLag is the age of the list of hosts that is returned.
	HostLag time.Duration `json:"host_lag"`
	// HostsDown refuses only the list of hosts, which the platform keeps apart from the objects.
	HostsDown bool `json:"hosts_down"`
}

// Counts are the numbers of calls received, including refused ones.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// Memory holds versioned objects and their history in memory; its zero value is ready to use.
type Memory struct {
	mu      sync.Mutex
	version object.Version
	objects map[string]object.Object
	history []object.Event
	changed chan struct{}
}

// Get returns the object with the key, or object.ErrNotFound.
func (m *Memory) Get(key string) (object.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return object.Object{}, object.ErrNotFound
	}
	return o, nil
}

// List returns the objects whose key starts with prefix, sorted by key.
func (m *Memory) List(prefix string) object.Listing {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := object.Listing{Version: m.version}
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l
}

// Put writes the object if its current version is the expected one; 0 stands for no object. Otherwise it returns the
// current object and object.ErrConflict.
func (m *Memory) Put(key string, value []byte, expect object.Version) (object.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != expect {
		return m.objects[key], object.ErrConflict
	}
	m.version++
	o := object.Object{Key: key, Version: m.version, Value: value}
	if m.objects == nil {
		m.objects = make(map[string]object.Object)
	}
	m.objects[key] = o
	m.appendEvent(object.Event{Object: o})
	return o, nil
}

// Delete removes the object if its current version is the expected one; it returns object.ErrNotFound or
// object.ErrConflict otherwise.
func (m *Memory) Delete(key string, expect object.Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return object.ErrNotFound
	}
	if o.Version != expect {
		return object.ErrConflict
	}
	m.version++
	delete(m.objects, key)
	m.appendEvent(object.Event{Object: object.Object{Key: key, Version: m.version}, Deleted: true})
	return nil
}

// Since returns the changes under the prefix after a version, and a channel that is closed at the next change.
// It returns object.ErrCompacted if the history no longer reaches back that far.
func (m *Memory) Since(prefix string, after object.Version) ([]object.Event, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	if len(m.history) > 0 && after+1 < m.history[0].Object.Version {
		return nil, nil, object.ErrCompacted
	}
	var events []object.Event
	start := sort.Search(len(m.history), func(i int) bool { return m.history[i].Object.Version > after })
	for _, e := range m.history[start:] {
		if strings.HasPrefix(e.Object.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, m.changed, nil
}

func (m *Memory) appendEvent(e object.Event) {
	m.history = append(m.history, e)
	if len(m.history) > maxHistory {
		m.history = append([]object.Event(nil), m.history[maxHistory/2:]...)
	}
	if m.changed != nil {
		close(m.changed)
	}
	m.changed = make(chan struct{})
}
