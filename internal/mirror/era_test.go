package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// waitingStore answers watches when their context ends.
type waitingStore struct{ fakeStore }

func (*waitingStore) Changes(ctx context.Context, _ string, _ epoch.Position, _ time.Duration) (Batch, error) {
	<-ctx.Done()
	return Batch{}, ctx.Err()
}

// TestReturnEndsTheCallsOfTheEarlierEra guards against calls that wait for changes of the earlier era while another kind has shown the next.
func TestReturnEndsTheCallsOfTheEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirror(&waitingStore{}, &fakeReaders{})
		assert.NilError(t, m.Eras.Observe(1))
		at := epoch.Position{Era: 1, Revision: 5}
		m.cache("k").replace(Batch{At: at}, ticks.Now())
		ended := make(chan error, 1)
		go func() {
			_, err := m.Changes(t.Context(), "k", at, time.Minute)
			ended <- err
		}()
		synctest.Wait()
		assert.NilError(t, m.Eras.Observe(2))
		synctest.Wait()
		assert.Assert(t, errors.Is(<-ended, ErrHistoryGone))
		assert.Assert(t, !m.isBackingOff(), "the store has not failed")
		_, err := m.Changes(t.Context(), "k", at, time.Minute)
		assert.ErrorIs(t, err, ErrHistoryGone, "a position of the earlier era")
	})
}

// TestCacheOfAnEarlierEraIsNotPassedOn guards against hosts that read documents of the earlier era from another host as confirmed, and
// against hosts that all call the store while that one lists them.
func TestCacheOfAnEarlierEraIsNotPassedOn(t *testing.T) {
	m := newMirror(&fakeStore{}, &fakeReaders{})
	assert.NilError(t, m.Eras.Observe(1))
	c := m.cache("k")
	before := epoch.Position{Era: 1, Revision: 9}
	c.replace(Batch{At: before, Changed: []Document{document("a", 3)}}, ticks.Now())
	assert.NilError(t, m.Eras.Observe(2))
	for _, since := range []epoch.Position{{}, before} {
		_, err := c.read(t.Context(), since, 0, maxAge, readsOn)
		assert.ErrorIs(t, err, ErrLoading)
	}
	now := epoch.Position{Era: 2, Revision: 4}
	c.replace(Batch{At: now, Changed: []Document{document("b", 4)}}, ticks.Now())
	for _, tc := range []struct {
		name  string
		since epoch.Position
		want  error
		count int
	}{
		{"a list", epoch.Position{}, nil, 1},
		{"a position of the earlier era", before, ErrHistoryGone, 0},
		{"a lower position of the earlier era", epoch.Position{Era: 1, Revision: 2}, ErrHistoryGone, 0},
		{"the position", now, nil, 0},
		{"a position of a host that names no era", epoch.Position{Revision: 4}, nil, 0},
		{"a position of a later era", epoch.Position{Era: 3, Revision: 1}, ErrNotReading, 0},
	} {
		b, err := c.read(t.Context(), tc.since, 0, maxAge, readsOn)
		assert.Assert(t, errors.Is(err, tc.want), "%s: %v", tc.name, err)
		assert.Equal(t, len(b.Changed), tc.count, tc.name)
	}
}

// TestReaderOfAnEarlierEraIsNotReadFrom guards against a reading host that has not learned of the store's return: what it passes on is no
// news.
func TestReaderOfAnEarlierEraIsNotReadFrom(t *testing.T) {
	reader := newMirror(&fakeStore{}, &fakeReaders{})
	reader.cache("k").replace(Batch{At: epoch.Position{Era: 1, Revision: 9}, Changed: []Document{document("a", 3)}}, ticks.Now())
	host := serve(t, reader)
	store := &fakeStore{batch: Batch{At: epoch.Position{Era: 2, Revision: 4}}}
	m := newMirror(store, &fakeReaders{host: &host})
	t.Cleanup(m.Link.Close)
	assert.NilError(t, m.Eras.Observe(2))
	b, err := m.List(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, b.At, store.batch.At)
	assert.Equal(t, store.calls, 1)
}

// TestHostLearnsOfAReturnFromItsReader guards against hosts that take a reading host's revisions for those of the earlier era.
func TestHostLearnsOfAReturnFromItsReader(t *testing.T) {
	reader := newMirror(&fakeStore{}, &fakeReaders{})
	at := epoch.Position{Era: 2, Revision: 4}
	reader.cache("k").replace(Batch{At: at, Changed: []Document{document("a", 3)}}, ticks.Now())
	host := serve(t, reader)
	m := newMirror(&fakeStore{err: errors.New("not to be called")}, &fakeReaders{host: &host})
	t.Cleanup(m.Link.Close)
	assert.NilError(t, m.Eras.Observe(1))
	_, err := m.Changes(t.Context(), "k", epoch.Position{Era: 1, Revision: 9}, 0)
	assert.ErrorIs(t, err, ErrHistoryGone)
	b, err := m.List(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, b.At, at)
	assert.Equal(t, m.Eras.Newest(), int64(2))
}
