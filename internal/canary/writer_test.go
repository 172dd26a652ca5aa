package canary

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// statusStore is a store that holds one order and fails as a test says.
type statusStore struct {
	mu     sync.Mutex
	order  Order
	isGone bool
	writes []State
	calls  int
	// fail is asked before each call takes effect, and its second result says that the write takes effect although it fails.
	fail func(call int) (err error, isDone bool) //nolint:revive // the error is that of the call
}

func (s *statusStore) WriteStatus(_ context.Context, o Order, state State) (Order, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	var err error
	isDone := true
	if s.fail != nil {
		err, isDone = s.fail(s.calls)
	}
	if err != nil && !isDone {
		return Order{}, err
	}
	switch {
	case s.isGone:
		return Order{}, ErrGone
	case o.Revision != s.order.Revision:
		return s.order, ErrChanged
	}
	s.order.Revision++
	s.order.Status, s.order.StatusTarget = state, o.Target
	s.writes = append(s.writes, state)
	if err != nil {
		return Order{}, err
	}
	return s.order, nil
}

// hostOf returns a host that wants to write a state, with the controller that writes it.
func hostOf(t *testing.T, store *statusStore, state State) (*rig, *Controller) {
	t.Helper()
	r := newRig(t)
	r.SetOrders([]Order{store.order}, 0)
	r.start("v1", 4)
	r.start("v2", 4)
	r.pass(time.Second)
	r.rollouts["model"].decided = state
	c := &Controller{Table: r.Table, Store: store, IsReader: func() bool { return true }, Hosts: func() int { return 3 }, Log: r.Log}
	return r, c
}

// step lets time pass and the host write what is due; unlike pass, the store's orders are not read.
func (r *rig) step(t *testing.T, c *Controller, d time.Duration) {
	t.Helper()
	r.mu.Lock()
	r.at = r.at.Add(d)
	r.mu.Unlock()
	r.Look()
	for _, w := range c.due(r.Writes(), r.now()) {
		c.write(t.Context(), w)
	}
}

var errStore = errors.New("store failed") //nolint:gochecknoglobals // a sentinel

// TestStatusIsWrittenOnceWhateverFails guards against a status that is lost, or written with two outcomes.
func TestStatusIsWrittenOnceWhateverFails(t *testing.T) {
	inProgress := order(5, "v2")
	inProgress.Status, inProgress.StatusTarget = InProgress, "v2"
	tests := []struct {
		name  string
		store *statusStore
		// before is done once the host wants to write and before it does.
		before func(*statusStore, *rig)
		writes []State
		state  State
		// maxCalls bounds the calls, which are priced.
		maxCalls int
	}{
		{"no failure", &statusStore{}, nil, []State{Reverted}, Reverted, 1},
		{"no answer, not written", &statusStore{fail: func(n int) (error, bool) { return errIf(n <= 2), false }}, nil, []State{Reverted}, Reverted, 3},
		{"no answer, but written", &statusStore{fail: func(n int) (error, bool) { return errIf(n == 1), true }}, nil, []State{Reverted}, Reverted, 2},
		{"store down for 8 s", &statusStore{fail: func(n int) (error, bool) { return errIf(n <= 5), false }}, nil, []State{Reverted}, Reverted, 6},
		{"another host has written the same", &statusStore{}, func(s *statusStore, _ *rig) {
			s.order.Revision, s.order.Status = 6, Reverted
		}, nil, Reverted, 1},
		{"another host has written the opposite", &statusStore{}, func(s *statusStore, _ *rig) {
			s.order.Revision, s.order.Status = 6, Completed
		}, nil, Completed, 1},
		{"the operator has changed the duration", &statusStore{}, func(s *statusStore, _ *rig) {
			s.order.Revision, s.order.Duration = 6, 80*time.Second
		}, []State{Reverted}, Reverted, 2},
		{"the operator has ordered another target", &statusStore{}, func(s *statusStore, _ *rig) {
			s.order.Revision, s.order.Target, s.order.Status = 6, "v3", Unset
		}, []State{InProgress}, InProgress, 2},
		{"the order has disappeared", &statusStore{isGone: true}, nil, nil, Reverted, 1},
		{"the host is paused while another one writes", &statusStore{}, func(s *statusStore, r *rig) {
			s.order.Revision, s.order.Status = 6, Completed
			r.mu.Lock()
			r.at = r.at.Add(20 * time.Second)
			r.mu.Unlock()
		}, nil, Completed, 1},
		{"it hears that another host has completed the order", &statusStore{}, func(s *statusStore, r *rig) {
			s.order.Revision, s.order.Status = 6, Completed
			r.Merge([]Report{{Name: "model", Service: "model", Target: "v2", Verdict: Completed, Revision: 6}})
		}, nil, Completed, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			store := tc.store
			store.order = inProgress
			r, c := hostOf(t, store, Reverted)
			if tc.before != nil {
				tc.before(store, r)
			}
			for range 100 {
				r.step(t, c, 100*time.Millisecond)
			}
			assert.DeepEqual(t, store.writes, tc.writes)
			assert.Assert(t, store.calls <= tc.maxCalls, store.calls)
			e := r.rollouts["model"]
			if e.isWithdrawn {
				assert.Assert(t, store.isGone)
				return
			}
			assert.Equal(t, e.State(), tc.state)
		})
	}
}

func errIf(fails bool) error {
	if fails {
		return errStore
	}
	return nil
}

// TestWriterThatDiesIsReplaced guards against a status that nobody writes, and against simultaneous calls by all hosts.
func TestWriterThatDiesIsReplaced(t *testing.T) {
	inProgress := order(5, "v2")
	inProgress.Status, inProgress.StatusTarget = InProgress, "v2"
	store := &statusStore{order: inProgress}
	r, c := hostOf(t, store, Completed)
	c.IsReader = func() bool { return false }
	for range 14 {
		r.step(t, c, 100*time.Millisecond)
	}
	assert.Equal(t, store.calls, 0, "the host that reads the store writes first")
	for range 20 {
		r.step(t, c, 100*time.Millisecond)
	}
	assert.DeepEqual(t, store.writes, []State{Completed})
}

// TestHostsThatDecideOppositelyEndWithOneOutcome guards against two outcomes of an order: hosts on both sides of a partition may decide
// differently, and a write whose answer is lost may take effect later.
func TestHostsThatDecideOppositelyEndWithOneOutcome(t *testing.T) {
	inProgress := order(5, "v2")
	inProgress.Status, inProgress.StatusTarget = InProgress, "v2"
	store := &statusStore{order: inProgress, fail: func(n int) (error, bool) { return errIf(n == 1), true }}
	first, firstWriter := hostOf(t, store, Completed)
	second, secondWriter := hostOf(t, store, Reverted)
	for range 30 {
		first.step(t, firstWriter, 100*time.Millisecond)
		second.step(t, secondWriter, 100*time.Millisecond)
	}
	assert.Equal(t, len(store.writes), 1, "%v", store.writes)
	assert.Equal(t, first.rollouts["model"].State(), store.writes[0])
	assert.Equal(t, second.rollouts["model"].State(), store.writes[0])
}

// TestStoreThatDoesNotAnswerDoesNotDelayDecisions guards against a host that goes on sending to a bad version while a call hangs.
func TestStoreThatDoesNotAnswerDoesNotDelayDecisions(t *testing.T) {
	inProgress := order(5, "v2")
	store := &silentStore{asked: make(chan struct{}, 1)}
	r := newRig(t)
	r.Now = time.Now
	r.SetOrders([]Order{inProgress}, 0)
	r.start("v1", 4)
	c := &Controller{Table: r.Table, Store: store, IsReader: func() bool { return true }, Hosts: func() int { return 3 }, Log: r.Log}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	<-store.asked
	r.start("v2", 4)
	for deadline := time.Now().Add(5 * time.Second); r.allowed()["v2"] == 0; {
		assert.Assert(t, time.Now().Before(deadline), "the host sees the target's servers while the call hangs")
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	assert.NilError(t, <-ended)
}

// silentStore never answers.
type silentStore struct{ asked chan struct{} }

func (s *silentStore) WriteStatus(ctx context.Context, _ Order, _ State) (Order, error) {
	select {
	case s.asked <- struct{}{}:
	default:
	}
	<-ctx.Done()
	return Order{}, ctx.Err()
}
