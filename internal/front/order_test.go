package front_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/front"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/platform"
)

// path is the network path between a host and a backend server.
type path struct {
	listener net.Listener
	to       netip.AddrPort
	// isCut makes the path reset new connections, as a server does that has as many as it accepts.
	isCut atomic.Bool
	// isSilent keeps everything that is sent over the path.
	isSilent atomic.Bool

	mu    sync.Mutex
	conns []*net.TCPConn
}

// newPath opens a path to a backend server.
func newPath(t *testing.T, to netip.AddrPort) *path {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", plat.ListenAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &path{listener: l, to: to}
	go p.accept()
	return p
}

func (p *path) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

func (p *path) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		near, ok := conn.(*net.TCPConn)
		if !ok {
			continue
		}
		far, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(p.to))
		if p.isSilent.Load() {
			return
		}
		if err != nil || p.isCut.Load() {
			_ = near.SetLinger(0)
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, near)
		p.mu.Unlock()
		go p.carry(near, far)
		go p.carry(far, near)
	}
}

// carry copies bytes in one direction. What the far end sends after the near one is gone is dropped, so that the far end does not
// notice.
func (p *path) carry(from, to *net.TCPConn) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if p.isSilent.Load() {
			return
		}
		_, _ = to.Write(buf[:n])
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
		}
		if err != nil {
			return
		}
	}
}

// breakConnections resets the connections at the host's end only, all at the same moment.
func (p *path) breakConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) == 0 {
		return
	}
	// The host reads what was sent before the resets discard it.
	time.Sleep(100 * time.Millisecond)
	for _, c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	p.conns = nil
}

// silence drops what is sent over the path, and what would open new connections: the listener's queue is full from then on.
func (p *path) silence(t *testing.T) {
	t.Helper()
	p.isSilent.Store(true)
	l, ok := p.listener.(*net.TCPListener)
	assert.Assert(t, ok)
	raw, err := l.SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	assert.NilError(t, err)
	dialer := net.Dialer{Timeout: 50 * time.Millisecond}
	for err == nil {
		var conn net.Conn
		conn, err = dialer.DialContext(t.Context(), "tcp", p.address().String())
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
}

// newPathRig starts a rig whose backend servers are reached over paths.
func newPathRig(t *testing.T) (*rig, []*path) {
	t.Helper()
	r := newRig(t, 4)
	var paths []*path
	for i, e := range r.engines {
		p := newPath(t, e.Address())
		paths = append(paths, p)
		r.putAt(i, p.address(), false)
		e.Public = p.address()
		e.Events, e.Pause = 60, 20*time.Millisecond
	}
	return r, paths
}

// otherHost is a host that reaches all backend servers without a path.
type otherHost struct{ rig *rig }

// Move implements front.Others.
func (o otherHost) Move(ctx context.Context, at pool.Server, run string, to pool.Server) (front.Copy, error) {
	for _, e := range o.rig.engines {
		if e.ID == at.ID {
			made, err := platform.Engines{}.Move(ctx, e.Address(), run, to.Address)
			made.Address = at.Address
			return made, err
		}
	}
	return front.Copy{}, front.ErrRefused
}

// cut breaks a path's connections and makes new ones fail without an answer.
func (p *path) cut(t *testing.T) {
	t.Helper()
	p.refuseNew(t)
	p.breakConnections()
}

// restore makes a path that was cut take connections again.
func (p *path) restore(t *testing.T) {
	t.Helper()
	l, ok := p.listener.(*net.TCPListener)
	assert.Assert(t, ok)
	raw, err := l.SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), syscall.SOMAXCONN) }))
	assert.NilError(t, err)
	go p.accept()
}

// recordOverlaps makes the engines record whether one receives the rig's request while another one works on it.
func (r *rig) recordOverlaps() *atomic.Bool {
	var both atomic.Bool
	for _, e := range r.engines {
		e.Script = func(_ net.Conn, q *plat.Request) bool {
			for _, other := range r.engines {
				if other != e && q.Method == http.MethodPost && q.Attempt() == attempt && other.IsAtWork(attempt) {
					both.Store(true)
				}
			}
			return false
		}
	}
	return &both
}

// longRequest returns a request whose stream may last for a time, also by its route.
func (r *rig) longRequest(path string, limit time.Duration) callerRequest {
	next := table()
	next.Version, next.Match("h.example", path).Timeout = 2, limit
	r.Tables.PutIfNewer(next)
	ask := streamRequest(path)
	ask.headers["Deadline-Ms"] = strconv.FormatInt(limit.Milliseconds(), 10)
	return ask
}

// TestRunHasEndedBeforeItGoesOnElsewhere guards against two backend servers at work on one run: whatever makes a stream leave its
// backend server, that has ended the run by the time at which another one receives it.
func TestRunHasEndedBeforeItGoesOnElsewhere(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		// ignoresEnds is set if the backend server does not notice the end of its connections.
		ignoresEnds bool
		// closesEnds is set if the backend server closes its end of a connection as the host does, and works on.
		closesEnds bool
		leave      func(r *rig, source *plat.Server, p *path)
	}{
		{"its server leaves", "/report/x", false, false, func(r *rig, source *plat.Server, p *path) { r.putAt(r.index(source), p.address(), true) }},
		{"its server leaves and does not notice the end of the connection", "/report/x", true, false, func(r *rig, source *plat.Server, p *path) { r.putAt(r.index(source), p.address(), true) }},
		{"its connection breaks at the host only", "/report/x", true, false, func(_ *rig, _ *plat.Server, p *path) { p.breakConnections() }},
		{"its connection breaks at the host only, where any server may resume", "/note/x", true, false, func(_ *rig, _ *plat.Server, p *path) { p.breakConnections() }},
		{"only another host reaches its server", "/report/x", true, false, func(_ *rig, _ *plat.Server, p *path) { p.cut(t) }},
		{"only another host reaches its server, where any server may resume", "/note/x", true, false, func(_ *rig, _ *plat.Server, p *path) { p.cut(t) }},
		{"its server leaves, closes the connection and works on", "/report/x", false, true, func(r *rig, source *plat.Server, p *path) { r.putAt(r.index(source), p.address(), true) }},
		{"its server leaves, closes the connection and works on, where any server may resume", "/note/x", false, true, func(r *rig, source *plat.Server, p *path) { r.putAt(r.index(source), p.address(), true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, paths := newPathRig(t)
			r.Others = otherHost{r}
			both := r.recordOverlaps()
			for _, e := range r.engines {
				e.IgnoresEnds, e.ClosesEnds = tc.ignoresEnds, tc.closesEnds
			}
			answers := make(chan reply, 1)
			go func() { answers <- r.do(t, streamRequest(tc.path)) }()
			source := r.runningEngine(t)
			time.Sleep(200 * time.Millisecond)
			tc.leave(r, source, paths[r.index(source)])
			got := <-answers
			assert.NilError(t, got.err)
			assert.Equal(t, got.text, fullStream(60))
			assert.Equal(t, len(r.received()), 2, "the run went on elsewhere")
			assert.Assert(t, !both.Load(), "a backend server received the request while another one worked on it")
		})
	}
}

// TestUnreachableRunEndsWhenItsPathReturns guards against a run that works on after its stream has gone on elsewhere, because its backend
// server could not be reached at that time.
func TestUnreachableRunEndsWhenItsPathReturns(t *testing.T) {
	r, paths := newPathRig(t)
	for _, e := range r.engines {
		e.IgnoresEnds, e.Events = true, 130
	}
	answers := make(chan reply, 1)
	ask := r.longRequest("/report/x", 6*time.Second)
	go func() { answers <- r.do(t, ask) }()
	source := r.runningEngine(t)
	time.Sleep(200 * time.Millisecond)
	p := paths[r.index(source)]
	p.cut(t)
	eventually(t, "the stream to go on elsewhere", func() bool { return len(r.received()) == 2 })
	assert.Assert(t, source.IsAtWork(attempt), "nobody could end the run")
	returnedAt := time.Now()
	p.restore(t)
	eventually(t, "the run to end", func() bool { return !source.IsAtWork(attempt) })
	assert.Assert(t, time.Since(returnedAt) < 400*time.Millisecond, "it took %s", time.Since(returnedAt))
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, fullStream(130))
	eventually(t, "the unused copy to be freed", func() bool {
		all := source.Requests()
		return all[len(all)-1].Method == http.MethodDelete
	})
}

// TestRunThatIsAtWorkDoesNotGoOnElsewhere guards against a second run beside one of which its backend server does not say that it has
// ended.
func TestRunThatIsAtWorkDoesNotGoOnElsewhere(t *testing.T) {
	for _, tc := range []struct{ name, path string }{
		{"from its copy", "/report/x"},
		{"where any server may resume", "/note/x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, paths := newPathRig(t)
			for _, e := range r.engines {
				e.IgnoresEnds, e.Events = true, 130
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					isMove := q.URL.Path == "/tarragonspur/kv-move"
					if isMove {
						plat.Reply(conn, q, http.StatusServiceUnavailable, "", "")
					}
					return isMove
				}
			}
			answers := make(chan reply, 1)
			go func() { answers <- r.do(t, streamRequest(tc.path)) }()
			source := r.runningEngine(t)
			time.Sleep(200 * time.Millisecond)
			paths[r.index(source)].breakConnections()
			got := <-answers
			assert.Assert(t, got.err != nil, "a partial stream must not look complete")
			assert.Equal(t, len(r.received()), 1, "no other backend server has received the request")
		})
	}
}

// TestYoungRunIsMigratedOnceItsCopyIsThere guards against a run that ends for a copy whose memory has not arrived yet.
func TestYoungRunIsMigratedOnceItsCopyIsThere(t *testing.T) {
	r := newRig(t, 4)
	for _, e := range r.engines {
		e.Events, e.Pause, e.BackupDelay = 60, 20*time.Millisecond, 400*time.Millisecond
	}
	answers := make(chan reply, 1)
	go func() { answers <- r.do(t, streamRequest("/report/x")) }()
	source := r.runningEngine(t)
	time.Sleep(50 * time.Millisecond)
	r.put(r.index(source), true)
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, fullStream(60))
	assert.Equal(t, len(r.received()), 2, "the run went on elsewhere")
}

// TestRunDoesNotGoBackToWhereItIsEnded guards against a run that is ended by a call that was meant for an earlier one at the same backend
// server.
func TestRunDoesNotGoBackToWhereItIsEnded(t *testing.T) {
	for _, tc := range []struct {
		name           string
		isEndedByOther bool
	}{
		{"in the background", false},
		{"by another host, which may be late with a second call", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, paths := newPathRig(t)
			if tc.isEndedByOther {
				r.Others = otherHost{r}
			}
			for _, e := range r.engines {
				e.IgnoresEnds, e.Events = true, 130
			}
			ask := r.longRequest("/report/x", 6*time.Second)
			answers := make(chan reply, 1)
			go func() { answers <- r.do(t, ask) }()
			source := r.runningEngine(t)
			time.Sleep(200 * time.Millisecond)
			p := paths[r.index(source)]
			p.cut(t)
			eventually(t, "the stream to go on elsewhere", func() bool { return len(r.received()) == 2 })
			p.restore(t)
			for i, e := range r.engines {
				if e != source {
					r.putAt(i, paths[i].address(), true)
				}
			}
			<-answers
			assert.Equal(t, len(r.received()), 2, "the first backend server got the request once more")
		})
	}
}

// TestRunIsNotCopiedBetweenRegions guards against a copy over the link between two regions, which would hold up all others.
func TestRunIsNotCopiedBetweenRegions(t *testing.T) {
	r, paths := newPathRig(t)
	answers := make(chan reply, 1)
	go func() { answers <- r.do(t, streamRequest("/note/x")) }()
	source := r.runningEngine(t)
	for i, e := range r.engines {
		if e != source && i%2 == 0 {
			r.Pool.Put(pool.Server{ID: e.ID, Service: "model", Address: paths[i].address(), Domain: "d2", Region: "west", Slots: 8}, time.Now())
		}
	}
	time.Sleep(200 * time.Millisecond)
	paths[r.index(source)].breakConnections()
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, fullStream(60))
	moves := 0
	for _, q := range source.Requests() {
		if q.URL.Path == "/tarragonspur/kv-move" {
			moves++
			assert.Assert(t, strings.Contains(q.Text, `"target":"`+paths[r.index(source)].address().String()+`"`), q.Text)
		}
	}
	assert.Assert(t, moves > 0)
}
