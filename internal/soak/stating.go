package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// statedLimit is the limit that a server states, in requests a second, limitWindow the window in which requests count.
	statedLimit = 2.5
	limitWindow = 4 * time.Second
	// drainTimeout is the time after which a host must send nothing more to a server that has stated that it leaves.
	drainTimeout = 2500 * time.Millisecond
	// nestedDepth is the depth of an entry that another writer leaves among those of the servers.
	nestedDepth = 20000
)

// stater makes one server state a limit and another one that it leaves.
type stater struct {
	mu               sync.Mutex
	limited, leaving *plat.Server
	limitedAt        time.Time
	leavingAt        time.Time
}

// state makes servers state things at moments drawn from the seed, until the end of the run.
func (s *Soak) state(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 1<<32))
	plain := slices.DeleteFunc(slices.Clone(s.town.Servers), func(e *plat.Server) bool { return e.Events > 0 })
	r.Shuffle(len(plain), func(i, j int) { plain[i], plain[j] = plain[j], plain[i] })
	if !ticks.Sleep(ctx, time.Duration(r.Int64N(int64(s.Duration/2)))) {
		return
	}
	s.stater.mu.Lock()
	s.stater.limited, s.stater.limitedAt = plain[0], time.Now()
	plain[0].State(fmt.Sprintf("Server-Limit: %g\r\n", statedLimit))
	s.stater.mu.Unlock()
	s.town.Store.PutText("servers", "odd", []byte(strings.Repeat("[", nestedDepth)+strings.Repeat("]", nestedDepth)))
	if !ticks.Sleep(ctx, time.Duration(r.Int64N(int64(s.Duration/2)))) {
		return
	}
	s.stater.mu.Lock()
	defer s.stater.mu.Unlock()
	s.stater.leaving, s.stater.leavingAt = plain[1], time.Now()
	plain[1].State("Server-Leaving: 1\r\n")
}

// checkStated returns a description of each violation of what servers have stated.
func (s *Soak) checkStated() []string {
	s.stater.mu.Lock()
	defer s.stater.mu.Unlock()
	hosts := make(map[string]int)
	for _, o := range s.recorder.outcomes {
		hosts[o.id] = o.host
	}
	var violations []string
	if e := s.stater.limited; e != nil {
		allowed := int(math.Floor(1.5*statedLimit*limitWindow.Seconds())) + 5
		most := s.mostInTouch(e, hosts, s.stater.limitedAt.Add(contactTime))
		fmt.Fprintf(s.Out, "seed %d: %d requests in %s at a server that takes %g a second, %d allowed\n", s.Seed, most, limitWindow, statedLimit, allowed)
		if most > allowed {
			violations = append(violations, fmt.Sprintf("server %s got %d requests in %s, %d are allowed", e.ID, most, limitWindow, allowed))
		}
	}
	if e := s.stater.leaving; e != nil {
		violations = append(violations, s.checkLeaving(e, hosts)...)
	}
	return violations
}

// mostInTouch returns the largest number of requests from hosts in touch in a window after a time.
func (s *Soak) mostInTouch(e *plat.Server, hosts map[string]int, after time.Time) int {
	var at []time.Time
	for _, r := range e.Requests() {
		if host, known := hosts[r.Attempt()]; known && r.At.After(after) && s.disturbances.isInTouch(host, r.At) {
			at = append(at, r.At)
		}
	}
	most := 0
	for i, from := range at {
		n := i
		for n < len(at) && at[n].Sub(from) <= limitWindow {
			n++
		}
		most = max(most, n-i)
	}
	return most
}

// checkLeaving checks that a leaving server gets no late requests from hosts that no fault has affected since its first statement to
// them.
func (s *Soak) checkLeaving(e *plat.Server, hosts map[string]int) []string {
	told := make(map[int]time.Time)
	late := 0
	for _, r := range e.Requests() {
		host, known := hosts[r.Attempt()]
		if !known || r.At.Before(s.stater.leavingAt) {
			continue
		}
		if s.disturbances.wasDisturbed(host, told[host], r.At) || told[host].IsZero() {
			told[host] = r.At
			continue
		}
		if r.At.Sub(told[host]) > drainTimeout {
			late++
		}
	}
	fmt.Fprintf(s.Out, "seed %d: %d hosts were told that a server leaves, %d requests reached it too late\n", s.Seed, len(told), late)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d requests reached server %s later than %s after it had said that it leaves", late, e.ID, drainTimeout)}
}
