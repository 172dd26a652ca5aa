package bench

import (
	"context"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
)

// changeStore is the store as one call sees it.
type changeStore struct {
	memory *objapi.Memory
	loop   *vtime.Loop
	rig    *changeRig
	stale  bool
	calls  int
}

// isHidden reports whether a stale read misses the object: it shows the log without its last changes.
func (s *changeStore) isHidden(key string) bool {
	if !s.stale {
		return false
	}
	for i := range change.Version(staleBehind) {
		if newest := s.rig.newest(); newest > i && key == change.Key(newest-i) {
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

// List reads a prefix.
func (s *changeStore) List(_ context.Context, prefix string) (object.Listing, error) {
	s.calls++
	l := s.memory.List(prefix)
	var seen []object.Object
	for _, o := range l.Objects {
		if !s.isHidden(o.Key) {
			seen = append(seen, o)
		}
	}
	l.Objects = seen
	return l, nil
}

// Put writes one object and tells the watches; it notes the first time that a change is taken.
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
	if e.Change.Version > s.rig.newest() {
		s.rig.accepted = append(s.rig.accepted, acceptance{version: e.Change.Version, at: s.loop.Now()})
	}
	for _, h := range s.rig.hosts {
		h.notify(e)
	}
	return o, nil
}
