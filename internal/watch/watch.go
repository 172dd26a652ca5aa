// Package watch follows the platform's store: the operators' table, the backend servers and the failure domains
// that operators have evacuated.
package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// retryFirst and retryMax bound the pause after a failed call; all hosts share the store's rate limit.
	retryFirst = 100 * time.Millisecond
	retryMax   = time.Second
	// readerPollInterval is the interval of checks for a host that reads the store for this one; they don't call the store.
	readerPollInterval = 80 * time.Millisecond
	// responseSlack is the default of Follower.Slack, and its value after a failed call: a store that is slow is read late
	// rather than never.
	responseSlack = 2 * time.Second
	// listTimeout bounds a full list; a list from another host may take longer than one from the store.
	listTimeout = 10 * time.Second
)

// Batch is a full list or the changes since a revision, in order.
type Batch[T any] struct {
	At      epoch.Position
	Changed []T
	// Removed are the names of deleted objects; always empty in a list.
	Removed []string
	// Age is an upper bound of the time from the store's confirmation of the batch until the call for it; negative if the store
	// confirmed it during the call.
	Age time.Duration
}

// Source reads one kind of object.
type Source[T any] interface {
	// List returns all objects.
	List(ctx context.Context) (Batch[T], error)
	// Changes waits for changes after a position; it returns an empty batch if there are none within the wait,
	// and mirror.ErrHistoryGone if the history since the position is no longer kept.
	Changes(ctx context.Context, since epoch.Position, wait time.Duration) (Batch[T], error)
}

// Sink receives what was read. Confirmed is a reading of ticks.Now at which the batch was still up to date.
type Sink[T any] interface {
	Replace(b Batch[T], confirmed time.Duration)
	Apply(b Batch[T], confirmed time.Duration)
}

// Follower keeps a sink in sync with one kind of object.
type Follower[T any] struct {
	Kind   string
	Source Source[T]
	Sink   Sink[T]
	// Wait is how long one call waits for changes. It limits how old the last confirmation can get while the
	// store answers.
	Wait time.Duration
	// Slack is added to the wait of a call to give its timeout, unless the call before failed; 0 means 2 s.
	Slack time.Duration
	// BatchDelay is the mean pause after a batch of changes, so that changes in quick succession come in one call.
	BatchDelay time.Duration
	// Health records the outcome of every call to the store.
	Health *Health
	// SyncStatus records whether the sink is in sync; may be nil.
	SyncStatus *SyncStatus
	// HasReader reports whether another host reads the store for this one. A pause ends early when that becomes true. If
	// HasReader is nil, no pause ends early.
	HasReader func() bool
	Log       *slog.Logger
}

// Name returns the controller's name for log lines.
func (f *Follower[T]) Name() string { return "watch " + f.Kind }

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	retries := &backoff.ExponentialBackOff{
		InitialInterval: retryFirst, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: retryMax,
	}
	retries.Reset()
	var position epoch.Position
	hasFailed := false
	for ctx.Err() == nil {
		start := time.Now()
		pauseFully := f.HasReader == nil || f.HasReader()
		next, changed, err := f.step(ctx, position, f.slack(hasFailed))
		hasFailed = err != nil
		f.SyncStatus.record(err == nil)
		if !errors.Is(err, mirror.ErrNotReading) {
			f.Health.Record(err == nil || errors.Is(err, mirror.ErrHistoryGone) || errors.Is(err, mirror.ErrUnreadable))
		}
		pause := time.Duration(0)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, mirror.ErrHistoryGone):
			f.Log.Info("store history gone", "kind", f.Kind, "revision", position)
			next = epoch.Position{}
		case errors.Is(err, mirror.ErrNotReading):
			next, pause = position, readerPollInterval
			f.Log.Debug("no host reads the store for this one", "kind", f.Kind, "revision", position)
		case errors.Is(err, mirror.ErrUnreadable):
			// The same changes would come again; a full list may be shorter and is read without them.
			next, pause = epoch.Position{}, retries.NextBackOff()
			f.Log.Warn("store's answer can't be read", "kind", f.Kind, "revision", position, "error", err, "retry_in", pause)
		case err != nil:
			next, pause = position, retries.NextBackOff()
			f.Log.Info("store call failed", "kind", f.Kind, "revision", position, "error", err, "retry_in", pause)
		default:
			retries.Reset()
			switch {
			case changed:
				pause = time.Duration((0.75 + rand.Float64()/2) * float64(f.BatchDelay))
			case time.Since(start) < f.Wait/2:
				// A store that returns without waiting must not be called in a tight loop.
				pause = f.Wait / 2
			}
		}
		position = next
		f.pause(ctx, pause, pauseFully)
	}
	return nil
}

// slack returns the time that a call has beyond its wait.
func (f *Follower[T]) slack(hasFailed bool) time.Duration {
	if f.Slack == 0 || hasFailed {
		return responseSlack
	}
	return f.Slack
}

// pause waits for d. Unless pauseFully is set, it ends early when another host reads the store for this one, which may
// have begun already during the preceding call.
func (f *Follower[T]) pause(ctx context.Context, d time.Duration, pauseFully bool) {
	if pauseFully {
		ticks.Sleep(ctx, d)
		return
	}
	for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end) && !f.HasReader(); {
		ticks.Sleep(ctx, min(readerPollInterval, time.Until(end)))
	}
}

// step makes one call and passes the result to the sink.
func (f *Follower[T]) step(ctx context.Context, position epoch.Position, slack time.Duration) (next epoch.Position, changed bool, err error) {
	began := ticks.Now()
	if position.IsZero() {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		b, err := f.Source.List(listCtx)
		if err != nil {
			return epoch.Position{}, false, err
		}
		f.Sink.Replace(b, began-b.Age)
		return b.At, true, nil
	}
	watchCtx, cancel := context.WithTimeout(ctx, f.Wait+slack)
	defer cancel()
	b, err := f.Source.Changes(watchCtx, position, f.Wait)
	if err != nil {
		return position, false, err
	}
	f.Sink.Apply(b, began-b.Age)
	return position.Latest(b.At), len(b.Changed)+len(b.Removed) > 0, nil
}
