// Package audit reads the audit trail of accepted changes from the change log in the object API.
//
// The log entry of a change is also its audit record, so the trail contains each accepted change exactly once.
package audit

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

// MaxRecords is the maximum number of changes that one call returns.
const MaxRecords = 512

// ErrNotFound says that no change with the ID is among the newest MaxRecords.
var ErrNotFound = errors.New("no such change among the newest ones")

// Store lists objects.
type Store interface {
	List(ctx context.Context, prefix string) (object.Listing, error)
}

// Trail reads the audit trail.
type Trail struct {
	Store Store
}

// Before returns the newest changes below a version, newest first: at most limit, and never more than MaxRecords.
func (t *Trail) Before(ctx context.Context, v change.Version, limit int) ([]change.Change, error) {
	limit = min(limit, MaxRecords)
	var records []change.Change
	for v > 1 && len(records) < limit {
		bucket := change.Bucket(v - 1)
		l, err := t.Store.List(ctx, bucket)
		if err != nil {
			return nil, errors.Wrap(err, "list changes")
		}
		for _, o := range slices.Backward(l.Objects) {
			e, err := change.Decode(o.Value)
			if err != nil {
				return nil, errors.Wrapf(err, "read %s", o.Key)
			}
			if e.Change.Version < v && len(records) < limit {
				records = append(records, e.Change)
			}
		}
		v = (v - 1) / change.BucketSize * change.BucketSize
	}
	return records, nil
}

// Find returns the change with an ID among the newest MaxRecords below a version, or ErrNotFound.
func (t *Trail) Find(ctx context.Context, v change.Version, id string) (change.Change, error) {
	records, err := t.Before(ctx, v, MaxRecords)
	if err != nil {
		return change.Change{}, err
	}
	for _, c := range records {
		if c.ID == id {
			return c, nil
		}
	}
	return change.Change{}, errors.Wrapf(ErrNotFound, "%q", id)
}
