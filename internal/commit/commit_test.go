package commit_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/commit"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/spread"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// store is an in-memory object API without faults.
type store struct{ memory *objapi.Memory }

func (s store) Get(_ context.Context, key string) (object.Object, error) { return s.memory.Get(key) }

func (s store) List(_ context.Context, prefix string) (object.Listing, error) {
	return s.memory.List(prefix), nil
}

func (s store) Put(_ context.Context, key string, value []byte, expect object.Version) (object.Object, error) {
	return s.memory.Put(key, value, expect)
}

func (s store) Watch(context.Context, string, object.Version, func(object.Event)) error {
	return object.ErrUnavailable
}

type discardSender struct{}

func (discardSender) Send(...peer.Outgoing) {}

// newCommitter returns the committer of a host that has not read the store yet.
func newCommitter(memory *objapi.Memory) *commit.Committer {
	b := &board.Board{}
	s := store{memory}
	log := slog.New(slog.DiscardHandler)
	return &commit.Committer{Board: b, Store: s, Log: &spread.Syncer{Self: "host", Board: b, Store: s, Peers: discardSender{}, Log: log}}
}

func rowEdit(i int) func(change.State) ([]change.Edit, error) {
	row := config.Row{Workspace: fmt.Sprintf("w-%d", i), Service: "s", Weight: 1}
	return func(change.State) ([]change.Edit, error) { return []change.Edit{{To: &change.Item{Row: &row}}}, nil }
}

// commitConcurrently commits one change for each operator, each through a different host, all at the same time.
func commitConcurrently(t *testing.T, memory *objapi.Memory, operators int, expect *change.Version) (accepted, conflicts int) {
	t.Helper()
	var mu sync.Mutex
	var pool sync.WaitGroup
	for i := range operators {
		pool.Go(func() {
			r := commit.Request{Operator: fmt.Sprintf("operator-%d", i), Expect: expect, Edit: rowEdit(i)}
			_, err := newCommitter(memory).Commit(t.Context(), r)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				accepted++
			case errors.Is(err, commit.ErrConflict):
				conflicts++
			}
		})
	}
	pool.Wait()
	return accepted, conflicts
}

func TestOneOfRacingOperatorsWins(t *testing.T) {
	memory := &objapi.Memory{}
	var zero change.Version
	accepted, conflicts := commitConcurrently(t, memory, 6, &zero)
	assert.Equal(t, accepted, 1)
	assert.Equal(t, conflicts, 5)
	assert.Equal(t, len(memory.List(object.PrefixAudit).Objects), 1)
}

func TestConcurrentChangesWithoutAVersionAreAllAccepted(t *testing.T) {
	memory := &objapi.Memory{}
	accepted, _ := commitConcurrently(t, memory, 6, nil)
	assert.Equal(t, accepted, 6)
	assert.Equal(t, len(memory.List(object.PrefixAudit).Objects), 6)
	host := newCommitter(memory)
	assert.NilError(t, host.Log.Sync(t.Context()))
	assert.Equal(t, len(host.Board.Config.State().Table.Rows), 6)
}

func TestRepeatedRequestIsMadeOnce(t *testing.T) {
	memory := &objapi.Memory{}
	r := commit.Request{ID: "same", Operator: "ana", Edit: rowEdit(1)}
	first, err := newCommitter(memory).Commit(t.Context(), r)
	assert.NilError(t, err)
	_, err = newCommitter(memory).Commit(t.Context(), commit.Request{Operator: "eva", Edit: rowEdit(2)})
	assert.NilError(t, err)
	again, err := newCommitter(memory).Commit(t.Context(), r)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, first)
	assert.Equal(t, len(memory.List(object.PrefixAudit).Objects), 2)
}

func TestSnapshotIsWrittenAtTheEndOfABucket(t *testing.T) {
	memory := &objapi.Memory{}
	c := newCommitter(memory)
	for i := range change.BucketSize + 3 {
		_, err := c.Commit(t.Context(), commit.Request{Operator: "ana", Edit: rowEdit(i)})
		assert.NilError(t, err)
	}
	o, err := memory.Get(change.KeySnapshot)
	assert.NilError(t, err)
	base, err := change.DecodeSnapshot(o.Value)
	assert.NilError(t, err)
	assert.Equal(t, base.Version, change.Version(change.BucketSize))
	fresh := newCommitter(memory)
	assert.NilError(t, fresh.Log.Sync(t.Context()))
	assert.DeepEqual(t, fresh.Board.Config.State(), c.Board.Config.State())
}
