// Package site runs one entry host on the users' platform.
package site

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/group"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/internal/intake"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// idleTimeout exceeds the time for which callers keep idle connections according to the deployments' tables.
	idleTimeout = 30 * time.Second
	// balancerDelay is how long the load balancer may still send new connections: until two readiness checks, one second
	// apart, have failed.
	balancerDelay = 3200 * time.Millisecond
	// rerouteDelay is the time from a stop after which callers usually reach other hosts. It has no reserve for slow checks, unlike
	// balancerDelay: plain requests with a long time limit that come later are refused.
	rerouteDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period reserved for the process to exit, abortTime that for requests that are
	// aborted at the end to write their errors and log lines.
	shutdownMargin = 150 * time.Millisecond
	abortTime      = 150 * time.Millisecond
	// memoryFraction is the fraction of the allowed memory set as the garbage collector's limit; the rest is for memory
	// that it does not count.
	memoryFraction = 0.6
	// checkTimeout bounds the answers to readiness checks and for metrics, also to callers that do not read them.
	checkTimeout = 30 * time.Second
	// megabyte is the unit of the memory setting.
	megabyte = 1 << 20
)

// Controller is a background activity of a host.
type Controller interface {
	// Name names the controller in logs.
	Name() string
	// Run runs until ctx ends; an error stops the host.
	Run(ctx context.Context) error
}

// Site is one entry host on the users' platform.
type Site struct {
	components

	// Reload reads the settings again, at each signal from Reloads.
	Reload  func() (config.Settings, error)
	Reloads <-chan os.Signal

	// builtAt is when the host was built.
	builtAt    time.Time
	isStopping atomic.Bool
}

// Run serves until ctx ends, then drains requests within the grace period; it returns at once when abort ends.
func (s *Site) Run(ctx, abort context.Context) error {
	debug.SetMemoryLimit(int64(memoryFraction * float64(s.Settings.Platform.MemoryMB) * megabyte))
	logCtx, stopLogging := context.WithCancel(context.WithoutCancel(abort))
	loggingDone := make(chan struct{})
	go func() {
		defer close(loggingDone)
		s.Lines.Run(logCtx)
	}()
	defer func() {
		stopLogging()
		<-loggingDone
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

// drain fails the readiness check, so that the load balancer drops the host, waits for its requests, and aborts those that are
// still in progress near the end of the grace period.
func (s *Site) drain(abort context.Context, callers *http.Server) {
	start := time.Now()
	s.isStopping.Store(true)
	s.Gossip.Leave()
	grace := time.Duration(s.Settings.Platform.Grace)
	end := start.Add(grace - shutdownMargin - abortTime)
	s.Front.StopAt(start.Add(rerouteDelay), end)
	callers.SetKeepAlivesEnabled(false)
	s.Log.Info("host stops", "grace", grace)
	drainCtx, cancel := context.WithDeadline(abort, end)
	defer cancel()
	ticks.Sleep(drainCtx, balancerDelay)
	s.Front.Wait(drainCtx)
	// Requests that arrive from now on are refused; those that have just been taken are waited for.
	s.Front.StopAt(start, time.Now())
	s.Front.Wait(drainCtx)
	isComplete := drainCtx.Err() == nil
	s.Front.Abort()
	abortCtx, stopWaiting := context.WithTimeout(abort, abortTime)
	defer stopWaiting()
	s.Front.Wait(abortCtx)
	s.Log.Info("requests ended", "after", time.Since(start), "all", isComplete)
}

func (s *Site) serve(l *intake.Listener, handler http.Handler) func(context.Context) error {
	server := s.server(l, handler)
	server.WriteTimeout = checkTimeout
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

// IsReady reports whether the host can serve callers: it has a table, backend servers and, for some seconds, orders for roll-outs, and is
// not stopping.
func (s *Site) IsReady() bool {
	table, _ := s.Holder.View()
	hasOrders := s.Rollouts == nil || s.Rollouts.IsSynced() || time.Since(s.builtAt) > rolloutsWait
	return table != nil && !s.isStopping.Load() && s.Pool.HasSynced() && hasOrders
}

// watchReload reloads the settings at each signal; only the key age takes effect.
func (s *Site) watchReload(ctx context.Context) error {
	for {
		select {
		case <-s.Reloads:
		case <-ctx.Done():
			return nil
		}
		if s.Reload == nil {
			continue
		}
		next, err := s.Reload()
		if err != nil {
			s.Log.Error("could not reload settings", "error", err)
			continue
		}
		s.Front.SetMaxKeyAge(keyAge(next))
		s.Log.Info("settings reloaded", "key_age", keyAge(next))
	}
}
