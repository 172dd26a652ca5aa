package assist_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/assist"
	"github.com/tarragonspur/tarragonspur/internal/front"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// servers returns the backend server of a run and the one that receives its memory.
func servers() (source, target pool.Server) {
	source = pool.Server{ID: "s1", Address: netip.MustParseAddrPort("192.0.2.1:80"), Domain: "d1", Region: "east"}
	target = pool.Server{ID: "s2", Address: netip.MustParseAddrPort("192.0.2.2:80"), Domain: "d1", Region: "east"}
	return source, target
}

// stub is what a host that is asked reaches and knows.
type stub struct {
	made  front.Copy
	err   error
	known []pool.Server
	pause time.Duration
	// moves counts the calls to the backend server, sent those that were recorded.
	moves, sent int
}

func (s *stub) Move(context.Context, netip.AddrPort, string, netip.AddrPort) (front.Copy, error) {
	s.moves++
	return s.made, s.err
}

func (s *stub) ServerAt(address netip.AddrPort) (pool.Server, bool) {
	for _, server := range s.known {
		if server.Address == address {
			return server, true
		}
	}
	return pool.Server{}, false
}

func (s *stub) WaitToResume(string) time.Duration { return s.pause }

func (s *stub) Sent(string) { s.sent++ }

// hosts are the hosts near every failure domain.
type hosts []mirror.Host

func (h hosts) HostsNear(_, _ string, n int) []mirror.Host { return h[:min(n, len(h))] }

// serve starts a host and returns it.
func serve(t *testing.T, s *stub) mirror.Host {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	(&assist.Server{Mover: s, Servers: s, Log: slog.New(slog.DiscardHandler)}).Register(server)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	t.Cleanup(func() {
		server.Stop()
		assert.NilError(t, <-ended)
	})
	return mirror.Host{Name: "h1", Address: netip.MustParseAddrPort(l.Addr().String())}
}

// silentHost returns a host that accepts connections and never answers.
func silentHost(t *testing.T) mirror.Host {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return mirror.Host{Name: "silent", Address: netip.MustParseAddrPort(l.Addr().String())}
}

func TestOtherHostsSayWhetherARunHasEnded(t *testing.T) {
	source, target := servers()
	both := []pool.Server{source, target}
	moved := source
	moved.ID = "s3"
	for _, tc := range []struct {
		name string
		host stub
		want error
		// isAsked is set if the backend server is asked.
		isAsked bool
	}{
		{"moved", stub{made: front.Copy{Address: source.Address, Name: "c1"}, known: both}, nil, true},
		{"no such run", stub{err: front.ErrNoRun, known: both}, front.ErrNoRun, true},
		{"refused", stub{err: front.ErrRefused, known: both}, front.ErrRefused, true},
		{"nothing listens", stub{err: syscall.ECONNREFUSED, known: both}, syscall.ECONNREFUSED, true},
		{"not reached", stub{err: context.DeadlineExceeded, known: both}, assist.ErrUnknown, true},
		{"source not known", stub{known: both[1:]}, assist.ErrUnknown, false},
		{"target not known", stub{known: both[:1]}, assist.ErrUnknown, false},
		{"another server at the address", stub{known: []pool.Server{moved, target}}, assist.ErrUnknown, false},
		{"the server wants no requests", stub{known: both, pause: time.Second}, assist.ErrUnknown, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := assist.Client{Hosts: hosts{serve(t, &tc.host)}, Log: slog.New(slog.DiscardHandler)}
			made, err := c.Move(t.Context(), source, "run", target)
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
			assert.Equal(t, made, tc.host.made)
			assert.Equal(t, tc.host.moves == 1, tc.isAsked)
			assert.Equal(t, tc.host.sent, tc.host.moves)
		})
	}
}

// TestSilentHostDoesNotHideARunsEnd guards against a first host that never answers.
func TestSilentHostDoesNotHideARunsEnd(t *testing.T) {
	source, target := servers()
	asked := &stub{err: front.ErrNoRun, known: []pool.Server{source, target}}
	c := assist.Client{Hosts: hosts{silentHost(t), serve(t, asked)}, Log: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := c.Move(ctx, source, "run", target)
	assert.Assert(t, errors.Is(err, front.ErrNoRun), "%v", err)
}

func TestNoOtherHost(t *testing.T) {
	source, target := servers()
	c := assist.Client{Hosts: hosts{}, Log: slog.New(slog.DiscardHandler)}
	_, err := c.Move(t.Context(), source, "run", target)
	assert.Assert(t, errors.Is(err, assist.ErrUnknown), "%v", err)
}
