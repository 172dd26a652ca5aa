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

// Policy selects how hosts handle a stream that fails.
type Policy string

// The policies.
const (
	// PolicyOwn is the product's own policy.
	PolicyOwn Policy = "tarragonspur"
	// PolicyRetrying sends a failed request to another engine and appends the new answer to the old one.
	PolicyRetrying Policy = "retrying"
)

// Counts are the results of one simulation, counted at the callers and the engines.
type Counts struct {
	// Cut counts the answers without an end and those that ended as complete but lack tokens.
	Requests, Completed, Refused, Cut int

	DuplicateTokens, MissingTokens, MixedGenerations, FalseNotRun int
	// ForeignAnswers counts answers that hold another request's tokens.
	ForeignAnswers int
	// WrongTokenCounts counts refusals with a wrong number of delivered tokens.
	WrongTokenCounts int
	// TokensAfterEnd counts tokens that a caller received after an answer's end.
	TokensAfterEnd int
	// Repeatable counts the requests that crash no engine, whose caller stays, and whose last generation was not lost
	// after the caller had tokens of it; RepeatableCompleted counts those of them that were answered completely.
	Repeatable, RepeatableCompleted int
	// Answers counts the callers' sends to hosts, Sends the starts that reached an engine, Resumes the connections that
	// resumed a run at its engine.
	Answers, Sends, Resumes int
	// MaxDeaths is the largest number of engines that one request crashed, LateStarts counts the starts of such a request
	// more than a second after the second crash.
	MaxDeaths  int
	LateStarts int
	// FalselyBarred counts refusals as quarantined of requests that crash no engine.
	FalselyBarred int
	// OrphanedRuns counts runs that an engine still worked on a second after the host had ended the attempt.
	OrphanedRuns int
	// Overlaps counts the starts of an answer that an engine received while another one worked on it.
	Overlaps int
	// LongestGap is the longest time between two tokens at a caller.
	LongestGap time.Duration
}

// world is the state of one simulation.
type world struct {
	loop    *vtime.Loop
	random  *rand.Rand
	policy  Policy
	engines []*fakeEngine
	hosts   []*host
	counts  Counts
	// applied holds the faults that each request has had.
	applied map[*request]map[kind]bool
	// deaths counts the engines that each request crashed; secondDeath is the time of the second crash.
	deaths      map[*request]int
	secondDeath map[*request]time.Time
	// attempts holds the attempt's ID by generation, accepted the IDs of the answers that an engine ran, lostGenerations
	// the generations that an engine lost.
	attempts map[string]string
	accepted map[string]bool
	// runs counts the runs of each request on all engines.
	runs            map[*request]int
	lostGenerations map[string]bool
	records         []*Record
	// recording enables the recording of each answer.
	recording bool
	// answers holds the last answer of each request.
	answers map[*request]*answer
}

// host is an entry host.
type host struct {
	world       *world
	name        string
	down        bool
	retry       *budget.Retry
	poisonTable *poison.Table
	// running is the number of this host's requests at each engine, failedAt the time of the last failure.
	running  map[*fakeEngine]int
	failedAt map[*fakeEngine]time.Time
	answers  map[string]*answer
}

// Run simulates all requests of a seed under one policy; the same seed gives the same counts.
func Run(policy Policy, seed uint64) Counts {
	w := newWorld(policy, seed)
	w.run()
	return w.counts
}

func newWorld(policy Policy, seed uint64) *world {
	w := &world{
		loop:            vtime.New(time.Unix(0, 0)),
		random:          rand.New(rand.NewPCG(seed, seed)),
		policy:          policy,
		applied:         make(map[*request]map[kind]bool),
		deaths:          make(map[*request]int),
		secondDeath:     make(map[*request]time.Time),
		attempts:        make(map[string]string),
		accepted:        make(map[string]bool),
		runs:            make(map[*request]int),
		lostGenerations: make(map[string]bool),
		answers:         make(map[*request]*answer),
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

// run simulates all requests of the seed and counts the results.
func (w *world) run() {
	requests := drawRequests(w.random)
	var end time.Duration
	for _, r := range requests {
		w.loop.After(r.arrival, func() { w.send(r, 0, nil) })
		end = r.arrival
	}
	w.loop.RunUntil(time.Unix(0, 0).Add(end + time.Minute))
	w.countResults(requests)
}

func requestID(number int) string { return fmt.Sprintf("q%04d", number) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// start resets the host to the state of a new process.
func (h *host) start() {
	h.down = false
	h.retry = &budget.Retry{}
	h.poisonTable = &poison.Table{Now: h.world.loop.Now, Broadcaster: broadcaster{h}}
	h.running = make(map[*fakeEngine]int)
	h.failedAt = make(map[*fakeEngine]time.Time)
	h.answers = make(map[string]*answer)
	h.world.loop.After(2*oneWayDelay, h.copyBarred)
}

// copyBarred copies the barred fingerprints of another live host, as a new host requests them from a peer.
func (h *host) copyBarred() {
	for _, other := range h.world.hosts {
		if other == h || other.down {
			continue
		}
		for _, f := range other.poisonTable.Barred() {
			h.poisonTable.Bar(f)
		}
		return
	}
}

// broadcaster applies the messages of one host's poison.Table to the tables of the other hosts after the one-way delay.
type broadcaster struct{ from *host }

func (s broadcaster) Marked(m poison.Mark) {
	sender, table := s.from, s.from.poisonTable
	s.broadcast(func(other *poison.Table) {
		other.Add(m)
		if other.IsBarred(m.Fingerprint) {
			sender.world.loop.After(oneWayDelay, func() { table.Bar(m.Fingerprint) })
		}
	})
}

func (s broadcaster) Started(f poison.Fingerprint, backend string) {
	s.broadcast(func(other *poison.Table) { other.StartedRemotely(f, backend) })
}

func (s broadcaster) Barred(f poison.Fingerprint) {
	s.broadcast(func(other *poison.Table) { other.Bar(f) })
}

func (s broadcaster) Lifted(f poison.Fingerprint) {
	s.broadcast(func(other *poison.Table) { other.ClearMarks(f) })
}

func (s broadcaster) broadcast(deliver func(*poison.Table)) {
	for _, h := range s.from.world.hosts {
		if h == s.from {
			continue
		}
		h.world.loop.After(oneWayDelay, func() {
			if !h.down {
				deliver(h.poisonTable)
			}
		})
	}
}

// send sends a request to a random live host other than the previous one.
func (w *world) send(r *request, resend int, previous *host) {
	var live []*host
	for _, h := range w.hosts {
		if !h.down && h != previous {
			live = append(live, h)
		}
	}
	h := live[w.random.IntN(len(live))]
	a := &answer{request: r, resends: resend, host: h}
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

// markApplied marks a fault as applied to the request and reports whether it was applied before.
func (w *world) markApplied(r *request, k kind) bool {
	if w.applied[r] == nil {
		w.applied[r] = make(map[kind]bool)
	}
	applied := w.applied[r][k]
	w.applied[r][k] = true
	return applied
}

// recordDeath counts an engine that the request crashed.
func (w *world) recordDeath(r *request) {
	w.deaths[r]++
	if w.deaths[r] == 2 {
		w.secondDeath[r] = w.loop.Now()
	}
	w.counts.MaxDeaths = max(w.counts.MaxDeaths, w.deaths[r])
}

// hasLostGeneration reports whether an incomplete answer's last token is of a generation that its engine lost.
func (w *world) hasLostGeneration(a *answer) bool {
	if a.complete || len(a.tokens) == 0 {
		return false
	}
	generation, _, _ := strings.Cut(a.tokens[len(a.tokens)-1], "/")
	return w.lostGenerations[generation]
}

// killHost crashes the host that serves the request, unless another host is down; it restarts after hostDowntime.
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
	w.loop.After(hostDowntime, h.start)
}

// isAtWork reports whether another engine works on an attempt of the answer that an attempt belongs to.
func (w *world) isAtWork(id string, receiver *fakeEngine) bool {
	answer, _, _ := strings.Cut(id, "-")
	for _, e := range w.engines {
		if e == receiver {
			continue
		}
		for other, run := range e.runs {
			if prefix, _, _ := strings.Cut(other, "-"); prefix == answer && run.tokens <= run.request.tokens {
				return true
			}
		}
	}
	return false
}

// checkOrphaned counts a run that its engine still works on.
func (w *world) checkOrphaned(e *fakeEngine, run *run) {
	if w.policy == PolicyOwn && !e.down && e.runs[run.id] == run && run.tokens <= run.request.tokens {
		w.counts.OrphanedRuns++
	}
}

func (w *world) countResults(list []*request) {
	c := &w.counts
	c.Requests = len(list)
	for _, r := range list {
		a := w.answers[r]
		switch {
		case a.complete:
			c.Completed++
		default:
			c.Refused++
		}
		if !a.ended {
			c.Cut++
		}
		if r.has(kindCrashesEveryEngine) || r.has(kindCallerLeaves) || w.hasLostGeneration(a) {
			continue
		}
		c.Repeatable++
		if a.complete {
			c.RepeatableCompleted++
		}
	}
}

// pickEngine returns the engine with the fewest requests of this host, or nil if all are excluded or have just failed.
func (h *host) pickEngine(excluded map[string]bool) *fakeEngine {
	const failurePause = time.Second
	now := h.world.loop.Now()
	var best *fakeEngine
	for _, i := range h.world.random.Perm(engines) {
		e := h.world.engines[i]
		if excluded[e.name] || now.Sub(h.failedAt[e]) < failurePause {
			continue
		}
		if best == nil || h.running[e] < h.running[best] {
			best = e
		}
	}
	return best
}
