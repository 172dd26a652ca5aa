// Package epoch tracks the era of the platform's store. The era rises each time the store comes back from a copy that lacks its latest
// changes; revisions are given out again then, so that they identify a state only together with their era.
package epoch

import (
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPast means that an answer belongs to an earlier era than the newest one that is known.
var ErrPast = errors.New("answer belongs to an earlier era of the store")

// Position is a state of the store. Its zero value comes before all states; Era is 0 for a store that names none.
type Position struct {
	Era, Revision int64
}

// IsZero reports whether the position comes before all states.
func (p Position) IsZero() bool { return p == Position{} }

// Latest returns the later of two positions.
func (p Position) Latest(other Position) Position {
	if other.Era > p.Era || other.Era == p.Era && other.Revision > p.Revision {
		return other
	}
	return p
}

// LogValue implements slog.LogValuer: the revision, after the era if there is one.
func (p Position) LogValue() slog.Value {
	if p.Era == 0 {
		return slog.Int64Value(p.Revision)
	}
	return slog.StringValue(strconv.FormatInt(p.Era, 10) + "/" + strconv.FormatInt(p.Revision, 10))
}

// Tracker holds the newest era that a host has learned of. It is safe for concurrent use. Log must be set before use.
type Tracker struct {
	Log *slog.Logger

	mu     sync.Mutex
	newest int64
	// changes counts the changes from one era to another, changedAt is when this host learned of the last one.
	changes   int
	changedAt time.Time
	// onChange are the functions to call at the next change.
	onChange map[*func()]struct{}
}

// Observe takes the era of an answer from the store or from another host. It returns ErrPast if a newer one is known. The first era that
// is learned is no change: nothing has been read before.
func (t *Tracker) Observe(era int64) error {
	t.mu.Lock()
	before := t.newest
	if era <= before {
		t.mu.Unlock()
		if era < before {
			return errors.Wrapf(ErrPast, "era %d, newest %d", era, before)
		}
		return nil
	}
	t.newest = era
	var calls []func()
	if before != 0 {
		t.changes++
		t.changedAt = time.Now()
		for f := range t.onChange {
			calls = append(calls, *f)
		}
	}
	t.mu.Unlock()
	if before != 0 {
		t.Log.Warn("store has come back from a copy", "era", era, "before", before)
	}
	for _, call := range calls {
		call()
	}
	return nil
}

// Newest returns the newest era; 0 if none is known.
func (t *Tracker) Newest() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// Changes returns the number of changes from one era to another, and when this host learned of the last one.
func (t *Tracker) Changes() (int, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes, t.changedAt
}

// OnChange calls f at each change of the era until remove is called. It is called without the tracker's lock and must not block.
func (t *Tracker) OnChange(f func()) (remove func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.onChange == nil {
		t.onChange = make(map[*func()]struct{})
	}
	t.onChange[&f] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.onChange, &f)
	}
}

// revisionBits is the number of an ordinal's lower bits that hold the revision.
const revisionBits = 40

// Ordinal returns a number that orders the positions of all eras; it is the revision itself if the store names no era.
func (p Position) Ordinal() int64 { return p.Era<<revisionBits + p.Revision }

// FromOrdinal returns the position of an ordinal.
func FromOrdinal(ordinal int64) Position {
	return Position{Era: ordinal >> revisionBits, Revision: ordinal & (1<<revisionBits - 1)}
}
