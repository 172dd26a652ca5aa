// Package soak runs real entry hosts as processes, harms them from outside by a seeded plan and checks the promises of
// the system from what callers and backend servers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
)

// ErrBroken says that a promise was broken.
var ErrBroken = errors.New("a promise was broken")

const (
	// events is the length of a stream.
	events = 60
	// readyLimit bounds a host's start.
	readyLimit = 20 * time.Second
	// calm is the time without new faults at the end, in which service has to come back.
	calm = 5 * time.Second
	// leastServed is the part of the requests of the calm time that must be answered with success.
	leastServed = 0.5
)

// Soak is one run.
type Soak struct {
	// Seed decides the faults and the requests.
	Seed uint64
	// Duration is how long requests and faults go on.
	Duration time.Duration
	// Hosts, Engines and Callers are the sizes.
	Hosts, Engines, Callers int
	// Binary is the program that is run as an entry host.
	Binary string
	Out    io.Writer

	town    *town.Platform
	hosts   []*process
	store   []*proxy
	engines []*proxy
	book    book
}

// Run plays the seed and returns ErrBroken with what was seen if a promise was broken.
func (s *Soak) Run(ctx context.Context) error {
	s.town = town.New(s.Engines, events)
	defer s.town.Close()
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, s.Duration+calm)
	defer cancel()
	var callers sync.WaitGroup
	for i := range s.Callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c := caller{soak: s, rand: rand.New(rand.NewPCG(s.Seed, uint64(i)+1))}
			c.run(limited)
		}()
	}
	s.harm(limited)
	s.heal()
	s.book.startCalm()
	<-limited.Done()
	callers.Wait()
	return s.judge()
}

func (s *Soak) start(ctx context.Context) error {
	for _, e := range s.town.Engines {
		p, err := newProxy(ctx, e.Address())
		if err != nil {
			return err
		}
		s.engines = append(s.engines, p)
		e.Public = p.address()
		s.town.Register(e, false)
	}
	for i := range s.Hosts {
		p, err := newProxy(ctx, s.town.Store.Address())
		if err != nil {
			return err
		}
		s.store = append(s.store, p)
		settings, err := town.Settings(ctx, i, p.address())
		if err != nil {
			return err
		}
		h := &process{settings: settings, binary: s.Binary}
		s.hosts = append(s.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	limited, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, h := range s.hosts {
		if err := h.awaitReady(limited); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) stop() {
	for _, h := range s.hosts {
		h.end()
	}
	for _, p := range append(s.store, s.engines...) {
		p.close()
	}
}

// judge checks what callers and backend servers have seen.
func (s *Soak) judge() error {
	broken := s.book.check(s.town.Engines)
	fmt.Fprintf(s.Out, "seed %d: %s, %d promises broken\n", s.Seed, s.book.summary(), len(broken))
	for _, b := range broken {
		fmt.Fprintln(s.Out, "  ", b)
	}
	if len(broken) > 0 {
		return errors.Wrapf(ErrBroken, "seed %d: %s", s.Seed, broken[0])
	}
	return nil
}
