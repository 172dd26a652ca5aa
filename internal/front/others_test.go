package front_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/front"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// slowOtherHost is another host whose answer takes a time after the run has ended, as the copy takes a time.
type slowOtherHost struct {
	otherHost

	delay time.Duration
	// asked is called before the run is ended.
	asked func()
	calls atomic.Int32
}

// Move implements front.Others.
func (o *slowOtherHost) Move(ctx context.Context, at pool.Server, run string, to pool.Server) (front.Copy, error) {
	o.calls.Add(1)
	if o.asked != nil {
		o.asked()
	}
	made, err := o.otherHost.Move(ctx, at, run, to)
	select {
	case <-ctx.Done():
		return front.Copy{}, ctx.Err()
	case <-time.After(o.delay):
	}
	return made, err
}

// refuseNew makes new connections of a path fail, those that are open stay.
func (p *path) refuseNew(t *testing.T) {
	t.Helper()
	p.silence(t)
	p.isSilent.Store(false)
}

// TestUnframedStreamThatAnotherHostEndsDoesNotLookComplete guards against a stream that ends as another host asked it to and passes for
// a whole one.
func TestUnframedStreamThatAnotherHostEndsDoesNotLookComplete(t *testing.T) {
	r, paths := newPathRig(t)
	other := &slowOtherHost{otherHost: otherHost{r}, delay: 200 * time.Millisecond}
	r.Others = other
	const events = 60
	stopped := make(chan struct{})
	var once sync.Once
	for _, e := range r.engines {
		e.Events, e.Pause = events, 5*time.Millisecond
		e.Script = func(conn net.Conn, q *plat.Request) bool {
			if q.URL.Path == movePath {
				once.Do(func() { close(stopped) })
				plat.Reply(conn, q, http.StatusNotFound, "", "")
				return true
			}
			if q.Header.Get("Token-Usage") == "" || q.ResumesRun() {
				return false
			}
			r.copies.Add(q.Header.Get("Kv-Backup") + "/" + attempt)
			writeUnframed(conn, "HTTP/1.1", "")
			for n := range events {
				_, _ = io.WriteString(conn, plat.Event(attempt, n))
				pause := 20 * time.Millisecond
				if n == 40 {
					pause = 5 * time.Second
				}
				select {
				case <-stopped:
					return true
				case <-time.After(pause):
				}
			}
			return true
		}
	}
	done := make(chan reply, 1)
	ask := r.longRequest("/report/x", 8*time.Second)
	go func() { done <- r.do(t, ask) }()
	source := r.sourceOf(t)
	time.Sleep(time.Second) // the source pauses
	paths[r.index(source)].refuseNew(t)
	got := <-done
	assert.Assert(t, other.calls.Load() > 0)
	assert.Assert(t, got.err != nil || got.text == fullStream(events), "a partial stream of %d bytes looks complete", len(got.text))
}

// sourceOf returns the engine that received the rig's stream.
func (r *rig) sourceOf(t *testing.T) *plat.Server {
	t.Helper()
	var first *plat.Server
	eventually(t, "the request", func() bool {
		for _, e := range r.engines {
			for _, q := range e.Requests() {
				if q.Header.Get("Token-Usage") != "" {
					first = e
				}
			}
		}
		return first != nil
	})
	return first
}

// TestCopyByAnotherHostIsNotLost guards against a stream that is cut because the end of its connection comes before the answer of the
// host that ended its run and holds the name of its only copy.
func TestCopyByAnotherHostIsNotLost(t *testing.T) {
	r, paths := newPathRig(t)
	other := &slowOtherHost{otherHost: otherHost{r}, delay: 200 * time.Millisecond}
	r.Others = other
	ask := r.longRequest("/report/x", 8*time.Second)
	next := table()
	next.Version, next.Match("h.example", "/report/x").Timeout = 3, 8*time.Second
	next.Services["model"].Engine.SupportsStandby = false
	r.Tables.PutIfNewer(next)
	for _, e := range r.engines {
		e.Events, e.Pause = 4, 1500*time.Millisecond
	}
	done := make(chan reply, 1)
	go func() { done <- r.do(t, ask) }()
	source := r.runningEngine(t)
	time.Sleep(300 * time.Millisecond)
	paths[r.index(source)].refuseNew(t)
	got := <-done
	assert.Assert(t, other.calls.Load() > 0)
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, fullStream(4))
}

// gate is a budget that waits in its first call for a migration.
type gate struct {
	rig  *rig
	wait func()
	once sync.Once
}

func (g *gate) Arrived(string) {}

func (g *gate) Allow(string, bool) bool {
	g.once.Do(g.wait)
	return true
}

// TestClaimsOfAMigrationDuringAPathCheckAreReleased guards against memory that stays claimed after a run was ended by another host while
// its stream connected to its copy's backend server.
func TestClaimsOfAMigrationDuringAPathCheckAreReleased(t *testing.T) {
	r, paths := newPathRig(t)
	other := &slowOtherHost{otherHost: otherHost{r}}
	r.Others = other
	for _, e := range r.engines {
		e.IgnoresEnds, e.Events = true, 130
	}
	migrates := make(chan struct{})
	r.Budget = &gate{rig: r, wait: func() {
		close(migrates)
		time.Sleep(200 * time.Millisecond)
	}}
	var index atomic.Int32
	other.asked = func() {
		i := int(index.Load())
		r.putAt(i, paths[i].address(), true)
		select {
		case <-migrates:
		case <-time.After(400 * time.Millisecond):
		}
	}
	ask := r.longRequest("/report/x", 8*time.Second)
	done := make(chan reply, 1)
	go func() { done <- r.do(t, ask) }()
	source := r.runningEngine(t)
	index.Store(int32(r.index(source)))
	time.Sleep(700 * time.Millisecond)
	paths[index.Load()].silence(t)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, fullStream(130))
	eventually(t, "all claims to be released", func() bool { return len(r.Pool.LocalLoads()) == 0 })
}
