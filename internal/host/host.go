// Package host runs a host's servers and controllers until it is stopped.
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

	"github.com/tarragonspur/tarragonspur/internal/admin"
	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/drain"
	"github.com/tarragonspur/tarragonspur/internal/entry"
	"github.com/tarragonspur/tarragonspur/internal/group"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/internal/intake"
	"github.com/tarragonspur/tarragonspur/internal/metric"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/secure"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// idleTimeout closes keep-alive connections without a request.
	idleTimeout = 2 * time.Minute
	// peersPart and operatorsPart divide the callers' limits of connections for the addresses for other hosts, and for operators and
	// metrics, which have places of their own.
	peersPart     = 2
	operatorsPart = 4
)

// Controller is a background task of a host.
type Controller interface {
	// Name returns the controller's name for log lines.
	Name() string
	// Run blocks until ctx is cancelled; when it returns, the host stops.
	Run(ctx context.Context) error
}

// Listeners are the open listeners of a host.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
	Metrics   net.Listener
}

// Listen opens the listeners that the settings name and writes the bound addresses back to s.
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

// Host holds the servers and controllers of one host.
type Host struct {
	dig.In

	Settings     config.Settings
	Listeners    Listeners
	Board        *board.Board
	Entry        *entry.API
	Admin        *admin.Admin
	Metrics      *metric.Set
	Intake       *metric.Intake
	Peers        *peer.Server
	Certificates *secure.CertificateSource
	Drain        *drain.Drain
	Controllers  []Controller
	Closers      []Closer
	Log          *slog.Logger
}

// Closer is a client whose connections are closed when the host stops.
type Closer interface{ Close() }

// Run serves until ctx is cancelled, then drains; it stops at once when abort is cancelled. It returns the errors of
// the servers and controllers.
func (h *Host) Run(ctx, abort context.Context) error {
	tasks, err := h.tasks()
	if err != nil {
		return err
	}
	var runFuncs []func(context.Context) error
	for _, t := range tasks {
		runFuncs = append(runFuncs, func(ctx context.Context) error { return errors.Wrapf(t.run(ctx), "%s", t.name) })
	}
	h.Log.Info("host serves", "host", h.Settings.Host, "domain", h.Settings.Domain, "callers", h.Settings.Callers, "operators", h.Settings.Operators, "peers", h.Settings.Peers)
	err = group.Run(ctx, abort, func() { h.Drain.Wait(abort) }, runFuncs)
	for _, c := range h.Closers {
		c.Close()
	}
	h.Log.Info("host stopped", "host", h.Settings.Host)
	return err
}

// task is a server or controller that runs in a goroutine of its own.
type task struct {
	name string
	run  func(context.Context) error
}

func (h *Host) tasks() ([]task, error) {
	limits := intake.NewLimits(h.Settings)
	var errs [4]error
	var callers, operators, metrics, peers *intake.Listener
	callers, errs[0] = intake.New(h.Listeners.Callers, "callers", limits, h.Intake, h.Log)
	operators, errs[1] = intake.New(h.wrapTLS(h.Listeners.Operators), "operators", limits.Part(operatorsPart), h.Intake, h.Log)
	metrics, errs[2] = intake.New(h.Listeners.Metrics, "metrics", limits.Part(operatorsPart), h.Intake, h.Log)
	peers, errs[3] = intake.New(h.Listeners.Peers, "peers", limits.Part(peersPart), h.Intake, h.Log)
	if err := errors.Join(errs[:]...); err != nil {
		return nil, errors.Wrap(err, "limit connections")
	}
	calls := intake.NewCalls(peers, time.Duration(h.Settings.Limits.HeaderRead))
	tasks := []task{
		{"callers", h.serveHTTP(callers, h.Entry.Handler())},
		{"operators", h.serveHTTP(operators, h.Admin.Handler())},
		{"metrics", h.serveHTTP(metrics, h.Metrics.Handler())},
		{"peers", func(ctx context.Context) error { return h.Peers.Serve(ctx, calls) }},
	}
	for _, c := range h.Controllers {
		tasks = append(tasks, task{c.Name(), c.Run})
	}
	return tasks, nil
}

// wrapTLS wraps a listener in mutual TLS, or returns it as it is if no certificate is configured.
func (h *Host) wrapTLS(l net.Listener) net.Listener {
	if h.Certificates == nil {
		return l
	}
	return tls.NewListener(l, h.Certificates.Server())
}

func (h *Host) serveHTTP(l *intake.Listener, handler http.Handler) func(context.Context) error {
	limits := h.Settings.Limits
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: time.Duration(limits.HeaderRead),
		// Go's server reads the rest of a body that its handler left before it answers, and removes the deadline after a whole body.
		ReadTimeout: time.Duration(limits.HeaderRead + limits.BodyRead),
		IdleTimeout: idleTimeout,
		ConnState:   l.Track,
		ErrorLog:    slog.NewLogLogger(h.Log.Handler(), slog.LevelDebug),
	}
	return func(ctx context.Context) error { return httpd.Serve(ctx, server, l) }
}
