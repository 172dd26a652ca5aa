package watch

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
)

// source returns a preset error and counts its calls.
type source struct {
	lists, waits atomic.Int32
	err          error
}

func (s *source) List(context.Context) (Batch[string], error) {
	s.lists.Add(1)
	return Batch[string]{At: epoch.Position{Revision: 1}}, nil
}

func (s *source) Changes(context.Context, epoch.Position, time.Duration) (Batch[string], error) {
	s.waits.Add(1)
	return Batch[string]{At: epoch.Position{Revision: 1}}, s.err
}

type sink struct{}

func (sink) Replace(Batch[string], time.Duration) {}
func (sink) Apply(Batch[string], time.Duration)   {}

func TestFollowerLimitsItsCallRate(t *testing.T) {
	tests := []struct {
		name     string
		err      error
		maxCalls int32
	}{
		{"a store that returns without waiting", nil, 12},
		{"a store that fails", errors.New("down"), 12},
		{"a store whose history is gone each time", mirror.ErrHistoryGone, 40},
		{"a store whose changes can't be read", mirror.ErrUnreadable, 12},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			src := &source{err: tc.err}
			f := &Follower[string]{
				Kind: "k", Source: src, Sink: sink{}, Wait: 200 * time.Millisecond, BatchDelay: 60 * time.Millisecond,
				Health: &Health{Log: log}, Log: log,
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.NilError(t, f.Run(ctx))
			assert.Assert(t, src.waits.Load() <= tc.maxCalls, src.waits.Load())
			assert.Assert(t, src.lists.Load() <= tc.maxCalls, src.lists.Load())
		})
	}
}

func TestRemovalTimeIsDelayedAroundAnOutage(t *testing.T) {
	h := &Health{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	now := time.Now()
	assert.Equal(t, h.RemovalTime(now), now)
	h.Record(false)
	assert.Equal(t, h.RemovalTime(now), now.Add(returnGrace), "the store is unreachable")
	h.Record(true)
	at := h.RemovalTime(now)
	assert.Assert(t, at.After(now) && !at.After(time.Now().Add(returnGrace)), "the store has just returned")
	later := now.Add(3 * returnGrace)
	assert.Equal(t, h.RemovalTime(later), later)
}

func TestStoreIsUnreachableOnceFailuresExceedTheThreshold(t *testing.T) {
	h := &Health{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	assert.Assert(t, !h.IsUnreachable())
	h.Record(false)
	assert.Assert(t, !h.IsUnreachable(), "one broken connection is no outage")
	time.Sleep(outageThreshold)
	assert.Assert(t, h.IsUnreachable())
	h.Record(true)
	assert.Assert(t, !h.IsUnreachable())
}

// peerSource is a Source that fails until another host reads the store.
// TestFollowerListsWhenChangesCannotBeRead checks that the same unreadable changes are not read for ever.
func TestFollowerListsWhenChangesCannotBeRead(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	src, health := &source{err: mirror.ErrUnreadable}, &Health{Log: log}
	f := &Follower[string]{Kind: "k", Source: src, Sink: sink{}, Wait: time.Minute, Health: health, Log: log}
	ctx, cancel := context.WithTimeout(t.Context(), 2*outageThreshold)
	defer cancel()
	assert.NilError(t, f.Run(ctx))
	assert.Assert(t, src.lists.Load() >= 2, src.lists.Load())
	assert.Assert(t, !health.IsUnreachable(), "the store answers")
}

type peerSource struct {
	reads atomic.Bool
	calls atomic.Int32
}

func (a *peerSource) List(context.Context) (Batch[string], error) {
	a.calls.Add(1)
	if !a.reads.Load() {
		return Batch[string]{}, errors.New("store is down")
	}
	return Batch[string]{At: epoch.Position{Revision: 1}}, nil
}

func (a *peerSource) Changes(ctx context.Context, _ epoch.Position, _ time.Duration) (Batch[string], error) {
	<-ctx.Done()
	return Batch[string]{}, ctx.Err()
}

func TestFollowerIsOutOfSyncUntilItHasReadAgain(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	src, status := &peerSource{}, &SyncStatus{}
	f := &Follower[string]{
		Kind: "k", Source: src, Sink: sink{}, Wait: time.Minute, Health: &Health{Log: log}, SyncStatus: status, HasReader: src.reads.Load, Log: log,
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	// By the fifth call the backoff is near its maximum.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if src.calls.Load() >= 5 && status.IsOutOfSync() {
			return poll.Success()
		}
		return poll.Continue("the follower to fail")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	src.reads.Store(true)
	began := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !status.IsOutOfSync() {
			return poll.Success()
		}
		return poll.Continue("the follower to read")
	}, poll.WithDelay(5*time.Millisecond))
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "the pause ends when a host reads")
	cancel()
	assert.NilError(t, <-ended)
}

func TestFollowerThatWaitsForAReaderIsOutOfSync(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	health, status := &Health{Log: log}, &SyncStatus{}
	f := &Follower[string]{
		Kind: "k", Source: &source{err: mirror.ErrNotReading}, Sink: sink{}, Wait: time.Minute, Health: health, SyncStatus: status, Log: log,
	}
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	assert.NilError(t, f.Run(ctx))
	assert.Assert(t, status.IsOutOfSync() && !health.IsUnreachable(), "changes may be missed, but the store was not called")
}
