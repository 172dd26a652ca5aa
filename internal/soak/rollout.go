package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// rolloutService is the plain service that the order is for.
	rolloutService = "mill"
	// rolloutServers is the number of servers of the new version.
	rolloutServers = 3
	// The bounds of a bad version: its share of the requests, the number beyond it, the bad answers from which it must be given up, and the
	// time after them from which it gets nothing.
	rolloutShare     = 0.1
	rolloutTolerance = 50
	maxBadAnswers    = 50
	rolloutRevert    = 5 * time.Second
)

// rollout is the order of a run and the servers of its target.
type rollout struct {
	target    []*plat.Server
	isBad     bool
	orderedAt time.Time
	// badAt is when the version turns bad.
	badAt time.Time
}

// prepareRollout switches roll-outs on in a host's settings.
func prepareRollout(s *config.Settings) {
	s.Platform.Rollout = &config.Rollout{Share: rolloutShare, Tolerance: rolloutTolerance, Revert: config.Duration(rolloutRevert)}
}

// orderRollout starts servers of a version, good or bad by the seed, and orders it at a moment drawn from the seed.
func (s *Soak) orderRollout(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 1<<33))
	s.rollout.isBad = r.IntN(2) == 0
	badFrom := time.Duration(r.Int64N(int64(s.Duration / 4)))
	if !ticks.Sleep(ctx, time.Duration(r.Int64N(int64(s.Duration/4)))) {
		return
	}
	badAt := time.Now().Add(badFrom)
	s.rollout.badAt = badAt
	for i := range rolloutServers {
		e := &plat.Server{ID: fmt.Sprint("n", i), Version: "v2", Copies: s.town.Copies}
		if s.rollout.isBad {
			e.IsBad = func(q *plat.Request) bool { return time.Now().After(badAt) && isBadAttempt(q) }
		}
		e.Start()
		s.rollout.target = append(s.rollout.target, e)
		s.town.Register(e, false)
	}
	s.rollout.orderedAt = time.Now()
	s.town.Store.Put("rollouts", rolloutService, map[string]any{"service": rolloutService, "target": "v2", "durationS": s.Duration.Seconds()})
	s.journal.add("version v2 of %s is ordered; bad: %t, from %s on", rolloutService, s.rollout.isBad, badFrom)
}

// isBadAttempt selects a part of the requests.
func isBadAttempt(q *plat.Request) bool {
	id := q.Attempt()
	return strings.Contains("02468", id[len(id)-1:])
}

// checkRollout returns a description of each violation of the bounds of the order.
func (s *Soak) checkRollout() []string {
	final := ""
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for _, status := range s.town.Store.Statuses() {
		if strings.Contains(status, "in_progress") {
			continue
		}
		if final != "" {
			report("the order got the status %s after %s", status, final)
		}
		final = status
	}
	if s.rollout.isBad && strings.Contains(final, "completed") {
		report("a bad version was completed")
	}
	hosts, sentAt := make(map[string]int), make(map[string]time.Time)
	arrived := 0
	for _, o := range s.recorder.outcomes {
		hosts[o.id], sentAt[o.id] = o.host, o.sentAt
		if o.sentAt.After(s.rollout.orderedAt) && (o.path == town.ReadPath || o.path == town.BookPath) {
			arrived++
		}
	}
	var bad []time.Time
	for _, e := range s.rollout.target {
		for _, q := range e.Requests() {
			if s.rollout.isBad && q.At.After(s.rollout.badAt) && isBadAttempt(&q) {
				bad = append(bad, q.At)
			}
		}
	}
	slices.SortFunc(bad, time.Time.Compare)
	exposed, late := 0, 0
	for _, e := range s.rollout.target {
		for _, q := range e.Requests() {
			at := sentAt[q.Attempt()]
			if !s.disturbances.isInTouch(hosts[q.Attempt()], q.At) {
				continue
			}
			exposed++
			if len(bad) >= maxBadAnswers && at.After(bad[maxBadAnswers-1].Add(rolloutRevert)) {
				late++
			}
		}
	}
	fmt.Fprintf(s.Out, "seed %d: roll-out ended with %q, bad: %t, %d of %d requests reached it from hosts in touch, %d bad answers\n",
		s.Seed, final, s.rollout.isBad, exposed, arrived, len(bad))
	if s.rollout.isBad && float64(exposed) > rolloutShare*float64(arrived)+rolloutTolerance {
		report("a bad version got %d of %d requests", exposed, arrived)
	}
	if s.rollout.isBad && late > 0 {
		report("a bad version got %d requests later than %s after its bad answers", late, rolloutRevert)
	}
	return violations
}
