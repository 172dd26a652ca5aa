package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// restoreStream selects the random numbers of the store's returns.
	restoreStream = 1 << 34
	// copyInterval is the time between two copies of the store, and keptCopies the number of them that it may come back from.
	copyInterval = 400 * time.Millisecond
	keptCopies   = 10
	// maxAway bounds how long the store is away before it comes back, and maxRewriteDelay the time after that in which the operator and
	// the servers write again.
	maxAway         = 600 * time.Millisecond
	maxRewriteDelay = 1500 * time.Millisecond
	// orderHoldTime is how long hosts keep an order for the failure domain of all servers in force after a return that has lost it: five
	// seconds, and the wait of the call that is in progress then.
	orderHoldTime = 7 * time.Second
	// withdrawnKey is a key that is withdrawn after the first copy, keyAge the time after which no host accepts it, and withdrawnRatio the
	// fraction of the reads that are sent with it.
	withdrawnKey   = "withdrawn-key"
	keyAge         = 2 * time.Second
	withdrawnRatio = 0.2
)

// restorer makes the store come back from copies, and a server leave that the oldest of them shows as healthy.
type restorer struct {
	mu     sync.Mutex
	copies []*plat.Copy
	// leaving leaves from leavingAt on.
	leaving   *plat.Server
	leavingAt time.Time
	// withdrawnAt is when the table without withdrawnKey was confirmed.
	withdrawnAt time.Time
}

// prepareRestores makes the store name its eras, and starts the server that is to leave.
func (s *Soak) prepareRestores() {
	s.town.Store.NameEras()
	s.town.SetTable(town.ReadPath, town.Key, withdrawnKey)
	e := &plat.Server{ID: "leaver", Copies: s.town.Copies}
	e.Start()
	s.restorer.leaving = e
	s.town.Register(e, false)
}

// leaveAfterCopy makes the server leave and withdraws a key after the first copy, and waits until all hosts must know both.
func (s *Soak) leaveAfterCopy(ctx context.Context) {
	ticks.Sleep(ctx, time.Second)
	s.restorer.copies = []*plat.Copy{s.town.Store.Copy()}
	s.town.Register(s.restorer.leaving, true)
	s.restorer.leavingAt = time.Now()
	s.town.SetTable(town.ReadPath, town.Key)
	s.restorer.withdrawnAt = time.Now()
	ticks.Sleep(ctx, drainTimeout)
}

// keepCopies copies the store until the end of the run. The first copy stays among those that are kept.
func (s *Soak) keepCopies(ctx context.Context) {
	for ticks.Sleep(ctx, copyInterval) {
		c := s.town.Store.Copy()
		s.restorer.mu.Lock()
		s.restorer.copies = append(s.restorer.copies, c)
		if len(s.restorer.copies) > keptCopies {
			s.restorer.copies = append(s.restorer.copies[:1], s.restorer.copies[2:]...)
		}
		s.restorer.mu.Unlock()
	}
}

// restores lists the kinds of returns of the store.
func restores() []fault {
	return []fault{
		{"store comes back from a copy", func(s *Soak, r *rand.Rand) func() { return s.returnStore(r, 1) }},
		{"store comes back from copies twice", func(s *Soak, r *rand.Rand) func() { return s.returnStore(r, 2) }},
	}
}

// returnStore makes the store come back from copies, one after the other. The operator and the servers write again when it is undone.
func (s *Soak) returnStore(r *rand.Rand, times int) (undo func()) {
	end := s.disturbances.begin(allHosts)
	var last *plat.Copy
	for range times {
		s.restorer.mu.Lock()
		last = s.restorer.copies[r.IntN(len(s.restorer.copies))]
		s.restorer.mu.Unlock()
		s.town.Store.SetOutage(plat.Busy)
		time.Sleep(time.Duration(r.Int64N(int64(maxAway))))
		s.town.Store.Return(last)
		s.town.Store.SetOutage(plat.Up)
		s.journal.add("store is back in era %d", s.town.Store.Era())
	}
	delay := time.Duration(r.Int64N(int64(maxRewriteDelay)))
	return func() {
		time.Sleep(delay)
		s.town.Store.WriteAgain(s.restorer.first())
		end()
	}
}

// first returns the oldest copy.
func (r *restorer) first() *plat.Copy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copies[0]
}

// checkLeaver checks that the leaving server gets nothing from hosts that have known of it since its start, whatever the store says.
func (s *Soak) checkLeaver() []string {
	hosts := make(map[string]int)
	for _, o := range s.recorder.outcomes {
		hosts[o.id] = o.host
	}
	before, late := 0, 0
	known := s.restorer.leavingAt.Add(drainTimeout)
	for _, r := range s.restorer.leaving.Requests() {
		host, isCallers := hosts[r.Attempt()]
		switch {
		case !isCallers:
		case r.At.Before(known):
			before++
		case !s.hosts[host].wasStarted(s.restorer.leavingAt, r.At):
			late++
			s.journal.add("request %s of host %d reaches the server that leaves", r.Attempt(), host)
		}
	}
	fmt.Fprintf(s.Out, "seed %d: %d eras, the server that leaves got %d requests before it did, %d later than it may\n", s.Seed, s.town.Store.Era(), before, late)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d requests reached server %s later than %s after it had left", late, s.restorer.leaving.ID, drainTimeout)}
}

// checkWithdrawn checks that no request has run that was sent with the withdrawn key after all hosts had to refuse it, hosts that have
// started since included.
func (s *Soak) checkWithdrawn() []string {
	late := make(map[string]outcome)
	for _, o := range s.recorder.outcomes {
		if o.isWithdrawn && o.sentAt.After(s.restorer.withdrawnAt.Add(keyAge)) {
			late[o.id] = o
		}
	}
	var violations []string
	for _, e := range s.town.Servers {
		for _, r := range e.Requests() {
			if o, found := late[r.Attempt()]; found && r.Ran {
				violations = append(violations, fmt.Sprintf("request %s of host %d ran %s after its key was withdrawn", o.id, o.host, o.sentAt.Sub(s.restorer.withdrawnAt)))
			}
		}
	}
	fmt.Fprintf(s.Out, "seed %d: %d requests with a key that was withdrawn, %d have run\n", s.Seed, len(late), len(violations))
	return violations
}
