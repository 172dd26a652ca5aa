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

// FetchResult is what one read of the store gave.
type FetchResult struct {
	// Snapshot is a snapshot; its version is zero where none was read.
	Snapshot change.State
	// Entries are the changes after the base or after the host's state, in order.
	Entries []change.Entry
	// Restored counts the changes that the store had lost and got back.
	Restored int
	// Forked says that the store holds another change under the host's version.
	Forked bool
}

// Fetch reads what the store holds beyond have. A store that came back without accepted changes gets
// them back from kept, under the same keys. It takes two calls when nothing is new.
func Fetch(ctx context.Context, s Reader, have change.State, kept func(change.Version) (change.Entry, bool)) (FetchResult, error) {
	var f FetchResult
	var err error
	from := have.Version
	if have.Version == 0 {
		if f.Snapshot, err = readBase(ctx, s); err != nil {
			return f, err
		}
		from = f.Snapshot.Version
	} else if err = f.verify(ctx, s, have, kept); err != nil {
		return f, err
	}
	f.Entries, err = readLog(ctx, s, from+1)
	return f, err
}

func readBase(ctx context.Context, s Reader) (change.State, error) {
	o, err := s.Get(ctx, change.KeyBase)
	if errors.Is(err, object.ErrNotFound) {
		return change.State{}, nil
	}
	if err != nil {
		return change.State{}, errors.Wrap(err, "read snapshot")
	}
	return change.DecodeSnapshot(o.Value)
}

// verify checks that the store still holds the host's last change, and heals the store if it does not.
func (f *FetchResult) verify(ctx context.Context, s Reader, have change.State, kept func(change.Version) (change.Entry, bool)) error {
	var lost []change.Entry
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
			// The missing changes are kept nowhere here; a snapshot carries starting hosts past them.
			if err := SaveSnapshot(ctx, s, have); err != nil {
				return err
			}
			break
		}
		lost = append(lost, e)
	}
	for i := len(lost) - 1; i >= 0; i-- {
		_, err := s.Put(ctx, change.Key(lost[i].Change.Version), lost[i].Raw, 0)
		if err != nil && !errors.Is(err, object.ErrConflict) {
			return errors.Wrapf(err, "restore change %d", lost[i].Change.Version)
		}
		f.Restored++
	}
	return nil
}

// readLog reads the changes from a version on: one call when there are none, then one a bucket.
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

// SaveSnapshot writes a state as the snapshot for starting hosts, unless a newer one is there.
func SaveSnapshot(ctx context.Context, s Reader, state change.State) error {
	var expect object.Version
	o, err := s.Get(ctx, change.KeyBase)
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return errors.Wrap(err, "read snapshot")
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
	_, err = s.Put(ctx, change.KeyBase, raw, expect)
	return errors.Wrap(err, "write snapshot")
}
