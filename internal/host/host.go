// Package host composes one entry host from its controllers and servers.
package host

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/dig"
	"golang.org/x/net/netutil"

	"github.com/tarragonspur/tarragonspur/internal/admin"
	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/drain"
	"github.com/tarragonspur/tarragonspur/internal/entry"
	"github.com/tarragonspur/tarragonspur/internal/group"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/internal/metric"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/secure"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const idleTimeout = 2 * time.Minute

// Controller is one activity of a host.
type Controller interface {
	// Name names the controller in logs.
	Name() string
	// Run works until ctx ends; an error stops the host.
	Run(ctx context.Context) error
}

// Listeners are the open listeners of a host.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
	Metrics   net.Listener
}

// Listen opens the listeners that the settings name and writes the real ports back into them.
func Listen(ctx context.Context, s *config.Settings) (Listeners, error) {
	var l Listeners
	err := httpd.ListenAll(ctx,
		httpd.Port{Name: "callers", Address: &s.Callers, Listener: &l.Callers},
		httpd.Port{Name: "operators", Address: &s.Operators, Listener: &l.Operators},
		httpd.Port{Name: "peers", Address: &s.Peers, Listener: &l.Peers},
		httpd.Port{Name: "metrics", Address: &s.Metrics, Listener: &l.Metrics},
	)
	return l, err
}

// Close closes the listeners that are open.
func (l *Listeners) Close() {
	httpd.Close(l.Callers, l.Operators, l.Peers, l.Metrics)
}

// Host is one entry host.
type Host struct {
	dig.In

	Settings    config.Settings
	Listeners   Listeners
	Board       *board.Board
	Entry       *entry.API
	Admin       *admin.Admin
	Metrics     *metric.Set
	Peers       *peer.Server
	Source      *secure.CertificateSource
	Drain       *drain.Drain
	Controllers []Controller
	Closers     []Closer
	Log         *slog.Logger
}

// Closer releases the connections of a client.
type Closer interface{ Close() }

// Run serves until ctx ends, then drains; it ends at once when abort ends.
func (h *Host) Run(ctx, abort context.Context) error {
	var activities []func(context.Context) error
	for _, p := range h.parts() {
		activities = append(activities, func(ctx context.Context) error { return errors.Wrapf(p.run(ctx), "%s", p.name) })
	}
	h.Log.Info("host serves", "host", h.Settings.Host, "domain", h.Settings.Domain, "callers", h.Settings.Callers, "operators", h.Settings.Operators, "peers", h.Settings.Peers)
	err := group.Run(ctx, abort, func() { h.Drain.Wait(abort) }, activities)
	for _, c := range h.Closers {
		c.Close()
	}
	h.Log.Info("host stopped", "host", h.Settings.Host)
	return err
}

// part is one goroutine of the host.
type part struct {
	name string
	run  func(context.Context) error
}

func (h *Host) parts() []part {
	parts := []part{
		{"callers", h.serveHTTP(netutil.LimitListener(h.Listeners.Callers, h.Settings.Limits.Connections), h.Entry.Handler())},
		{"operators", h.serveHTTP(h.encrypt(h.Listeners.Operators), h.Admin.Handler())},
		{"metrics", h.serveHTTP(h.Listeners.Metrics, h.Metrics.Handler())},
		{"peers", func(ctx context.Context) error { return h.Peers.Serve(ctx, h.Listeners.Peers) }},
	}
	for _, c := range h.Controllers {
		parts = append(parts, part{c.Name(), c.Run})
	}
	return parts
}

// encrypt demands mutual TLS on a listener where the settings name a certificate.
func (h *Host) encrypt(l net.Listener) net.Listener {
	if h.Source == nil {
		return l
	}
	return tls.NewListener(l, h.Source.Server())
}

func (h *Host) serveHTTP(l net.Listener, handler http.Handler) func(context.Context) error {
	limits := h.Settings.Limits
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: time.Duration(limits.HeaderRead),
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(h.Log.Handler(), slog.LevelDebug),
	}
	return func(ctx context.Context) error { return httpd.Serve(ctx, server, l) }
}
