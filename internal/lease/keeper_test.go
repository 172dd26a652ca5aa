package lease_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/lease"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

// flakyStore is an object API that can be unavailable and lose answers.
type flakyStore struct {
	objapi.Memory

	mu          sync.Mutex
	down        bool
	loseAnswers int
	writes      int
}

func (s *flakyStore) Get(_ context.Context, key string) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return object.Object{}, object.ErrUnavailable
	}
	return s.Memory.Get(key)
}

func (s *flakyStore) Put(_ context.Context, key string, value []byte, expect object.Version) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return object.Object{}, object.ErrUnavailable
	}
	s.writes++
	o, err := s.Memory.Put(key, value, expect)
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return object.Object{}, object.ErrUnknown
	}
	return o, err
}

func (s *flakyStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *flakyStore) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func keeper(s *flakyStore, holder string) *lease.Keeper {
	return &lease.Keeper{Store: s, Lease: "orders", Holder: holder, Incarnation: 1, Duration: duration, Log: slog.New(slog.DiscardHandler)}
}

// start runs a keeper and returns a function that stops it.
func start(t *testing.T, k *lease.Keeper) func() {
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	return func() {
		stop()
		assert.NilError(t, <-ended)
	}
}

func holds(k *lease.Keeper) (lease.Grant, bool) { return k.Holds(time.Now()) }

func TestLostAnswerToAcquireIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{loseAnswers: 1}
		a := keeper(s, "a")
		defer start(t, a)()
		time.Sleep(time.Second)
		grant, ok := holds(a)
		assert.Assert(t, ok)
		assert.Equal(t, grant.Fence, uint64(1))
		assert.Equal(t, s.written(), 1)
	})
}

func TestReleaseHandsOverSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{}
		a, b := keeper(s, "a"), keeper(s, "b")
		stop := start(t, a)
		time.Sleep(time.Second)
		defer start(t, b)()
		time.Sleep(2 * duration)
		_, ok := holds(b)
		assert.Assert(t, !ok)
		stop()
		time.Sleep(duration / 3)
		grant, ok := holds(b)
		assert.Assert(t, ok)
		assert.Equal(t, grant.Fence, uint64(2))
	})
}

func TestOutageEndsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{}
		a := keeper(s, "a")
		defer start(t, a)()
		time.Sleep(time.Second)
		s.setDown(true)
		time.Sleep(duration)
		_, ok := holds(a)
		assert.Assert(t, !ok)
		s.setDown(false)
		time.Sleep(duration / 3)
		grant, ok := holds(a)
		assert.Assert(t, ok)
		assert.Equal(t, grant.Fence, uint64(2))
	})
}

func TestRenewalsStayWithinTheirRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{}
		defer start(t, keeper(s, "a"))()
		time.Sleep(10 * duration)
		writes := s.written()
		assert.Assert(t, writes >= 25 && writes <= 31, "%d writes in ten durations", writes)
	})
}
