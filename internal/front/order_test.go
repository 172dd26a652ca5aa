package front_test

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// path is the network path between a host and a backend server.
type path struct {
	listener net.Listener
	to       netip.AddrPort
	// isSilent makes the path keep bytes and connections to itself.
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
		if !ok || p.isSilent.Load() {
			continue
		}
		far, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(p.to))
		if err != nil {
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
		if !p.isSilent.Load() {
			_, _ = to.Write(buf[:n])
		}
		switch {
		case err == nil:
		case errorIsEnd(err) && !p.isSilent.Load():
			_ = to.CloseWrite()
			return
		default:
			return
		}
	}
}

// breakConnections ends the connections at the host's end only.
func (p *path) breakConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	p.conns = nil
}

func errorIsEnd(err error) bool { return err.Error() == "EOF" }

// TestRunHasEndedBeforeItGoesOnElsewhere guards against two backend servers at work on one run: whatever makes a stream leave its
// backend server, that has ended the run by the time at which another one receives it.
func TestRunHasEndedBeforeItGoesOnElsewhere(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		// ignoresEnds is set if the backend server does not notice the end of its connections.
		ignoresEnds bool
		leave       func(r *rig, source *plat.Server, p *path)
	}{
		{"its server leaves", "/report/x", false, func(r *rig, source *plat.Server, p *path) { r.putAt(r.index(source), p.address(), true) }},
		{"its server leaves and does not notice the end of the connection", "/report/x", true, func(r *rig, source *plat.Server, p *path) { r.putAt(r.index(source), p.address(), true) }},
		{"its connection breaks at the host only", "/report/x", true, func(_ *rig, _ *plat.Server, p *path) { p.breakConnections() }},
		{"its connection breaks at the host only, where any server may resume", "/note/x", true, func(_ *rig, _ *plat.Server, p *path) { p.breakConnections() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 4)
			var paths []*path
			for i, e := range r.engines {
				p := newPath(t, e.Address())
				paths = append(paths, p)
				r.putAt(i, p.address(), false)
				e.Public = p.address()
			}
			var both atomic.Bool
			for _, e := range r.engines {
				e.Events, e.Pause, e.IgnoresEnds = 60, 20*time.Millisecond, tc.ignoresEnds
				e.Script = func(_ net.Conn, q *plat.Request) bool {
					for _, other := range r.engines {
						if other != e && q.Method == http.MethodPost && q.Attempt() == attempt && other.IsAtWork(attempt) {
							both.Store(true)
						}
					}
					return false
				}
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
