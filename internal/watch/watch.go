// Package watch follows the platform's store: the operators' table, the backend servers and the failure domains
// that operators have taken out.
package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// retryFirst and retryMax bound the pause after a failed call; the store's rate is shared by all hosts.
	retryFirst = 100 * time.Millisecond
	retryMax   = time.Second
	// readerPause is the pause after a call that waits for another host to read the store; it costs the store nothing.
	readerPause = 80 * time.Millisecond
	// answerSlack is added to a watch's wait for the time that an answer takes.
	answerSlack = 2 * time.Second
	// listTimeout bounds a full list.
	listTimeout = 3 * time.Second
)

// Batch is a full list or the changes since a revision, in order.
type Batch[T any] struct {
	Revision int64
	Changed  []T
	// Removed are the names of objects that are gone; always empty in a list.
	Removed []string
	// Age is how long before it was returned the store surely confirmed the batch.
	Age time.Duration
}

// Source reads one kind of object.
type Source[T any] interface {
	// List returns all objects.
	List(ctx context.Context) (Batch[T], error)
	// Changes waits for changes after a revision; a batch without any says that the wait is over.
	// The error is mirror.ErrHistoryGone if they are not known any more.
	Changes(ctx context.Context, since int64, wait time.Duration) (Batch[T], error)
}

// Sink takes what was read. Confirmed is the moment by ticks.Now at which the batch was surely not older than the store.
type Sink[T any] interface {
	Replace(b Batch[T], confirmed time.Duration)
	Apply(b Batch[T], confirmed time.Duration)
}

// Follower keeps a sink in step with one kind of object.
type Follower[T any] struct {
	Kind   string
	Source Source[T]
	Sink   Sink[T]
	// Wait is how long one call waits for changes. It bounds the age of a confirmation.
	Wait time.Duration
	// Pause collects changes that come close together into one call.
	Pause time.Duration
	// Health is told of every call's outcome.
	Health *Health
	// Sight is told whether the sink is in step; nil for nobody.
	Sight *Sight
	// IsReadable reports whether a host reads the store for this one; a pause ends when one begins to. Nil means never.
	IsReadable func() bool
	Log        *slog.Logger
}

// Name names the controller in logs.
func (f *Follower[T]) Name() string { return "watch " + f.Kind }

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	pauses := &backoff.ExponentialBackOff{
		InitialInterval: retryFirst, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: retryMax,
	}
	pauses.Reset()
	revision := int64(0)
	for ctx.Err() == nil {
		began := time.Now()
		wasReadable := f.IsReadable == nil || f.IsReadable()
		next, changed, err := f.step(ctx, revision)
		f.Sight.note(err == nil)
		if !errors.Is(err, mirror.ErrNotReading) {
			f.Health.Note(err == nil || errors.Is(err, mirror.ErrHistoryGone))
		}
		pause := time.Duration(0)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, mirror.ErrHistoryGone):
			f.Log.Info("store history gone", "kind", f.Kind, "revision", revision)
			next = 0
		case errors.Is(err, mirror.ErrNotReading):
			next, pause = revision, readerPause
			f.Log.Debug("no host reads", "kind", f.Kind, "revision", revision)
		case err != nil:
			next, pause = revision, pauses.NextBackOff()
			f.Log.Info("store call failed", "kind", f.Kind, "revision", revision, "error", err, "retry_in", pause)
		default:
			pauses.Reset()
			switch {
			case changed:
				pause = time.Duration((0.75 + rand.Float64()/2) * float64(f.Pause))
			case time.Since(began) < f.Wait/2:
				// A store that does not wait must not be called without end.
				pause = f.Wait / 2
			}
		}
		revision = next
		f.pause(ctx, pause, wasReadable)
	}
	return nil
}

// pause waits until its time is over or a host begins to read the store for this one, which may have happened during
// the call before.
func (f *Follower[T]) pause(ctx context.Context, d time.Duration, wasReadable bool) {
	if wasReadable {
		ticks.Sleep(ctx, d)
		return
	}
	for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end) && !f.IsReadable(); {
		ticks.Sleep(ctx, min(readerPause, time.Until(end)))
	}
}

// step makes one call and hands on what it returned.
func (f *Follower[T]) step(ctx context.Context, revision int64) (next int64, changed bool, err error) {
	began := ticks.Now()
	if revision == 0 {
		listing, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		b, err := f.Source.List(listing)
		if err != nil {
			return 0, false, err
		}
		f.Sink.Replace(b, began-b.Age)
		return b.Revision, true, nil
	}
	waiting, cancel := context.WithTimeout(ctx, f.Wait+answerSlack)
	defer cancel()
	b, err := f.Source.Changes(waiting, revision, f.Wait)
	if err != nil {
		return revision, false, err
	}
	f.Sink.Apply(b, began-b.Age)
	return max(revision, b.Revision), len(b.Changed)+len(b.Removed) > 0, nil
}
