package spread_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/spread"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// liveStore is a storeReader with watches and simulated outages; withholdEvents makes watches deliver no events.
type liveStore struct {
	storeReader
	down           atomic.Bool
	withholdEvents atomic.Bool
	calls          atomic.Int64
}

func (s *liveStore) Get(ctx context.Context, key string) (object.Object, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return object.Object{}, object.ErrUnavailable
	}
	return s.storeReader.Get(ctx, key)
}

func (s *liveStore) List(ctx context.Context, prefix string) (object.Listing, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return object.Listing{}, object.ErrUnavailable
	}
	return s.storeReader.List(ctx, prefix)
}

func (s *liveStore) Watch(ctx context.Context, prefix string, after object.Version, each func(object.Event)) error {
	s.calls.Add(1)
	for {
		events, changed, err := s.memory.Since(prefix, after)
		if err != nil {
			return err
		}
		for _, e := range events {
			after = e.Object.Version
			if !s.withholdEvents.Load() {
				each(e)
			}
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.down.Load() {
			return object.ErrUnavailable
		}
	}
}

type noPeers struct{}

func (noPeers) Send(...peer.Outgoing) {}

// write puts the next change directly into the store.
func write(t *testing.T, m *fleetModel) {
	t.Helper()
	tip := m.newestVersion()
	previous := ""
	if tip > 0 {
		previous = m.storedChange(t, tip).ID
	}
	row := config.Row{Workspace: "w", Service: "s", Weight: float64(tip + 1)}
	e, err := change.Encode(change.Change{
		Version: tip + 1, ID: change.NewID(), Previous: previous, Edits: []change.Edit{{To: &change.Item{Row: &row}}},
	})
	assert.NilError(t, err)
	_, err = m.memory.Put(change.Key(tip+1), e.Raw, 0)
	assert.NilError(t, err)
}

func TestRunSyncsThroughStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fleetModel{}
		st := &liveStore{storeReader: storeReader{memory: &m.memory}}
		b := &board.Board{}
		s := &spread.Syncer{Self: "host-0", Domain: "domain-0", Board: b, Store: st, Peers: noPeers{}, Log: slog.New(slog.DiscardHandler)}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		assertApplied := func(within time.Duration) {
			t.Helper()
			time.Sleep(within)
			assert.Equal(t, b.Config.State().Version, m.newestVersion())
		}
		assertApplied(time.Second)
		assert.Assert(t, b.Process.IsReady())
		write(t, m)
		assertApplied(10 * time.Millisecond)

		st.withholdEvents.Store(true)
		write(t, m)
		assertApplied(3 * time.Second)
		st.withholdEvents.Store(false)

		st.down.Store(true)
		before := st.calls.Load()
		time.Sleep(time.Minute)
		assert.Assert(t, st.calls.Load()-before < 120, "%d store calls in a minute of outage", st.calls.Load()-before)
		assert.Assert(t, time.Since(b.Config.Confirmed()) > 55*time.Second, "the age must include the outage")
		assert.Assert(t, b.Process.IsReady(), "the host must stay ready with the configuration it has")
		st.down.Store(false)
		write(t, m)
		assertApplied(3 * time.Second)
		assert.Assert(t, time.Since(b.Config.Confirmed()) < 2*time.Second)

		stop()
		assert.NilError(t, <-ended)
	})
}
