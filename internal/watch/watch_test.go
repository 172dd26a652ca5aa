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

	"github.com/tarragonspur/tarragonspur/internal/mirror"
)

// source answers what the test says and counts its calls.
type source struct {
	lists, waits atomic.Int32
	err          error
}

func (s *source) List(context.Context) (Batch[string], error) {
	s.lists.Add(1)
	return Batch[string]{Revision: 1}, nil
}

func (s *source) Changes(context.Context, int64, time.Duration) (Batch[string], error) {
	s.waits.Add(1)
	return Batch[string]{Revision: 1}, s.err
}

type sink struct{}

func (sink) Replace(Batch[string], time.Duration) {}
func (sink) Apply(Batch[string], time.Duration)   {}

func TestFollowerDoesNotCallWithoutEnd(t *testing.T) {
	tests := []struct {
		name string
		err  error
		most int32
	}{
		{"a store that does not wait", nil, 12},
		{"a store that fails", errors.New("down"), 12},
		{"a store whose history is gone each time", mirror.ErrHistoryGone, 40},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			src := &source{err: tc.err}
			f := &Follower[string]{
				Kind: "k", Source: src, Sink: sink{}, Wait: 200 * time.Millisecond, Pause: 60 * time.Millisecond,
				Health: &Health{Log: log}, Log: log,
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.NilError(t, f.Run(ctx))
			assert.Assert(t, src.waits.Load() <= tc.most, src.waits.Load())
			assert.Assert(t, src.lists.Load() <= tc.most, src.lists.Load())
		})
	}
}

func TestEntriesThatLapseBesideAnOutageHaveTime(t *testing.T) {
	h := &Health{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	now := time.Now()
	assert.Equal(t, h.GoneAt(now), now)
	h.Note(false)
	assert.Equal(t, h.GoneAt(now), now.Add(returnGrace), "the store is away")
	h.Note(true)
	at := h.GoneAt(now)
	assert.Assert(t, at.After(now) && !at.After(time.Now().Add(returnGrace)), "it has just returned")
	later := now.Add(3 * returnGrace)
	assert.Equal(t, h.GoneAt(later), later)
}

func TestStoreIsAwayAfterAMomentOfFailures(t *testing.T) {
	h := &Health{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	assert.Assert(t, !h.IsAway())
	h.Note(false)
	assert.Assert(t, !h.IsAway(), "one broken connection is no outage")
	time.Sleep(awayAfter)
	assert.Assert(t, h.IsAway())
	h.Note(true)
	assert.Assert(t, !h.IsAway())
}
