package change

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// State is the configuration after a change; its slices must not be changed in place.
type State struct {
	Version Version `json:"version"`
	// ID is the ID of the last change.
	ID      string          `json:"id"`
	Table   config.Table    `json:"table"`
	Domains []config.Domain `json:"domains"`
	// Recent lists the IDs of the last changes, the last one at the end.
	Recent []string `json:"recent,omitempty"`
}

// recentLength bounds State.Recent.
const recentLength = 256

// VersionOf returns the version of a recent change by its ID.
func (s State) VersionOf(id string) (Version, bool) {
	i := slices.Index(s.Recent, id)
	if i < 0 {
		return 0, false
	}
	return s.Version - Version(len(s.Recent)-1-i), true
}

// Extends reports whether an older state is in the history of this one, as far as Recent reaches back.
func (s State) Extends(older State) bool {
	if older.Version == 0 || s.Version < older.Version {
		return older.Version == 0
	}
	i := len(s.Recent) - 1 - int(s.Version-older.Version)
	return i < 0 || s.Recent[i] == older.ID
}

// Apply returns the state after the next change.
func (s State) Apply(c Change) (State, error) {
	switch {
	case c.Version < s.Version:
		return s, ErrOld
	case c.Version == s.Version && c.ID == s.ID:
		return s, ErrOld
	case c.Version == s.Version:
		return s, errors.Wrapf(ErrFork, "version %d is %s here and %s there", s.Version, s.ID, c.ID)
	case c.Version > s.Version+1:
		return s, ErrGap
	case c.Previous != s.ID:
		return s, errors.Wrapf(ErrFork, "version %d follows %s, not %s", c.Version, c.Previous, s.ID)
	}
	next := s.WithEdits(c.Edits)
	next.Version = c.Version
	next.ID = c.ID
	kept := s.Recent[max(0, len(s.Recent)-recentLength+1):]
	next.Recent = append(slices.Clone(kept), c.ID)
	return next, nil
}

// WithEdits returns the state with the edits made and the same version.
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

// editor edits a copy of a list; it copies at the first edit.
type editor[T any] struct {
	list   []T
	name   func(T) string
	index  map[string]int
	copied bool
}

func newEditor[T any](list []T, name func(T) string) *editor[T] {
	return &editor[T]{list: list, name: name}
}

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

// Snapshot returns the encoded state, compressed when it is large.
func (s State) Snapshot() ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return pack(text)
}

// DecodeSnapshot reads an encoded state.
func DecodeSnapshot(raw []byte) (State, error) {
	text, err := unpack(raw)
	if err != nil {
		return State{}, err
	}
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, errors.Mark(errors.Wrap(err, "decode snapshot"), ErrDecode)
	}
	if s.Version == 0 != (s.ID == "") {
		return State{}, errors.Wrap(ErrDecode, "snapshot has a version or an ID alone")
	}
	return s, nil
}
