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

// recorder records the calls in order, and whether the host was ready at each.
type recorder struct {
	board *board.Board

	mu    sync.Mutex
	calls []string
}

// all returns the calls so far.
func (d *recorder) all() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

func (d *recorder) record(call string) {
	if d.board.Process.IsReady() {
		call += " while ready"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, call)
}

func (d *recorder) AnnounceLeaving() { d.record("leave") }
func (d *recorder) AnnounceStopped() { d.record("left") }
func (d *recorder) Stop()            { d.record("stop") }

func newDrain(b *board.Board, limit time.Duration) (*drain.Drain, *recorder) {
	b.Process.SetReady()
	d := &recorder{board: b}
	return &drain.Drain{
		Board: b, Members: d, Grants: d, BalancerLag: 2 * time.Second, Limit: limit, FlushDelay: time.Second, Log: slog.New(slog.DiscardHandler),
	}, d
}

func TestWaitAnnouncesLeaveAndFinishesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &board.Board{}
		d, calls := newDrain(b, time.Minute)
		endRequest := b.Process.Enter()
		go func() {
			time.Sleep(10 * time.Second)
			assert.Check(t, len(calls.all()) == 2, "still serving: %v", calls.all())
			endRequest()
		}()
		began := time.Now()
		d.Wait(t.Context())
		took := time.Since(began)
		assert.Assert(t, took >= 11*time.Second && took < 12*time.Second, "%s", took)
		assert.DeepEqual(t, calls.all(), []string{"leave", "stop", "left"})
	})
}

func TestWaitAllowsForBalancerLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newDrain(&board.Board{}, time.Minute)
		began := time.Now()
		d.Wait(t.Context())
		assert.Equal(t, time.Since(began), 3*time.Second)
	})
}

func TestCancelledContextEndsWaitAtOnce(t *testing.T) {
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

func TestLimitEndsAHangingDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &board.Board{}
		d, _ := newDrain(b, 30*time.Second)
		defer b.Process.Enter()()
		began := time.Now()
		d.Wait(t.Context())
		assert.Equal(t, time.Since(began), 30*time.Second)
	})
}
