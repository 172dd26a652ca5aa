package epoch_test

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
)

// TestErasNeverGoBack guards against a late answer from before the store's return that takes a host back to the earlier era.
func TestErasNeverGoBack(t *testing.T) {
	tracker := &epoch.Tracker{Log: slog.New(slog.DiscardHandler)}
	calls := 0
	remove := tracker.OnChange(func() { calls++ })
	for _, tc := range []struct {
		name           string
		era            int64
		isPast         bool
		newest         int64
		returns, calls int
	}{
		{"a store that names no era", 0, false, 0, 0, 0},
		{"the first era is no return", 3, false, 3, 0, 0},
		{"the same era", 3, false, 3, 0, 0},
		{"a return", 4, false, 4, 1, 1},
		{"a late answer of the earlier era", 3, true, 4, 1, 1},
		{"an answer that names no era", 0, true, 4, 1, 1},
		{"two returns at once", 6, false, 6, 2, 2},
	} {
		err := tracker.Observe(tc.era)
		assert.Equal(t, err != nil, tc.isPast, tc.name)
		if tc.isPast {
			assert.ErrorIs(t, err, epoch.ErrPast)
		}
		returns, _ := tracker.Changes()
		assert.Equal(t, tracker.Newest(), tc.newest, tc.name)
		assert.Equal(t, returns, tc.returns, tc.name)
		assert.Equal(t, calls, tc.calls, tc.name)
	}
	remove()
	assert.NilError(t, tracker.Observe(7))
	assert.Equal(t, calls, 2)
}

// TestOrdinalsOrderPositions guards against a revision of a later era that counts as earlier because it is lower.
func TestOrdinalsOrderPositions(t *testing.T) {
	ordered := []epoch.Position{{}, {Revision: 7}, {Revision: 1 << 39}, {Era: 1, Revision: 3}, {Era: 1, Revision: 900}, {Era: 2, Revision: 1}}
	for i, p := range ordered {
		assert.Equal(t, epoch.FromOrdinal(p.Ordinal()), p)
		if i > 0 {
			assert.Assert(t, p.Ordinal() > ordered[i-1].Ordinal())
			assert.Equal(t, p.Latest(ordered[i-1]), p)
			assert.Equal(t, ordered[i-1].Latest(p), p)
		}
	}
}
