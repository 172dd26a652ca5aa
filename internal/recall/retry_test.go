package recall_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/recall"
)

// downStore fails until a time and counts the calls that succeed after it.
type downStore struct {
	until   time.Time
	changed atomic.Int32
}

func (s *downStore) call() error {
	if time.Now().Before(s.until) {
		return errors.New("down")
	}
	return nil
}

func (s *downStore) Load(context.Context) ([]recall.Saved, error) { return nil, s.call() }

func (s *downStore) Save(context.Context, recall.Saved) error { return s.call() }

func (s *downStore) Remove(context.Context, uint64) error {
	err := s.call()
	if err == nil {
		s.changed.Add(1)
	}
	return err
}

// TestManyKeysDoNotDelayTheNextRound guards against a pause that grows with the number of keys: each call that failed in a short outage
// doubled it, so that keys were written up to twelve seconds after the store was back.
func TestManyKeysDoNotDelayTheNextRound(t *testing.T) {
	const keys = 5
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		store := &downStore{until: time.Now().Add(400 * time.Millisecond)}
		k := &recall.Keeper{Table: &crash.Table{Host: "h1", Log: log}, Store: store, Eras: &epoch.Tracker{Log: log}, Log: log}
		for key := range uint64(keys) {
			k.Table.MarkUnsaved(key + 1)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		time.Sleep(2 * time.Second)
		changed := int(store.changed.Load())
		cancel()
		assert.NilError(t, <-ended)
		assert.Equal(t, changed, keys)
	})
}
