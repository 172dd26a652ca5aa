package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults, which may overlap.
	meanFaultInterval = 500 * time.Millisecond
	// maxFaultDuration bounds the time until a fault is undone.
	maxFaultDuration = 2500 * time.Millisecond
)

// fault is one kind of fault; inject causes it and returns the function that undoes it.
type fault struct {
	name   string
	inject func(s *Soak, r *rand.Rand) (undo func())
}

// faults lists all kinds of faults.
func faults() []fault {
	return []fault{
		{"host killed", func(s *Soak, r *rand.Rand) func() {
			h, end := s.disturbHost(r)
			h.kill()
			return func() { s.restart(h); end() }
		}},
		{"host terminated", func(s *Soak, r *rand.Rand) func() {
			h, end := s.disturbHost(r)
			go h.terminate()
			return func() { h.terminate(); s.restart(h); end() }
		}},
		{"host paused", func(s *Soak, r *rand.Rand) func() {
			h, end := s.disturbHost(r)
			h.signal(syscall.SIGSTOP)
			return func() { h.signal(syscall.SIGCONT); end() }
		}},
		{"host reloaded", func(s *Soak, r *rand.Rand) func() {
			s.hosts[r.IntN(len(s.hosts))].signal(syscall.SIGHUP)
			return func() {}
		}},
		{"link to the store degraded", func(s *Soak, r *rand.Rand) func() {
			h, end := s.disturbHost(r)
			undo := degradeLink(s.storeProxies[h.index], r)
			return func() { undo(); end() }
		}},
		{"link to a backend server degraded", func(s *Soak, r *rand.Rand) func() {
			return degradeLink(s.serverProxies[r.IntN(len(s.serverProxies))], r)
		}},
		{"connections to a backend server reset", func(s *Soak, r *rand.Rand) func() {
			s.serverProxies[r.IntN(len(s.serverProxies))].reset()
			return func() {}
		}},
		{"backend server crashed", func(s *Soak, r *rand.Rand) func() {
			i := r.IntN(len(s.town.Servers))
			s.serverProxies[i].stopListening()
			s.town.Servers[i].Crash()
			return func() { s.restartServer(i) }
		}},
		{"backend server draining", func(s *Soak, r *rand.Rand) func() {
			e := s.town.Servers[r.IntN(len(s.town.Servers))]
			s.town.Register(e, true)
			return func() { s.town.Register(e, false) }
		}},
		{"backend server unregistered", func(s *Soak, r *rand.Rand) func() {
			e := s.town.Servers[r.IntN(len(s.town.Servers))]
			s.town.Unregister(e)
			return func() { s.town.Register(e, false) }
		}},
		{"store outage", func(s *Soak, r *rand.Rand) func() {
			s.town.Store.SetOutage([]plat.Outage{plat.Busy, plat.Unresponsive, plat.Lossy}[r.IntN(3)])
			end := s.disturbances.begin(allHosts)
			return func() { s.town.Store.SetOutage(plat.Up); end() }
		}},
		{"store history compacted", func(s *Soak, _ *rand.Rand) func() {
			s.town.Store.Compact()
			return func() {}
		}},
		{"table changed", func(s *Soak, _ *rand.Rand) func() {
			s.town.SetTable(town.ReadPath, town.Key)
			return func() {}
		}},
		{"failure domain evacuated", func(s *Soak, _ *rand.Rand) func() {
			s.town.Evacuate(true)
			return func() { s.town.Evacuate(false) }
		}},
	}
}

// disturbHost draws a host and records that a fault affects it until the function that it returns is called.
func (s *Soak) disturbHost(r *rand.Rand) (h *process, end func()) {
	h = s.hosts[r.IntN(len(s.hosts))]
	return h, s.disturbances.begin(h.index)
}

func degradeLink(p *proxy, r *rand.Rand) func() {
	p.setMode([]mode{delaying, dropResponses, blackhole}[r.IntN(3)])
	return func() { p.setMode(passThrough) }
}

// restart starts a host again; a failure is logged, and the callers' outcomes show it.
func (s *Soak) restart(h *process) {
	if err := h.start(); err != nil {
		fmt.Fprintln(s.Out, "restart host:", err)
	}
}

// restartServer starts a crashed backend server again and opens its port; it does nothing if the server runs.
func (s *Soak) restartServer(i int) {
	s.town.Servers[i].Restart()
	if err := s.serverProxies[i].listen(context.Background()); err != nil {
		fmt.Fprintln(s.Out, "restart backend server:", err)
	}
}

// injectFaults injects faults drawn from a stream of the seed for Duration and returns when each is undone.
func (s *Soak) injectFaults(ctx context.Context, stream uint64, all []fault) {
	r := rand.New(rand.NewPCG(s.Seed, stream))
	end := time.Now().Add(s.Duration)
	done := make(chan struct{})
	active := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		f := all[r.IntN(len(all))]
		s.journal.add("fault %q of stream %d begins", f.name, stream)
		undo := f.inject(s, r)
		duration := time.Duration(r.Int64N(int64(maxFaultDuration)))
		active++
		go func() {
			time.Sleep(duration)
			undo()
			s.journal.add("fault %q of stream %d is undone after %s", f.name, stream, duration)
			done <- struct{}{}
		}()
		pause := time.NewTimer(time.Duration(r.ExpFloat64() * float64(meanFaultInterval)))
		for waiting := true; waiting; {
			select {
			case <-pause.C:
				waiting = false
			case <-done:
				active--
			}
		}
	}
	for range active {
		<-done
	}
}

// undoAllFaults restores the store, all links, hosts and backend servers, so that service can recover.
func (s *Soak) undoAllFaults() {
	s.town.Store.SetOutage(plat.Up)
	s.town.Evacuate(false)
	for _, p := range append(s.storeProxies, s.serverProxies...) {
		p.setMode(passThrough)
		p.setBroken(nil)
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		s.restart(h)
	}
	for i, e := range s.town.Servers {
		s.restartServer(i)
		s.town.Register(e, false)
	}
}
