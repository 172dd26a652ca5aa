package change

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// State is the configuration at a version; its slices must not be modified in place.
type State struct {
	Version Version `json:"version"`
	// ID is the ID of the last change.
	ID      string          `json:"id"`
	Table   config.Table    `json:"table"`
	Domains []config.Domain `json:"domains"`
	// Recent lists the IDs of the most recent changes, oldest first, at most maxRecent.
	Recent []string `json:"recent,omitempty"`
}

// maxRecent limits the length of State.Recent.
const maxRecent = 256

// VersionOf returns the version of the change with an ID, and false if it is not in Recent.
func (s State) VersionOf(id string) (Version, bool) {
	i := slices.Index(s.Recent, id)
	if i < 0 {
		return 0, false
	}
	return s.Version - Version(len(s.Recent)-1-i), true
}

// Extends reports whether an older state is in the history of this one; it assumes so for states older than Recent.
func (s State) Extends(older State) bool {
	if older.Version == 0 || s.Version < older.Version {
		return older.Version == 0
	}
	i := len(s.Recent) - 1 - int(s.Version-older.Version)
	return i < 0 || s.Recent[i] == older.ID
}

// Apply returns the state after the next change. The error is ErrStale, ErrGap or ErrFork if the change is not the next
// one.
func (s State) Apply(c Change) (State, error) {
	switch {
	case c.Version < s.Version:
		return s, ErrStale
	case c.Version == s.Version && c.ID == s.ID:
		return s, ErrStale
	case c.Version == s.Version:
		return s, errors.Wrapf(ErrFork, "version %d is change %s in the state, but the given change is %s", s.Version, s.ID, c.ID)
	case c.Version > s.Version+1:
		return s, ErrGap
	case c.Previous != s.ID:
		return s, errors.Wrapf(ErrFork, "version %d follows change %s, but the state's last change is %s", c.Version, c.Previous, s.ID)
	}
	next := s.WithEdits(c.Edits)
	next.Version = c.Version
	next.ID = c.ID
	kept := s.Recent[max(0, len(s.Recent)-maxRecent+1):]
	next.Recent = append(slices.Clone(kept), c.ID)
	return next, nil
}

// WithEdits returns a copy of the state with the edits applied and the version unchanged.
func (s State) WithEdits(edits []Edit) State {
	services := newEditor(s.Table.Services, func(x config.Service) string { return x.Name })
	workspaces := newEditor(s.Table.Workspaces, func(x config.Workspace) string { return x.Name })
	backends := newEditor(s.Table.Backends, func(x config.Backend) string { return x.Name })
	rows := newEditor(s.Table.Rows, rowName)
	domains := newEditor(s.Domains, func(x config.Domain) string { return x.Name })
	for _, e := range edits {
		from, to := orEmpty(e.From), orEmpty(e.To)
		services.edit(from.Service, to.Service)
		workspaces.edit(from.Workspace, to.Workspace)
		backends.edit(from.Backend, to.Backend)
		rows.edit(from.Row, to.Row)
		domains.edit(from.Domain, to.Domain)
	}
	s.Table.Services = services.list
	s.Table.Workspaces = workspaces.list
	s.Table.Backends = backends.list
	s.Table.Rows = rows.list
	s.Domains = domains.list
	return s
}

func rowName(r config.Row) string { return r.Workspace + "/" + r.Service }

func orEmpty(i *Item) *Item {
	if i == nil {
		return &Item{}
	}
	return i
}

// editor applies edits to a list, which it copies at the first edit.
type editor[T any] struct {
	list   []T
	name   func(T) string
	index  map[string]int
	copied bool
}

func newEditor[T any](list []T, name func(T) string) *editor[T] {
	return &editor[T]{list: list, name: name}
}

// edit replaces, adds or, if to is nil, removes an element.
func (e *editor[T]) edit(from, to *T) {
	if from == nil && to == nil {
		return
	}
	if !e.copied {
		e.list = slices.Clone(e.list)
		e.copied = true
		e.reindex()
	}
	if to == nil {
		e.remove(e.name(*from))
		return
	}
	name := e.name(*to)
	if i, ok := e.index[name]; ok {
		e.list[i] = *to
		return
	}
	e.index[name] = len(e.list)
	e.list = append(e.list, *to)
}

func (e *editor[T]) remove(name string) {
	i, ok := e.index[name]
	if !ok {
		return
	}
	e.list = slices.Delete(e.list, i, i+1)
	e.reindex()
}

func (e *editor[T]) reindex() {
	e.index = make(map[string]int, len(e.list))
	for i, x := range e.list {
		e.index[e.name(x)] = i
	}
}

// Snapshot returns the encoded state, compressed from compressThreshold on.
func (s State) Snapshot() ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return compress(text)
}

// DecodeSnapshot decodes a state that Snapshot encoded; the error is marked ErrDecode.
func DecodeSnapshot(raw []byte) (State, error) {
	text, err := decompress(raw)
	if err != nil {
		return State{}, err
	}
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, errors.Mark(errors.Wrap(err, "decode snapshot"), ErrDecode)
	}
	if s.Version == 0 != (s.ID == "") {
		return State{}, errors.Wrap(ErrDecode, "snapshot must have both a version and an ID, or neither")
	}
	return s, nil
}
