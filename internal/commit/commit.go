// Package commit appends changes of the configuration to the log in the object API.
package commit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

const (
	// Timeout is the timeout of one commit.
	Timeout = 10 * time.Second

	// maxRebases is the maximum number of states that one commit bases its change on.
	maxRebases = 8
	// minBackoff and maxBackoff bound the time between two reads of an object whose write is uncertain.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Sentinel errors of a commit.
var (
	// ErrConflict matches a *ConflictError.
	ErrConflict = errors.New("configuration has changed")
	// ErrNotAccepted says that the change was not made.
	ErrNotAccepted = errors.New("change was not accepted")
	// ErrUnknownOutcome matches an *UnknownError.
	ErrUnknownOutcome = errors.New("it is not known whether the change was accepted")
)

// ConflictError says that the request's expected version is not the one in force.
type ConflictError struct {
	Expected change.Version
	// Current is the configuration in force.
	Current change.State
	// Differs lists the edits that the refused request would make on Current.
	Differs []change.Edit
}

// Error returns a message with both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on version %d, but version %d is in force", e.Expected, e.Current.Version)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// UnknownError says that the response to the write was lost and reading the object back did not settle the outcome.
type UnknownError struct {
	ID      string
	Version change.Version
}

// Error returns a message with the change's ID and version.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is not known yet whether change %s was accepted as version %d", e.ID, e.Version)
}

// Is reports whether target is ErrUnknownOutcome.
func (e *UnknownError) Is(target error) bool { return target == ErrUnknownOutcome }

// Store creates and reads objects.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, expect object.Version) (object.Object, error)
}

// Log is the host's replica of the log of changes.
type Log interface {
	// Sync reads the store once and applies new changes.
	Sync(ctx context.Context) error
	// Apply applies accepted changes and announces them to the peers.
	Apply(entries ...change.Entry)
	// SaveSnapshot writes the state in force as the snapshot that starting hosts read first.
	SaveSnapshot(ctx context.Context) error
}

// Request asks for one change.
type Request struct {
	// ID identifies the change; an empty one is replaced by a random one. A request that is repeated with the same ID,
	// through any host, is applied once, as long as the ID is among State.Recent.
	ID       string
	Operator string
	Reason   string
	// Expect is the version that the change is based on; nil bases it on the version in force.
	Expect *change.Version
	// Edit returns the edits for a state; it is called again after a conflict if Expect is nil.
	Edit func(change.State) ([]change.Edit, error)
}

// Result is the result of a request.
type Result struct {
	ID      string         `json:"id"`
	Version change.Version `json:"version"`
	// Changed is false if the state already was as requested.
	Changed bool `json:"changed"`
}

// Committer commits changes of the configuration.
type Committer struct {
	Board *board.Board
	Store Store
	Log   Log
}

// Commit commits one change. The error is ErrConflict, ErrNotAccepted, ErrUnknownOutcome or one that r.Edit returned.
func (c *Committer) Commit(ctx context.Context, r Request) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	if r.ID == "" {
		r.ID = change.NewID()
	}
	for range maxRebases {
		if err := c.Log.Sync(ctx); err != nil {
			return Result{}, errors.Mark(errors.Wrap(err, "read the configuration log"), ErrNotAccepted)
		}
		if v, ok := c.Board.Config.State().VersionOf(r.ID); ok {
			return Result{ID: r.ID, Version: v, Changed: true}, nil
		}
		result, retry, err := c.try(ctx, r)
		if !retry {
			return result, err
		}
	}
	return Result{}, errors.Wrap(ErrNotAccepted, "too many concurrent changes")
}

// Prepare returns an attempt to commit the requested change on top of a state, or nil if there is nothing to change.
// The error is a *ConflictError if the state does not have the expected version.
func Prepare(state change.State, r Request, now time.Time) (*Attempt, error) {
	edits, err := r.Edit(state)
	if err != nil {
		return nil, err
	}
	if r.Expect != nil && *r.Expect != state.Version {
		return nil, &ConflictError{Expected: *r.Expect, Current: state, Differs: edits}
	}
	if len(edits) == 0 {
		return nil, nil
	}
	entry, err := change.Encode(change.Change{
		Version: state.Version + 1, ID: r.ID, Previous: state.ID,
		Operator: r.Operator, At: now.UTC(), Reason: r.Reason, Edits: edits,
	})
	return &Attempt{Entry: entry}, err
}

// try commits the change on top of the state in force; retry reports that another change took the version.
func (c *Committer) try(ctx context.Context, r Request) (result Result, retry bool, err error) {
	state := c.Board.Config.State()
	a, err := Prepare(state, r, time.Now())
	if err != nil {
		return Result{}, false, err
	}
	if a == nil {
		return Result{ID: r.ID, Version: state.Version}, false, nil
	}
	c.run(ctx, a)
	version := a.Entry.Change.Version
	switch a.Outcome() {
	case OutcomeAccepted:
		c.Log.Apply(a.Entry)
		c.saveSnapshot(ctx, version)
		return Result{ID: r.ID, Version: version, Changed: true}, false, nil
	case OutcomeConflict:
		return Result{}, true, nil
	case OutcomeNotAccepted:
		return Result{}, false, errors.Mark(errors.Wrap(a.Err(), "write the change"), ErrNotAccepted)
	default:
		return Result{}, false, &UnknownError{ID: r.ID, Version: version}
	}
}

// run makes the attempt's store calls until its outcome is known or ctx ends.
func (c *Committer) run(ctx context.Context, a *Attempt) {
	key := change.Key(a.Entry.Change.Version)
	backoff := minBackoff
	for a.Next() != StepDone && ctx.Err() == nil {
		if a.Next() == StepPut {
			_, err := c.Store.Put(ctx, key, a.Entry.Raw, 0)
			a.Put(err)
			continue
		}
		a.Get(c.Store.Get(ctx, key))
		if a.Next() == StepDone {
			return
		}
		select {
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// saveSnapshot writes the snapshot at the end of each bucket. Its error is ignored: without a recent snapshot, starting
// hosts only read more of the log.
func (c *Committer) saveSnapshot(ctx context.Context, v change.Version) {
	if v%change.BucketSize == 0 {
		_ = c.Log.SaveSnapshot(ctx)
	}
}
