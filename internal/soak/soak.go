// Package soak runs entry hosts as processes, injects faults drawn from a seed and checks the system's guarantees from
// what callers and backend servers observe.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// ErrGuaranteeViolated is returned by Soak.Run when a guarantee was violated.
var ErrGuaranteeViolated = errors.New("a guarantee was violated")

const (
	// events is the number of events of a stream.
	events = 60
	// readyTimeout bounds the time until all hosts are ready.
	readyTimeout = 20 * time.Second
	// recoveryPeriod is the time without faults at the end, in which service has to recover.
	recoveryPeriod = 5 * time.Second
	// minServedRatio is the fraction of requests that must succeed in the recovery period, after settlingTime.
	minServedRatio = 0.5
)

// Soak is one soak test.
type Soak struct {
	// Seed determines the faults and the requests.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Recovery is the time without faults at the end, after the last one is undone; zero stands for recoveryPeriod.
	Recovery time.Duration
	// DeadlyRatio is the fraction of reports whose prompts hold a part that crashes engines.
	DeadlyRatio float64
	// HasStatements makes servers state a limit and that they leave, and another writer leave an odd entry among theirs.
	HasStatements bool
	// HasPathFaults disturbs the paths between single hosts and backend servers, and slows backend servers down.
	HasPathFaults bool
	// HasRollout orders a new version of the plain service's servers, good or bad by the seed.
	HasRollout bool
	// HasFloods adds callers that leave what they send unfinished, and lowers the hosts' memory; its bound is checked.
	HasFloods bool
	// HasRestores makes the store come back from copies some seconds old.
	HasRestores bool
	// HasBrokenAnswers breaks the heads of answers of the store and of backend servers.
	HasBrokenAnswers bool
	// Hosts, Engines and Callers are the numbers of entry hosts, backend servers and callers.
	Hosts, Engines, Callers int
	// Binary is the path of the program that runs as an entry host.
	Binary string
	// Logs is the directory in which the run leaves its logs; empty for none.
	Logs string
	// Out receives the summary and each violation.
	Out io.Writer

	town          *town.Platform
	hosts         []*process
	storeProxies  []*proxy
	serverProxies []*proxy
	recorder      recorder
	crasher       crasher
	stater        stater
	rollout       rollout
	disturbances  disturbances
	owners        owners
	pauser        pauser
	journal       journal
	memory        memoryWatch
	restorer      restorer
}

// Run runs the test; if a guarantee was violated, it returns ErrGuaranteeViolated with the first violation.
func (s *Soak) Run(ctx context.Context) error {
	s.town = town.New(s.Engines, events)
	defer s.town.Close()
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return err
	}
	recovery := s.Recovery
	if recovery == 0 {
		recovery = recoveryPeriod
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers sync.WaitGroup
	for i := range s.Callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c := caller{soak: s, rand: rand.New(rand.NewPCG(s.Seed, uint64(i)+1))}
			c.run(runCtx)
		}()
	}
	stated := make(chan struct{})
	go func() {
		defer close(stated)
		if s.HasStatements {
			s.state(runCtx)
		}
	}()
	ordered := make(chan struct{})
	go func() {
		defer close(ordered)
		if s.HasRollout {
			s.orderRollout(runCtx)
		}
	}()
	pathFaultsEnded := make(chan struct{})
	go func() {
		defer close(pathFaultsEnded)
		if s.HasPathFaults {
			s.injectFaults(runCtx, pathFaultStream, pathFaults())
		}
	}()
	floodsEnded, memoryRead := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(floodsEnded)
		if s.HasFloods {
			s.injectFaults(runCtx, floodStream, floods())
		}
	}()
	go func() {
		defer close(memoryRead)
		if s.HasFloods {
			s.watchMemory(runCtx)
		}
	}()
	restoresEnded, copiesEnded := make(chan struct{}), make(chan struct{})
	if s.HasRestores {
		s.leaveAfterCopy(runCtx)
	}
	go func() {
		defer close(copiesEnded)
		if s.HasRestores {
			s.keepCopies(runCtx)
		}
	}()
	go func() {
		defer close(restoresEnded)
		if s.HasRestores {
			s.injectFaults(runCtx, restoreStream, restores())
		}
	}()
	brokenEnded := make(chan struct{})
	go func() {
		defer close(brokenEnded)
		if s.HasBrokenAnswers {
			s.injectFaults(runCtx, brokenStream, brokenAnswers())
		}
	}()
	s.injectFaults(runCtx, 0, faults())
	<-brokenEnded
	<-pathFaultsEnded
	<-floodsEnded
	<-restoresEnded
	s.pauser.pauses.Wait()
	s.undoAllFaults()
	if s.HasRestores {
		ticks.Sleep(runCtx, orderHoldTime)
	}
	s.recorder.startRecovery()
	s.journal.add("all faults are undone")
	ticks.Sleep(runCtx, recovery)
	cancel()
	callers.Wait()
	<-stated
	<-ordered
	<-memoryRead
	<-copiesEnded
	s.crasher.restarts.Wait()
	err := s.checkGuarantees()
	if s.Logs != "" {
		err = errors.CombineErrors(err, s.keep())
	}
	return err
}

func (s *Soak) start(ctx context.Context) error {
	s.crasher.town = s.town
	for _, e := range s.town.Servers {
		p, err := newProxy(ctx, e.Address())
		if err != nil {
			return err
		}
		s.serverProxies = append(s.serverProxies, p)
		e.Public = p.address
		e.Script = s.crasher.script(ctx, e, p)
		if s.HasPathFaults {
			s.preparePathFaults(e, p)
		}
		if s.HasRollout {
			e.Version = "v1"
		}
		s.town.Register(e, false)
	}
	if s.HasRestores {
		s.prepareRestores()
	}
	for i := range s.Hosts {
		p, err := newProxy(ctx, s.town.Store.Address())
		if err != nil {
			return err
		}
		s.storeProxies = append(s.storeProxies, p)
		settings, err := town.Settings(ctx, i, p.address)
		if err != nil {
			return err
		}
		if s.HasRollout {
			prepareRollout(&settings)
		}
		if s.HasFloods {
			settings.Platform.MemoryMB = floodMemoryMB
		}
		h := &process{index: i, settings: settings, binary: s.Binary}
		s.hosts = append(s.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range s.hosts {
		if err := h.awaitReady(readyCtx); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) stop() {
	for _, h := range s.hosts {
		h.cleanUp()
	}
	for _, p := range append(s.storeProxies, s.serverProxies...) {
		p.close()
	}
	for _, e := range s.rollout.target {
		e.Crash()
	}
	if s.restorer.leaving != nil {
		s.restorer.leaving.Crash()
	}
}

// checkGuarantees reports each violated guarantee to Out and returns ErrGuaranteeViolated if there is one.
func (s *Soak) checkGuarantees() error {
	engines := slices.Concat(s.town.Servers, s.rollout.target)
	if s.HasRestores {
		engines = append(engines, s.restorer.leaving)
	}
	violations := s.recorder.check(engines)
	if s.HasRestores {
		violations = append(violations, s.checkLeaver()...)
		violations = append(violations, s.checkWithdrawn()...)
	}
	if s.HasRollout {
		violations = append(violations, s.checkRollout()...)
	}
	if s.DeadlyRatio > 0 {
		violations = append(violations, s.checkDeadlyPart()...)
	}
	if s.HasStatements {
		violations = append(violations, s.checkStated()...)
	}
	if s.HasPathFaults {
		violations = append(violations, s.checkOverlaps()...)
	}
	violations = append(violations, s.memory.violations()...)
	fmt.Fprintf(s.Out, "seed %d: %s, %d guarantees violated\n", s.Seed, s.recorder.summary(), len(violations))
	for _, b := range violations {
		fmt.Fprintln(s.Out, "  ", b)
	}
	if len(violations) > 0 {
		first, _, _ := strings.Cut(violations[0], "\n")
		return errors.Wrapf(ErrGuaranteeViolated, "seed %d: %s", s.Seed, first)
	}
	return nil
}
