package bench

import (
	"context"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
)

// changeStore is the store for one call, which may read stale data.
type changeStore struct {
	memory *objapi.Memory
	loop   *vtime.Loop
	rig    *changeRig
	stale  bool
	calls  int
}

// isHidden reports whether a stale read misses the object: the base, or one of the last staleVersions changes.
func (s *changeStore) isHidden(key string) bool {
	if !s.stale {
		return false
	}
	for i := range change.Version(staleVersions) {
		if newest := s.rig.newestVersion(); newest > i && key == change.Key(newest-i) {
			return true
		}
	}
	return key == change.KeySnapshot
}

// Get reads one object.
func (s *changeStore) Get(_ context.Context, key string) (object.Object, error) {
	s.calls++
	if s.isHidden(key) {
		return object.Object{}, object.ErrNotFound
	}
	return s.memory.Get(key)
}

// List reads the objects with a prefix.
func (s *changeStore) List(_ context.Context, prefix string) (object.Listing, error) {
	s.calls++
	l := s.memory.List(prefix)
	var visible []object.Object
	for _, o := range l.Objects {
		if !s.isHidden(o.Key) {
			visible = append(visible, o)
		}
	}
	l.Objects = visible
	return l, nil
}

// Put writes one object, records the acceptance of a new version and notifies the watches.
func (s *changeStore) Put(_ context.Context, key string, value []byte, expect object.Version) (object.Object, error) {
	s.calls++
	o, err := s.memory.Put(key, value, expect)
	if err != nil {
		return o, err
	}
	e, err := change.Decode(value)
	if err != nil || key == change.KeySnapshot {
		return o, nil
	}
	if e.Change.Version > s.rig.newestVersion() {
		s.rig.accepted = append(s.rig.accepted, acceptance{version: e.Change.Version, at: s.loop.Now()})
	}
	for _, h := range s.rig.hosts {
		h.notify(e)
	}
	return o, nil
}
