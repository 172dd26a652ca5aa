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
	// faultEvery is the mean time between two faults; they overlap.
	faultEvery = 500 * time.Millisecond
	// faultFor is the longest time until a fault is undone.
	faultFor = 2500 * time.Millisecond
)

// fault is one kind of harm: it strikes and returns how it is undone.
type fault struct {
	name   string
	strike func(s *Soak, r *rand.Rand) (undo func())
}

// faults is the visible list of all harm.
func faults() []fault {
	return []fault{
		{"host killed", func(s *Soak, r *rand.Rand) func() {
			h := s.hosts[r.IntN(len(s.hosts))]
			h.kill()
			return func() { s.restart(h) }
		}},
		{"host stopped", func(s *Soak, r *rand.Rand) func() {
			h := s.hosts[r.IntN(len(s.hosts))]
			go h.terminate()
			return func() { h.terminate(); s.restart(h) }
		}},
		{"host paused", func(s *Soak, r *rand.Rand) func() {
			h := s.hosts[r.IntN(len(s.hosts))]
			h.signal(syscall.SIGSTOP)
			return func() { h.signal(syscall.SIGCONT) }
		}},
		{"host reloaded", func(s *Soak, r *rand.Rand) func() {
			s.hosts[r.IntN(len(s.hosts))].signal(syscall.SIGHUP)
			return func() {}
		}},
		{"link to the store harmed", func(s *Soak, r *rand.Rand) func() { return harmLink(s.store, r) }},
		{"link to a backend server harmed", func(s *Soak, r *rand.Rand) func() { return harmLink(s.engines, r) }},
		{"connections to a backend server reset", func(s *Soak, r *rand.Rand) func() {
			s.engines[r.IntN(len(s.engines))].reset()
			return func() {}
		}},
		{"backend server crashed", func(s *Soak, r *rand.Rand) func() {
			e := s.town.Engines[r.IntN(len(s.town.Engines))]
			e.Crash()
			return e.Restart
		}},
		{"backend server leaves", func(s *Soak, r *rand.Rand) func() {
			e := s.town.Engines[r.IntN(len(s.town.Engines))]
			s.town.Register(e, true)
			return func() { s.town.Register(e, false) }
		}},
		{"entry lost", func(s *Soak, r *rand.Rand) func() {
			e := s.town.Engines[r.IntN(len(s.town.Engines))]
			s.town.Unregister(e)
			return func() { s.town.Register(e, false) }
		}},
		{"store out", func(s *Soak, r *rand.Rand) func() {
			s.town.Store.SetOutage([]plat.Outage{plat.Busy, plat.Unresponsive, plat.Lossy}[r.IntN(3)])
			return func() { s.town.Store.SetOutage(plat.Up) }
		}},
		{"store forgets", func(s *Soak, _ *rand.Rand) func() {
			s.town.Store.Compact()
			return func() {}
		}},
		{"table changed", func(s *Soak, _ *rand.Rand) func() {
			s.town.SetTable(town.ReadPath, town.Key)
			return func() {}
		}},
		{"failure domain out", func(s *Soak, _ *rand.Rand) func() {
			s.town.Evacuate(true)
			return func() { s.town.Evacuate(false) }
		}},
	}
}

func harmLink(links []*proxy, r *rand.Rand) func() {
	p := links[r.IntN(len(links))]
	p.set([]mode{delaying, oneWay, silent}[r.IntN(3)])
	return func() { p.set(passing) }
}

// restart starts a host again; its callers see if it does not come back.
func (s *Soak) restart(h *process) {
	if err := h.start(); err != nil {
		fmt.Fprintln(s.Out, "host not restarted:", err)
	}
}

// harm strikes by the seed's plan until the time is over, and undoes each fault after a while.
func (s *Soak) harm(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 0))
	all := faults()
	end := time.Now().Add(s.Duration)
	ended := make(chan struct{})
	running := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		f := all[r.IntN(len(all))]
		undo := f.strike(s, r)
		after := time.Duration(r.Int64N(int64(faultFor)))
		running++
		go func() {
			time.Sleep(after)
			undo()
			ended <- struct{}{}
		}()
		pause := time.NewTimer(time.Duration(r.ExpFloat64() * float64(faultEvery)))
		for waiting := true; waiting; {
			select {
			case <-pause.C:
				waiting = false
			case <-ended:
				running--
			}
		}
	}
	for range running {
		<-ended
	}
}

// heal undoes everything, so that service can come back.
func (s *Soak) heal() {
	s.town.Store.SetOutage(plat.Up)
	s.town.Evacuate(false)
	for _, p := range append(s.store, s.engines...) {
		p.set(passing)
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		s.restart(h)
	}
	for _, e := range s.town.Engines {
		e.Restart()
		s.town.Register(e, false)
	}
}
