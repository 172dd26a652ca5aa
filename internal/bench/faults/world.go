package faults

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
)

// Policy is the way in which hosts treat a stream that fails.
type Policy string

// The policies.
const (
	// PolicyOwn is the product's own.
	PolicyOwn Policy = "tarragonspur"
	// PolicyRetrying sends whatever failed to another engine and appends the new answer to the old one.
	PolicyRetrying Policy = "retrying"
)

// Counts is what callers and engines saw.
type Counts struct {
	Requests, Completed, Refused, Cut int

	DuplicateTokens, MissingTokens, MixedGenerations, FalseNotRun int
	// ForeignAnswers counts answers that hold another request's tokens.
	ForeignAnswers int
	// WrongDelivered counts refusals that name a wrong number of tokens.
	WrongDelivered int
	// AfterEnd counts tokens that came after an answer's end.
	AfterEnd int
	// Repeatable counts the requests that did not kill, were not left, and lost no generation of which the
	// caller had tokens; RepeatableWhole counts those answered whole.
	Repeatable, RepeatableWhole int
	// Answers counts the requests that reached a host, Sends the starts that reached an engine.
	Answers, Sends, Resumes int
	// MostDeaths is the largest number of deaths by one killing request, LateStarts counts the starts of such a
	// request later than a second after the second death.
	MostDeaths      int
	LateStarts      int
	BarredInnocents int
	// LeftRuns counts runs that an engine still worked on a second after their answer had ended.
	LeftRuns int
	// LongestGap is the longest time between two tokens at a caller.
	LongestGap time.Duration
}

// world is one run of the scenario.
type world struct {
	loop    *vtime.Loop
	random  *rand.Rand
	policy  Policy
	engines []*fakeEngine
	hosts   []*host
	counts  Counts
	// applied holds the faults that have befallen each request.
	applied map[*request]map[kind]bool
	deaths  map[*request]int
	second  map[*request]time.Time
	// owner holds the run's identity by generation, ran the answers that an engine took, lost the generations
	// that an engine lost.
	owner map[string]string
	ran   map[string]bool
	// runs counts the runs of each request on all engines.
	runs    map[*request]int
	lost    map[string]bool
	records []*Record
	// recording says that each answer is recorded.
	recording bool
	answers   map[*request]*answer
}

// host is one entry host.
type host struct {
	world *world
	name  string
	down  bool
	retry *budget.Retry
	table *poison.Table
	// running and failed are what the host knows of each engine.
	running map[*fakeEngine]int
	failed  map[*fakeEngine]time.Time
	answers map[string]*answer
}

// Run runs all requests of a seed under one policy.
func Run(policy Policy, seed uint64) Counts {
	w := newWorld(policy, seed)
	w.run()
	return w.counts
}

func newWorld(policy Policy, seed uint64) *world {
	w := &world{
		loop:    vtime.New(time.Unix(0, 0)),
		random:  rand.New(rand.NewPCG(seed, seed)),
		policy:  policy,
		applied: make(map[*request]map[kind]bool),
		deaths:  make(map[*request]int),
		second:  make(map[*request]time.Time),
		owner:   make(map[string]string),
		ran:     make(map[string]bool),
		runs:    make(map[*request]int),
		lost:    make(map[string]bool),
		answers: make(map[*request]*answer),
	}
	for i := range engines {
		w.engines = append(w.engines, &fakeEngine{loop: w.loop, name: fmt.Sprintf("e%d", i), runs: make(map[string]*run)})
	}
	for i := range hosts {
		h := &host{world: w, name: fmt.Sprintf("h%d", i)}
		h.start()
		w.hosts = append(w.hosts, h)
	}
	return w
}

// run runs all requests of the seed.
func (w *world) run() {
	list := plan(w.random)
	var end time.Duration
	for _, r := range list {
		w.loop.After(r.arrival, func() { w.send(r, 0, nil) })
		end = r.arrival
	}
	w.loop.RunUntil(time.Unix(0, 0).Add(end + time.Minute))
	w.sum(list)
}

func requestID(number int) string { return fmt.Sprintf("q%04d", number) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// start gives the host the empty state of a new process.
func (h *host) start() {
	h.down = false
	h.retry = &budget.Retry{}
	h.table = &poison.Table{Now: h.world.loop.Now, Broadcaster: spreader{h}}
	h.running = make(map[*fakeEngine]int)
	h.failed = make(map[*fakeEngine]time.Time)
	h.answers = make(map[string]*answer)
	h.world.loop.After(2*oneWay, h.learn)
}

// learn takes over what another host bars, as a new host does by asking.
func (h *host) learn() {
	for _, other := range h.world.hosts {
		if other == h || other.down {
			continue
		}
		for _, f := range other.table.Barred() {
			h.table.Bar(f)
		}
		return
	}
}

// spreader carries the product's messages between the hosts' tables with the one-way delay.
type spreader struct{ from *host }

func (s spreader) Marked(m poison.Mark) {
	sender, table := s.from, s.from.table
	s.each(func(other *poison.Table) {
		other.Add(m)
		if other.IsBarred(m.Fingerprint) {
			sender.world.loop.After(oneWay, func() { table.Bar(m.Fingerprint) })
		}
	})
}

func (s spreader) Started(f poison.Fingerprint, backend string) {
	s.each(func(other *poison.Table) { other.StartedRemotely(f, backend) })
}

func (s spreader) Barred(f poison.Fingerprint) {
	s.each(func(other *poison.Table) { other.Bar(f) })
}

func (s spreader) Lifted(f poison.Fingerprint) {
	s.each(func(other *poison.Table) { other.ClearMarks(f) })
}

func (s spreader) each(tell func(*poison.Table)) {
	for _, h := range s.from.world.hosts {
		if h == s.from {
			continue
		}
		h.world.loop.After(oneWay, func() {
			if !h.down {
				tell(h.table)
			}
		})
	}
}

// send gives a request to a live host other than the last one.
func (w *world) send(r *request, resend int, last *host) {
	var live []*host
	for _, h := range w.hosts {
		if !h.down && h != last {
			live = append(live, h)
		}
	}
	h := live[w.random.IntN(len(live))]
	a := &answer{request: r, resend: resend, host: h}
	w.answers[r] = a
	w.counts.Answers++
	h.answers[a.id()] = a
	h.retry.Arrived()
	if w.policy == PolicyOwn {
		a.stream = w.newOwnStream(a)
	} else {
		a.stream = &retryingStream{host: h, answer: a}
	}
	a.stream.begin()
}

// used reports whether a fault has befallen the request before, and notes that it does now.
func (w *world) used(r *request, k kind) bool {
	if w.applied[r] == nil {
		w.applied[r] = make(map[kind]bool)
	}
	was := w.applied[r][k]
	w.applied[r][k] = true
	return was
}

func (w *world) killed(r *request) {
	w.deaths[r]++
	if w.deaths[r] == 2 {
		w.second[r] = w.loop.Now()
	}
	w.counts.MostDeaths = max(w.counts.MostDeaths, w.deaths[r])
}

// isBroken reports whether the caller has tokens of a generation that its engine lost.
func (w *world) isBroken(a *answer) bool {
	if a.whole || len(a.tokens) == 0 {
		return false
	}
	generation, _, _ := strings.Cut(a.tokens[len(a.tokens)-1], "/")
	return w.lost[generation]
}

// killHost ends the host that serves the request; it is back with empty tables after hostDown.
func (w *world) killHost(r *request) {
	a := w.answers[r]
	if a == nil || a.ended || a.host.down {
		return
	}
	h := a.host
	for _, other := range w.hosts {
		if other.down {
			return
		}
	}
	h.down = true
	for _, id := range sortedKeys(h.answers) {
		h.answers[id].hostDied(w)
	}
	w.loop.After(hostDown, h.start)
}

// watch counts a run that its engine still works on a second after its answer ended.
func (w *world) watch(e *fakeEngine, one *run) {
	if w.policy == PolicyOwn && !e.down && e.runs[one.id] == one && one.tokens <= one.request.tokens {
		w.counts.LeftRuns++
	}
}

func (w *world) sum(list []*request) {
	c := &w.counts
	c.Requests = len(list)
	for _, r := range list {
		a := w.answers[r]
		switch {
		case a.whole:
			c.Completed++
		default:
			c.Refused++
		}
		if !a.ended {
			c.Cut++
		}
		if r.has(kindKills) || r.has(kindLeaves) || w.isBroken(a) {
			continue
		}
		c.Repeatable++
		if a.whole {
			c.RepeatableWhole++
		}
	}
}

// pick returns the engine with the fewest requests of this host, or nil if none is fit.
func (h *host) pick(excluded map[string]bool) *fakeEngine {
	const failurePause = time.Second
	now := h.world.loop.Now()
	var best *fakeEngine
	for _, i := range h.world.random.Perm(engines) {
		e := h.world.engines[i]
		if excluded[e.name] || now.Sub(h.failed[e]) < failurePause {
			continue
		}
		if best == nil || h.running[e] < h.running[best] {
			best = e
		}
	}
	return best
}
