package drain_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/drain"
)

// duties records the order of the calls and what the readiness check said at each.
type duties struct {
	board *board.Board

	mu    sync.Mutex
	calls []string
}

// all returns the calls so far.
func (d *duties) all() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

func (d *duties) note(call string) {
	if d.board.Process.IsReady() {
		call += " while ready"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, call)
}

func (d *duties) Leave() { d.note("leave") }
func (d *duties) Left()  { d.note("left") }
func (d *duties) Stop()  { d.note("stop") }

func newDrain(b *board.Board, limit time.Duration) (*drain.Drain, *duties) {
	b.Process.SetReady()
	d := &duties{board: b}
	return &drain.Drain{
		Board: b, Members: d, Grants: d, BalancerLag: 2 * time.Second, Limit: limit, FlushDelay: time.Second, Log: slog.New(slog.DiscardHandler),
	}, d
}

func TestWaitHandsDutiesOnAndCutsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &board.Board{}
		d, calls := newDrain(b, time.Minute)
		leave := b.Process.Enter()
		go func() {
			time.Sleep(10 * time.Second)
			assert.Check(t, len(calls.all()) == 2, "still serving: %v", calls.all())
			leave()
		}()
		began := time.Now()
		d.Wait(t.Context())
		took := time.Since(began)
		assert.Assert(t, took >= 11*time.Second && took < 12*time.Second, "%s", took)
		assert.DeepEqual(t, calls.all(), []string{"leave", "stop", "left"})
	})
}

func TestWaitWaitsOutTheBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newDrain(&board.Board{}, time.Minute)
		began := time.Now()
		d.Wait(t.Context())
		assert.Equal(t, time.Since(began), 3*time.Second)
	})
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &board.Board{}
		d, calls := newDrain(b, time.Minute)
		defer b.Process.Enter()()
		ctx, abort := context.WithCancel(t.Context())
		time.AfterFunc(5*time.Second, abort)
		began := time.Now()
		d.Wait(ctx)
		assert.Equal(t, time.Since(began), 5*time.Second)
		assert.DeepEqual(t, calls.all(), []string{"leave", "stop"})
	})
}

func TestLimitEndsAStopThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &board.Board{}
		d, _ := newDrain(b, 30*time.Second)
		defer b.Process.Enter()()
		began := time.Now()
		d.Wait(t.Context())
		assert.Equal(t, time.Since(began), 30*time.Second)
	})
}
