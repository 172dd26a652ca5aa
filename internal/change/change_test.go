package change_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

func row(workspace string, weight float64) config.Row {
	return config.Row{Workspace: workspace, Service: "assay", Weight: weight}
}

func TestApplyAcceptsOnlyTheNextChange(t *testing.T) {
	state := change.State{Version: 4, ID: "d"}
	tests := []struct {
		name   string
		change change.Change
		want   error
	}{
		{"next", change.Change{Version: 5, ID: "e", Previous: "d"}, nil},
		{"same", change.Change{Version: 4, ID: "d", Previous: "c"}, change.ErrStale},
		{"older", change.Change{Version: 3, ID: "c", Previous: "b"}, change.ErrStale},
		{"after a gap", change.Change{Version: 6, ID: "f", Previous: "e"}, change.ErrGap},
		{"same version of another history", change.Change{Version: 4, ID: "x", Previous: "c"}, change.ErrFork},
		{"next of another history", change.Change{Version: 5, ID: "e", Previous: "x"}, change.ErrFork},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, err := state.Apply(tt.change)
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
			if err != nil {
				assert.Equal(t, next.Version, state.Version)
			}
		})
	}
}

func TestExtendsComparesHistories(t *testing.T) {
	s := change.State{Version: 9, ID: "i", Recent: []string{"g", "h", "i"}}
	tests := []struct {
		name  string
		older change.State
		want  bool
	}{
		{"empty", change.State{}, true},
		{"same history", change.State{Version: 8, ID: "h"}, true},
		{"another history", change.State{Version: 8, ID: "x"}, false},
		{"same version of another history", change.State{Version: 9, ID: "x"}, false},
		{"older than the recent changes", change.State{Version: 2, ID: "b"}, true},
		{"newer", change.State{Version: 10, ID: "j"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, s.Extends(tt.older), tt.want) })
	}
}

func TestDiffEditsProduceTheTarget(t *testing.T) {
	from := change.State{
		Table:   config.Table{Rows: []config.Row{row("oak", 1), row("elm", 2), row("ash", 3)}},
		Domains: []config.Domain{{Name: "salta", State: config.DomainIn}},
	}
	to := change.State{
		Table:   config.Table{Rows: []config.Row{row("oak", 1), row("ash", 5), row("fir", 4)}},
		Domains: []config.Domain{{Name: "salta", State: config.DomainOut}},
	}
	edits := change.Diff(from, to)
	assert.Equal(t, len(edits), 4)
	assert.DeepEqual(t, from.WithEdits(edits), to)
	assert.Equal(t, len(change.Diff(to, to)), 0)
	assert.Equal(t, from.Table.Rows[2].Weight, 3.0, "the original state must not change")
}

func TestLargeChangesAreCompressedAndBounded(t *testing.T) {
	var edits []change.Edit
	for range 2000 {
		r := row(strings.Repeat("w", 40), 1)
		edits = append(edits, change.Edit{To: &change.Item{Row: &r}})
	}
	e, err := change.Encode(change.Change{Version: 1, ID: "a", At: time.Unix(1, 0).UTC(), Edits: edits})
	assert.NilError(t, err)
	assert.Assert(t, len(e.Raw) < 20_000, "%d bytes", len(e.Raw))
	decoded, err := change.Decode(e.Raw)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Change, e.Change)
}

func TestKeysOfOneBucketShareAPrefix(t *testing.T) {
	assert.Equal(t, change.Key(63), "audit/0000000000/000000000063")
	assert.Equal(t, change.Key(64), "audit/0000000001/000000000064")
	assert.Assert(t, strings.HasPrefix(change.Key(64), change.Bucket(64)))
}

func FuzzDecode(f *testing.F) {
	r := row("oak", 1)
	e, err := change.Encode(change.Change{Version: 1, ID: "a", Edits: []change.Edit{{To: &change.Item{Row: &r}}}})
	assert.NilError(f, err)
	f.Add(e.Raw)
	f.Add([]byte("\x1f\x8b"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := change.Decode(raw)
		if err != nil {
			return
		}
		reencoded, err := change.Encode(e.Change)
		assert.NilError(t, err)
		decoded, err := change.Decode(reencoded.Raw)
		assert.NilError(t, err)
		assert.Equal(t, decoded.Change.Version, e.Change.Version)
		_ = change.State{}.WithEdits(e.Change.Edits)
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	raw, err := change.State{Version: 1, ID: "a"}.Snapshot()
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := change.DecodeSnapshot(raw)
		if err != nil {
			return
		}
		_, err = s.Snapshot()
		assert.NilError(t, err)
	})
}
