// Package site runs one entry host on the users' platform.
package site

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/group"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// idleTimeout exceeds the time for which callers keep idle connections by the deployments' tables.
	idleTimeout = 30 * time.Second
	// rotationLag is the time that the balancer needs to stop sending new connections: two missed checks, a second apart.
	rotationLag = 3200 * time.Millisecond
	// lastMoments is the part of the grace period in which the process ends by itself.
	lastMoments = 500 * time.Millisecond
	// memoryPart of the allowed memory is the goal of the garbage collector; the rest is for what it does not count.
	memoryPart = 0.6
	// megabyte is the unit of the memory setting.
	megabyte = 1 << 20
)

// Controller is one activity of a host.
type Controller interface {
	// Name names the controller in logs.
	Name() string
	// Run works until ctx ends; an error stops the host.
	Run(ctx context.Context) error
}

// Site is one entry host on the users' platform.
type Site struct {
	parts

	// Reload reads the settings again.
	Reload func() (config.Settings, error)

	stopping atomic.Bool
}

// Run serves until ctx ends, then lets requests end within the grace period; it ends at once when abort ends.
func (s *Site) Run(ctx, abort context.Context) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(s.Settings.Platform.MemoryMB) * megabyte))
	logging, endLogging := context.WithCancel(context.WithoutCancel(abort))
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		s.Lines.Run(logging)
	}()
	defer func() {
		endLogging()
		<-logged
	}()

	callers := s.callerServer()
	activities := []func(context.Context) error{
		func(ctx context.Context) error { return httpd.Serve(ctx, callers, s.Listeners.callers) },
		s.serve(s.Listeners.ready, s.readiness()),
		s.serve(s.Listeners.metrics, s.Metrics.Handler()),
		s.watchReload,
	}
	for _, c := range s.Controllers {
		activities = append(activities, func(ctx context.Context) error { return errors.Wrapf(c.Run(ctx), "%s", c.Name()) })
	}
	s.Log.Info("host serves", "host", s.Settings.Host, "domain", s.Settings.Domain, "region", s.Settings.Region,
		"callers", s.Settings.Callers, "peers", s.Settings.Peers, "store", s.Settings.Store)
	err := group.Run(ctx, abort, func() { s.drain(abort, callers) }, activities)
	s.Log.Info("host stopped", "host", s.Settings.Host, "error", err)
	return err
}

// drain takes the host out of rotation and waits for its requests.
func (s *Site) drain(abort context.Context, callers *http.Server) {
	began := time.Now()
	s.stopping.Store(true)
	s.Gossip.Leave()
	s.Front.StopAt(began.Add(time.Duration(s.Settings.Platform.Grace) - lastMoments))
	callers.SetKeepAlivesEnabled(false)
	s.Log.Info("host stops", "grace", time.Duration(s.Settings.Platform.Grace))
	limited, cancel := context.WithTimeout(abort, time.Duration(s.Settings.Platform.Grace)-lastMoments)
	defer cancel()
	timer := time.NewTimer(rotationLag)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-limited.Done():
	}
	s.Front.Wait(limited)
	s.Log.Info("requests ended", "after", time.Since(began), "all", limited.Err() == nil)
}

func (s *Site) serve(l net.Listener, handler http.Handler) func(context.Context) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Duration(s.Settings.Limits.HeaderRead), IdleTimeout: idleTimeout}
	return func(ctx context.Context) error { return httpd.Serve(ctx, server, l) }
}

// readiness answers the platform's readiness checks on any path.
func (s *Site) readiness() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/*", func(w http.ResponseWriter, _ *http.Request) {
		if !s.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// IsReady reports whether callers may be sent here: a table and backend servers are known and the host goes on.
func (s *Site) IsReady() bool {
	table, _ := s.Holder.View()
	return table != nil && !s.stopping.Load() && s.Pool.HasSynced()
}

// watchReload reads the settings again at each SIGHUP.
func (s *Site) watchReload(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return nil
		}
		if s.Reload == nil {
			continue
		}
		next, err := s.Reload()
		if err != nil {
			s.Log.Error("settings not reloaded", "error", err)
			continue
		}
		s.Front.SetKeyAge(keyAge(next))
		s.Log.Info("settings reloaded", "key_age", keyAge(next))
	}
}
