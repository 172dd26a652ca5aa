package plat

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// headerEra names the store's era in all answers once it has one.
const headerEra = "Store-Era"

// Copy is a copy of the store's state that it can come back from.
type Copy struct {
	objects     map[string]map[string]object
	history     []event
	revision    int64
	compactedTo int64
	// writes is the number of writes by the operator and the servers at that time.
	writes int
}

// write is one write of the operator or a server, which is made again if the store loses it.
type write struct {
	kind, name string
	spec       json.RawMessage
	isDeleted  bool
}

// NameEras makes the store name its era in all answers, the first one from now on.
func (s *Store) NameEras() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = 1
}

// Era returns the store's era; 0 if it names none.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy copies the store's state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{objects: cloneObjects(s.objects), history: slices.Clone(s.history), revision: s.revision, compactedTo: s.compactedTo, writes: len(s.writes)}
}

// Return makes the store come back from a copy, in the next era. Everything written since the copy is gone and its revisions are given
// out again; calls in progress get no answer.
func (s *Store) Return(c *Copy) {
	s.mu.Lock()
	s.objects, s.history, s.revision, s.compactedTo = cloneObjects(c.objects), slices.Clone(c.history), c.revision, c.compactedTo
	s.era++
	s.notifyWatchers()
	s.mu.Unlock()
	s.CloseClientConnections()
}

// WriteAgain writes again what the operator and the servers have written since a copy: the last state of each object.
func (s *Store) WriteAgain(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := make(map[string]write)
	var order []string
	for _, w := range s.writes[c.writes:] {
		key := w.kind + "/" + w.name
		if _, found := last[key]; !found {
			order = append(order, key)
		}
		last[key] = w
	}
	for _, key := range order {
		w := last[key]
		o, exists := s.objects[w.kind][w.name]
		switch {
		case w.isDeleted:
			s.delete(w.kind, w.name)
		case !exists || !bytes.Equal(o.Spec, w.spec):
			s.put(w.kind, w.name, w.spec)
		}
	}
}

func cloneObjects(objects map[string]map[string]object) map[string]map[string]object {
	cloned := make(map[string]map[string]object, len(objects))
	for kind, byName := range objects {
		cloned[kind] = maps.Clone(byName)
	}
	return cloned
}
