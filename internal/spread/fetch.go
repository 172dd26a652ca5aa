package spread

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

// Store reads, creates and watches objects.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	List(ctx context.Context, prefix string) (object.Listing, error)
	Put(ctx context.Context, key string, value []byte, expect object.Version) (object.Object, error)
	Watch(ctx context.Context, prefix string, after object.Version, each func(object.Event)) error
}

// Reader is the part of the store that Fetch needs.
type Reader interface {
	Get(ctx context.Context, key string) (object.Object, error)
	List(ctx context.Context, prefix string) (object.Listing, error)
	Put(ctx context.Context, key string, value []byte, expect object.Version) (object.Object, error)
}

// FetchResult is the result of one read of the store.
type FetchResult struct {
	// Snapshot is the state from the store's snapshot; its version is zero if none was read.
	Snapshot change.State
	// Entries are the changes after the snapshot or after the host's state, in order.
	Entries []change.Entry
	// Restored counts the changes that the store had lost and that were written back.
	Restored int
	// Forked is true when the store holds a different change under the host's version.
	Forked bool
}

// Fetch reads the changes in the store after have. Accepted changes that the store has lost are written back from kept,
// under the same keys. It takes two calls when nothing is new.
func Fetch(ctx context.Context, s Reader, have change.State, kept func(change.Version) (change.Entry, bool)) (FetchResult, error) {
	var f FetchResult
	var err error
	from := have.Version
	if have.Version == 0 {
		if f.Snapshot, err = readSnapshot(ctx, s); err != nil {
			return f, err
		}
		from = f.Snapshot.Version
	} else if err = f.restoreLost(ctx, s, have, kept); err != nil {
		return f, err
	}
	f.Entries, err = readLog(ctx, s, from+1)
	return f, err
}

func readSnapshot(ctx context.Context, s Reader) (change.State, error) {
	o, err := s.Get(ctx, change.KeySnapshot)
	if errors.Is(err, object.ErrNotFound) {
		return change.State{}, nil
	}
	if err != nil {
		return change.State{}, errors.Wrap(err, "read the snapshot from the store")
	}
	return change.DecodeSnapshot(o.Value)
}

// restoreLost checks that the store still holds the host's last change, and writes back the lost changes if it does not.
func (f *FetchResult) restoreLost(ctx context.Context, s Reader, have change.State, kept func(change.Version) (change.Entry, bool)) error {
	var missing []change.Entry
	for v := have.Version; v > 0; v-- {
		o, err := s.Get(ctx, change.Key(v))
		if err == nil {
			e, err := change.Decode(o.Value)
			f.Forked = err == nil && v == have.Version && e.Change.ID != have.ID
			break
		}
		if !errors.Is(err, object.ErrNotFound) {
			return errors.Wrapf(err, "read change %d", v)
		}
		e, ok := kept(v)
		if !ok {
			// This host no longer keeps the missing changes; with a snapshot, starting hosts don't need them.
			if err := SaveSnapshot(ctx, s, have); err != nil {
				return err
			}
			break
		}
		missing = append(missing, e)
	}
	for i := len(missing) - 1; i >= 0; i-- {
		_, err := s.Put(ctx, change.Key(missing[i].Change.Version), missing[i].Raw, 0)
		if err != nil && !errors.Is(err, object.ErrConflict) {
			return errors.Wrapf(err, "restore change %d", missing[i].Change.Version)
		}
		f.Restored++
	}
	return nil
}

// readLog reads the changes from a version on: one call if there are none, otherwise one more per bucket.
func readLog(ctx context.Context, s Reader, from change.Version) ([]change.Entry, error) {
	_, err := s.Get(ctx, change.Key(from))
	if errors.Is(err, object.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read change %d", from)
	}
	var entries []change.Entry
	for {
		l, err := s.List(ctx, change.Bucket(from))
		if err != nil {
			return nil, errors.Wrap(err, "list changes")
		}
		next := from
		for _, o := range l.Objects {
			e, err := change.Decode(o.Value)
			if err != nil {
				return nil, errors.Wrapf(err, "read %s", o.Key)
			}
			if e.Change.Version == next {
				entries = append(entries, e)
				next++
			}
		}
		if next == from || change.Bucket(next) == change.Bucket(from) {
			return entries, nil
		}
		from = next
	}
}

// SaveSnapshot writes a state to the store as the snapshot from which hosts start, unless it holds one as new.
func SaveSnapshot(ctx context.Context, s Reader, state change.State) error {
	var expect object.Version
	o, err := s.Get(ctx, change.KeySnapshot)
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return errors.Wrap(err, "read the snapshot to replace")
	}
	if err == nil {
		expect = o.Version
		old, err := change.DecodeSnapshot(o.Value)
		if err == nil && old.Version >= state.Version {
			return nil
		}
	}
	raw, err := state.Snapshot()
	if err != nil {
		return err
	}
	if len(raw) > object.MaxValueBytes {
		return errors.Wrapf(change.ErrTooLarge, "snapshot of %d bytes", len(raw))
	}
	_, err = s.Put(ctx, change.KeySnapshot, raw, expect)
	return errors.Wrap(err, "write the snapshot to the store")
}
